package alloccore

import (
	"math"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// longPrefillPenalty is the score penalty, for ClassShort, of an engine that takes longer prefills. It approximates
	// the prefill time of a short medium prompt, which may arrive while the request decodes.
	longPrefillPenalty = 250 * core.Millisecond
	// shortLoadTimeConstant is the time constant of the moving average of short prefill work.
	shortLoadTimeConstant = 10 * core.Second
	// maxIsolatedLoad is the maximum short prefill work for which isolation is applied, as a share of the prefill rate of
	// the engines without longer prefills. Above it, queuing behind each other delays short requests more than longer
	// prefills do.
	maxIsolatedLoad = 0.25
)

// shortLoad is an exponential moving average of the prefill work granted to ClassShort.
type shortLoad struct {
	at     core.Micros
	tokens float64
}

func (l *shortLoad) decay(now core.Micros) {
	if now > l.at {
		l.tokens *= math.Exp(-float64(now-l.at) / float64(shortLoadTimeConstant))
		l.at = now
	}
}

// add adds granted work, in tokens.
func (l *shortLoad) add(now core.Micros, tokens int) {
	l.decay(now)
	l.tokens += float64(tokens)
}

// rate returns the average rate of granted work in tokens per second.
func (l *shortLoad) rate(now core.Micros) float64 {
	l.decay(now)
	return l.tokens / seconds(shortLoadTimeConstant)
}

// interference is the delay that long prefills cause to decodes in the same batch. A decode next to a prefill gets one
// token per prefill chunk, so it hardly proceeds until the prefill ends. The score is the delay of the request by
// longer work on the engine, plus the delay that the request causes to each running request of a shorter class.
func interference(c *Core, now core.Micros, _ *entry, cand *candidate) core.Micros {
	if !c.isolationActive(now) {
		return 0
	}
	e := cand.engine
	e.advance(&c.policy, now)
	out := processingTime(e.work.longerClassWork(cand.class), e.rate())
	if cand.class == ClassShort && cand.takesLongPrefills {
		out += longPrefillPenalty
	}
	shorter := 0
	for class := range cand.class {
		shorter += e.running[class]
	}
	return out + core.Micros(shorter)*processingTime(float64(cand.uncached), e.rate())
}

// isolationActive reports whether the pool runs medium or long requests and the engines without longer prefills have
// capacity for the short work.
func (c *Core) isolationActive(now core.Micros) bool {
	longer, rate, n := 0, 0.0, 0
	for _, e := range c.engines {
		if !e.removed {
			n++
			rate += e.rate()
		}
		longer += e.running[ClassMedium] + e.running[ClassLong]
	}
	if longer == 0 || n == 0 {
		return false
	}
	isolatedRate := rate * float64(n-c.prefillEngineCount(ClassMedium, n)) / float64(n)
	return c.shortPrefill.rate(now) <= maxIsolatedLoad*isolatedRate
}
