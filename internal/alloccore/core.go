// Package alloccore implements the allocator of one pool as a deterministic reducer: it grants KV memory of engines to
// requests, queues the requests that do not fit, and applies the scheduling policy of docs/design.md, section 8.
//
// Invariants: the memory committed on an engine never exceeds the engine's memory, except for adopted grants. Every
// GrantRequested is answered by exactly one Granted or Refused within its MaxWait, unless it is abandoned.
package alloccore

import (
	"container/list"
	"strconv"
	"strings"

	"github.com/carobstile/carobstile/internal/core"
)

// warmUpTimeout is how long a new allocator waits for the first reports of its engines before it starts granting.
const warmUpTimeout = core.Second

// Timer keys. The call number of the grant request is appended to timerRequest.
const (
	timerWarmUp  = "warmUp"
	timerRetry   = "retry"
	timerSweep   = "sweep"
	timerRequest = "ask:"
)

const (
	defaultQueueLimit = 512
	defaultCrashLimit = 3
)

// Options configures a Core.
type Options struct {
	// Instance is the prefix of grant ids. It must be unique across all allocators, also over time.
	Instance string
	Policy   Policy
}

// Core is the state of one pool's allocator. It is not safe for concurrent use.
type Core struct {
	instance   string
	policy     Policy
	queueLimit int
	crashLimit int

	// engines is in configuration order, followed by removed engines that still hold allocations.
	engines          []*engineState
	byName           map[string]*engineState
	roundRobinCursor int

	queue    *queue
	reserved reservation

	grants      map[string]*grant
	byCall      map[uint64]*grant
	grantOrder  *list.List
	tombstones  map[string]bool
	endedGrants []tombstone
	grantSerial uint64

	// warmedUp is true once every engine's first poll has ended or warmUpDeadline has passed. Nothing is granted before.
	warmedUp       bool
	warmUpDeadline core.Micros
	stopCode       RefusalCode
	// meanGrantDuration is the moving average of the time from grant to release of completed requests.
	meanGrantDuration core.Micros
	// shortPrefill is the recently granted prefill work of ClassShort.
	shortPrefill shortLoad

	nextRetry, retryTimerAt, sweepTimerAt core.Micros

	out []Effect
}

// New returns an allocator. It grants nothing until it receives a PoolConfigured event.
func New(opts Options) *Core {
	c := &Core{
		instance: opts.Instance, policy: opts.Policy, queueLimit: defaultQueueLimit, crashLimit: defaultCrashLimit,
		byName: map[string]*engineState{}, grants: map[string]*grant{}, byCall: map[uint64]*grant{},
		grantOrder: list.New(), tombstones: map[string]bool{},
	}
	c.queue = newQueue(&c.policy)
	return c
}

// Step applies one event and returns the resulting effects. The caller owns the returned slice.
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
	case GrantRequested:
		now = e.Now
		c.handleGrantRequested(e)
	case GrantRequestAbandoned:
		now = e.Now
		c.handleAbandoned(e)
	case GrantsRenewed:
		now = e.Now
		c.handleRenewals(e)
	case GrantReleased:
		now = e.Now
		c.handleRelease(e)
	case GrantingStopped:
		now = e.Now
		c.handleGrantingStopped(e)
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

// replaceEngines applies a new list of engines. It keeps the state of engines that remain, and that of removed engines
// as long as grants hold memory on them.
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

// freeStaleAllocations frees allocations on an earlier incarnation of the engine, whose memory was lost in the restart,
// and marks their grants invalid.
func (c *Core) freeStaleAllocations(e *engineState) {
	for i := len(e.allocations) - 1; i >= 0; i-- {
		alloc := e.allocations[i]
		if alloc.incarnation != e.incarnation() {
			alloc.grant.invalid = true
			e.free(alloc)
		}
	}
}

// freeFinishedOn frees the allocations of ending grants that the engine no longer runs.
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

// endWarmUpIfPolled ends the warm-up once the first poll of every engine has succeeded or failed.
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
	case strings.HasPrefix(ev.Key, timerRequest):
		c.handleRequestTimer(ev)
	}
}

func (c *Core) handleRequestTimer(ev TimerFired) {
	call, err := strconv.ParseUint(strings.TrimPrefix(ev.Key, timerRequest), 10, 64)
	ent := c.queue.byCall[call]
	if err != nil || ent == nil || ev.Now < ent.refuseAt {
		return
	}
	c.schedule(ev.Now)
	if c.queue.byCall[call] != nil {
		c.refuseQueued(ent, CodeOverloaded, c.expectedWait(ev.Now, ent))
	}
}

func (c *Core) handleGrantingStopped(ev GrantingStopped) {
	c.stopCode = ev.Code
	for _, arrivals := range c.queue.arrivals {
		for arrivals.Len() > 0 {
			c.refuseQueued(arrivals.Front().Value.(*entry), ev.Code, 0)
		}
	}
}
