package alloccore

import (
	"strconv"

	"github.com/carobstile/carobstile/internal/core"
)

// clockTolerance is how far the clocks of the gate that set a deadline and of the allocator may differ. Deadlines are
// enforced by the gate and by max waits, which are spans; here they only tell requests that are surely too late.
const clockTolerance = core.Second

// AskTimer returns the key of the timer that ends the wait of an ask. The timer is of no use once the ask is answered.
func AskTimer(ask uint64) string { return timerAsk + strconv.FormatUint(ask, 10) }

// asked checks a request and puts it into the queue; schedule then grants it if it is its turn.
func (c *Core) asked(ev GrantAsked) {
	x := c.newEntry(ev)
	if code := c.refusalOf(ev.Now, x); code != "" {
		refused := Refused{Ask: x.ask, RequestID: x.req.RequestID, Code: code}
		if code == CodeOverloaded {
			refused.ExpectedWait = c.prefillSpan(x)
		}
		c.emit(refused)
		return
	}
	if !c.makeRoom(ev.Now, x) {
		c.emit(Refused{Ask: x.ask, RequestID: x.req.RequestID, Code: CodeOverloaded, ExpectedWait: unknownWait})
		return
	}
	c.queue.push(ev.Now, x)
}

func (c *Core) newEntry(ev GrantAsked) *entry {
	r := ev.Request
	x := &entry{
		ask: ev.Ask, req: r, serveKey: serveKey(r.Model, r.Adapter), mode: c.modeOf(r.SuspectCount),
		need: r.PromptTokens + r.MaxOutputTokens, uncached: r.PromptTokens, enqueued: ev.Now,
	}
	if c.policy.Priorities {
		x.priority = min(max(r.Priority, 0), levels-1)
	}
	engines := c.serving(ev.Now, x)
	for i := range engines {
		x.uncached = min(x.uncached, engines[i].uncached)
	}
	x.parts = max(1, c.fitOf(x, engines).parts)
	x.class = c.policy.classOf(x.uncached)
	x.until = ev.Now + max(r.MaxWait, 0)
	if r.Deadline > 0 {
		x.until = min(x.until, max(ev.Now, r.Deadline+clockTolerance-c.prefillSpan(x)))
	}
	return x
}

// refusalOf returns why a request need not wait at all, or "".
func (c *Core) refusalOf(now core.Micros, x *entry) RefusalCode {
	switch {
	case c.closed != "":
		return c.closed
	case x.mode == modeRefused:
		return CodeCrashesServers
	case !c.holdable(x):
		return CodeTooLarge
	case c.open && len(c.serving(now, x)) == 0:
		return CodeNoEngine
	// The deadline passes before the first token even without a wait.
	case c.policy.EarlyRefusal && x.req.Deadline > 0 && now+c.prefillSpan(x) > x.req.Deadline+clockTolerance:
		return CodeOverloaded
	default:
		return ""
	}
}

// makeRoom keeps the queue within its limit. A full queue gives up the newest request of the lowest priority for one of
// a higher priority, unless it has aged to that priority; within one priority, the newest of the workspace with the most requests for one of a workspace with
// fewer, so that one workspace cannot fill the queue against the others.
func (c *Core) makeRoom(now core.Micros, x *entry) bool {
	if c.queue.len() < c.queueLimit {
		return true
	}
	victim := c.queue.victimFor(now, x)
	if victim == nil {
		return false
	}
	c.refuseWaiting(victim, CodeOverloaded, unknownWait)
	return true
}

// victimFor returns the waiting request to give up for x, or nil.
func (q *queue) victimFor(now core.Micros, x *entry) *entry {
	for p := range x.priority {
		if last := q.arrivals[p].Back(); last != nil && q.aged(last.Value.(*entry), now) < x.priority {
			return last.Value.(*entry)
		}
	}
	if !q.policy.FairQueuing {
		return nil
	}
	own := q.perWorkspace[x.req.Workspace]
	var victim *entry
	most := own + 1
	for node := q.arrivals[x.priority].Back(); node != nil; node = node.Prev() {
		waiting := node.Value.(*entry)
		if n := q.perWorkspace[waiting.req.Workspace]; n > most {
			victim, most = waiting, n
		}
	}
	return victim
}

// answerNew refuses a request at once that was not granted and cannot be in time, and sets the timer of one that waits.
func (c *Core) answerNew(ev Event, now core.Micros) {
	asked, ok := ev.(GrantAsked)
	if !ok {
		return
	}
	x := c.queue.byAsk[asked.Ask]
	if x == nil {
		return
	}
	wait := c.expectedWait(now, x)
	late := c.policy.EarlyRefusal && now+wait > x.until
	if late || x.until <= now {
		c.refuseWaiting(x, CodeOverloaded, wait)
		return
	}
	c.emit(SetTimer{Key: AskTimer(x.ask), At: x.until})
}

// refuseWaiting answers a request in the queue.
func (c *Core) refuseWaiting(x *entry, code RefusalCode, wait core.Micros) {
	c.leaveQueue(x, func() { c.queue.remove(x) })
	c.emit(Refused{Ask: x.ask, RequestID: x.req.RequestID, Code: code, ExpectedWait: wait})
}

// leaveQueue takes a request out of the queue and gives up what was reserved for it.
func (c *Core) leaveQueue(x *entry, remove func()) {
	if c.reserved.head == x {
		c.reserved = reservation{}
	}
	remove()
}

// abandoned withdraws a request, or frees its grant if the answer found nobody waiting.
func (c *Core) abandoned(ev AskAbandoned) {
	if x := c.queue.byAsk[ev.Ask]; x != nil {
		c.leaveQueue(x, func() { c.queue.remove(x) })
		return
	}
	if g := c.byAsk[ev.Ask]; g != nil {
		c.drop(ev.Now, g)
	}
}
