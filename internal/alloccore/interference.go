package alloccore

import (
	"math"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// longPrefillPenalty is the disadvantage, for the shortest class, of an engine that takes longer prefills. It is about the
	// prefill of a short medium prompt, which may come while the request decodes.
	longPrefillPenalty = 250 * core.Millisecond
	// shortLoadTimeConstant is the time constant of the moving average of the short prefill work.
	shortLoadTimeConstant = 10 * core.Second
	// maxIsolatedLoad is the most short prefill work that isolation gathers on the engines without longer prefills, as a
	// share of their rate. Above it, waiting for each other costs short requests more than longer prefills do.
	maxIsolatedLoad = 0.25
)

// shortLoad is the prefill work granted to the shortest class, as a moving average.
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

// add counts granted work.
func (l *shortLoad) add(now core.Micros, tokens int) {
	l.decay(now)
	l.tokens += float64(tokens)
}

// rate returns tokens a second.
func (l *shortLoad) rate(now core.Micros) float64 {
	l.decay(now)
	return l.tokens / seconds(shortLoadTimeConstant)
}

// interference is the delay that long prefills cause to the decodes that share their steps. A decode beside a prefill
// gets one token for each whole chunk, so it hardly proceeds until the prefill ends. It counts what the request suffers
// from longer work on the engine and what it inflicts on each request of a shorter class there.
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

// isolationActive reports whether the pool runs longer classes, and the engines without longer prefills have room for the
// short work.
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
