package soak

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/carobstile/carobstile/platform/standin"
)

// Faults of schedules with HardLoad.
const (
	Evacuation Kind = "evacuation"  // one failure domain, or two, are evacuated; their servers are cold when it ends
	ServerCold Kind = "server-cold" // a successor starts cold, for ForMs
	BodyStall  Kind = "body-stall"  // callers send bodies to a daemon and stop short of the end, or exceed the limit
)

// Variants of Evacuation.
const (
	evacuateOne = "one"
	evacuateTwo = "two"
)

var hardLoadSpecs = []faultSpec{
	{Evacuation, 6, []string{evacuateOne, evacuateTwo}, 8_000},
	{ServerCold, 6, nil, 6_000},
	{BodyStall, 4, []string{bodyLarge, bodySmall, bodyAnnounced, bodyOver}, 5_000},
}

const (
	// hardLoadDomains is the number of failure domains with HardLoad.
	hardLoadDomains = 3
	// evacuationBound is below the platform's 5 s, so that short evacuations are checked too.
	evacuationBound = 2 * time.Second
	// configBound is the platform's. Without hard load each daemon watches the configuration itself.
	configBound      = 2 * time.Second
	evacuationMargin = 500 * time.Millisecond
	// maxStoreStretch is by how much an unstable store extends the bound of evacuations for daemons without a fault of their own. A
	// daemon with a fault is exempt until settleTime after it.
	maxStoreStretch = 6 * time.Second
	// coldStart is how long servers are cold after an evacuation.
	coldStart     = 2 * time.Second
	coldPerSecond = 2
	// In coldWindow, a cold server gets at most coldFactor times what it tolerates, and coldSlack more, from all daemons.
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 5
	// maxRequestBytes is the limit of request bodies with HardLoad, as on the platform.
	maxRequestBytes = 4 << 20
	// heavyShare is the share of callers that belong to heavyWorkspace.
	heavyShare     = 0.8
	heavyWorkspace = "college"
	heavyKey       = "key-of-college"
)

// hardLoadChecks is the state of the checks of evacuations and cold servers, under the checker's lock.
type hardLoadChecks struct {
	// evacuatedSince holds when the store confirmed the evacuations that are in force, by failure domain.
	evacuatedSince map[string]time.Time
	coldUntil      map[string]time.Time
	// coldRuns holds the times of the runs on cold servers.
	coldRuns map[string][]time.Time
}

func newHardLoadChecks() hardLoadChecks {
	return hardLoadChecks{evacuatedSince: map[string]time.Time{}, coldUntil: map[string]time.Time{}, coldRuns: map[string][]time.Time{}}
}

// domainOf returns the failure domain of the daemon or backend with the given number.
func domainOf(number int, hardLoad bool) string {
	if !hardLoad {
		return failureDomain
	}
	return "z" + strconv.Itoa(1+number%hardLoadDomains)
}

// backendNumber returns the number of the backend to which a server belongs, from the server's ID.
func backendNumber(server string) int {
	number, err := strconv.Atoi(strings.Split(server, "-")[1])
	if err != nil {
		panic("server id " + server + " has no number")
	}
	return number
}

func (c *checker) setEvacuated(domain string, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hardLoad.evacuatedSince, domain)
	if evacuated {
		c.hardLoad.evacuatedSince[domain] = time.Now()
	}
}

func (c *checker) markCold(server string, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hardLoad.coldUntil[server] = time.Now().Add(left)
}

// checkEvacuated checks that no request reaches a server of an evacuated failure domain. Daemons and links with a fault in the last
// settleTime are exempt, and all daemons until maxStoreStretch after a fault of the store. The caller holds mu.
func (c *checker) checkEvacuated(r *request, run standin.Run) {
	number := backendNumber(run.Server)
	domain := domainOf(number, true)
	since, ok := c.hardLoad.evacuatedSince[domain]
	if !ok || !run.At.After(since.Add(evacuationBound+evacuationMargin)) {
		return
	}
	// undisturbed adds settleTime.
	if c.undisturbed(run.At, run.At, scopeDaemon(r.daemon), scopeStopping(r.daemon), scopeServerLink(number)) &&
		c.undisturbed(run.At.Add(settleTime-maxStoreStretch), run.At, scopeStore) {
		c.addViolation("EVACUATED", r.id, "ran on %s %v after the evacuation of %s, sent to daemon %d", run.Server, run.At.Sub(since), domain, r.daemon)
	}
}

// checkCold checks the rate of a cold server, over all daemons. Links to servers may delay requests so that they arrive together.
// The caller holds mu.
func (c *checker) checkCold(r *request, run standin.Run) {
	if until, ok := c.hardLoad.coldUntil[run.Server]; !ok || run.At.After(until) {
		return
	}
	runs := append(c.hardLoad.coldRuns[run.Server], run.At)
	c.hardLoad.coldRuns[run.Server] = runs
	count := 0
	for _, at := range runs {
		if run.At.Sub(at) < coldWindow {
			count++
		}
	}
	const allowed = coldFactor*coldPerSecond + coldSlack
	if float64(count) > allowed && c.undisturbed(run.At.Add(-coldWindow), run.At, scopeServerLink(backendNumber(run.Server))) {
		c.addViolation("COLD", r.id, "%s got %d requests in %v while cold, allowed are %.1f", run.Server, count, coldWindow, allowed)
	}
}

