package gate

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobstile/carobstile/internal/gatecore"
)

// Names of metrics and their tags.
const (
	metricEnded   = "requests_ended" // counter by code; "complete" and "disconnected" for ends without an error
	metricOpen    = "requests_open"  // gauge
	metricTokens  = "tokens_sent"    // counter
	metricAttempt = "attempts"       // counter by kind of backend server
	metricFirst   = "first_token"    // histogram of seconds by length class of the prompt
	tagCode       = "code"
	tagKind       = "kind"
	tagClass      = "class"
)

// Length classes of prompts in metrics, with the largest number of tokens in each.
const (
	classShort, shortTokens   = "short", 4_000
	classMedium, mediumTokens = "medium", 100_000
	classLong                 = "long"
)

func classOf(promptTokens int) string {
	switch {
	case promptTokens <= shortTokens:
		return classShort
	case promptTokens <= mediumTokens:
		return classMedium
	default:
		return classLong
	}
}

// firstTokenBuckets range from 5 ms to about 3 minutes. The users' limit of 0.35 s is one of the bucket boundaries.
var firstTokenBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 350 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second,
	6 * time.Second, 12 * time.Second, 25 * time.Second, 50 * time.Second, 100 * time.Second, 200 * time.Second,
}

type gateMetrics struct {
	scope  tally.Scope
	open   tally.Gauge
	tokens tally.Counter
}

func newGateMetrics(scope tally.Scope) gateMetrics {
	return gateMetrics{scope: scope, open: scope.Gauge(metricOpen), tokens: scope.Counter(metricTokens)}
}

func (t gateMetrics) observeFirstToken(promptTokens int, d time.Duration) {
	class := map[string]string{tagClass: classOf(promptTokens)}
	t.scope.Tagged(class).Histogram(metricFirst, firstTokenBuckets).RecordDuration(d)
}

func (t gateMetrics) countEnded(code gatecore.Code) {
	t.scope.Tagged(map[string]string{tagCode: string(code)}).Counter(metricEnded).Inc(1)
}

func (t gateMetrics) countAttempt(kind gatecore.Kind) {
	t.scope.Tagged(map[string]string{tagKind: string(kind)}).Counter(metricAttempt).Inc(1)
}
