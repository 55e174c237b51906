package alloccore

import "github.com/carobstile/carobstile/internal/core"

// EngineView is the allocator's state of one engine.
type EngineView struct {
	Name string
	// Report is the most recent report, nil before the first one.
	Report *EngineReported
	// Committed is the KV memory reserved by grants, Total the engine's whole KV memory, both in tokens.
	Committed, Total int
}

// View is a summary of the pool for operators.
type View struct {
	Ready, Grants, Queued int
	Engines               []EngineView
}

// View returns the current summary of the pool.
func (c *Core) View(now core.Micros) View {
	v := View{Grants: len(c.grants), Queued: c.queue.len()}
	for _, e := range c.engines {
		cand := candidate{engine: e}
		if inPool(c, now, nil, &cand) && reporting(c, now, nil, &cand) &&
			ready(c, now, nil, &cand) && notDrained(c, now, nil, &cand) {
			v.Ready++
		}
		v.Engines = append(v.Engines, EngineView{e.cfg.Name, e.report, e.committed, e.total()})
	}
	return v
}
