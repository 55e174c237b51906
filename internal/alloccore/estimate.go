package alloccore

import (
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// holdWeight is the weight of a new observation in the moving average of how long grants are held.
	holdWeight = 0.1
	// unknownWait is the expected wait while no engine can serve a request that the pool could serve.
	unknownWait = core.Second
)

// expectedWait estimates how long a waiting request waits for its grant.
func (c *Core) expectedWait(now core.Micros, x *entry) core.Micros {
	if !c.open {
		return max(0, c.opensBy-now)
	}
	engines := c.serving(now, x)
	f := c.fitOf(x, engines)
	if f.parts == 0 {
		return unknownWait
	}
	engines = c.shape(x, engines, f)
	ahead := c.queue.ahead(x)
	wait := max(c.prefillWait(now, x, engines, ahead), c.memoryWait(x, engines, f, ahead))
	if x.mode != modeNormal && !slices.ContainsFunc(engines, func(k candidate) bool { return k.engine.suspects == 0 }) {
		wait = max(wait, c.meanHold, unknownWait)
	}
	return wait
}

// ahead sums the requests of the same class that are served before x: all of higher priority and, as fair queuing
// serves the workspaces in turn, of its own priority only as much as the others get while the workspace of x is served.
func (q *queue) ahead(x *entry) backlog {
	out := q.waiting[x.class][x.priority]
	if l := &x.lane.levels[x.priority]; q.policy.FairQueuing {
		turn := float64(l.weight) / float64(x.flow.weight)
		out.uncached = min(out.uncached, int(float64(x.flow.queued.uncached)*turn))
		out.memory = min(out.memory, int(float64(x.flow.queued.memory)*turn))
	}
	for p := x.priority + 1; p < levels; p++ {
		out.uncached += q.waiting[x.class][p].uncached
		out.memory += q.waiting[x.class][p].memory
	}
	out.add(x, -1)
	return out
}

// prefillWait is the span until an engine takes work of the class again, plus that of the work ahead in the queue
// shared among the engines.
func (c *Core) prefillWait(now core.Micros, x *entry, engines []candidate, ahead backlog) core.Micros {
	if !c.policy.PrefillShares {
		return 0
	}
	var rate float64
	first := core.Micros(-1)
	for i := range engines {
		e := engines[i].engine
		rate += e.rate() * e.rateShare(&c.policy, x.class)
		left := max(0, e.debtTime(&c.policy, now, engines[i].class)-c.policy.PrefillHorizon)
		if first < 0 || left < first {
			first = left
		}
	}
	return first + spanOf(float64(ahead.uncached), rate)
}

// memoryWait is the span until grants that end have given back the memory for the request and those ahead of it. Each
// memory token is given back once in the average time that grants are held.
func (c *Core) memoryWait(x *entry, engines []candidate, f fit, ahead backlog) core.Micros {
	var none [classes]int
	room, held := 0, 0
	for i := range engines {
		k := &engines[i]
		held += k.engine.held(&c.policy)
		if k.engine.fits(&c.policy, k.class, k.tokens, &none, k.whole) {
			room++
		}
	}
	if room >= f.parts || held == 0 {
		return 0
	}
	freedPerSecond := float64(held) / seconds(max(c.meanHold, core.Millisecond))
	return spanOf(float64(ahead.memory+x.need), freedPerSecond)
}

// noteHold learns from a grant that ended.
func (c *Core) noteHold(span core.Micros) {
	if c.meanHold == 0 {
		c.meanHold = span
		return
	}
	c.meanHold += core.Micros(holdWeight * float64(span-c.meanHold))
}

// prefillSpan is the shortest span from a grant to the first token.
func (c *Core) prefillSpan(x *entry) core.Micros {
	best := core.Micros(-1)
	for _, e := range c.engines {
		if span := spanOf(float64(x.uncached)/float64(x.parts), e.rate()); best < 0 || span < best {
			best = span
		}
	}
	return max(best, 0)
}
