package alloccore

import (
	"strconv"

	"github.com/carobstile/carobstile/internal/core"
)

// maxClockSkew is the tolerated difference between the clocks of the allocator and of the gate that set a deadline.
// Gates enforce deadlines; the allocator enforces MaxWait, a duration, and uses deadlines only to refuse requests that
// are certainly too late.
const maxClockSkew = core.Second

// RequestTimerKey returns the key of the timer that ends the wait of a grant request. The timer can be dropped once the
// request is answered.
func RequestTimerKey(call uint64) string { return timerRequest + strconv.FormatUint(call, 10) }

// handleGrantRequested validates a request and queues it. The scheduling pass that follows grants it if it is first in
// order and fits.
func (c *Core) handleGrantRequested(ev GrantRequested) {
	ent := c.newEntry(ev)
	if code := c.refusalCodeFor(ev.Now, ent); code != "" {
		refused := Refused{Call: ent.call, RequestID: ent.req.RequestID, Code: code}
		if code == CodeOverloaded {
			refused.ExpectedWait = c.minPrefillTime(ent)
		}
		c.emit(refused)
		return
	}
	if !c.ensureQueueSpace(ev.Now, ent) {
		c.emit(Refused{Call: ent.call, RequestID: ent.req.RequestID, Code: CodeOverloaded, ExpectedWait: defaultExpectedWait})
		return
	}
	c.queue.push(ev.Now, ent)
}

func (c *Core) newEntry(ev GrantRequested) *entry {
	r := ev.Request
	ent := &entry{
		call: ev.Call, req: r, modelKey: modelKey(r.Model, r.Adapter), mode: c.modeOf(r.SuspectCount),
		kvTokens: r.PromptTokens + r.MaxOutputTokens, uncached: r.PromptTokens, enqueued: ev.Now,
	}
	if c.policy.Priorities {
		ent.priority = min(max(r.Priority, 0), priorityLevels-1)
	}
	engines := c.servingEngines(ev.Now, ent)
	for i := range engines {
		ent.uncached = min(ent.uncached, engines[i].uncached)
	}
	ent.parts = max(1, c.fitOf(ent, engines).parts)
	ent.class = c.policy.classOf(ent.uncached)
	ent.refuseAt = ev.Now + max(r.MaxWait, 0)
	if r.Deadline > 0 {
		ent.refuseAt = min(ent.refuseAt, max(ev.Now, r.Deadline+maxClockSkew-c.minPrefillTime(ent)))
	}
	return ent
}

// refusalCodeFor returns the code with which a request is refused without being queued, or "".
func (c *Core) refusalCodeFor(now core.Micros, ent *entry) RefusalCode {
	switch {
	case c.stopCode != "":
		return c.stopCode
	case ent.mode == modeRefused:
		return CodeCrashesServers
	case !c.fitsPool(ent):
		return CodeTooLarge
	case c.warmedUp && len(c.servingEngines(now, ent)) == 0:
		return CodeNoEngine
	// The first token would miss the deadline even without a wait.
	case c.policy.EarlyRefusal && ent.req.Deadline > 0 && now+c.minPrefillTime(ent) > ent.req.Deadline+maxClockSkew:
		return CodeOverloaded
	default:
		return ""
	}
}

// ensureQueueSpace reports whether the queue can take the request, and evicts another request from a full queue if
// necessary. The victim is the newest request of the lowest priority whose newest has not aged to that of ent; within
// one priority, the newest request of the workspace with the most queued requests, if the workspace of ent has fewer.
// One workspace thus cannot fill the queue at the expense of the others.
func (c *Core) ensureQueueSpace(now core.Micros, ent *entry) bool {
	if c.queue.len() < c.queueLimit {
		return true
	}
	victim := c.queue.victimFor(now, ent)
	if victim == nil {
		return false
	}
	c.refuseQueued(victim, CodeOverloaded, defaultExpectedWait)
	return true
}

// victimFor returns the queued request to evict for ent, or nil.
func (q *queue) victimFor(now core.Micros, ent *entry) *entry {
	for p := range ent.priority {
		if last := q.arrivals[p].Back(); last != nil && q.agedPriority(last.Value.(*entry), now) < ent.priority {
			return last.Value.(*entry)
		}
	}
	if !q.policy.FairQueuing {
		return nil
	}
	own := q.perWorkspace[ent.req.Workspace]
	var victim *entry
	most := own + 1
	for node := q.arrivals[ent.priority].Back(); node != nil; node = node.Prev() {
		waiting := node.Value.(*entry)
		if n := q.perWorkspace[waiting.req.Workspace]; n > most {
			victim, most = waiting, n
		}
	}
	return victim
}

// refuseOrStartTimer handles a new request that was not granted: it refuses the request if it may not wait or its
// expected wait is too long, and otherwise sets the timer that ends its wait.
func (c *Core) refuseOrStartTimer(ev Event, now core.Micros) {
	requested, ok := ev.(GrantRequested)
	if !ok {
		return
	}
	ent := c.queue.byCall[requested.Call]
	if ent == nil {
		return
	}
	wait := c.expectedWait(now, ent)
	late := c.policy.EarlyRefusal && now+wait > ent.refuseAt
	if late || ent.refuseAt <= now {
		c.refuseQueued(ent, CodeOverloaded, wait)
		return
	}
	c.emit(SetTimer{Key: RequestTimerKey(ent.call), At: ent.refuseAt})
}

// refuseQueued removes a request from the queue and refuses it.
func (c *Core) refuseQueued(ent *entry, code RefusalCode, wait core.Micros) {
	c.removeFromQueue(ent, func() { c.queue.remove(ent) })
	c.emit(Refused{Call: ent.call, RequestID: ent.req.RequestID, Code: code, ExpectedWait: wait})
}

// removeFromQueue removes a request from the queue and cancels its reservation.
func (c *Core) removeFromQueue(ent *entry, remove func()) {
	if c.reserved.head == ent {
		c.reserved = reservation{}
	}
	remove()
}

// handleAbandoned removes a queued request, or frees the grant already issued for it.
func (c *Core) handleAbandoned(ev GrantRequestAbandoned) {
	if ent := c.queue.byCall[ev.Call]; ent != nil {
		c.removeFromQueue(ent, func() { c.queue.remove(ent) })
		return
	}
	if g := c.byCall[ev.Call]; g != nil {
		c.removeGrant(ev.Now, g)
	}
}
