// Package alloccore is the reducer of one pool's allocator: it grants memory of engines to requests, keeps the queue,
// and applies the policy of docs/design.md, section 8.
//
// Invariants: the memory committed on an engine never exceeds the engine's memory, but for adopted grants; every
// GrantAsked is answered by one Granted or Refused not later than its max wait, unless it is abandoned.
package alloccore

import (
	"container/list"
	"strconv"
	"strings"

	"github.com/carobstile/carobstile/internal/core"
)

// warmUp is how long a new allocator waits for the first reports of its engines.
const warmUp = core.Second

// Keys of timers; askTimer keys carry the number of the ask.
const (
	timerWarmUp = "warmUp"
	timerRetry  = "retry"
	timerSweep  = "sweep"
	timerAsk    = "ask:"
)

const (
	defaultQueueLimit = 512
	defaultCrashLimit = 3
)

// Options of a Core.
type Options struct {
	// Instance makes grant ids unique over allocators; it never repeats.
	Instance string
	Policy   Policy
}

// Core is the state of one pool's allocator. It is not safe for concurrent use.
type Core struct {
	instance   string
	policy     Policy
	queueLimit int
	crashLimit int

	// engines in the order of the configuration.
	engines []*engineState
	byName  map[string]*engineState
	cursor  int

	queue    *queue
	reserved reservation

	grants     map[string]*grant
	byAsk      map[uint64]*grant
	grantOrder *list.List
	tombstones map[string]bool
	ended      []tombstone
	serial     uint64

	// open is true once the first reports are in; opensBy is when they are no longer waited for.
	open    bool
	opensBy core.Micros
	closed  RefusalCode
	// meanHold is the average span that grants are held.
	meanHold core.Micros
	// short is the recent prefill work of short requests.
	short shortLoad

	retry, retryAt, sweepAt core.Micros

	out []Effect
}

// New returns an allocator that grants nothing before it is configured.
func New(opts Options) *Core {
	c := &Core{
		instance: opts.Instance, policy: opts.Policy, queueLimit: defaultQueueLimit, crashLimit: defaultCrashLimit,
		byName: map[string]*engineState{}, grants: map[string]*grant{}, byAsk: map[uint64]*grant{},
		grantOrder: list.New(), tombstones: map[string]bool{},
	}
	c.queue = newQueue(&c.policy)
	return c
}

// Step takes one event and returns its effects. The caller owns the result.
func (c *Core) Step(ev Event) []Effect {
	c.out = nil
	var now core.Micros
	switch e := ev.(type) {
	case PoolConfigured:
		now = e.Now
		c.configure(e)
	case EngineReported:
		now = e.Now
		c.reported(e)
	case EngineUnreachable:
		now = e.Now
		c.unreachable(e)
	case GrantAsked:
		now = e.Now
		c.asked(e)
	case AskAbandoned:
		now = e.Now
		c.abandoned(e)
	case GrantsRenewed:
		now = e.Now
		c.renew(e)
	case GrantReleased:
		now = e.Now
		c.release(e)
	case Closed:
		now = e.Now
		c.close(e)
	case TimerFired:
		now = e.Now
		c.fired(e)
	}
	c.schedule(now)
	c.answerNew(ev, now)
	c.armSweep(now)
	return c.out
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) configure(ev PoolConfigured) {
	if ev.QueueLimit > 0 {
		c.queueLimit = ev.QueueLimit
	}
	if ev.CrashLimit > 0 {
		c.crashLimit = ev.CrashLimit
	}
	first := len(c.engines) == 0
	c.replaceEngines(ev.Engines)
	switch {
	case !c.policy.WarmUp:
		c.open = true
	case first:
		c.opensBy = ev.Now + warmUp
		c.emit(SetTimer{Key: timerWarmUp, At: c.opensBy})
	}
}

// replaceEngines keeps the state of engines that stay, and of removed ones while grants hold memory there.
func (c *Core) replaceEngines(configs []EngineConfig) {
	for _, e := range c.engines {
		e.removed = true
	}
	list := make([]*engineState, 0, len(configs))
	for _, cfg := range configs {
		e := c.byName[cfg.Name]
		if e == nil {
			e = newEngineState(cfg)
			c.byName[cfg.Name] = e
		}
		e.cfg, e.removed = cfg, false
		e.spread = c.spread(ClassMedium, len(configs)) < len(configs)
		list = append(list, e)
	}
	for _, e := range c.engines {
		if e.removed {
			list = append(list, e)
		}
	}
	c.engines = list
	c.forgetRemoved()
}

func (c *Core) forgetRemoved() {
	kept := c.engines[:0]
	for _, e := range c.engines {
		if e.removed && len(e.holdings) == 0 {
			delete(c.byName, e.cfg.Name)
			continue
		}
		kept = append(kept, e)
	}
	c.engines = kept
}

func (c *Core) reported(ev EngineReported) {
	e := c.byName[ev.Engine]
	if e == nil {
		return
	}
	restarted := e.report != nil && e.incarnation() != ev.Load.Incarnation
	if !e.observe(ev) {
		return
	}
	if restarted {
		e.work = prefillWork{at: ev.Now}
		e.prefixes.clear()
		e.released = nil
	}
	e.advance(&c.policy, ev.Now)
	c.breakOld(e)
	c.settleOn(ev.Now, e)
	c.endTrial(e)
	e.reconcile()
	c.openIfReady(ev.Now)
}

// breakOld frees what grants held on an earlier incarnation: that memory died with it.
func (c *Core) breakOld(e *engineState) {
	for i := len(e.holdings) - 1; i >= 0; i-- {
		h := e.holdings[i]
		if h.incarnation != e.incarnation() {
			h.grant.broken = true
			e.free(h)
		}
	}
}

// settleOn frees the holdings of ending grants that the engine is done with.
func (c *Core) settleOn(now core.Micros, e *engineState) {
	for i := len(e.holdings) - 1; i >= 0; i-- {
		if g := e.holdings[i].grant; g.ending {
			c.settle(now, g)
		}
	}
}

func (c *Core) unreachable(ev EngineUnreachable) {
	e := c.byName[ev.Engine]
	if e == nil {
		return
	}
	e.answered = true
	e.failures++
	if ev.Refused {
		e.failures = max(e.failures, failuresAllowed+1)
	}
	c.openIfReady(ev.Now)
}

// openIfReady starts granting once every engine has answered or failed its first poll.
func (c *Core) openIfReady(core.Micros) {
	for _, e := range c.engines {
		if !e.answered && !e.removed {
			return
		}
	}
	c.open = true
}

func (c *Core) fired(ev TimerFired) {
	switch {
	case ev.Key == timerWarmUp:
		c.open = c.open || ev.Now >= c.opensBy
	case ev.Key == timerSweep:
		c.sweep(ev.Now)
	case strings.HasPrefix(ev.Key, timerAsk):
		c.askFired(ev)
	}
}

func (c *Core) askFired(ev TimerFired) {
	ask, err := strconv.ParseUint(strings.TrimPrefix(ev.Key, timerAsk), 10, 64)
	x := c.queue.byAsk[ask]
	if err != nil || x == nil || ev.Now < x.until {
		return
	}
	c.schedule(ev.Now)
	if c.queue.byAsk[ask] != nil {
		c.refuseWaiting(x, CodeOverloaded, c.expectedWait(ev.Now, x))
	}
}

func (c *Core) close(ev Closed) {
	c.closed = ev.Code
	for _, arrivals := range c.queue.arrivals {
		for arrivals.Len() > 0 {
			c.refuseWaiting(arrivals.Front().Value.(*entry), ev.Code, 0)
		}
	}
}
