package soak

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/carobstile/carobstile/platform/standin"
)

// Bounds of the guarantees, from the platform's specification sheets.
const (
	settleTime                = 4 * time.Second // time without disturbance before time bounds apply again
	configApplyTimeout        = 3 * time.Second // until a configuration change has taken effect
	drainTimeout              = 2 * time.Second // until a draining server receives no more requests
	timeoutTolerance          = 500 * time.Millisecond
	recoveryTimeout           = 15 * time.Second
	reservationReleaseTimeout = 4 * time.Second // until reservations have ended after the last request
	// minSuccessRatio is the share of requests that must succeed after the recovery time, when no fault is active.
	minSuccessRatio = 0.9
	// maxViolations limits the violations that a result keeps; all are logged.
	maxViolations = 50
)

// Violation is a breach of one of the guarantees in docs/promises.md.
type Violation struct {
	Guarantee string `json:"promise"`
	Request   string `json:"request,omitempty"`
	Detail    string `json:"what"`
	// At is the time since the start of the run.
	At time.Duration `json:"at"`
}

// scope is what a disturbance affects. index is that of the daemon for kindDaemon and kindStopping, of the backend for
// kindServerLink.
type scope struct {
	kind  scopeKind
	index int
}

type scopeKind int

const (
	kindStore      scopeKind = iota + 1
	kindServers              // any server or its link
	kindDaemon               // a daemon or one of its links
	kindServerLink           // the link to a server
	kindStopping             // a daemon in a planned stop, which must not fail requests that it has accepted
)

var (
	scopeStore   = scope{kind: kindStore}
	scopeServers = scope{kind: kindServers}
)

func scopeDaemon(i int) scope     { return scope{kind: kindDaemon, index: i} }
func scopeServerLink(i int) scope { return scope{kind: kindServerLink, index: i} }

func scopeStopping(i int) scope { return scope{kind: kindStopping, index: i} }

// disturbance is the period in which a fault affects a scope; to is zero while it is active.
type disturbance struct {
	scope    scope
	from, to time.Time
}

// dynamicEntry is the state of a route or key that the run adds and removes. since is when the store confirmed the last change.
type dynamicEntry struct {
	allowed bool
	since   time.Time
}

// checker verifies the guarantees from what callers and servers observe. It is safe for concurrent use.
type checker struct {
	log    *slog.Logger
	start  time.Time
	stalls stallMeter

	mu             sync.Mutex
	requests       map[string]*request
	disturbances   []*disturbance
	dynamicEntries map[string]dynamicEntry
	dynamicNames   []string
	drainingSince  map[string]time.Time
	traffic        map[string]*serviceTraffic // by service
	overload       overloadChecks
	hardLoad       hardLoadChecks
	violations     []Violation
	outcomeCounts  map[string]int
}

// serviceTraffic holds the times at which callers sent requests for a service, and those of arrivals at its servers beyond the first of
// each request.
type serviceTraffic struct {
	sent, repeats []time.Time
}

func (c *checker) trafficOf(service string) *serviceTraffic {
	if c.traffic[service] == nil {
		c.traffic[service] = &serviceTraffic{}
	}
	return c.traffic[service]
}

func newChecker(log *slog.Logger) *checker {
	return &checker{
		log: log, start: time.Now(), requests: map[string]*request{}, traffic: map[string]*serviceTraffic{}, dynamicEntries: map[string]dynamicEntry{},
		drainingSince: map[string]time.Time{}, outcomeCounts: map[string]int{}, overload: newOverloadChecks(), hardLoad: newHardLoadChecks(),
	}
}

func (c *checker) reportViolation(guarantee, id, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(guarantee, id, format, args...)
}

// addViolation logs and keeps a violation. The caller must hold mu.
func (c *checker) addViolation(guarantee, id, format string, args ...any) {
	v := Violation{Guarantee: guarantee, Request: id, Detail: fmt.Sprintf(format, args...), At: time.Since(c.start)}
	c.log.Error("promise broken", "promise", guarantee, "request", id, "what", v.Detail, "at", v.At.Round(time.Millisecond))
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, v)
	}
}

// beginDisturbance records the start of a disturbance and returns the function that records its end.
func (c *checker) beginDisturbance(s scope) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &disturbance{scope: s, from: time.Now()}
	c.disturbances = append(c.disturbances, d)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		d.to = time.Now()
	}
}

