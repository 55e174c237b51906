package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/carobstile/carobstile/platform/standin"
)

// Bounds of the guarantees on requests that crash servers, and on the limits that servers name.
const (
	// crashesBeforeRefusal is the number of crashes after which requests with a deadly part must be refused, but for
	// runsAfterRefusal.
	crashesBeforeRefusal = 5
	runsAfterRefusal     = 3
	// A server that names a limit gets at most limitFactor times what it allows in limitWindow, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// overloadChecks is the state of the checks of deadly parts and limits, under the checker's lock.
type overloadChecks struct {
	activeParts []string
	// deadlyRuns holds the times of the runs under a deadly part. Each of them crashes its server.
	deadlyRuns map[string][]time.Time
	// lateRuns counts those beyond crashesBeforeRefusal from undisturbed daemons.
	lateRuns map[string]int
	limits   map[string]namedLimit
	// limitedRuns holds the runs on servers with a limit.
	limitedRuns map[string][]limitedRun
}

type namedLimit struct {
	perSecond float64
	since     time.Time
}

type limitedRun struct {
	at     time.Time
	daemon int
}

func newOverloadChecks() overloadChecks {
	return overloadChecks{
		deadlyRuns: map[string][]time.Time{}, lateRuns: map[string]int{}, limits: map[string]namedLimit{},
		limitedRuns: map[string][]limitedRun{},
	}
}

// setDeadly makes callers send prompts with a deadly part, or ends that.
func (c *checker) setDeadly(part string, active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overload.activeParts = slices.DeleteFunc(c.overload.activeParts, func(p string) bool { return p == part })
	if active {
		c.overload.activeParts = append(c.overload.activeParts, part)
	}
}

// randomDeadlyPart returns a deadly part that callers send now, or "".
func (c *checker) randomDeadlyPart(random *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.overload.activeParts) == 0 {
		return ""
	}
	return c.overload.activeParts[random.IntN(len(c.overload.activeParts))]
}

// setLimit records that a server names a limit of requests a second; 0 ends it.
func (c *checker) setLimit(server string, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.overload.limitedRuns, server)
	delete(c.overload.limits, server)
	if perSecond > 0 {
		c.overload.limits[server] = namedLimit{perSecond: perSecond, since: time.Now()}
	}
}

// checkDeadlyPart checks a run of a request with a deadly part. The caller holds mu.
func (c *checker) checkDeadlyPart(r *request, run standin.Run) {
	if r.deadlyPart == "" {
		return
	}
	o := &c.overload
	o.deadlyRuns[r.deadlyPart] = append(o.deadlyRuns[r.deadlyPart], run.At)
	earlier := o.deadlyRuns[r.deadlyPart]
	if len(earlier) <= crashesBeforeRefusal {
		return
	}
	known := earlier[crashesBeforeRefusal-1].Add(settleTime)
	if run.At.Before(known) || !c.daemonUndisturbed(r.daemon, known, run.At) {
		return
	}
	o.lateRuns[r.deadlyPart]++
	if o.lateRuns[r.deadlyPart] > runsAfterRefusal {
		c.addViolation("BUDGET", r.id, "request with part %s ran on %s, %v after the fifth crash; %d such runs",
			r.deadlyPart, run.Server, run.At.Sub(earlier[crashesBeforeRefusal-1]), o.lateRuns[r.deadlyPart])
	}
}

// checkServerLimit checks a run on a server against the limit that it names. The caller holds mu.
func (c *checker) checkServerLimit(r *request, run standin.Run) {
	o := &c.overload
	l, limited := o.limits[run.Server]
	if !limited || run.At.Before(l.since.Add(settleTime)) || !c.daemonUndisturbed(r.daemon, l.since, run.At) {
		return
	}
	o.limitedRuns[run.Server] = append(o.limitedRuns[run.Server], limitedRun{run.At, r.daemon})
	count := 0
	for _, other := range o.limitedRuns[run.Server] {
		if run.At.Sub(other.at) < limitWindow {
			count++
		}
	}
	if allowed := limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack; float64(count) > allowed {
		c.addViolation("LIMIT", r.id, "%s got %d requests in %v, allowed are %.1f", run.Server, count, limitWindow, allowed)
	}
}
