package placecore

import (
	"slices"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// Scaling thresholds for a model, as the mean percentage of KV memory in use on its replicas. The gap between them
// prevents a replica from being loaded and unloaded repeatedly.
const (
	scaleUpAbovePercent   = 75
	scaleDownBelowPercent = 30
)

// reconcile compares the intent with the reports and returns the orders of this round.
func (c *Core) reconcile(now core.Micros) []Effect {
	usable := c.usableEngines(now)
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

// placeModel orders the loading of a model's missing replicas and adapters.
func (c *Core) placeModel(now core.Micros, m Model, usable []Engine) []Effect {
	eligible := c.eligibleEngines(m, usable)
	ready, loading := c.replicas(now, m, eligible)
	var out []Effect
	missing := c.targetReplicas(m, ready, len(eligible)) - len(ready) - loading
	for _, e := range eligible {
		if missing <= 0 {
			break
		}
		if slices.Contains(ready, e.Name) || !c.canLoadModel(e) || e.Drained {
			continue
		}
		if effect, ok := c.newOrder(now, e, engine.Order{Op: engine.OrderLoad, Model: m.Name, Version: m.Version}); ok {
			out = append(out, effect)
			missing--
		}
	}
	return append(out, c.placeAdapters(now, m, eligible)...)
}

// placeAdapters orders the loading of missing adapters, one at a time for each engine.
func (c *Core) placeAdapters(now core.Micros, m Model, eligible []Engine) []Effect {
	var out []Effect
	for _, e := range eligible {
		loaded, ok := c.loadedModel(e.Name, m)
		if !ok {
			continue
		}
		for _, adapter := range m.Adapters {
			if slices.Contains(loaded.Adapters, adapter) {
				continue
			}
			order := engine.Order{Op: engine.OrderLoad, Model: m.Name, Version: m.Version, Adapter: adapter}
			if effect, ok := c.newOrder(now, e, order); ok {
				out = append(out, effect)
			}
			break
		}
	}
	return out
}

// unloadSurplus orders an engine to unload one surplus model copy: another version than the intended one, a model that is
// not configured, or a replica above the target. The last ready copy of a configured model is kept until the intended
// version is ready.
func (c *Core) unloadSurplus(now core.Micros, e Engine, usable []Engine) []Effect {
	for _, loaded := range c.reports[e.Name].Models {
		if !c.isSurplus(now, loaded, e, usable) {
			continue
		}
		order := engine.Order{Op: engine.OrderUnload, Model: loaded.Name, Version: loaded.Version}
		if effect, ok := c.newOrder(now, e, order); ok {
			return []Effect{effect}
		}
	}
	return nil
}

// settled returns the engines without a pending order. Only their copies count as remaining when another engine's copy is
// unloaded, because the reports of the others may not show the effect of their orders yet.
func (c *Core) settled(now core.Micros, usable []Engine) []Engine {
	var out []Engine
	for _, e := range usable {
		if !c.orderPending(now, e.Name) {
			out = append(out, e)
		}
	}
	return out
}

// isSurplus reports whether engine e may unload a model copy.
func (c *Core) isSurplus(now core.Micros, loaded engine.LoadedModel, e Engine, usable []Engine) bool {
	index := slices.IndexFunc(c.intent.Models, func(m Model) bool { return m.Name == loaded.Name })
	if index < 0 {
		return true
	}
	m := c.intent.Models[index]
	settled := c.settled(now, usable)
	eligible := c.eligibleEngines(m, settled)
	ready := c.readyReplicas(m, eligible)
	if loaded.Version != m.Version || !slices.ContainsFunc(eligible, func(a Engine) bool { return a.Name == e.Name }) {
		return len(ready) >= max(1, m.MinReplicas) || len(settled) == len(usable) && c.mustUnloadFirst(m, e, usable)
	}
	return !c.hasFreeSlot(e) && len(ready) > c.targetReplicas(m, ready, len(eligible)) && c.idle(e)
}

// mustUnloadFirst reports whether engine e must unload its old copy because no engine has room for the new version, while
// another copy of the model remains. It returns false while any engine is loading, because that engine may be loading the
// new version.
func (c *Core) mustUnloadFirst(m Model, e Engine, usable []Engine) bool {
	others := 0
	for _, u := range usable {
		if c.hasFreeSlot(u) && !u.Drained || c.reports[u.Name].State == engine.StateLoading {
			return false
		}
		hasCopy := slices.ContainsFunc(c.reports[u.Name].Models, func(l engine.LoadedModel) bool { return l.Name == m.Name })
		if hasCopy && u.Name != e.Name {
			others++
		}
	}
	return others > 0
}

// targetReplicas returns the intended number of replicas: one more than are ready above scaleUpAbovePercent, as many as
// are ready from scaleDownBelowPercent on, otherwise MinReplicas. It is at least MinReplicas, but at most engines.
func (c *Core) targetReplicas(m Model, ready []string, engines int) int {
	replicas := max(1, m.MinReplicas)
	if len(ready) > 0 {
		totalPercent := 0
		for _, name := range ready {
			totalPercent += c.reports[name].KVUsedPercent
		}
		meanPercent := totalPercent / len(ready)
		switch {
		case meanPercent > scaleUpAbovePercent:
			replicas = max(replicas, len(ready)+1)
		case meanPercent >= scaleDownBelowPercent:
			replicas = max(replicas, len(ready))
		}
	}
	return min(replicas, engines)
}

// eligibleEngines returns the engines in pools that may serve the model.
func (c *Core) eligibleEngines(m Model, usable []Engine) []Engine {
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

// replicas returns the engines that have the model's intended version ready, and the number of other engines that are
// loading or have a pending order for any model.
func (c *Core) replicas(now core.Micros, m Model, eligible []Engine) (ready []string, loading int) {
	ready = c.readyReplicas(m, eligible)
	for _, e := range eligible {
		if !slices.Contains(ready, e.Name) && (c.orderPending(now, e.Name) || c.reports[e.Name].State == engine.StateLoading) {
			loading++
		}
	}
	return ready, loading
}

// readyReplicas returns the names of the engines that have the model's intended version loaded and are not drained.
func (c *Core) readyReplicas(m Model, engines []Engine) []string {
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

func (c *Core) canLoadModel(e Engine) bool {
	return c.hasFreeSlot(e) && c.reports[e.Name].State != engine.StateLoading
}

func (c *Core) hasFreeSlot(e Engine) bool {
	return len(c.reports[e.Name].Models) < max(1, e.MaxModels)
}

func (c *Core) idle(e Engine) bool {
	return c.reports[e.Name].KVUsedPercent == 0 && c.reports[e.Name].QueuedPrefillTokens == 0
}

// orderPending reports whether the engine has an order in flight or one that its reports may not show yet.
func (c *Core) orderPending(now core.Micros, name string) bool {
	order, ok := c.orders[name]
	return ok && (order.inFlight || now < order.settlesAt)
}

// newOrder returns the effect that sends an order, or false if the engine has a pending order or is loading, or if the
// limits of the weight store do not allow another load.
func (c *Core) newOrder(now core.Micros, e Engine, o engine.Order) (Effect, bool) {
	if c.orderPending(now, e.Name) || c.reports[e.Name].State == engine.StateLoading {
		return nil, false
	}
	if o.Op == engine.OrderLoad && !c.reserveLoad(now) {
		return nil, false
	}
	o.Fence = c.lease.lease.Epoch
	c.orders[e.Name] = sentOrder{at: now, inFlight: true, settlesAt: now + orderReportDelay}
	validUntil := min(now+orderTTL, c.lease.validUntil)
	return SendOrder{Engine: e.Name, Address: e.Address, Order: o, ValidUntil: validUntil}, true
}

// reserveLoad counts one load against the limits of the weight store and returns false if they are exhausted. A new lease
// holder does not know its predecessor's loads and therefore orders none within loadRateWindow of its activation.
func (c *Core) reserveLoad(now core.Micros) bool {
	perMinute, concurrent := c.intent.LoadsPerMinute, c.intent.MaxConcurrentLoads
	if c.lease.lease.Epoch > 1 && now < c.activeSince+loadRateWindow {
		return false
	}
	for len(c.loadTimes) > 0 && c.loadTimes[0] <= now-loadRateWindow {
		c.loadTimes = c.loadTimes[1:]
	}
	if len(c.loadTimes) >= perMinute || c.busyEngines(now) >= concurrent {
		return false
	}
	c.loadTimes = append(c.loadTimes, now)
	return true
}

// busyEngines returns the number of engines that are loading or have a pending order.
func (c *Core) busyEngines(now core.Micros) int {
	n := 0
	for _, e := range c.intent.Engines {
		if c.orderPending(now, e.Name) || c.reports[e.Name].State == engine.StateLoading {
			n++
		}
	}
	return n
}
