package placecore

import (
	"sort"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// Times of reconciliation.
const (
	// reportTTL is how long a report counts. Reports are taken every few seconds.
	reportTTL = 45 * core.Second
	// orderTTL is how long an order may be sent after it was decided.
	orderTTL = 2 * core.Second
	// orderSettle is how long an engine's report may take to show an order; until then no other order is sent to it.
	orderSettle = 20 * core.Second
	minute      = core.Minute
)

// Core is the reducer of one controller process.
type Core struct {
	lease   leaseState
	intent  Intent
	reports map[string]EngineReported
	orders  map[string]sentOrder
	// loads are the times of load orders in the last minute, oldest first.
	loads []core.Micros
	// activeSince is when this process became the active controller.
	activeSince core.Micros
	stopping    bool
}

// sentOrder is the last order to an engine.
type sentOrder struct {
	at       core.Micros
	inFlight bool
	// settles is when the next order may follow although no report has shown this one.
	settles core.Micros
}

// New returns a controller core for a process.
func New(name string) *Core {
	return &Core{
		lease: leaseState{name: name}, reports: map[string]EngineReported{}, orders: map[string]sentOrder{},
	}
}

// Active reports whether this process may act as the controller.
func (c *Core) Active(now core.Micros) bool { return c.lease.active(now) }

// Step takes one event and returns its effects.
func (c *Core) Step(ev Event) []Effect {
	switch ev := ev.(type) {
	case Tick:
		return c.tick(ev)
	case LeaseRead:
		return c.note(ev.Now, c.lease.onRead(ev))
	case LeaseWritten:
		return c.note(ev.Now, c.lease.onWritten(ev))
	case IntentChanged:
		if ev.Intent.Generation > c.intent.Generation {
			c.intent = ev.Intent
		}
	case EngineReported:
		c.reported(ev)
	case OrderDone:
		return c.orderDone(ev)
	case StopRequested:
		return c.stop(ev)
	}
	return nil
}

// note keeps track of when this process became active.
func (c *Core) note(now core.Micros, effects []Effect) []Effect {
	for _, e := range effects {
		if role, ok := e.(RoleChanged); ok && role.Active {
			c.activeSince = now
			c.loads = nil
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
	out := c.note(ev.Now, c.lease.tick(ev))
	if !c.lease.active(ev.Now) || c.stopping {
		return out
	}
	return append(out, c.reconcile(ev.Now)...)
}

// reported takes in a report. Reports from before the tenure do not reach it, because reports are dropped on activation.
func (c *Core) reported(ev EngineReported) {
	if last, ok := c.reports[ev.Engine]; ok && last.Now > ev.Now {
		return
	}
	c.reports[ev.Engine] = ev
	if order, ok := c.orders[ev.Engine]; ok && !order.inFlight && ev.State == engine.StateLoading {
		order.settles = ev.Now
		c.orders[ev.Engine] = order
	}
}

func (c *Core) orderDone(ev OrderDone) []Effect {
	order := c.orders[ev.Engine]
	order.inFlight = false
	c.orders[ev.Engine] = order
	if !ev.Refused {
		return nil
	}
	// A refused fencing number proves that a newer holder exists.
	if c.lease.held {
		return []Effect{c.lease.lose()}
	}
	return nil
}

// stop gives the lease back once no order is under way, so that a successor need not wait it out.
func (c *Core) stop(ev StopRequested) []Effect {
	c.stopping = true
	if !c.lease.active(ev.Now) || c.lease.pending != nil || c.inFlight() {
		return nil
	}
	c.lease.held = false
	given := c.lease.lease
	given.Holder = ""
	return []Effect{RoleChanged{Active: false, Epoch: given.Epoch}, c.lease.write(ev.Now, given)}
}

func (c *Core) inFlight() bool {
	for _, order := range c.orders {
		if order.inFlight {
			return true
		}
	}
	return false
}

// usable returns the engines that may take orders, sorted by name: configured, reported lately, not leaving.
func (c *Core) usable(now core.Micros) []Engine {
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
