package alloccore

import (
	"container/list"
	"strconv"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// grantLife is how long a grant lives unless renewed.
	grantLife = 15 * core.Second
	// sweepInterval is how often expired grants are looked for.
	sweepInterval = core.Second
	// tombstoneLife is how long the id of an ended grant is kept, so that a renewal that a release overtook does not
	// bring the grant back.
	tombstoneLife = 30 * core.Second
)

// grant is memory given to one attempt.
type grant struct {
	id        string
	ask       uint64
	requestID string
	// attempt is 0 for adopted grants, whose messages do not state it.
	attempt int
	adapter string
	mode    mode
	at      core.Micros
	expires core.Micros
	// trialUntil ends a solo trial whose end no report shows.
	trialUntil core.Micros
	holdings   []*holding
	// ending is set once the gate no longer answers for the grant; its memory is then freed when the engines no longer
	// report the request.
	ending   bool
	endingAt core.Micros
	// broken is set when memory of the grant was freed before its end, for example because an engine restarted. Such a
	// grant cannot be renewed.
	broken bool
	node   *list.Element
}

// tombstone is the id of a grant that ended.
type tombstone struct {
	id string
	at core.Micros
}

// commit grants a waiting request.
func (c *Core) commit(now core.Micros, x *entry, plan []candidate) {
	c.serial++
	g := &grant{
		id: c.instance + "-" + strconv.FormatUint(c.serial, 10), ask: x.ask, requestID: x.req.RequestID,
		attempt: x.req.Attempt, adapter: x.req.Adapter, mode: x.mode, at: now, expires: now + grantLife,
	}
	for i := range plan {
		c.hold(now, g, x, &plan[i])
	}
	c.keep(g)
	c.byAsk[x.ask] = g
	c.leaveQueue(x, func() { c.queue.serve(now, x) })
	c.emit(Granted{Ask: x.ask, GrantID: g.id, RequestID: g.requestID, Engines: sharesOf(g), Expires: g.expires})
}

// hold reserves one part of a request.
func (c *Core) hold(now core.Micros, g *grant, x *entry, k *candidate) {
	e := k.engine
	h := &holding{
		grant: g, engine: e, incarnation: e.incarnation(), class: k.class, tokens: k.tokens, uncached: k.uncached, at: now,
	}
	g.holdings = append(g.holdings, h)
	e.add(h)
	e.charge(&c.policy, now, k.class, k.uncached)
	if k.class == ClassShort {
		c.short.add(now, k.uncached)
	}
	e.prefixes.record(x.req.PrefixHashes)
	if g.mode == modeSolo {
		e.trial = g
		g.trialUntil = now + spanOf(e.work.backlog(), e.rate()) + trialLimit
	}
}

func sharesOf(g *grant) []EngineShare {
	out := make([]EngineShare, 0, len(g.holdings))
	for _, h := range g.holdings {
		cfg := &h.engine.cfg
		out = append(out, EngineShare{Engine: cfg.Name, Address: cfg.Address, Incarnation: h.incarnation, Tokens: h.tokens})
	}
	return out
}

func (c *Core) keep(g *grant) {
	c.grants[g.id] = g
	g.node = c.grantOrder.PushBack(g)
}

// drop forgets a grant and frees what it still holds.
func (c *Core) drop(now core.Micros, g *grant) {
	for _, h := range g.holdings {
		if !h.freed {
			h.engine.remember(g.requestID, now)
			h.engine.free(h)
		}
	}
	delete(c.grants, g.id)
	delete(c.byAsk, g.ask)
	c.grantOrder.Remove(g.node)
	c.tombstones[g.id] = true
	c.ended = append(c.ended, tombstone{g.id, now})
}

// release ends a grant. After a lost connection the engine may go on for its resume window, so the memory is freed only
// once it no longer reports the request.
func (c *Core) release(ev GrantReleased) {
	g := c.grants[ev.GrantID]
	if g == nil {
		return
	}
	if ev.Outcome == OutcomeComplete {
		c.noteHold(ev.Now - g.at)
	}
	if ev.Outcome == OutcomeLost {
		c.end(ev.Now, g)
		return
	}
	if ev.Outcome == OutcomeRefused {
		for _, h := range g.holdings {
			h.engine.coolUntil = ev.Now + coolDown
		}
	}
	c.drop(ev.Now, g)
}

