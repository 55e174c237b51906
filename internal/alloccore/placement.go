package alloccore

import (
	"cmp"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// fit describes how a request is split over the engines that serve its model.
type fit struct {
	// parts is the number of engines, or 0 if the request does not fit; tokensPerPart is the KV memory of each part, in
	// tokens. ignoreShares is true if the parts may exceed the memory share of their class.
	parts, tokensPerPart int
	ignoreShares         bool
}

// servingEngines returns the engines that can serve a request regardless of their load, with the cached and uncached
// prompt tokens on each.
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

// place returns the engines to run a request on, or nil if it cannot be granted now. lacksMemory is true if memory is
// lacking, or if only some engines of a group are available; a reservation then helps the request.
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

// fitOf returns the fit with the fewest engines whose memory shares hold the request. A prompt that exceeds the sum of
// all shares may use the whole memory of the engines.
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

// fitGroup returns the fit with the fewest engines that hold equal parts of kvTokens within the given share of their
// memory.
func (c *Core) fitGroup(kvTokens int, engines []candidate, share float64) fit {
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
		part := (kvTokens + n - 1) / n
		if part <= capacities[n-1] {
			return fit{parts: n, tokensPerPart: part}
		}
	}
	return fit{}
}

// eligibleEngines sets the size of the part on each engine and returns the engines that may take one. A class prefills
// only on its subset of the pool, and a group uses engines outside of it only if it needs more. Groups count no cached
// tokens, because the cache of one engine does not help the others.
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

// prefillEngineCount returns how many of n engines prefill a class. These are always the last engines of the pool, so
// the set of a longer class is a subset of that of a shorter one.
func (c *Core) prefillEngineCount(class Class, n int) int {
	if !c.policy.PrefillSpread || class == ClassShort {
		return n
	}
	return max(1, int(c.policy.Classes[class].Share*float64(n)))
}

// fitsPool reports whether the pool's configured engines could hold the request if all of them were idle.
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

// reservation reserves memory on engines for the first request in scheduling order that does not fit. A pool has at
// most one, and its request holds no other memory while it waits, so requests cannot deadlock.
type reservation struct {
	head  *entry
	class Class
	parts []candidate
}

// reservedOn returns the memory reserved on an engine, in tokens, and whether the engine is part of the reservation.
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

// reserve makes a request the reserved head. It reports whether this replaced the reservation of another request, in
// which case the request may fit now.
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

// validateReservation cancels the reservation if one of its engines no longer serves the head. The next scheduling pass
// selects other engines.
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
