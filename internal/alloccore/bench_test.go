package alloccore

import (
	"fmt"
	"testing"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// newSaturatedCore returns a core with full engines and the given number of queued requests, the grant ids in order,
// and the last call number.
func newSaturatedCore(b *testing.B, engines, queued int) (c *Core, ids []string, call uint64) {
	policy := DefaultPolicy()
	policy.EarlyRefusal, policy.PrefillShares = false, false
	c = New(Options{Instance: "g", Policy: policy})
	configs := make([]EngineConfig, 0, engines)
	for i := range engines {
		configs = append(configs, EngineConfig{Name: fmt.Sprint("e", i), KVTokens: 400_000, PrefillRate: 20_000, DecodeRate: 50})
	}
	c.Step(PoolConfigured{Now: 1, Engines: configs, QueueLimit: 1_000, CrashLimit: 3})
	reportEngines(c, 1)
	for len(c.queue.byCall) < queued {
		call++
		for _, e := range c.Step(benchRequest(1, call)) {
			if g, ok := e.(Granted); ok {
				ids = append(ids, g.GrantID)
			}
		}
	}
	return c, ids, call
}

func reportEngines(c *Core, now core.Micros) {
	for _, e := range c.engines {
		c.Step(EngineReported{Now: now, PolledAt: now, Engine: e.cfg.Name, Load: engine.Load{
			Incarnation: "i", State: engine.StateReady, Models: []engine.LoadedModel{{Name: "m"}},
		}})
	}
}

func benchRequest(now core.Micros, call uint64) GrantRequested {
	prompt := 3_000
	if call%10 == 0 {
		prompt = 20_000
	}
	return GrantRequested{Now: now, Call: call, Request: Request{
		Workspace: fmt.Sprint("w", call%50), Priority: int(call % 10), Model: "m", PromptTokens: prompt, MaxOutputTokens: 1_000,
		MaxWait: core.Hour, PrefixHashes: []uint64{call % 50, call, call + 1}, PrefixBlock: 256,
	}}
}

// BenchmarkStep measures the release of a grant, which grants the next request, plus one new request, on full engines.
// Simulated time advances at the engines' prefill rate, and the engines report once a second.
func BenchmarkStep(b *testing.B) {
	for _, engines := range []int{2, 6, 12} {
		for _, queued := range []int{10, 100, 500} {
			b.Run(fmt.Sprintf("engines=%d/queued=%d", engines, queued), func(b *testing.B) {
				c, ids, call := newSaturatedCore(b, engines, queued)
				b.ReportAllocs()
				now, reported := core.Micros(1), core.Micros(0)
				for b.Loop() {
					now += 300 * core.Millisecond / core.Micros(engines)
					if now-reported >= core.Second {
						reported = now
						reportEngines(c, now)
					}
					effects := c.Step(GrantReleased{Now: now, GrantID: ids[0], Outcome: OutcomeComplete})
					ids = ids[1:]
					call++
					effects = append(effects, c.Step(benchRequest(now, call))...)
					for _, e := range effects {
						if g, ok := e.(Granted); ok {
							ids = append(ids, g.GrantID)
						}
					}
				}
				b.ReportMetric(float64(c.queue.len()), "queued")
			})
		}
	}
}
