package alloccore

import (
	"slices"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// candidate is an engine considered for one part of a request.
type candidate struct {
	engine *engineState
	// cached and uncached are the prompt tokens that are and are not in the engine's cache.
	cached, uncached int
	class            Class
	// tokens is the KV memory that the part needs.
	tokens int
	// ignoreShare allows the part to exceed the memory share of its class, for prompts that exceed the shares of the whole
	// pool.
	ignoreShare bool
	// takesLongPrefills is true if the engine also prefills medium and long requests.
	takesLongPrefills bool
}

// filter is a named condition that an engine must meet.
type filter struct {
	name string
	pass func(c *Core, now core.Micros, ent *entry, cand *candidate) bool
}

// servingFilters decide whether an engine can serve a request at all, regardless of its load.
var servingFilters = []filter{
	{"inPool", inPool},
	{"reporting", reporting},
	{"ready", ready},
	{"notDrained", notDrained},
	{"runsRequests", runsRequests},
	{"servesModel", servesModel},
	{"notExcluded", notExcluded},
}

// loadFilters decide whether an engine can take a request now.
var loadFilters = []filter{
	{"notInTrial", notInTrial},
	{"suspectsApart", suspectsApart},
	{"notCooling", notInCooldown},
	{"memoryFits", memoryFits},
	{"prefillShare", prefillShare},
}

// rejectedBy returns the name of the first filter that rejects the candidate, or "".
func (c *Core) rejectedBy(filters []filter, now core.Micros, ent *entry, cand *candidate) string {
	for i := range filters {
		if !filters[i].pass(c, now, ent, cand) {
			return filters[i].name
		}
	}
	return ""
}

func inPool(_ *Core, _ core.Micros, _ *entry, cand *candidate) bool { return !cand.engine.removed }

// reporting excludes engines that are presumed dead or fail consecutive polls.
func reporting(_ *Core, now core.Micros, _ *entry, cand *candidate) bool {
	return !cand.engine.presumedDead(now) && cand.engine.pollFailures <= maxPollFailures
}

func ready(_ *Core, _ core.Micros, _ *entry, cand *candidate) bool {
	return cand.engine.report.Load.State == engine.StateReady
}

func notDrained(_ *Core, _ core.Micros, _ *entry, cand *candidate) bool {
	return !cand.engine.cfg.Drained
}

// runsRequests excludes engines that only prefill or only decode, because they cannot serve a request alone.
func runsRequests(_ *Core, _ core.Micros, _ *entry, cand *candidate) bool {
	role := cand.engine.report.Load.Role
	return role == engine.RoleMixed || role == ""
}

func servesModel(_ *Core, _ core.Micros, ent *entry, cand *candidate) bool {
	return cand.engine.servedModels[ent.modelKey]
}

func notExcluded(_ *Core, _ core.Micros, ent *entry, cand *candidate) bool {
	return !slices.Contains(ent.req.Excluded, cand.engine.cfg.Name)
}

func notInTrial(_ *Core, _ core.Micros, _ *entry, cand *candidate) bool {
	return cand.engine.trial == nil
}

func suspectsApart(_ *Core, _ core.Micros, ent *entry, cand *candidate) bool {
	return ent.mode == modeNormal || cand.engine.suspects == 0
}

func notInCooldown(c *Core, now core.Micros, _ *entry, cand *candidate) bool {
	if !c.policy.CoolDown || now >= cand.engine.cooldownUntil {
		return true
	}
	c.requestRetry(cand.engine.cooldownUntil)
	return false
}

// memoryFits counts the memory reserved for the reserved head as used. Only requests of a shorter class than the head's
// may use the remaining memory of an engine of the reservation.
func memoryFits(c *Core, _ core.Micros, ent *entry, cand *candidate) bool {
	var reserved [classes]int
	if part, ok := c.reserved.reservedOn(cand.engine); ok && c.reserved.head != ent {
		if cand.class >= c.reserved.class {
			return false
		}
		reserved[c.reserved.class] = part
	}
	return cand.engine.fits(&c.policy, cand.class, cand.tokens, &reserved, cand.ignoreShare)
}

// prefillShare rejects an engine that has more than PrefillHorizon of the class's prefill work left.
func prefillShare(c *Core, now core.Micros, _ *entry, cand *candidate) bool {
	if !c.policy.PrefillShares {
		return true
	}
	remaining := cand.engine.debtTime(&c.policy, now, cand.class)
	if remaining <= c.policy.PrefillHorizon {
		return true
	}
	c.requestRetry(now + remaining - c.policy.PrefillHorizon)
	return false
}
