package alloccore

import (
	"strconv"

	"github.com/carobstile/carobstile/internal/core"
)

// maxClockSkew is how far the clocks of the gate that set a deadline and of the allocator may differ. Deadlines are
// enforced by the gate and by max waits, which are spans; here they only tell requests that are surely too late.
const maxClockSkew = core.Second

// AskTimer returns the key of the timer that ends the wait of an ask. The timer is of no use once the ask is answered.
func AskTimer(ask uint64) string { return timerAsk + strconv.FormatUint(ask, 10) }

// handleAsk checks a request and puts it into the queue; schedule then grants it if it is its turn.
func (c *Core) handleAsk(ev GrantAsked) {
	ent := c.newEntry(ev)
	if code := c.refusalCodeFor(ev.Now, ent); code != "" {
		refused := Refused{Ask: ent.ask, RequestID: ent.req.RequestID, Code: code}
		if code == CodeOverloaded {
			refused.ExpectedWait = c.minPrefillTime(ent)
		}
		c.emit(refused)
		return
	}
	if !c.ensureQueueSpace(ev.Now, ent) {
		c.emit(Refused{Ask: ent.ask, RequestID: ent.req.RequestID, Code: CodeOverloaded, ExpectedWait: defaultExpectedWait})
		return
	}
	c.queue.push(ev.Now, ent)
}

func (c *Core) newEntry(ev GrantAsked) *entry {
	r := ev.Request
	ent := &entry{
		ask: ev.Ask, req: r, modelKey: modelKey(r.Model, r.Adapter), mode: c.modeOf(r.SuspectCount),
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

// refusalCodeFor returns why a request need not wait at all, or "".
func (c *Core) refusalCodeFor(now core.Micros, ent *entry) RefusalCode {
	switch {
	case c.closedCode != "":
		return c.closedCode
	case ent.mode == modeRefused:
		return CodeCrashesServers
	case !c.fitsPool(ent):
		return CodeTooLarge
	case c.warmedUp && len(c.servingEngines(now, ent)) == 0:
		return CodeNoEngine
	// The deadline passes before the first token even without a wait.
	case c.policy.EarlyRefusal && ent.req.Deadline > 0 && now+c.minPrefillTime(ent) > ent.req.Deadline+maxClockSkew:
		return CodeOverloaded
	default:
		return ""
	}
}

// ensureQueueSpace keeps the queue within its limit. A full queue gives up the newest request of the lowest priority for one of
// a higher priority, unless it has aged to that priority; within one priority, the newest of the workspace with the most requests for one of a workspace with
// fewer, so that one workspace cannot fill the queue against the others.
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

// victimFor returns the waiting request to give up for x, or nil.
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

// refuseOrStartTimer refuses a request at once that was not granted and cannot be in time, and sets the timer of one that waits.
func (c *Core) refuseOrStartTimer(ev Event, now core.Micros) {
	asked, ok := ev.(GrantAsked)
	if !ok {
		return
	}
	ent := c.queue.byAsk[asked.Ask]
	if ent == nil {
		return
	}
	wait := c.expectedWait(now, ent)
	late := c.policy.EarlyRefusal && now+wait > ent.refuseAt
	if late || ent.refuseAt <= now {
		c.refuseQueued(ent, CodeOverloaded, wait)
		return
	}
	c.emit(SetTimer{Key: AskTimer(ent.ask), At: ent.refuseAt})
}

// refuseQueued answers a request in the queue.
func (c *Core) refuseQueued(ent *entry, code RefusalCode, wait core.Micros) {
	c.removeFromQueue(ent, func() { c.queue.remove(ent) })
	c.emit(Refused{Ask: ent.ask, RequestID: ent.req.RequestID, Code: code, ExpectedWait: wait})
}

// removeFromQueue takes a request out of the queue and gives up what was reserved for it.
func (c *Core) removeFromQueue(ent *entry, remove func()) {
	if c.reserved.head == ent {
		c.reserved = reservation{}
	}
	remove()
}

// handleAbandoned withdraws a request, or frees its grant if the answer found nobody waiting.
func (c *Core) handleAbandoned(ev AskAbandoned) {
	if ent := c.queue.byAsk[ev.Ask]; ent != nil {
		c.removeFromQueue(ent, func() { c.queue.remove(ent) })
		return
	}
	if g := c.byAsk[ev.Ask]; g != nil {
		c.removeGrant(ev.Now, g)
	}
}
