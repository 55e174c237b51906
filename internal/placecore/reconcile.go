package placecore

import (
	"slices"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// Demand thresholds, in percent of used KV memory over the replicas of a model. The gap between them keeps a model from
// being loaded and unloaded in turn.
const (
	growAbovePercent   = 75
	shrinkBelowPercent = 30
)

// reconcile compares intent and reports and emits the orders of this round.
func (c *Core) reconcile(now core.Micros) []Effect {
	usable := c.usable(now)
	if len(usable) == 0 {
		return nil
	}
	var out []Effect
	for _, m := range c.intent.Models {
		out = append(out, c.placeModel(now, m, usable)...)
	}
	for _, e := range usable {
		out = append(out, c.unloadSurplus(now, e, usable)...)
	}
	return out
}

// placeModel orders missing replicas and adapters of a model.
func (c *Core) placeModel(now core.Micros, m Model, usable []Engine) []Effect {
	allowed := c.allowed(m, usable)
	ready, loading := c.replicas(now, m, allowed)
	var out []Effect
	missing := c.target(m, ready, len(allowed)) - len(ready) - loading
	for _, e := range allowed {
		if missing <= 0 {
			break
		}
		if slices.Contains(ready, e.Name) || !c.hasRoom(e) || e.Drained {
			continue
		}
		if effect, ok := c.order(now, e, engine.Order{Op: engine.OrderLoad, Model: m.Name, Version: m.Version}); ok {
			out = append(out, effect)
			missing--
		}
	}
	return append(out, c.placeAdapters(now, m, allowed)...)
}

func (c *Core) placeAdapters(now core.Micros, m Model, allowed []Engine) []Effect {
	var out []Effect
	for _, e := range allowed {
		loaded, ok := c.loadedModel(e.Name, m)
		if !ok {
			continue
		}
		for _, adapter := range m.Adapters {
			if slices.Contains(loaded.Adapters, adapter) {
				continue
			}
			order := engine.Order{Op: engine.OrderLoad, Model: m.Name, Version: m.Version, Adapter: adapter}
			if effect, ok := c.order(now, e, order); ok {
				out = append(out, effect)
			}
			break
		}
	}
	return out
}

// unloadSurplus orders an engine to unload one model copy that is not intended: another version, a model no longer
// configured, or a replica over the target. The last ready copy of a model is kept until the intended version serves.
func (c *Core) unloadSurplus(now core.Micros, e Engine, usable []Engine) []Effect {
	for _, loaded := range c.reports[e.Name].Models {
		if !c.surplus(now, loaded, e, usable) {
			continue
		}
		order := engine.Order{Op: engine.OrderUnload, Model: loaded.Name, Version: loaded.Version}
		if effect, ok := c.order(now, e, order); ok {
			return []Effect{effect}
		}
	}
	return nil
}

// settled returns the engines without an order that their reports may not show yet. Only their copies count as remaining
// when another engine's copy is unloaded.
func (c *Core) settled(now core.Micros, usable []Engine) []Engine {
	var out []Engine
	for _, e := range usable {
		if !c.pending(now, e.Name) {
			out = append(out, e)
		}
	}
	return out
}

func (c *Core) surplus(now core.Micros, loaded engine.LoadedModel, e Engine, usable []Engine) bool {
	at := slices.IndexFunc(c.intent.Models, func(m Model) bool { return m.Name == loaded.Name })
	if at < 0 {
		return true
	}
	m := c.intent.Models[at]
	settled := c.settled(now, usable)
	allowed := c.allowed(m, settled)
	ready := c.readyOn(m, allowed)
	if loaded.Version != m.Version || !slices.ContainsFunc(allowed, func(a Engine) bool { return a.Name == e.Name }) {
		return len(ready) >= max(1, m.MinReplicas) || len(settled) == len(usable) && c.mustMakeRoom(m, e, usable)
	}
	return !c.hasRoomAtAll(e) && len(ready) > c.target(m, ready, len(allowed)) && c.idle(e)
}

// mustMakeRoom reports whether an old copy has to go first because no engine has room for the new version, while
// another copy of the model remains. While any engine is loading, the answer is no: it may be loading that version.
func (c *Core) mustMakeRoom(m Model, e Engine, usable []Engine) bool {
	others := 0
	for _, u := range usable {
		if c.hasRoomAtAll(u) && !u.Drained || c.reports[u.Name].State == engine.StateLoading {
			return false
		}
		holds := slices.ContainsFunc(c.reports[u.Name].Models, func(l engine.LoadedModel) bool { return l.Name == m.Name })
		if holds && u.Name != e.Name {
			others++
		}
	}
	return others > 0
}

// target is the number of replicas that the demand asks for.
func (c *Core) target(m Model, ready []string, engines int) int {
	want := max(1, m.MinReplicas)
	if len(ready) > 0 {
		used := 0
		for _, name := range ready {
			used += c.reports[name].UsedShare
		}
		mean := used / len(ready)
		switch {
		case mean > growAbovePercent:
			want = max(want, len(ready)+1)
		case mean >= shrinkBelowPercent:
			want = max(want, len(ready))
		}
	}
	return min(want, engines)
}

func (c *Core) allowed(m Model, usable []Engine) []Engine {
	if len(m.Pools) == 0 {
		return usable
	}
	var out []Engine
	for _, e := range usable {
		if slices.Contains(m.Pools, e.Pool) {
			out = append(out, e)
		}
	}
	return out
}

// replicas returns the engines that have the model's intended version ready, and how many are loading something that
// was ordered lately.
func (c *Core) replicas(now core.Micros, m Model, allowed []Engine) (ready []string, loading int) {
	ready = c.readyOn(m, allowed)
	for _, e := range allowed {
		if !slices.Contains(ready, e.Name) && (c.pending(now, e.Name) || c.reports[e.Name].State == engine.StateLoading) {
			loading++
		}
	}
	return ready, loading
}

func (c *Core) readyOn(m Model, engines []Engine) []string {
	var out []string
	for _, e := range engines {
		if _, ok := c.loadedModel(e.Name, m); ok && !e.Drained {
			out = append(out, e.Name)
		}
	}
	return out
}

func (c *Core) loadedModel(name string, m Model) (engine.LoadedModel, bool) {
	for _, loaded := range c.reports[name].Models {
		if loaded.Name == m.Name && loaded.Version == m.Version {
			return loaded, true
		}
	}
	return engine.LoadedModel{}, false
}

func (c *Core) hasRoom(e Engine) bool {
	return c.hasRoomAtAll(e) && c.reports[e.Name].State != engine.StateLoading
}

func (c *Core) hasRoomAtAll(e Engine) bool {
	return len(c.reports[e.Name].Models) < max(1, e.MaxModels)
}

func (c *Core) idle(e Engine) bool {
	return c.reports[e.Name].UsedShare == 0 && c.reports[e.Name].QueuedTokens == 0
}

// pending reports whether an order is under way that the engine's report may not show yet.
func (c *Core) pending(now core.Micros, name string) bool {
	order, ok := c.orders[name]
	return ok && (order.inFlight || now < order.settles)
}

// order emits an order unless one is under way at the engine or the weight store's limits forbid it.
func (c *Core) order(now core.Micros, e Engine, o engine.Order) (Effect, bool) {
	if c.pending(now, e.Name) || c.reports[e.Name].State == engine.StateLoading {
		return nil, false
	}
	if o.Op == engine.OrderLoad && !c.takeLoad(now) {
		return nil, false
	}
	o.Fence = c.lease.lease.Epoch
	c.orders[e.Name] = sentOrder{at: now, inFlight: true, settles: now + orderSettle}
	valid := min(now+orderTTL, c.lease.validUntil)
	return SendOrder{Engine: e.Name, Address: e.Address, Order: o, ValidUntil: valid}, true
}

// takeLoad takes one load from the weight store's limits. A new holder does not know the loads of its predecessor and
// therefore waits until they no longer count.
func (c *Core) takeLoad(now core.Micros) bool {
	perMinute, concurrent := c.intent.LoadsPerMinute, c.intent.MaxConcurrentLoads
	if c.lease.lease.Epoch > 1 && now < c.activeSince+minute {
		return false
	}
	for len(c.loads) > 0 && c.loads[0] <= now-minute {
		c.loads = c.loads[1:]
	}
	if len(c.loads) >= perMinute || c.loading(now) >= concurrent {
		return false
	}
	c.loads = append(c.loads, now)
	return true
}

// loading counts the engines that are loading or were ordered to and have not reported since.
func (c *Core) loading(now core.Micros) int {
	n := 0
	for _, e := range c.intent.Engines {
		if c.pending(now, e.Name) || c.reports[e.Name].State == engine.StateLoading {
			n++
		}
	}
	return n
}
