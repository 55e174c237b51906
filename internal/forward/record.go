package forward

import (
	"net/http"
	"sync"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/evlog"
)

// sampledRequests is how many requests a second that went well are logged with their decisions. Requests that failed or
// were late are all logged; a line takes 13 us of processor time (BenchmarkLine in evlog).
const sampledRequests = 5

// placement is a decision about a request, kept until its end so that it is logged with it.
type placement struct {
	at   core.Micros
	plan dispatch.Plan
}

// ended logs and counts the end of a request.
func (q *request) ended(status int) {
	took := q.h.Now() - q.arrived
	q.h.Metrics.ended(q, status, took)
	if !q.troubled(status) && !q.h.sampled.take(q.h.Now()) {
		q.h.Metrics.notLogged()
		return
	}
	version := int64(0)
	if q.table != nil {
		version = q.table.Version
	}
	for n, p := range q.placements {
		q.h.Log.Info(evlog.MessagePlaced, evlog.KeyRequest, q.ID, "try", n+1, "at_ms", millis(p.at-q.arrived),
			"server", p.plan.Lead.ID, "domain", p.plan.Lead.Domain, "helpers", len(p.plan.Helpers), "holds", len(p.plan.Holds),
			"loss", p.plan.Loss, "first_in_ms", millis(p.plan.First-p.at), "config", version)
	}
	q.h.Log.Info(evlog.MessageEnded, evlog.KeyRequest, q.ID, "route", q.routeName(), "service", q.service,
		"prompt_tokens", q.Prompt, "status", status, "reason", q.reason, "server", q.lastServer, "sends", q.sends,
		"first_ms", q.firstMillis(), "longest_gap_ms", millis(q.stream.longestGap), "limit_ms", millis(max(0, q.deadline-q.arrived)),
		"ms", millis(took), "config", version)
}

// firstEvent notes when the first event of a stream came.
func (q *request) firstEvent() {
	if q.stream.firstAt > 0 {
		return // of a continued stream
	}
	q.stream.firstAt = q.h.Now()
	took := q.stream.firstAt - q.arrived
	q.stream.late = took > core.Span(q.route.FirstTarget)
	q.h.Metrics.firstEvent(q.route.Name, took)
}

// eventCame notes the pause before an event of a stream.
func (q *request) eventCame() {
	now := q.h.Now()
	if q.stream.lastAt > 0 {
		q.stream.longestGap = max(q.stream.longestGap, now-q.stream.lastAt)
	}
	q.stream.lastAt = now
}

// paused reports whether a pause between two events was longer than the route's target.
func (q *request) paused() bool {
	return q.route != nil && q.route.PauseTarget > 0 && q.stream.longestGap > core.Span(q.route.PauseTarget)
}

// firstMillis returns when the first event came, counted from the arrival; -1 if there was none.
func (q *request) firstMillis() int64 {
	if q.stream.firstAt == 0 {
		return -1
	}
	return millis(q.stream.firstAt - q.arrived)
}

// troubled reports whether a request failed, was sent more than once, or had its first or another event late.
func (q *request) troubled(status int) bool {
	return status >= http.StatusBadRequest || status == 0 || q.sends > 1 || q.stream.late || q.paused()
}

func (q *request) routeName() string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

func millis(m core.Micros) int64 { return m.Duration().Milliseconds() }

// sampler lets sampledRequests a second through. It is safe for concurrent use.
type sampler struct {
	mu     sync.Mutex
	second core.Micros
	taken  int
}

func (s *sampler) take(now core.Micros) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if second := now / core.Second; second != s.second {
		s.second, s.taken = second, 0
	}
	s.taken++
	return s.taken <= sampledRequests
}
