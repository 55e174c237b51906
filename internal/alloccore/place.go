package alloccore

import (
	"cmp"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// fit says how a request could be placed on the engines that serve it.
type fit struct {
	// parts is the number of engines, tokens the memory of each part; 0 parts: it does not fit.
	parts, tokens int
	whole         bool
}

// serving returns the engines that could serve a request, with what the request costs there.
func (c *Core) serving(now core.Micros, x *entry) []candidate {
	out := make([]candidate, 0, len(c.engines))
	for _, e := range c.engines {
		k := candidate{engine: e}
		if c.rejectedBy(servingFilters, now, x, &k) != "" {
			continue
		}
		if c.policy.PrefixAffinity {
			k.cached = e.prefixes.cachedTokens(&x.req)
		}
		k.uncached = x.req.PromptTokens - k.cached
		k.class = c.policy.classOf(k.uncached)
		out = append(out, k)
	}
	return out
}

// place returns the engines for a request, or nil. short is true if memory is lacking, or if some but not all engines
// of a group are free; then it is worth keeping memory for the request.
func (c *Core) place(now core.Micros, x *entry) (plan []candidate, short bool) {
	engines := c.serving(now, x)
	f := c.fitOf(x, engines)
	if f.parts == 0 {
		return nil, false
	}
	engines = c.shape(x, engines, f)
	free := make([]candidate, 0, len(engines))
	for i := range engines {
		rejected := c.rejectedBy(loadFilters, now, x, &engines[i])
		if rejected == "" {
			free = append(free, engines[i])
		}
		short = short || rejected == "memoryFits"
	}
	if len(free) >= f.parts {
		return c.pick(now, x, free, f.parts), false
	}
	return nil, short || f.parts > 1
}

// fitOf returns the fewest engines whose memory shares hold the request. A prompt that all shares together do not hold
// may use the whole memory of the engines.
func (c *Core) fitOf(x *entry, engines []candidate) fit {
	if len(engines) == 0 {
		return fit{}
	}
	if single := c.fitOne(x, engines); single.parts > 0 {
		return single
	}
	class := c.policy.classOf(x.req.PromptTokens)
	if f := c.fitGroup(x.need, engines, c.policy.memoryShare(class)); f.parts > 0 {
		return f
	}
	f := c.fitGroup(x.need, engines, 1)
	f.whole = true
	return f
}

func (c *Core) fitOne(x *entry, engines []candidate) fit {
	for i := range engines {
		share := c.policy.memoryShare(engines[i].class)
		if x.need <= int(share*float64(engines[i].engine.total())) {
			return fit{parts: 1, tokens: x.need}
		}
	}
	return fit{}
}

// fitGroup returns the smallest number of engines that hold equal parts of need tokens within a share.
func (c *Core) fitGroup(need int, engines []candidate, share float64) fit {
	rooms := make([]int, 0, len(engines))
	for i := range engines {
		rooms = append(rooms, int(share*float64(engines[i].engine.total())))
	}
	slices.SortFunc(rooms, func(a, b int) int { return cmp.Compare(b, a) })
	most := len(rooms)
	if !c.policy.Groups {
		most = 1
	}
	for n := 1; n <= most; n++ {
		part := (need + n - 1) / n
		if part <= rooms[n-1] {
			return fit{parts: n, tokens: part}
		}
	}
	return fit{}
}

// shape sets what each engine would hold and returns the engines that may take a part: a class prefills only on its
// spread of the pool, and a group on more only if it needs more. The parts of a group are computed anew, as one engine's
// cache does not help the others.
func (c *Core) shape(x *entry, engines []candidate, f fit) []candidate {
	out := make([]candidate, 0, len(engines))
	for i := range engines {
		k := engines[i]
		k.tokens, k.whole = f.tokens, f.whole
		if f.parts > 1 {
			k.cached = 0
			k.uncached = (x.req.PromptTokens + f.parts - 1) / f.parts
			k.class = c.policy.classOf(x.req.PromptTokens)
		}
		fromEnd := len(engines) - i
		k.shared = fromEnd <= c.spread(ClassMedium, len(engines))
		if fromEnd <= max(f.parts, c.spread(k.class, len(engines))) {
			out = append(out, k)
		}
	}
	return out
}

// spread returns how many of n engines prefill a class. The last engines of the pool are taken, so that the sets of the
// longer classes are parts of those of the shorter ones.
func (c *Core) spread(class Class, n int) int {
	if !c.policy.PrefillSpread || class == ClassShort {
		return n
	}
	return max(1, int(c.policy.Classes[class].Share*float64(n)))
}

// holdable reports whether the pool's configured engines could hold the request if all of them were free.
func (c *Core) holdable(x *entry) bool {
	total, largest := 0, 0
	for _, e := range c.engines {
		if !e.removed {
			total += e.total()
			largest = max(largest, e.total())
		}
	}
	if !c.policy.Groups {
		return x.need <= largest
	}
	return x.need <= total
}

// reservation keeps memory on engines for the first request that does not fit. There is at most one in a pool, and it
// holds nothing that others hold back for, so requests cannot wait for each other.
type reservation struct {
	head  *entry
	class Class
	parts []candidate
}

// partOn returns the memory kept on an engine, in tokens.
func (r *reservation) partOn(e *engineState) (int, bool) {
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
func (c *Core) reserve(now core.Micros, x *entry) bool {
	if !c.policy.HeadReservation || c.reserved.head == x {
		return false
	}
	replaced := c.reserved.head != nil
	engines := c.serving(now, x)
	f := c.fitOf(x, engines)
	engines = c.shape(x, engines, f)
	parts := c.soonestFree(engines, f.parts)
	class := ClassShort
	for i := range parts {
		class = max(class, parts[i].class)
	}
	c.reserved = reservation{head: x, class: class, parts: parts}
	return replaced
}

// soonestFree returns the n engines that lack the least memory for their part.
func (c *Core) soonestFree(engines []candidate, n int) []candidate {
	lack := func(k *candidate) int {
		return max(0, k.engine.held(&c.policy)+k.tokens-k.engine.total())
	}
	out := slices.Clone(engines)
	slices.SortStableFunc(out, func(a, b candidate) int { return cmp.Compare(lack(&a), lack(&b)) })
	return out[:n]
}

// checkReserved gives the reservation up when an engine of it no longer serves the head; the next pass chooses others.
func (c *Core) checkReserved(now core.Micros) {
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
