package alloccore

import (
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// grantDurationWeight is the weight of a new observation in the moving average of grant durations.
	grantDurationWeight = 0.1
	// defaultExpectedWait is the expected wait if no engine can currently serve a request that the pool could serve.
	defaultExpectedWait = core.Second
)

// expectedWait estimates how long a queued request will wait for its grant.
func (c *Core) expectedWait(now core.Micros, ent *entry) core.Micros {
	if !c.warmedUp {
		return max(0, c.warmUpDeadline-now)
	}
	engines := c.servingEngines(now, ent)
	f := c.fitOf(ent, engines)
	if f.parts == 0 {
		return defaultExpectedWait
	}
	engines = c.eligibleEngines(ent, engines, f)
	ahead := c.queue.workAhead(ent)
	wait := max(c.prefillWait(now, ent, engines, ahead), c.memoryWait(ent, engines, f, ahead))
	if ent.mode != modeNormal && !slices.ContainsFunc(engines, func(cand candidate) bool {
		return cand.engine.suspects == 0
	}) {
		wait = max(wait, c.meanGrantDuration, defaultExpectedWait)
	}
	return wait
}

// workAhead returns the work of the same class that is served before ent: that of all higher priorities, and within its
// own priority the part that fair queuing serves in alternation with the workspace of ent.
func (q *queue) workAhead(ent *entry) queuedWork {
	out := q.work[ent.class][ent.priority]
	if l := &ent.lane.levels[ent.priority]; q.policy.FairQueuing {
		weightRatio := float64(l.weight) / float64(ent.flow.weight)
		out.uncached = min(out.uncached, int(float64(ent.flow.queued.uncached)*weightRatio))
		out.memory = min(out.memory, int(float64(ent.flow.queued.memory)*weightRatio))
	}
	for p := ent.priority + 1; p < priorityLevels; p++ {
		out.uncached += q.work[ent.class][p].uncached
		out.memory += q.work[ent.class][p].memory
	}
	out.add(ent, -1)
	return out
}

// prefillWait is the time until an engine accepts work of the class again, plus the time that the engines together need
// for the queued work ahead.
func (c *Core) prefillWait(now core.Micros, ent *entry, engines []candidate, ahead queuedWork) core.Micros {
	if !c.policy.PrefillShares {
		return 0
	}
	var rate float64
	shortest := core.Micros(-1)
	for i := range engines {
		e := engines[i].engine
		rate += e.rate() * e.rateShare(&c.policy, ent.class)
		remaining := max(0, e.debtTime(&c.policy, now, engines[i].class)-c.policy.PrefillHorizon)
		if shortest < 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest + processingTime(float64(ahead.uncached), rate)
}

// memoryWait is the time until ending grants have freed the memory for the request and those ahead of it. It assumes
// that each token in use is freed once per mean grant duration.
func (c *Core) memoryWait(ent *entry, engines []candidate, f fit, ahead queuedWork) core.Micros {
	var none [classes]int
	fitting, used := 0, 0
	for i := range engines {
		cand := &engines[i]
		used += cand.engine.usedTokens(&c.policy)
		if cand.engine.fits(&c.policy, cand.class, cand.tokens, &none, cand.ignoreShare) {
			fitting++
		}
	}
	if fitting >= f.parts || used == 0 {
		return 0
	}
	freedPerSecond := float64(used) / seconds(max(c.meanGrantDuration, core.Millisecond))
	return processingTime(float64(ahead.memory+ent.kvTokens), freedPerSecond)
}

// observeGrantDuration updates the mean grant duration with that of a completed grant.
func (c *Core) observeGrantDuration(span core.Micros) {
	if c.meanGrantDuration == 0 {
		c.meanGrantDuration = span
		return
	}
	c.meanGrantDuration += core.Micros(grantDurationWeight * float64(span-c.meanGrantDuration))
}

// minPrefillTime is the shortest time from a grant to the first token, on the fastest engine of the pool that has not been
// removed from the configuration.
func (c *Core) minPrefillTime(ent *entry) core.Micros {
	best := core.Micros(-1)
	for _, e := range c.engines {
		if e.removed {
			continue
		}
		if span := processingTime(float64(ent.uncached)/float64(ent.parts), e.rate()); best < 0 || span < best {
			best = span
		}
	}
	return max(best, 0)
}
