package alloccore

import (
	"cmp"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// ranked is a candidate with its rank; the lowest rank is best.
type ranked struct {
	candidate
	rank core.Micros
	// position is the index in the pool; it breaks ties.
	position int
}

// pick returns the n best candidates, best first.
func (c *Core) pick(now core.Micros, ent *entry, from []candidate, n int) []candidate {
	list := make([]ranked, 0, len(from))
	for i := range from {
		at := c.positionOf(from[i].engine)
		list = append(list, ranked{from[i], c.rankOf(now, ent, &from[i], at), at})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.position, b.position))
	})
	out := make([]candidate, 0, n)
	for _, r := range list[:n] {
		out = append(out, r.candidate)
	}
	if c.policy.Picker == PickRoundRobin {
		c.roundRobinCursor = list[n-1].position + 1
	}
	return out
}

func (c *Core) rankOf(now core.Micros, ent *entry, cand *candidate, position int) core.Micros {
	switch c.policy.Picker {
	case PickRoundRobin:
		return core.Micros((position - c.roundRobinCursor + len(c.engines)) % len(c.engines))
	case PickLeastLoaded:
		return core.Micros(len(cand.engine.allocations))
	default:
		return c.scoreOf(now, ent, cand)
	}
}

func (c *Core) positionOf(e *engineState) int { return slices.Index(c.engines, e) }