// undisturbed reports whether no disturbance of the scopes overlaps the period or ended less than settleTime before it.
func (c *checker) undisturbed(from, to time.Time, scopes ...scope) bool {
	for _, d := range c.disturbances {
		over := !d.to.IsZero() && d.to.Before(from.Add(-settleTime))
		if over || d.from.After(to) {
			continue
		}
		if slices.Contains(scopes, d.scope) {
			return false
		}
	}
	return true
}

// setAllowed records that the store has confirmed the addition or removal of a route or key.
func (c *checker) setAllowed(name string, allowed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.dynamicEntries[name]; !known {
		c.dynamicNames = append(c.dynamicNames, name)
	}
	c.dynamicEntries[name] = dynamicEntry{allowed: allowed, since: time.Now()}
}

// randomDynamicName returns a route or key that was added during the run, even if it was removed again, or "" if there is none.
func (c *checker) randomDynamicName(random *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.dynamicNames) == 0 {
		return ""
	}
	return c.dynamicNames[random.IntN(len(c.dynamicNames))]
}

func (c *checker) markDraining(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince[server] = time.Now()
}

func (c *checker) recordRequest(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[r.id] = r
	t := c.trafficOf(r.kind.service)
	t.sent = append(t.sent, r.sent)
}

// recordArrival checks a request that has reached a server, whether that runs or refuses it.
func (c *checker) recordArrival(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r == nil {
		c.addViolation("UNASKED", id, "a server received a request that no caller sent")
		return
	}
	r.arrivals++
	if r.arrivals == 1 {
		return
	}
	t := c.trafficOf(r.kind.service)
	t.repeats = append(t.repeats, time.Now())
	c.checkRetryBudget(time.Now(), r.kind.service)
}

// recordRun checks a request that a server has started to run.
func (c *checker) recordRun(run standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[run.ID]
	if r == nil {
		c.addViolation("UNASKED", run.ID, "server %s ran a request that no caller sent", run.Server)
		return
	}
	r.runs++
	r.servers = append(r.servers, run.Server)
	switch {
	case run.Target != r.path || run.Method != http.MethodPost || string(run.Body) != r.body:
		c.addViolation("UNASKED", r.id, "server %s received a different method, path or body than the caller sent", run.Server)
	case run.Workspace != r.workspace || run.Key != "":
		c.addViolation("UNASKED", r.id, "server %s received workspace %q and key %q", run.Server, run.Workspace, run.Key)
	case r.kind.nonIdempotent() && r.runs > 1:
		c.addViolation("TWICE", r.id, "non-idempotent request ran more than once, on %v", r.servers)
	case r.runs > r.kind.attempts:
		c.addViolation("BUDGET", r.id, "ran %d times with %d attempts allowed, on %v", r.runs, r.kind.attempts, r.servers)
	case isRefusal(r.status):
		c.addViolation("REFUSED", r.id, "ran on %s after the caller had received status %d", run.Server, r.status)
	}
	c.checkDeadlyPart(r, run)
	c.checkServerLimit(r, run)
	c.checkEvacuated(r, run)
	c.checkCold(r, run)
	c.checkService(r, run)
	c.checkDraining(r, run)
}

func (c *checker) checkService(r *request, run standin.Run) {
	if !strings.HasPrefix(run.Server, r.kind.service+"-") {
		c.addViolation("ROUTE", r.id, "ran on %s, which is not of service %s", run.Server, r.kind.service)
	}
	v, ok := c.dynamicEntries[r.dynamicName]
	effective := v.since.Add(configApplyTimeout)
	if ok && !v.allowed && r.sent.After(effective) && c.daemonUndisturbed(r.daemon, v.since, run.At) {
		c.addViolation("CONFIG", r.id, "ran with %s, which was removed %v before the request was sent",
			r.dynamicName, r.sent.Sub(v.since))
	}
}

// daemonUndisturbed reports whether neither the daemon nor the store was disturbed in the period.
func (c *checker) daemonUndisturbed(daemon int, from, to time.Time) bool {
	return c.undisturbed(from, to, scopeStore, scopeDaemon(daemon), scopeStopping(daemon))
}

func (c *checker) checkDraining(r *request, run standin.Run) {
	since, ok := c.drainingSince[run.Server]
	if ok && run.At.After(since.Add(drainTimeout)) && c.daemonUndisturbed(r.daemon, since, run.At) {
		c.addViolation("DRAIN", r.id, "ran on %s %v after the server began to drain", run.Server, run.At.Sub(since))
	}
}

