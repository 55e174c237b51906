package alloccore

import (
	"cmp"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// fit says how a request could be placed on the engines that serve it.
type fit struct {
	// parts is the number of engines, tokensPerPart the memory of each part; 0 parts: it does not fit.
	parts, tokensPerPart int
	ignoreShares         bool
}

// servingEngines returns the engines that could serve a request, with what the request costs there.
func (c *Core) servingEngines(now core.Micros, ent *entry) []candidate {
	out := make([]candidate, 0, len(c.engines))
	for _, e := range c.engines {
		cand := candidate{engine: e}
		if c.rejectedBy(servingFilters, now, ent, &cand) != "" {
			continue
		}
		if c.policy.PrefixAffinity {
			cand.cached = e.prefixes.cachedTokens(&ent.req)
		}
		cand.uncached = ent.req.PromptTokens - cand.cached
		cand.class = c.policy.classOf(cand.uncached)
		out = append(out, cand)
	}
	return out
}

// place returns the engines for a request, or nil. short is true if memory is lacking, or if some but not all engines
// of a group are free; then it is worth keeping memory for the request.
func (c *Core) place(now core.Micros, ent *entry) (plan []candidate, lacksMemory bool) {
	engines := c.servingEngines(now, ent)
	f := c.fitOf(ent, engines)
	if f.parts == 0 {
		return nil, false
	}
	engines = c.eligibleEngines(ent, engines, f)
	free := make([]candidate, 0, len(engines))
	for i := range engines {
		rejected := c.rejectedBy(loadFilters, now, ent, &engines[i])
		if rejected == "" {
			free = append(free, engines[i])
		}
		lacksMemory = lacksMemory || rejected == "memoryFits"
	}
	if len(free) >= f.parts {
		return c.pick(now, ent, free, f.parts), false
	}
	return nil, lacksMemory || f.parts > 1
}

// fitOf returns the fewest engines whose memory shares hold the request. A prompt that all shares together do not hold
// may use the whole memory of the engines.
func (c *Core) fitOf(ent *entry, engines []candidate) fit {
	if len(engines) == 0 {
		return fit{}
	}
	if single := c.fitOne(ent, engines); single.parts > 0 {
		return single
	}
	class := c.policy.classOf(ent.req.PromptTokens)
	if f := c.fitGroup(ent.kvTokens, engines, c.policy.memoryShare(class)); f.parts > 0 {
		return f
	}
	f := c.fitGroup(ent.kvTokens, engines, 1)
	f.ignoreShares = true
	return f
}

func (c *Core) fitOne(ent *entry, engines []candidate) fit {
	for i := range engines {
		share := c.policy.memoryShare(engines[i].class)
		if ent.kvTokens <= int(share*float64(engines[i].engine.total())) {
			return fit{parts: 1, tokensPerPart: ent.kvTokens}
		}
	}
	return fit{}
}

// fitGroup returns the smallest number of engines that hold equal parts of need tokens within a share.
func (c *Core) fitGroup(need int, engines []candidate, share float64) fit {
	capacities := make([]int, 0, len(engines))
	for i := range engines {
		capacities = append(capacities, int(share*float64(engines[i].engine.total())))
	}
	slices.SortFunc(capacities, func(a, b int) int { return cmp.Compare(b, a) })
	maxParts := len(capacities)
	if !c.policy.Groups {
		maxParts = 1
	}
	for n := 1; n <= maxParts; n++ {
		part := (need + n - 1) / n
		if part <= capacities[n-1] {
			return fit{parts: n, tokensPerPart: part}
		}
	}
	return fit{}
}

// eligibleEngines sets what each engine would hold and returns the engines that may take a part: a class prefills only on its
// spread of the pool, and a group on more only if it needs more. The parts of a group are computed anew, as one engine's
// cache does not help the others.
func (c *Core) eligibleEngines(ent *entry, engines []candidate, f fit) []candidate {
	out := make([]candidate, 0, len(engines))
	for i := range engines {
		cand := engines[i]
		cand.tokens, cand.ignoreShare = f.tokensPerPart, f.ignoreShares
		if f.parts > 1 {
			cand.cached = 0
			cand.uncached = (ent.req.PromptTokens + f.parts - 1) / f.parts
			cand.class = c.policy.classOf(ent.req.PromptTokens)
		}
		fromEnd := len(engines) - i
		cand.takesLongPrefills = fromEnd <= c.prefillEngineCount(ClassMedium, len(engines))
		if fromEnd <= max(f.parts, c.prefillEngineCount(cand.class, len(engines))) {
			out = append(out, cand)
		}
	}
	return out
}

// prefillEngineCount returns how many of n engines prefill a class. The last engines of the pool are taken, so that the sets of the
// longer classes are parts of those of the shorter ones.
func (c *Core) prefillEngineCount(class Class, n int) int {
	if !c.policy.PrefillSpread || class == ClassShort {
		return n
	}
	return max(1, int(c.policy.Classes[class].Share*float64(n)))
}

// fitsPool reports whether the pool's configured engines could hold the request if all of them were free.
func (c *Core) fitsPool(ent *entry) bool {
	total, largest := 0, 0
	for _, e := range c.engines {
		if !e.removed {
			total += e.total()
			largest = max(largest, e.total())
		}
	}
	if !c.policy.Groups {
		return ent.kvTokens <= largest
	}
	return ent.kvTokens <= total
}

// reservation keeps memory on engines for the first request that does not fit. There is at most one in a pool, and it
// holds nothing that others hold back for, so requests cannot wait for each other.
type reservation struct {
	head  *entry
	class Class
	parts []candidate
}

// reservedOn returns the memory kept on an engine, in tokens.
func (r *reservation) reservedOn(e *engineState) (int, bool) {
	if r.head == nil {
		return 0, false
	}
	for i := range r.parts {
		if r.parts[i].engine == e {
			return r.parts[i].tokens, true
		}
	}
	return 0, false
}

// reserve makes a request the reserved head. It reports whether this gave up the reservation of another request, so that
// the request may fit now.
func (c *Core) reserve(now core.Micros, ent *entry) bool {
	if !c.policy.HeadReservation || c.reserved.head == ent {
		return false
	}
	replaced := c.reserved.head != nil
	engines := c.servingEngines(now, ent)
	f := c.fitOf(ent, engines)
	engines = c.eligibleEngines(ent, engines, f)
	parts := c.leastShortfall(engines, f.parts)
	class := ClassShort
	for i := range parts {
		class = max(class, parts[i].class)
	}
	c.reserved = reservation{head: ent, class: class, parts: parts}
	return replaced
}

// leastShortfall returns the n engines that lack the least memory for their part.
func (c *Core) leastShortfall(engines []candidate, n int) []candidate {
	shortfall := func(cand *candidate) int {
		return max(0, cand.engine.usedTokens(&c.policy)+cand.tokens-cand.engine.total())
	}
	out := slices.Clone(engines)
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(shortfall(&a), shortfall(&b)) })
	return out[:n]
}

// validateReservation gives the reservation up when an engine of it no longer serves the head; the next pass chooses others.
func (c *Core) validateReservation(now core.Micros) {
	if c.reserved.head == nil {
		return
	}
	for i := range c.reserved.parts {
		if c.rejectedBy(servingFilters, now, c.reserved.head, &c.reserved.parts[i]) != "" {
			c.reserved = reservation{}
			return
		}
	}
}