// evacuate creates the objects of one or two failure domains and removes them after ForMs, when their servers are cold.
func (inj *injector) evacuate(f Fault) {
	domains := []string{domainOf(f.Target, true)}
	if f.Variant == evacuateTwo {
		domains = append(domains, domainOf(f.Target+1, true))
	}
	for _, domain := range domains {
		inj.cluster.setEvacuated(domain, true)
		inj.checker.setEvacuated(domain, true)
	}
	time.Sleep(milliseconds(f.ForMs))
	for _, domain := range domains {
		inj.checker.setEvacuated(domain, false)
		for i, b := range inj.cluster.backends[:inj.cluster.engines] {
			if b.domain == domain {
				inj.becomeCold(i, b)
			}
		}
		inj.cluster.setEvacuated(domain, false)
	}
}

// becomeCold makes a running server cold for coldStart, unless another fault affects it.
func (inj *injector) becomeCold(number int, b *backend) {
	mu := inj.mutex(lockServer, number)
	if !mu.TryLock() {
		return
	}
	defer mu.Unlock()
	s := b.current()
	inj.cluster.putServerEntry(b, s, standin.StateReady, coldStart)
	inj.checker.markCold(s.ID, coldStart)
}

// Variants of BodyStall.
const (
	bodyLarge     = "large"     // large chunks, up to just below the limit
	bodySmall     = "small"     // very small chunks
	bodyAnnounced = "announced" // one byte less than announced
	bodyOver      = "over"      // twice the limit, not announced
)

// stalledBody is a body of size bytes, in chunks, that then neither continues nor ends until ctx ends.
type stalledBody struct {
	ctx         context.Context
	chunk, size int
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if b.size == 0 {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	n := min(len(p), b.chunk, b.size)
	b.size -= n
	return n, nil
}

// minOrdinaryRequests is the number of ordinary requests to a daemon of which one must succeed beside bodies that stall. Callers that
// are refused turn to other daemons, so that few requests come to one that refuses all. A larger share would depend on the speed of the
// machine.
const minOrdinaryRequests = 5

// recordStalledReply checks the answer to a body that did not end. Its request has not run, and only a body over the limit may be
// called too large.
func (c *checker) recordStalledReply(id string, over bool, status int) {
	if !isRefusal(status) && !(over && status == http.StatusRequestEntityTooLarge) {
		c.reportViolation("BODY", id, "status %d for a body that did not end, over the limit: %t", status, over)
	}
}

// checkServed checks that a daemon served ordinary requests in a period in which bodies stalled.
func (c *checker) checkServed(daemon int, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, succeeded := 0, 0
	for _, r := range c.requests {
		ordinary := r.daemon == daemon && r.kind.service == plainService && r.dynamicName == "" && !r.sent.Before(from)
		if !ordinary || r.ended.IsZero() || r.ended.After(to) {
			continue
		}
		sent++
		if r.err == nil && r.status >= 200 && r.status < 300 {
			succeeded++
		}
	}
	if sent >= minOrdinaryRequests && succeeded == 0 && len(c.hardLoad.evacuatedSince) == 0 &&
		c.daemonUndisturbed(daemon, from, to) && c.undisturbed(from, to, scopeServers) {
		c.addViolation("BODY", "", "daemon %d served %d of %d ordinary requests beside bodies that stall", daemon, succeeded, sent)
	}
}

// stallBodies sends many bodies at once to a daemon. No server may run their requests: the checker does not know them.
func (inj *injector) stallBodies(number, daemon int, f Fault) {
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(f.ForMs))
	defer cancel()
	// The large bodies together exceed the memory of a daemon by a quarter. Small chunks cost more processor time than memory.
	bodies, body := 56, stalledBody{ctx: ctx, chunk: 32 << 10, size: maxRequestBytes - 1}
	switch f.Variant {
	case bodySmall:
		body.chunk, body.size = 16, 64<<10
	case bodyOver:
		body.size = 2 * maxRequestBytes
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var senders sync.WaitGroup
	for i := range bodies {
		id := "stalled-" + strconv.Itoa(number) + "-" + strconv.Itoa(i)
		source := body
		req, err := standin.Call{
			Address: inj.cluster.daemons[daemon].settings.CallerAddress, Host: host, Method: http.MethodPost, Path: "/again/" + id, ID: id,
			Key: baseKey, Timeout: plainTimeout, Body: &source,
		}.Request()
		if err != nil {
			panic(err)
		}
		if f.Variant == bodyAnnounced {
			req.ContentLength = maxRequestBytes
		}
		senders.Go(func() {
			resp, err := client.Do(req.WithContext(ctx))
			if err != nil {
				return // refusing or closing such a connection is allowed
			}
			inj.checker.recordStalledReply(id, f.Variant == bodyOver, resp.StatusCode)
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		})
	}
	start := time.Now()
	senders.Wait()
	inj.checker.checkServed(daemon, start, time.Now())
}