// checkRetryBudget checks the arrivals beyond the first of each request in the window that ends now against the shared retry budget,
// those too that servers refused. The budget is based on the requests sent in that window, in the previous window or in the one that
// ended half a window ago, whichever has the most.
func (c *checker) checkRetryBudget(now time.Time, service string) {
	t := c.trafficOf(service)
	requests := 0
	for _, end := range []time.Time{now, now.Add(-retryWindow / 2), now.Add(-retryWindow)} {
		requests = max(requests, countBetween(t.sent, end.Add(-retryWindow), end))
	}
	repeats := countBetween(t.repeats, now.Add(-retryWindow), now)
	if float64(repeats) > retryRatio*float64(requests)+retryAllowance {
		c.addViolation("BUDGET", "", "%d repeats at %s within %v, for %d requests", repeats, service, retryWindow, requests)
	}
}

// countBetween returns how many of the times, which are about in order, lie after from and not after to.
func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for i := len(times) - 1; i >= 0 && times[i].After(from); i-- {
		if !times[i].After(to) {
			count++
		}
	}
	return count
}

func isRefusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// recordReply checks what the caller received.
func (c *checker) recordReply(r *request, got reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.reply = got
	complete := r.err == nil
	c.outcomeCounts[outcome(r)]++
	c.checkAnswer(r, complete)
	if isRefusal(r.status) && r.runs > 0 && r.kind.nonIdempotent() {
		c.addViolation("REFUSED", r.id, "refused with status %d but ran on %v", r.status, r.servers)
	}
	c.checkTime(r)
	c.checkAllowed(r)
	c.checkPlannedStop(r)
}

// checkTime checks that a request ended at its timeout. While the process of the callers itself is not scheduled, ends are observed
// late: once, requests of three unrelated deployments, sent within 0.3 s of each other, ended up to 1.1 s late.
func (c *checker) checkTime(r *request) {
	elapsed, stalled := r.ended.Sub(r.sent), c.stalls.delay(r.sent, r.sent.Add(r.kind.timeout), r.ended)
	if elapsed-stalled > r.kind.timeout+timeoutTolerance && c.daemonUndisturbed(r.daemon, r.sent, r.ended) {
		c.addViolation("TIME", r.id, "%s request to daemon %d ended after %v, its timeout is %v; stalls of the callers' process account for %v",
			r.kind.name, r.daemon, elapsed, r.kind.timeout, stalled)
	}
}

func outcome(r *request) string {
	if r.err != nil {
		return "broken"
	}
	return http.StatusText(r.status)
}

func (c *checker) checkAnswer(r *request, complete bool) {
	if r.status < 200 || r.status >= 300 {
		return
	}
	if !r.accepted {
		c.addViolation("MIXED", r.id, "status %d without a server's stamp", r.status)
		return
	}
	if r.kind.stream() {
		if problem := checkStream(r, complete); problem != "" {
			c.addViolation("ORDER", r.id, "%s", problem)
		}
		return
	}
	if want := answerText(r.id, r.body, 0); complete && r.answer != want {
		c.addViolation("MIXED", r.id, "answer of %d bytes differs from the server's answer of %d bytes", len(r.answer), len(want))
	}
}

// checkAllowed checks that a request which the configuration allows is not denied.
func (c *checker) checkAllowed(r *request) {
	denied := r.status == http.StatusNotFound || r.status == http.StatusUnauthorized || r.status == http.StatusForbidden
	if !denied || r.accepted {
		return
	}
	v, ok := c.dynamicEntries[r.dynamicName]
	switch {
	case !ok:
		c.addViolation("DENIED", r.id, "status %d for a request that every configuration allows", r.status)
	case v.allowed && r.sent.After(v.since.Add(configApplyTimeout)) && c.daemonUndisturbed(r.daemon, v.since, r.ended):
		c.addViolation("CONFIG", r.id, "status %d, %v after %s was added", r.status, r.sent.Sub(v.since), r.dynamicName)
	}
}

// countSuccesses returns the number of requests that were sent and ended in the period, and how many of them succeeded.
// Requests for dynamic routes and keys are not counted.
func (c *checker) countSuccesses(from, to time.Time) (sent, succeeded int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.sent.Before(from) || r.ended.After(to) || r.ended.IsZero() || r.dynamicName != "" || r.deadlyPart != "" {
			continue
		}
		sent++
		if r.err == nil && r.status >= 200 && r.status < 300 {
			succeeded++
		}
	}
	return sent, succeeded
}
