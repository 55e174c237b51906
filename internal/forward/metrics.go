package forward

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
)

// Metrics counts requests by kind, route, status and the server's failure domain, and server failures by server and
// reason. It caches counters and histograms, since a lookup by tags takes longer than all other accounting of a
// request.
type Metrics struct {
	scope     tally.Scope
	notLogged tally.Counter

	mu          sync.Mutex
	requests    map[requestLabels]requestMetrics
	firstEvents map[string]tally.Histogram
	sends       map[string]tally.Counter // by server
	workspaces  *workspaceMetrics
}

type requestLabels struct {
	route, kind, domain string
	status              int
}

type requestMetrics struct {
	count    tally.Counter
	duration tally.Histogram
}

// NewMetrics returns metrics that are registered in a scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{
		scope: scope, notLogged: scope.Counter("requests_not_logged"), requests: map[requestLabels]requestMetrics{},
		firstEvents: map[string]tally.Histogram{}, sends: map[string]tally.Counter{},
		workspaces: newWorkspaceMetrics(scope),
	}
}

// durationBuckets covers the time limits of requests, from under a second to fifteen seconds.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 11)

// maxCachedLabels bounds each cache, because routes change with the configuration.
const maxCachedLabels = 2_000

func (m *Metrics) recordEnd(q *request, status int, elapsed core.Micros) {
	l := requestLabels{route: q.routeName(), kind: q.repeatKind(), status: status}
	if n := len(q.placements); n > 0 {
		l.domain = q.placements[n-1].plan.Lead.Domain
	}
	metrics := m.requestMetricsFor(l)
	metrics.count.Inc(1)
	metrics.duration.RecordDuration(elapsed.Duration())
	m.workspaces.recordEnd(q, status)
}

// requestMetricsFor returns the metrics for a set of labels, and caches them unless the cache is full.
func (m *Metrics) requestMetricsFor(l requestLabels) requestMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	metrics, ok := m.requests[l]
	if !ok {
		scope := m.scope.Tagged(map[string]string{"route": l.route, "kind": l.kind, "status": strconv.Itoa(l.status)})
		metrics = requestMetrics{
			count:    scope.Tagged(map[string]string{"domain": l.domain}).Counter("requests_ended"),
			duration: scope.Histogram("request_duration", durationBuckets),
		}
		if len(m.requests) < maxCachedLabels {
			m.requests[l] = metrics
		}
	}
	return metrics
}

// repeatKind returns the request's kind label: "stream", or how it may be repeated; "" without a route.
func (q *request) repeatKind() string {
	switch {
	case q.route == nil:
		return ""
	case q.route.Stream:
		return "stream"
	}
	return q.route.RetryMode.String()
}

// recordSend counts an attempt to send a request to a server.
func (m *Metrics) recordSend(service string, s dispatch.Server) {
	m.mu.Lock()
	c, ok := m.sends[s.ID]
	if !ok {
		c = m.scope.Tagged(map[string]string{"service": service, "server": s.ID, "domain": s.Domain}).Counter("server_sends")
		if len(m.sends) < maxCachedLabels {
			m.sends[s.ID] = c
		}
	}
	m.mu.Unlock()
	c.Inc(1)
}

// recordRepeat counts a request that is sent to a further server; after is how the server before it failed.
func (m *Metrics) recordRepeat(service string, after dispatch.Fault) {
	m.scope.Tagged(map[string]string{
		"service": service, "after": after.String(),
	}).Counter("repeats").Inc(1)
}

func (m *Metrics) recordFailure(service string, s dispatch.Server, f dispatch.Fault) {
	m.scope.Tagged(map[string]string{
		"service": service, "server": s.ID, "domain": s.Domain, "reason": f.String(),
	}).Counter("server_failures").Inc(1)
}

func (m *Metrics) recordFirstEvent(route string, elapsed core.Micros) {
	m.mu.Lock()
	h, ok := m.firstEvents[route]
	if !ok {
		h = m.scope.Tagged(map[string]string{"route": route}).Histogram("first_event", durationBuckets)
		if len(m.firstEvents) < maxCachedLabels {
			m.firstEvents[route] = h
		}
	}
	m.mu.Unlock()
	h.RecordDuration(elapsed.Duration())
}

// recordRelay counts a request that is passed on to a neighbour.
func (m *Metrics) recordRelay() { m.scope.Counter("requests_passed_on").Inc(1) }

// recordCutOff counts a request that the stop of the daemon has cut off at a stage.
func (m *Metrics) recordCutOff(at stage) {
	m.scope.Tagged(map[string]string{"stage": at.String()}).Counter("requests_cut_off").Inc(1)
}

func (m *Metrics) recordNotLogged() { m.notLogged.Inc(1) }
