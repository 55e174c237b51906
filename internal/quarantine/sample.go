package quarantine

import (
	"math"

	"github.com/carobstile/carobstile/internal/core"
)

// answered is a request whose answer reached the stage.
type answered struct {
	at     core.Micros
	traits []Trait
	// weight is how likely the request was to be among the suspects of a crash, compared with others.
	weight float64
}

// remember adds a request to the sample of the traffic.
func (c *Core) remember(a answered) {
	c.recent = append(c.recent, a)
	c.recentTraits += len(a.traits)
	for len(c.recent) > recentRequests || c.recentTraits > maxRecentTraits && len(c.recent) > 1 {
		c.recentTraits -= len(c.recent[0].traits)
		c.recent[0] = answered{} // append keeps the memory until it moves the rest
		c.recent = c.recent[1:]
	}
}

// weight returns the weight of an answered request in the sample. Of the answers that a server is writing when it crashes, long
// ones are more than their share of the requests.
func (c *Core) weight(took core.Micros) float64 {
	if c.stage == WithinAnswer {
		return float64(max(1, took))
	}
	return 1
}

// shares are upper estimates of the shares of the requests at a server that have some traits.
type shares struct {
	// with and squares hold the sums of the weights of the sampled requests that have a trait, and of their squares.
	with, squares map[Trait]float64
	total         float64
	// unseen is the share of a trait that no request of the sample has.
	unseen float64
}

// sharesOf returns the shares of some traits, from a sample of recent requests that were answered.
func (c *Core) sharesOf(traits traitSet) shares {
	s := shares{with: map[Trait]float64{}, squares: map[Trait]float64{}, unseen: min(rareShare, 2/float64(max(1, len(c.recent))))}
	for i := range c.recent {
		w := c.recent[i].weight
		s.total += w
		for _, t := range c.recent[i].traits {
			if traits[t] {
				s.with[t] += w
				s.squares[t] += w * w
			}
		}
	}
	return s
}

// of returns the share of a trait and whether a request of the sample has it.
func (s shares) of(t Trait) (share float64, seen bool) {
	with, seen := s.with[t]
	if !seen {
		return s.unseen, false
	}
	return (with + 2*math.Sqrt(s.squares[t])) / s.total, true
}
