package placecore

import (
	"sort"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// Time limits of reconciliation.
const (
	// reportTTL is the time for which an engine report is used. Reports are collected every few seconds.
	reportTTL = 45 * core.Second
	// orderTTL is the time after its decision in which an order may be sent.
	orderTTL = 2 * core.Second
	// orderReportDelay is the maximum delay until an engine's reports show the effect of an order. Until then no other order
	// is sent to the engine.
	orderReportDelay = 20 * core.Second
	// loadRateWindow is the window of Intent.LoadsPerMinute.
	loadRateWindow = core.Minute
)

// Core is the reducer of one controller process. It is not safe for concurrent use.
type Core struct {
	lease   leaseState
	intent  Intent
	reports map[string]EngineReported
	orders  map[string]sentOrder
	// loadTimes holds the times of the load orders in the last loadRateWindow, oldest first.
	loadTimes []core.Micros
	// activeSince is the time at which this process last became the active controller.
	activeSince core.Micros
	stopping    bool
}

// sentOrder is the state of the last order to an engine.
type sentOrder struct {
	at       core.Micros
	inFlight bool
	// settlesAt is the time from which another order may be sent even if no report shows the effect of this one.
	settlesAt core.Micros
}

// New returns the core of the controller process with the given name.
func New(name string) *Core {
	return &Core{
		lease: leaseState{name: name}, reports: map[string]EngineReported{}, orders: map[string]sentOrder{},
	}
}

// Active reports whether this process may act as the controller.
func (c *Core) Active(now core.Micros) bool { return c.lease.active(now) }

// Step processes one event and returns the resulting effects.
func (c *Core) Step(ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		return c.tick(ev)
	case LeaseRead:
		return c.trackActivation(ev.Now, c.lease.onRead(ev))
	case LeaseWritten:
		return c.trackActivation(ev.Now, c.lease.onWritten(ev))
	case IntentChanged:
		if ev.Intent.Generation > c.intent.Generation {
			c.intent = ev.Intent
		}
	case EngineReported:
		c.onEngineReported(ev)
	case OrderDone:
		return c.onOrderDone(ev)
	case StopRequested:
		return c.onStopRequested(ev)
	}
	return nil
}

// trackActivation resets the state of reconciliation if effects contain the activation of this process.
func (c *Core) trackActivation(now core.Micros, effects []Effect) []Effect {
	for _, e := range effects {
		if role, ok := e.(RoleChanged); ok && role.Active {
			c.activeSince = now
			c.loadTimes = nil
			c.reports = map[string]EngineReported{}
			c.orders = map[string]sentOrder{}
		}
	}
	return effects
}

func (c *Core) tick(ev Tick) []Effect {
	if c.stopping {
		ev.Candidate = false
	}
	out := c.trackActivation(ev.Now, c.lease.tick(ev))
	if !c.lease.active(ev.Now) || c.stopping {
		return out
	}
	return append(out, c.reconcile(ev.Now)...)
}

// onEngineReported stores a report, unless a newer one of the engine is known. Reports received before an activation are
// not used, because the activation discards them.
func (c *Core) onEngineReported(ev EngineReported) {
	if last, ok := c.reports[ev.Engine]; ok && last.Now > ev.Now {
		return
	}
	c.reports[ev.Engine] = ev
	if order, ok := c.orders[ev.Engine]; ok && !order.inFlight && ev.State == engine.StateLoading {
		order.settlesAt = ev.Now
		c.orders[ev.Engine] = order
	}
}

func (c *Core) onOrderDone(ev OrderDone) []Effect {
	order := c.orders[ev.Engine]
	order.inFlight = false
	c.orders[ev.Engine] = order
	if !ev.Refused {
		return nil
	}
	// An engine refuses a fencing number only if it has received a higher one, so a newer lease holder exists.
	if c.lease.held {
		return []Effect{c.lease.markLost()}
	}
	return nil
}

// onStopRequested releases the lease if no order or lease write is in flight, so that a successor need not wait for its
// expiry.
func (c *Core) onStopRequested(ev StopRequested) []Effect {
	c.stopping = true
	if !c.lease.active(ev.Now) || c.lease.pendingWrite != nil || c.anyOrderInFlight() {
		return nil
	}
	c.lease.held = false
	released := c.lease.lease
	released.Holder = ""
	return []Effect{RoleChanged{Active: false, Epoch: released.Epoch}, c.lease.write(ev.Now, released)}
}

func (c *Core) anyOrderInFlight() bool {
	for _, order := range c.orders {
		if order.inFlight {
			return true
		}
	}
	return false
}

// usableEngines returns the engines that may receive orders, sorted by name: those that are configured, have reported a
// state within reportTTL and are not leaving.
func (c *Core) usableEngines(now core.Micros) []Engine {
	var out []Engine
	for _, e := range c.intent.Engines {
		report, ok := c.reports[e.Name]
		if ok && now < report.Now+reportTTL && report.State != "" && report.State != engine.StateLeaving {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
