package gate

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobstile/carobstile/internal/gatecore"
)

// Names of metrics.
const (
	metricEnded   = "requests_ended" // counter by code; "complete" and "disconnected" for ends without an error
	metricOpen    = "requests_open"  // gauge
	metricTokens  = "tokens_sent"    // counter
	metricAttempt = "attempts"       // counter by kind of backend server
	metricFirst   = "first_token"    // histogram of the time from arrival to the first token
	tagCode       = "code"
	tagKind       = "kind"
)

type gateTally struct {
	scope  tally.Scope
	open   tally.Gauge
	tokens tally.Counter
	first  tally.Histogram
}

// firstTokenBuckets span 1 ms to 65 s; the budget of 0.35 s at p95 lies between two of them.
var firstTokenBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 17)

func newGateTally(scope tally.Scope) gateTally {
	return gateTally{
		scope: scope, open: scope.Gauge(metricOpen), tokens: scope.Counter(metricTokens),
		first: scope.Histogram(metricFirst, firstTokenBuckets),
	}
}

func (t gateTally) ended(code gatecore.Code) {
	t.scope.Tagged(map[string]string{tagCode: string(code)}).Counter(metricEnded).Inc(1)
}

func (t gateTally) attempt(kind gatecore.Kind) {
	t.scope.Tagged(map[string]string{tagKind: string(kind)}).Counter(metricAttempt).Inc(1)
}
