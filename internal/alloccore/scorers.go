package alloccore

import "github.com/carobstile/carobstile/internal/core"

const (
	// adapterBonus is the score advantage of an engine that currently runs the adapter, because engines batch requests of
	// one adapter.
	adapterBonus = 5 * core.Millisecond
	// suspectPenalty is the score penalty of a suspect for each request running on the engine, which a crash would end.
	suspectPenalty = 100 * core.Millisecond
	// fullMemoryPenalty is the score penalty of an engine with full memory, in proportion for less. It spreads requests
	// over engines that are otherwise equal.
	fullMemoryPenalty = 10 * core.Millisecond
)

// scorer rates an engine by its estimated effect on the time to the first token. The lowest sum is best.
type scorer struct {
	name  string
	on    func(p *Policy) bool
	score func(c *Core, now core.Micros, ent *entry, cand *candidate) core.Micros
}

var scorers = []scorer{
	{"prefillWork", always, prefillTime},
	{"engineQueue", func(p *Policy) bool { return p.EngineQueue }, engineQueue},
	{"interference", func(p *Policy) bool { return p.Interference }, interference},
	{"prefixAffinity", func(p *Policy) bool { return p.PrefixAffinity }, prefixAffinity},
	{"adapterLocality", func(p *Policy) bool { return p.AdapterLocality }, adapterLocality},
	{"memoryUse", always, memoryUse},
	{"suspectDamage", func(p *Policy) bool { return p.SuspectsApart }, suspectDamage},
}

func always(*Policy) bool { return true }

// scoreOf returns the sum of all enabled scorers.
func (c *Core) scoreOf(now core.Micros, ent *entry, cand *candidate) core.Micros {
	var out core.Micros
	for i := range scorers {
		if scorers[i].on(&c.policy) {
			out += scorers[i].score(c, now, ent, cand)
		}
	}
	return out
}

// prefillTime is the time to prefill the whole prompt; prefixAffinity subtracts the cached part.
func prefillTime(_ *Core, _ core.Micros, _ *entry, cand *candidate) core.Micros {
	return processingTime(float64(cand.cached+cand.uncached), cand.engine.rate())
}

// engineQueue is the time that the engine spends on other requests before this prefill ends.
func engineQueue(c *Core, now core.Micros, _ *entry, cand *candidate) core.Micros {
	if !c.policy.SharedPrefill {
		return cand.engine.backlogTime(&c.policy, now)
	}
	cand.engine.advance(&c.policy, now)
	return processingTime(cand.engine.work.workAhead(float64(cand.uncached)), cand.engine.rate())
}

func prefixAffinity(c *Core, _ core.Micros, _ *entry, cand *candidate) core.Micros {
	return -processingTime(float64(min(cand.cached, c.policy.AffinityCap)), cand.engine.rate())
}

func adapterLocality(_ *Core, _ core.Micros, ent *entry, cand *candidate) core.Micros {
	if ent.req.Adapter == "" || cand.engine.adapters[ent.req.Adapter] == 0 {
		return 0
	}
	return -adapterBonus
}

func memoryUse(c *Core, _ core.Micros, _ *entry, cand *candidate) core.Micros {
	total := max(cand.engine.total(), 1)
	return core.Micros(float64(fullMemoryPenalty) * float64(cand.engine.usedTokens(&c.policy)) / float64(total))
}

func suspectDamage(_ *Core, _ core.Micros, ent *entry, cand *candidate) core.Micros {
	if ent.mode == modeNormal {
		return 0
	}
	return core.Micros(len(cand.engine.allocations)) * suspectPenalty
}
