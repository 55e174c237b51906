package alloccore

import (
	"slices"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// candidate is one engine considered for one part of a request.
type candidate struct {
	engine *engineState
	// cached and uncached are prompt tokens.
	cached, uncached int
	class            Class
	// tokens is the memory that the part needs.
	tokens int
	// ignoreShare lets the part exceed the memory share of its class, for prompts too large for the shares of the ignoreShare pool.
	ignoreShare bool
	// takesLongPrefills is true if the engine takes prefills of classes longer than the shortest.
	takesLongPrefills bool
}

// filter is one reason not to use an engine.
type filter struct {
	name string
	pass func(c *Core, now core.Micros, ent *entry, cand *candidate) bool
}

// servingFilters tell whether an engine could serve the request at all, whatever its load.
var servingFilters = []filter{
	{"inPool", inPool},
	{"reporting", reporting},
	{"ready", ready},
	{"notDrained", notDrained},
	{"runsRequests", runsRequests},
	{"servesModel", servesModel},
	{"notExcluded", notExcluded},
}

// loadFilters tell whether an engine can take the request now.
var loadFilters = []filter{
	{"notInTrial", notInTrial},
	{"suspectsApart", suspectsApart},
	{"notCooling", notInCooldown},
	{"memoryFits", memoryFits},
	{"prefillShare", prefillShare},
}

// rejectedBy returns the name of the first filter that the candidate does not pass, or "".
func (c *Core) rejectedBy(filters []filter, now core.Micros, ent *entry, cand *candidate) string {
	for i := range filters {
		if !filters[i].pass(c, now, ent, cand) {
			return filters[i].name
		}
	}
	return ""
}

func inPool(_ *Core, _ core.Micros, _ *entry, cand *candidate) bool { return !cand.engine.removed }

// reporting excludes engines that do not answer polls.
func reporting(_ *Core, now core.Micros, _ *entry, cand *candidate) bool {
	return !cand.engine.presumedDead(now) && cand.engine.pollFailures <= maxPollFailures
}

func ready(_ *Core, _ core.Micros, _ *entry, cand *candidate) bool {
	return cand.engine.report.Load.State == engine.StateReady
}

func notDrained(_ *Core, _ core.Micros, _ *entry, cand *candidate) bool {
	return !cand.engine.cfg.Drained
}

// runsRequests excludes engines that only prefill or only decode, which cannot answer a request alone.
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

// memoryFits counts the memory kept for the reserved head as if it were in use. Only work of a shorter class than the
// head's may use what the head leaves of an engine.
func memoryFits(c *Core, _ core.Micros, ent *entry, cand *candidate) bool {
	var keep [classes]int
	if part, ok := c.reserved.reservedOn(cand.engine); ok && c.reserved.head != ent {
		if cand.class >= c.reserved.class {
			return false
		}
		keep[c.reserved.class] = part
	}
	return cand.engine.fits(&c.policy, cand.class, cand.tokens, &keep, cand.ignoreShare)
}

// prefillShare holds work back while the engine has enough work of the class.
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