// end waits for the engines before the memory is freed.
func (c *Core) end(now core.Micros, g *grant) {
	if g.ending {
		return
	}
	g.ending, g.endingAt = true, now
	c.settle(now, g)
}

// settle frees the holdings of an ending grant whose engines are done with it.
func (c *Core) settle(now core.Micros, g *grant) {
	left := false
	for _, h := range g.holdings {
		if !h.freed && h.engine.doneWith(now, g) {
			h.engine.free(h)
			g.broken = true
		}
		left = left || !h.freed
	}
	if !left {
		c.drop(now, g)
	}
}

// doneWith reports whether an engine no longer holds memory for an ending grant: it is dead, or a report that cannot
// lag behind the end does not show the request.
func (e *engineState) doneWith(now core.Micros, g *grant) bool {
	if e.silent(now) {
		return true
	}
	return e.report.AskedAt > g.endingAt+reportLag && !e.shows(g)
}

// renew extends known grants, adopts unknown ones and lists those that cannot go on.
func (c *Core) renew(ev GrantsRenewed) {
	expires := ev.Now + grantLife
	var lost []string
	for i := range ev.Grants {
		if !c.renewOne(ev.Now, expires, &ev.Grants[i]) {
			lost = append(lost, ev.Grants[i].GrantID)
		}
	}
	c.emit(Renewed{Call: ev.Call, Lost: lost, Expires: expires})
}

func (c *Core) renewOne(now, expires core.Micros, held *HeldGrant) bool {
	g := c.grants[held.GrantID]
	switch {
	case g == nil && c.tombstones[held.GrantID]:
		return false
	case g == nil:
		return c.adopt(now, expires, held)
	case g.broken:
		c.end(now, g)
		return false
	}
	// The gate has the answer, so the grant no longer depends on the call that asked for it.
	delete(c.byAsk, g.ask)
	g.expires, g.ending = expires, false
	return true
}

// adopt takes in a grant of an earlier allocator, even beyond the memory of its engines: the engines hold it already.
func (c *Core) adopt(now, expires core.Micros, held *HeldGrant) bool {
	g := &grant{id: held.GrantID, requestID: held.RequestID, at: now, expires: expires}
	for _, share := range held.Engines {
		e := c.byName[share.Engine]
		if e == nil || e.report != nil && e.incarnation() != share.Incarnation {
			return false
		}
		class := c.policy.classOf(share.Tokens)
		g.holdings = append(g.holdings, &holding{
			grant: g, engine: e, incarnation: share.Incarnation, class: class, tokens: share.Tokens, at: now,
		})
	}
	if len(g.holdings) == 0 {
		return false
	}
	for _, h := range g.holdings {
		h.engine.add(h)
		if h.engine.report != nil {
			h.engine.reconcile()
		}
	}
	c.keep(g)
	return true
}

// sweep ends expired grants, frees what engines are done with and forgets old ids.
func (c *Core) sweep(now core.Micros) {
	for node := c.grantOrder.Front(); node != nil; {
		g := node.Value.(*grant)
		node = node.Next()
		if !g.ending && now >= g.expires {
			g.ending, g.endingAt = true, now
		}
		if g.ending {
			c.settle(now, g)
		}
	}
	kept := 0
	for kept < len(c.ended) && now-c.ended[kept].at >= tombstoneLife {
		delete(c.tombstones, c.ended[kept].id)
		kept++
	}
	c.ended = c.ended[kept:]
	c.forgetRemoved()
}

// armSweep keeps the sweep timer running while there is something to sweep.
func (c *Core) armSweep(now core.Micros) {
	if c.sweepAt > now || len(c.grants)+len(c.ended) == 0 {
		return
	}
	c.sweepAt = now + sweepInterval
	c.emit(SetTimer{Key: timerSweep, At: c.sweepAt})
}
