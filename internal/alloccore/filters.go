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
	// whole lets the part exceed the memory share of its class, for prompts too large for the shares of the whole pool.
	whole bool
	// shared is true if the engine takes prefills of classes longer than the shortest.
	shared bool
}

// filter is one reason not to use an engine.
type filter struct {
	name string
	pass func(c *Core, now core.Micros, x *entry, k *candidate) bool
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
	{"notCooling", notCooling},
	{"memoryFits", memoryFits},
	{"prefillShare", prefillShare},
}

// rejectedBy returns the name of the first filter that the candidate does not pass, or "".
func (c *Core) rejectedBy(filters []filter, now core.Micros, x *entry, k *candidate) string {
	for i := range filters {
		if !filters[i].pass(c, now, x, k) {
			return filters[i].name
		}
	}
	return ""
}

func inPool(_ *Core, _ core.Micros, _ *entry, k *candidate) bool { return !k.engine.removed }

// reporting excludes engines that do not answer polls.
func reporting(_ *Core, now core.Micros, _ *entry, k *candidate) bool {
	return !k.engine.silent(now) && k.engine.failures <= failuresAllowed
}

func ready(_ *Core, _ core.Micros, _ *entry, k *candidate) bool {
	return k.engine.report.Load.State == engine.StateReady
}

func notDrained(_ *Core, _ core.Micros, _ *entry, k *candidate) bool { return !k.engine.cfg.Drained }

// runsRequests excludes engines that only prefill or only decode, which cannot answer a request alone.
func runsRequests(_ *Core, _ core.Micros, _ *entry, k *candidate) bool {
	role := k.engine.report.Load.Role
	return role == engine.RoleMixed || role == ""
}

func servesModel(_ *Core, _ core.Micros, x *entry, k *candidate) bool {
	return k.engine.serves[x.serveKey]
}

func notExcluded(_ *Core, _ core.Micros, x *entry, k *candidate) bool {
	return !slices.Contains(x.req.Excluded, k.engine.cfg.Name)
}

func notInTrial(_ *Core, _ core.Micros, _ *entry, k *candidate) bool { return k.engine.trial == nil }

func suspectsApart(_ *Core, _ core.Micros, x *entry, k *candidate) bool {
	return x.mode == modeNormal || k.engine.suspects == 0
}

func notCooling(c *Core, now core.Micros, _ *entry, k *candidate) bool {
	if !c.policy.CoolDown || now >= k.engine.coolUntil {
		return true
	}
	c.retryBy(k.engine.coolUntil)
	return false
}

// memoryFits counts the memory kept for the reserved head as if it were in use. Only work of a shorter class than the
// head's may use what the head leaves of an engine.
func memoryFits(c *Core, _ core.Micros, x *entry, k *candidate) bool {
	var keep [classes]int
	if part, ok := c.reserved.partOn(k.engine); ok && c.reserved.head != x {
		if k.class >= c.reserved.class {
			return false
		}
		keep[c.reserved.class] = part
	}
	return k.engine.fits(&c.policy, k.class, k.tokens, &keep, k.whole)
}

// prefillShare holds work back while the engine has enough work of the class.
func prefillShare(c *Core, now core.Micros, _ *entry, k *candidate) bool {
	if !c.policy.PrefillShares {
		return true
	}
	left := k.engine.debtTime(&c.policy, now, k.class)
	if left <= c.policy.PrefillHorizon {
		return true
	}
	c.retryBy(now + left - c.policy.PrefillHorizon)
	return false
}
