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

// warmUpTimeout is how long a new allocator waits for the first reports of its engines.
const warmUpTimeout = core.Second

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
	engines          []*engineState
	byName           map[string]*engineState
	roundRobinCursor int

	queue    *queue
	reserved reservation

	grants      map[string]*grant
	byAsk       map[uint64]*grant
	grantOrder  *list.List
	tombstones  map[string]bool
	endedGrants []tombstone
	grantSerial uint64

	// warmedUp is true once the first reports are in; opensBy is when they are no longer waited for.
	warmedUp       bool
	warmUpDeadline core.Micros
	closedCode     RefusalCode
	// meanGrantDuration is the average span that grants are held.
	meanGrantDuration core.Micros
	// shortPrefill is the recent prefill work of shortPrefill requests.
	shortPrefill shortLoad

	nextRetry, retryTimerAt, sweepTimerAt core.Micros

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
		c.handleConfig(e)
	case EngineReported:
		now = e.Now
		c.handleReport(e)
	case EngineUnreachable:
		now = e.Now
		c.handleUnreachable(e)
	case GrantAsked:
		now = e.Now
		c.handleAsk(e)
	case AskAbandoned:
		now = e.Now
		c.handleAbandoned(e)
	case GrantsRenewed:
		now = e.Now
		c.handleRenewals(e)
	case GrantReleased:
		now = e.Now
		c.handleRelease(e)
	case Closed:
		now = e.Now
		c.handleClose(e)
	case TimerFired:
		now = e.Now
		c.handleTimer(e)
	}
	c.schedule(now)
	c.refuseOrStartTimer(ev, now)
	c.setSweepTimer(now)
	return c.out
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) handleConfig(ev PoolConfigured) {
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
		c.warmedUp = true
	case first:
		c.warmUpDeadline = ev.Now + warmUpTimeout
		c.emit(SetTimer{Key: timerWarmUp, At: c.warmUpDeadline})
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
		e.isolatesPrefills = c.prefillEngineCount(ClassMedium, len(configs)) < len(configs)
		list = append(list, e)
	}
	for _, e := range c.engines {
		if e.removed {
			list = append(list, e)
		}
	}
	c.engines = list
	c.dropRemovedEngines()
}

func (c *Core) dropRemovedEngines() {
	kept := c.engines[:0]
	for _, e := range c.engines {
		if e.removed && len(e.allocations) == 0 {
			delete(c.byName, e.cfg.Name)
			continue
		}
		kept = append(kept, e)
	}
	c.engines = kept
}

func (c *Core) handleReport(ev EngineReported) {
	e := c.byName[ev.Engine]
	if e == nil {
		return
	}
	restarted := e.report != nil && e.incarnation() != ev.Load.Incarnation
	if !e.recordReport(ev) {
		return
	}
	if restarted {
		e.work = prefillWork{updatedAt: ev.Now}
		e.prefixes.clear()
		e.endedRequests = nil
	}
	e.advance(&c.policy, ev.Now)
	c.freeStaleAllocations(e)
	c.freeFinishedOn(ev.Now, e)
	c.endTrialIfDone(e)
	e.reconcile()
	c.endWarmUpIfPolled(ev.Now)
}

// freeStaleAllocations frees what grants held on an earlier incarnation: that memory died with it.
func (c *Core) freeStaleAllocations(e *engineState) {
	for i := len(e.allocations) - 1; i >= 0; i-- {
		alloc := e.allocations[i]
		if alloc.incarnation != e.incarnation() {
			alloc.grant.invalid = true
			e.free(alloc)
		}
	}
}

// freeFinishedOn frees the holdings of ending grants that the engine is done with.
func (c *Core) freeFinishedOn(now core.Micros, e *engineState) {
	for i := len(e.allocations) - 1; i >= 0; i-- {
		if g := e.allocations[i].grant; g.ending {
			c.freeFinished(now, g)
		}
	}
}

func (c *Core) handleUnreachable(ev EngineUnreachable) {
	e := c.byName[ev.Engine]
	if e == nil {
		return
	}
	e.polled = true
	e.pollFailures++
	if ev.Refused {
		e.pollFailures = max(e.pollFailures, maxPollFailures+1)
	}
	c.endWarmUpIfPolled(ev.Now)
}

// endWarmUpIfPolled starts granting once every engine has answered or failed its first poll.
func (c *Core) endWarmUpIfPolled(core.Micros) {
	for _, e := range c.engines {
		if !e.polled && !e.removed {
			return
		}
	}
	c.warmedUp = true
}

func (c *Core) handleTimer(ev TimerFired) {
	switch {
	case ev.Key == timerWarmUp:
		c.warmedUp = c.warmedUp || ev.Now >= c.warmUpDeadline
	case ev.Key == timerSweep:
		c.sweep(ev.Now)
	case strings.HasPrefix(ev.Key, timerAsk):
		c.handleAskTimer(ev)
	}
}

func (c *Core) handleAskTimer(ev TimerFired) {
	ask, err := strconv.ParseUint(strings.TrimPrefix(ev.Key, timerAsk), 10, 64)
	ent := c.queue.byAsk[ask]
	if err != nil || ent == nil || ev.Now < ent.refuseAt {
		return
	}
	c.schedule(ev.Now)
	if c.queue.byAsk[ask] != nil {
		c.refuseQueued(ent, CodeOverloaded, c.expectedWait(ev.Now, ent))
	}
}

func (c *Core) handleClose(ev Closed) {
	c.closedCode = ev.Code
	for _, arrivals := range c.queue.arrivals {
		for arrivals.Len() > 0 {
			c.refuseQueued(arrivals.Front().Value.(*entry), ev.Code, 0)
		}
	}
}
