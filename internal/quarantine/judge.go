package quarantine

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/core"
)

// judge looks for the trait of a new suspect that explains why servers break, and puts a verdict in force. Of several traits,
// that whose suspects have most in common is taken: its verdict refuses the fewest requests, and the next crash narrows it.
func (c *Core) judge(now core.Micros, suspect []Trait) {
	groups := c.recurring(suspect)
	if len(groups) == 0 {
		return
	}
	best, bestChance := evidence{}, 1.0
	sample := c.sharesOf(newTraitSet(slices.Concat(groups...)))
	for _, group := range groups {
		e := c.evidenceAgainst(group[0], suspect)
		for _, t := range group {
			common, chance := c.weigh(t, &e, sample)
			if common == nil {
				continue
			}
			if len(common) > len(best.common) || len(common) == len(best.common) && chance < bestChance {
				best, bestChance = e, chance
				best.common = common
			}
		}
	}
	if best.common == nil {
		return
	}
	v := Verdict{Stage: c.stage, Traits: c.rarest(best.common)}
	c.convict(now, v.Traits)
	c.emit(VerdictReached{Verdict: v, Crashes: best.crashes, Suspects: best.suspects})
	c.contradict(now, v.Traits)
}

// weigh returns the traits of the verdict that the evidence against a trait supports, or nil, and the probability that the traffic
// alone explains its crashes.
func (c *Core) weigh(t Trait, e *evidence, sample shares) (common []Trait, chance float64) {
	share, seen := sample.of(t)
	chance = poissonTail(e.crashes, share*float64(e.suspects))
	if v := c.verdictOf(t); v != nil && !seen && e.crashes >= c.narrowCrashes() && chance < maxNarrowChance {
		// The crashes under the verdict count for its traits already.
		set := newTraitSet(v.traits)
		return slices.DeleteFunc(slices.Clone(e.common), func(o Trait) bool { return !set[o] }), chance
	}
	if e.crashes < minCrashes || chance >= maxChance {
		return nil, chance
	}
	if !e.companionsKnown {
		e.companions, e.withCompanions = c.companionsOf(t, e.common)
		e.companionsKnown = true
	}
	if e.crashes-e.withCompanions < minOtherCrashes {
		return slices.Concat(e.common, e.companions), chance
	}
	return e.common, chance
}

// rarest returns a sorted set of traits. Of more than maxVerdictTraits, those with the smallest shares are kept, first the ones
// in front: a verdict on part of the traits of a session refuses little else.
func (c *Core) rarest(traits []Trait) []Trait {
	out := slices.Clone(traits)
	if len(out) > maxVerdictTraits {
		sample := c.sharesOf(newTraitSet(out))
		slices.SortStableFunc(out, func(a, b Trait) int {
			shareA, _ := sample.of(a)
			shareB, _ := sample.of(b)
			return cmp.Compare(shareA, shareB)
		})
		out = out[:maxVerdictTraits]
	}
	slices.Sort(out)
	return out
}

// recurring returns those traits of a new suspect that may be blamed, as they were at several crashes or a verdict names them.
// Traits that were at the same suspects are in one group, so that the parts of a long prompt are judged together.
func (c *Core) recurring(suspect []Trait) [][]Trait {
	patterns := map[Trait]uint64{} // hash of the suspects that have the trait
	for _, t := range suspect {
		if c.suspected[t] >= minCrashes || c.verdictOf(t) != nil {
			patterns[t] = 0
		}
	}
	if len(patterns) == 0 {
		return nil
	}
	var input [16]byte
	number := uint64(0)
	for _, r := range c.crashes {
		for _, traits := range r.suspects {
			number++
			for _, t := range traits {
				if p, ok := patterns[t]; ok {
					binary.BigEndian.PutUint64(input[:8], p)
					binary.BigEndian.PutUint64(input[8:], number)
					patterns[t] = xxhash.Sum64(input[:])
				}
			}
		}
	}
	var out [][]Trait
	index := map[uint64]int{}
	for _, t := range suspect {
		p, ok := patterns[t]
		if !ok {
			continue
		}
		if _, known := index[p]; !known {
			index[p] = len(out)
			out = append(out, nil)
		}
		out[index[p]] = append(out[index[p]], t)
	}
	return out
}

// narrowCrashes returns the number of crashes that narrow a verdict. A small sample does not tell which traits are popular.
func (c *Core) narrowCrashes() int {
	if len(c.recent) < smallSample {
		return 2
	}
	return 1
}

// verdictOf returns the newest verdict with a trait, or nil.
func (c *Core) verdictOf(t Trait) *verdict {
	for _, v := range slices.Backward(c.verdicts) {
		if _, found := slices.BinarySearch(v.traits, t); found {
			return v
		}
	}
	return nil
}

// evidence is what the crashes say about traits that were at the same suspects.
type evidence struct {
	// crashes counts the crashes with a suspect that has the traits, suspects all suspects since the first of them.
	crashes, suspects int
	// common holds the traits of all suspects that have the traits.
	common []Trait
	// companions is the result of companionsOf, once companionsKnown is set.
	companions      []Trait
	withCompanions  int
	companionsKnown bool
}

// evidenceAgainst returns the evidence against a trait of a new suspect.
func (c *Core) evidenceAgainst(t Trait, suspect []Trait) evidence {
	e := evidence{common: suspect}
	for _, r := range c.crashes {
		found := false
		for _, traits := range r.suspects {
			if _, has := slices.BinarySearch(traits, t); has {
				found = true
				e.common = intersect(e.common, traits)
			}
		}
		if found {
			e.crashes++
		}
		if e.crashes > 0 {
			e.suspects += len(r.suspects)
		}
	}
	return e
}

// intersect returns those traits of a list that a sorted one has.
func intersect(list, sorted []Trait) []Trait {
	var out []Trait
	for _, t := range list {
		if _, found := slices.BinarySearch(sorted, t); found {
			out = append(out, t)
		}
	}
	return out
}

// companionsOf returns the traits that are not in common and were at the most crashes together with a trait, in order, and the
// number of these crashes. If only few other crashes remain, one of them may be to blame.
func (c *Core) companionsOf(t Trait, common []Trait) (companions []Trait, most int) {
	excluded := newTraitSet(common)
	counts := map[Trait]int{}
	for _, r := range c.crashes {
		counted := traitSet{}
		for _, traits := range r.suspects {
			if _, has := slices.BinarySearch(traits, t); !has {
				continue
			}
			for _, o := range traits {
				if !excluded[o] && !counted[o] {
					counted[o] = true
					counts[o]++
				}
			}
		}
	}
	for o, n := range counts {
		if n > most {
			companions, most = nil, n
		}
		if n == most {
			companions = append(companions, o)
		}
	}
	slices.Sort(companions)
	return companions, most
}

// poissonTail returns the probability that a Poisson variable with the given mean is n or more.
func poissonTail(n int, mean float64) float64 {
	below, term := 0.0, math.Exp(-mean)
	for i := range n {
		below += term
		term *= mean / float64(i+1)
	}
	return 1 - below
}
