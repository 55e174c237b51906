package forward

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
)

// Metrics counts requests by kind, route, status and the server's failure domain, and failures by server and reason.
type Metrics struct {
	scope tally.Scope
}

// NewMetrics returns metrics in a scope.
func NewMetrics(scope tally.Scope) *Metrics { return &Metrics{scope: scope} }

// durationBuckets spans the time limits of requests, which reach from under a second to fifteen.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 11)

func (m *Metrics) ended(q *request, status int, took core.Micros) {
	domain := ""
	if n := len(q.placements); n > 0 {
		domain = q.placements[n-1].plan.Lead.Domain
	}
	scope := m.scope.Tagged(map[string]string{"route": q.routeName(), "kind": q.kind(), "status": strconv.Itoa(status)})
	scope.Tagged(map[string]string{"domain": domain}).Counter("requests_ended").Inc(1)
	scope.Histogram("request_duration", durationBuckets).RecordDuration(took.Duration())
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
	m.scope.Tagged(map[string]string{"route": route}).Histogram("first_event", durationBuckets).RecordDuration(took.Duration())
}

func (m *Metrics) notLogged() { m.scope.Counter("requests_not_logged").Inc(1) }
