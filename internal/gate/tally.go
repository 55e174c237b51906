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
	metricFirst   = "first_token"    // histogram of seconds by length class of the prompt
	tagCode       = "code"
	tagKind       = "kind"
	tagClass      = "class"
)

// Length classes of prompts in metrics, by the tokens up to which they apply.
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

// firstTokenBuckets run from 5 ms to about 3 minutes; the users' bound of 0.35 s is a bucket of its own.
var firstTokenBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 350 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second,
	6 * time.Second, 12 * time.Second, 25 * time.Second, 50 * time.Second, 100 * time.Second, 200 * time.Second,
}

type gateTally struct {
	scope  tally.Scope
	open   tally.Gauge
	tokens tally.Counter
}

func newGateTally(scope tally.Scope) gateTally {
	return gateTally{scope: scope, open: scope.Gauge(metricOpen), tokens: scope.Counter(metricTokens)}
}

func (t gateTally) firstToken(promptTokens int, d time.Duration) {
	class := map[string]string{tagClass: classOf(promptTokens)}
	t.scope.Tagged(class).Histogram(metricFirst, firstTokenBuckets).RecordDuration(d)
}

func (t gateTally) ended(code gatecore.Code) {
	t.scope.Tagged(map[string]string{tagCode: string(code)}).Counter(metricEnded).Inc(1)
}

func (t gateTally) attempt(kind gatecore.Kind) {
	t.scope.Tagged(map[string]string{tagKind: string(kind)}).Counter(metricAttempt).Inc(1)
}
