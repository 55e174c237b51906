package alloccore

import "github.com/carobstile/carobstile/internal/core"

const (
	// adapterBonus is the advantage of an engine that runs the adapter now; it batches the requests of one adapter.
	adapterBonus = 5 * core.Millisecond
	// suspectPenalty is the disadvantage of each running request to a suspect, whose crash would end them.
	suspectPenalty = 100 * core.Millisecond
	// fullPenalty is the disadvantage of an engine with full memory; it spreads requests that are equal otherwise.
	fullPenalty = 10 * core.Millisecond
)

// scorer rates an engine as the span by which it delays or speeds up the first token; the lowest sum is best.
type scorer struct {
	name  string
	on    func(p *Policy) bool
	score func(c *Core, now core.Micros, x *entry, k *candidate) core.Micros
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
func (c *Core) scoreOf(now core.Micros, x *entry, k *candidate) core.Micros {
	var out core.Micros
	for i := range scorers {
		if scorers[i].on(&c.policy) {
			out += scorers[i].score(c, now, x, k)
		}
	}
	return out
}

// prefillTime is the span to prefill the whole prompt; prefixAffinity takes the cached part off.
func prefillTime(_ *Core, _ core.Micros, _ *entry, k *candidate) core.Micros {
	return spanOf(float64(k.cached+k.uncached), k.engine.rate())
}

// engineQueue is the span that the work of others takes before the prefill ends.
func engineQueue(c *Core, now core.Micros, _ *entry, k *candidate) core.Micros {
	if !c.policy.SharedPrefill {
		return k.engine.backlogTime(&c.policy, now)
	}
	k.engine.advance(&c.policy, now)
	return spanOf(k.engine.work.ahead(float64(k.uncached)), k.engine.rate())
}

func prefixAffinity(c *Core, _ core.Micros, _ *entry, k *candidate) core.Micros {
	return -spanOf(float64(min(k.cached, c.policy.AffinityCap)), k.engine.rate())
}

func adapterLocality(_ *Core, _ core.Micros, x *entry, k *candidate) core.Micros {
	if x.req.Adapter == "" || k.engine.adapters[x.req.Adapter] == 0 {
		return 0
	}
	return -adapterBonus
}

func memoryUse(c *Core, _ core.Micros, _ *entry, k *candidate) core.Micros {
	total := max(k.engine.total(), 1)
	return core.Micros(float64(fullPenalty) * float64(k.engine.held(&c.policy)) / float64(total))
}

func suspectDamage(_ *Core, _ core.Micros, x *entry, k *candidate) core.Micros {
	if x.mode == modeNormal {
		return 0
	}
	return core.Micros(len(k.engine.holdings)) * suspectPenalty
}
