package alloccore

import "github.com/carobstile/carobstile/internal/core"

const (
	// adapterBonus is the advantage of an engine that runs the adapter now; it batches the requests of one adapter.
	adapterBonus = 5 * core.Millisecond
	// suspectPenalty is the disadvantage of each running request to a suspect, whose crash would end them.
	suspectPenalty = 100 * core.Millisecond
	// fullMemoryPenalty is the disadvantage of an engine with full memory; it spreads requests that are equal otherwise.
	fullMemoryPenalty = 10 * core.Millisecond
)

// scorer rates an engine as the span by which it delays or speeds up the first token; the lowest sum is best.
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

// scoreOf adds up the scorers that are on.
func (c *Core) scoreOf(now core.Micros, ent *entry, cand *candidate) core.Micros {
	var out core.Micros
	for i := range scorers {
		if scorers[i].on(&c.policy) {
			out += scorers[i].score(c, now, ent, cand)
		}
	}
	return out
}

// prefillTime is the span to prefill the whole prompt; prefixAffinity takes the cached part off.
func prefillTime(_ *Core, _ core.Micros, _ *entry, cand *candidate) core.Micros {
	return processingTime(float64(cand.cached+cand.uncached), cand.engine.rate())
}

// engineQueue is the span that the work of others takes before the prefill ends.
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
