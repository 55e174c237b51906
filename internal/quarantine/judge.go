package quarantine

import (
	"math"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// judge looks for a trait of a new suspect that explains why servers break, and puts a verdict in force.
func (c *Core) judge(now core.Micros, suspect []Trait) {
	var best evidence
	for _, t := range suspect {
		if c.suspected[t] == 0 {
			continue
		}
		e := c.evidenceAgainst(t)
		if !e.convinces(c.share(t)) {
			continue
		}
		if best.common == nil || len(e.common) < len(best.common) || len(e.common) == len(best.common) && e.crashes > best.crashes {
			best = e
		}
	}
	if best.common == nil {
		return
	}
	slices.Sort(best.common)
	v := Verdict{Traits: best.common}
	c.convict(now, v.Traits)
	c.emit(VerdictReached{Verdict: v, Crashes: best.crashes, Suspects: best.suspects})
}

// evidence is what the crashes say about one trait.
type evidence struct {
	// crashes counts the crashes with a suspect that has the trait, suspects all suspects since the first of them.
	crashes, suspects int
	// common holds the traits of all suspects that have the trait.
	common []Trait
}

func (c *Core) evidenceAgainst(t Trait) evidence {
	var e evidence
	for _, r := range c.crashes {
		found := false
		for _, traits := range r.suspects {
			if !slices.Contains(traits, t) {
				continue
			}
			found = true
			if e.common == nil {
				e.common = slices.Clone(traits)
			}
			e.common = slices.DeleteFunc(e.common, func(o Trait) bool { return !slices.Contains(traits, o) })
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

// convinces reports whether the traffic alone is unlikely to explain the evidence; share is the share of the trait in it.
func (e evidence) convinces(share float64) bool {
	return e.crashes >= minCrashes && poissonTail(e.crashes, share*float64(e.suspects)) < maxChance
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
