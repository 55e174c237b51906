package forward

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobstile/carobstile/internal/core"
)

// Metrics counts ended requests by route and status.
type Metrics struct {
	scope tally.Scope
}

// NewMetrics returns metrics in a scope.
func NewMetrics(scope tally.Scope) *Metrics { return &Metrics{scope: scope} }

// durationBuckets spans the time limits of requests, which reach from under a second to fifteen.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 11)

func (m *Metrics) ended(route string, status int, took core.Micros) {
	scope := m.scope.Tagged(map[string]string{"route": route, "status": strconv.Itoa(status)})
	scope.Counter("requests_ended").Inc(1)
	scope.Histogram("request_duration", durationBuckets).RecordDuration(took.Duration())
}
