package forward

import (
	"net/http"
	"strings"
	"sync"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/evlog"
)

// loggedRequestsPerSecond bounds how many successful requests a second are logged with their placements. Requests that
// failed, were sent more than once or were late are always logged. A line takes 13 us of processor time (BenchmarkLine
// in evlog).
const loggedRequestsPerSecond = 5

// placement is a decision of the scheduler, kept so that it is logged at the end of the request.
type placement struct {
	at   core.Micros
	plan dispatch.Plan
}

// recordEnd counts the end of a request and logs it, unless it is left out by sampling.
func (q *request) recordEnd(status int) {
	elapsed := q.h.Now() - q.arrived
	q.h.Metrics.recordEnd(q, status, elapsed)
	if !q.alwaysLogged(status) && !q.h.logSampler.allow(q.h.Now(), loggedRequestsPerSecond) {
		q.h.Metrics.recordNotLogged()
		return
	}
	version := int64(0)
	if q.table != nil {
		version = q.table.Version
	}
	for n, p := range q.placements {
		q.h.Log.Info(evlog.MessagePlaced, evlog.KeyRequest, q.ID, "try", n+1, "at_ms", millis(p.at-q.arrived),
			"server", p.plan.Lead.ID, "domain", p.plan.Lead.Domain, "helpers", serverIDs(p.plan.Helpers),
			"holds", len(p.plan.Reservations), "loss", p.plan.Loss, "first_in_ms", millis(p.plan.FirstEventAt-p.at),
			"config", version)
	}
	q.h.Log.Info(evlog.MessageEnded, evlog.KeyRequest, q.ID, "route", q.routeName(), "service", q.service,
		"workspace", q.workspaceName(), "prompt_tokens", q.PromptTokens, "status", status, "shortfall", q.shortfall(status), "reason", q.reason, "server", q.lastServer, "from", q.sender(), "sends", q.sendCount, "arrivals", q.arrivals,
		"first_ms", q.firstEventMillis(), "longest_gap_ms", millis(q.stream.longestGap),
		"limit_ms", millis(max(0, q.deadline-q.arrived)), "ms", millis(elapsed), "config", version)
}

// recordFirstEvent records the time to the first event of a stream. It ignores the first event after a resumption.
func (q *request) recordFirstEvent() {
	if q.stream.firstEventAt > 0 {
		return // the stream was resumed
	}
	q.stream.firstEventAt = q.h.Now()
	elapsed := q.stream.firstEventAt - q.arrived
	q.stream.firstEventLate = elapsed > core.FromDuration(q.route.FirstTarget)
	q.h.Metrics.recordFirstEvent(q.route.Name, elapsed)
}

// recordEvent records the time since the previous event of a stream.
func (q *request) recordEvent() {
	now := q.h.Now()
	if q.stream.lastEventAt > 0 {
		q.stream.longestGap = max(q.stream.longestGap, now-q.stream.lastEventAt)
	}
	q.stream.lastEventAt = now
}

// pauseExceeded reports whether the time between two events exceeded the route's target.
func (q *request) pauseExceeded() bool {
	return q.route != nil && q.route.PauseTarget > 0 && q.stream.longestGap > core.FromDuration(q.route.PauseTarget)
}

// firstEventMillis returns the milliseconds from arrival to the first event; -1 if there was none.
func (q *request) firstEventMillis() int64 {
	if q.stream.firstEventAt == 0 {
		return -1
	}
	return millis(q.stream.firstEventAt - q.arrived)
}

// alwaysLogged reports whether a request failed, was sent more than once, or had a late event.
func (q *request) alwaysLogged(status int) bool {
	return status >= http.StatusBadRequest || status == 0 || q.arrivals > 1 || q.stream.firstEventLate || q.pauseExceeded()
}

// sender returns the name of the daemon that has passed the request on, "" for a caller's.
func (q *request) sender() string {
	if q.relayed == nil {
		return ""
	}
	return q.relayed.from
}

func (q *request) routeName() string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

func (q *request) workspaceName() string {
	if q.workspace == nil {
		return ""
	}
	return q.workspace.Name
}

// serverIDs returns the IDs of servers, separated by commas.
func serverIDs(list []dispatch.Server) string {
	ids := make([]string, len(list))
	for i, s := range list {
		ids[i] = s.ID
	}
	return strings.Join(ids, ",")
}

func millis(m core.Micros) int64 { return m.Duration().Milliseconds() }

// logRateLimiter allows a number of log entries in each second. It is safe for concurrent use.
type logRateLimiter struct {
	mu     sync.Mutex
	second core.Micros
	count  int
}

func (l *logRateLimiter) allow(now core.Micros, perSecond int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now / core.Second; second != l.second {
		l.second, l.count = second, 0
	}
	l.count++
	return l.count <= perSecond
}
