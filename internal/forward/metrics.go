package forward

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
)

// Metrics counts requests by kind, route, status and the server's failure domain, and failures by server and reason. It
// keeps what it has looked up in the scope, since a lookup by tags takes longer than all else that is counted for a request.
type Metrics struct {
	scope   tally.Scope
	skipped tally.Counter

	mu     sync.Mutex
	ends   map[endLabels]endMetrics
	firsts map[string]tally.Histogram
}

type endLabels struct {
	route, kind, domain string
	status              int
}

type endMetrics struct {
	count    tally.Counter
	duration tally.Histogram
}

// NewMetrics returns metrics in a scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		scope: scope, skipped: scope.Counter("requests_not_logged"), ends: map[endLabels]endMetrics{},
		firsts: map[string]tally.Histogram{},
	}
}

// durationBuckets spans the time limits of requests, which reach from under a second to fifteen.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 11)

// maxLabels bounds the kept lookups; routes come and go with configurations.
const maxLabels = 2_000

func (m *Metrics) ended(q *request, status int, took core.Micros) {
	l := endLabels{route: q.routeName(), kind: q.kind(), status: status}
	if n := len(q.placements); n > 0 {
		l.domain = q.placements[n-1].plan.Lead.Domain
	}
	found := m.end(l)
	found.count.Inc(1)
	found.duration.RecordDuration(took.Duration())
}

func (m *Metrics) end(l endLabels) endMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	found, ok := m.ends[l]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"route": l.route, "kind": l.kind, "status": strconv.Itoa(l.status)})
		found = endMetrics{
			count:    scope.Tagged(map[string]string{"domain": l.domain}).Counter("requests_ended"),
			duration: scope.Histogram("request_duration", durationBuckets),
		}
		if len(m.ends) < maxLabels {
			m.ends[l] = found
		}
	}
	return found
}

// kind names how a request may be repeated; "" for one without a route.
func (q *request) kind() string {
	switch {
	case q.route == nil:
		return ""
	case q.route.Stream:
		return "stream"
	}
	return q.route.Repeat.String()
}

func (m *Metrics) failed(service string, s dispatch.Server, f dispatch.Fault) {
	m.scope.Tagged(map[string]string{
		"service": service, "server": s.ID, "domain": s.Domain, "reason": f.String(),
	}).Counter("server_failures").Inc(1)
}

func (m *Metrics) firstEvent(route string, took core.Micros) {
	m.mu.Lock()
	h, ok := m.firsts[route]
	if !ok {
		h = m.scope.Tagged(map[string]string{"route": route}).Histogram("first_event", durationBuckets)
		if len(m.firsts) < maxLabels {
			m.firsts[route] = h
		}
	}
	m.mu.Unlock()
	h.RecordDuration(took.Duration())
}

func (m *Metrics) notLogged() { m.skipped.Inc(1) }
