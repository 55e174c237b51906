package simulate

import (
	"math"
	"math/rand/v2"

	"github.com/carobstile/carobstile/internal/core"
)

// maxRateFactor bounds the factors of bursts; arrivals are drawn at this rate and thinned.
const maxRateFactor = 4

// arrivals is a stream of requests of one kind.
type arrivals struct {
	kind      *Kind
	rng       *rand.Rand
	perSecond float64
	from, to  core.Micros
	owner     func() int
}

func (s *simulation) scheduleArrival(a arrivals) {
	gap := a.rng.ExpFloat64() / (a.perSecond * maxRateFactor)
	when := max(s.now, a.from) + core.Micros(gap*float64(core.Second))
	if when >= min(a.to, s.Length) {
		return
	}
	s.at(when, func() {
		if a.rng.Float64() < s.rate(a.kind)/(a.kind.PerSecond*maxRateFactor) {
			s.arrive(s.newRequest(a))
		}
		s.scheduleArrival(a)
	})
}

// demandShare returns the part of the requests that a workspace usually sends.
func (s *Scenario) demandShare(index int) float64 {
	total := 0.0
	for _, w := range s.Workspaces {
		total += w.Demand
	}
	return s.Workspaces[index].Demand / total
}

// drawWorkspace draws the owner of a request; -1 if there are no workspaces.
func (s *simulation) drawWorkspace() int {
	point := s.owners.Float64()
	for i := range s.Workspaces {
		if point -= s.demandShare(i); point < 0 {
			return i
		}
	}
	return len(s.Workspaces) - 1
}

// workspaceHash identifies a workspace to the daemons; 0 stands for requests without one.
func (s *Scenario) workspaceHash(index int) uint64 {
	if s.HideWorkspaces {
		return 0
	}
	return uint64(index + 1)
}

// logNormal draws a positive number with the given mean and relative standard deviation.
func logNormal(rng *rand.Rand, mean, spread float64) float64 {
	variance := math.Log(1 + spread*spread)
	return mean * math.Exp(rng.NormFloat64()*math.Sqrt(variance)-variance/2)
}
