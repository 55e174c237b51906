package alloccore

import (
	"container/list"
	"strconv"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// grantTTL is how long a grant is valid without renewal.
	grantTTL = 15 * core.Second
	// sweepInterval is the interval between checks for expired grants.
	sweepInterval = core.Second
	// tombstoneTTL is how long the id of an ended grant is kept, so that a renewal that arrives after the release does not
	// restore the grant.
	tombstoneTTL = 30 * core.Second
)

// grant is the engine memory reserved for one attempt.
type grant struct {
	id        string
	call      uint64
	requestID string
	// attempt is 0 for adopted grants, because renewals do not carry it.
	attempt   int
	adapter   string
	mode      suspectMode
	grantedAt core.Micros
	expires   core.Micros
	// trialUntil is when a solo trial ends if no report has shown its end.
	trialUntil core.Micros
	holdings   []*allocation
	// ending is set when the grant expired, its connection was lost or its renewal was rejected. Its memory is freed once
	// the engines no longer report the request.
	ending   bool
	endingAt core.Micros
	// invalid is set when memory of the grant was freed before the grant ended, for example because an engine restarted.
	// Such a grant cannot be renewed.
	invalid bool
	node    *list.Element
}

// tombstone records the id of an ended grant.
type tombstone struct {
	id string
	at core.Micros
}

// commit grants a queued request.
func (c *Core) commit(now core.Micros, ent *entry, plan []candidate) {
	c.grantSerial++
	g := &grant{
		id: c.instance + "-" + strconv.FormatUint(c.grantSerial, 10), call: ent.call, requestID: ent.req.RequestID,
		attempt: ent.req.Attempt, adapter: ent.req.Adapter, mode: ent.mode, grantedAt: now, expires: now + grantTTL,
	}
	for i := range plan {
		c.addAllocation(now, g, ent, &plan[i])
	}
	c.addGrant(g)
	c.byCall[ent.call] = g
	c.removeFromQueue(ent, func() { c.queue.removeGranted(now, ent) })
	c.emit(Granted{Call: ent.call, GrantID: g.id, RequestID: g.requestID, Engines: sharesOf(g), Expires: g.expires})
}

// addAllocation reserves memory for one part of a request on its engine.
func (c *Core) addAllocation(now core.Micros, g *grant, ent *entry, cand *candidate) {
	e := cand.engine
	alloc := &allocation{
		grant: g, engine: e, incarnation: e.incarnation(), class: cand.class,
		tokens: cand.tokens, uncached: cand.uncached, at: now,
	}
	g.holdings = append(g.holdings, alloc)
	e.add(alloc)
	e.charge(&c.policy, now, cand.class, cand.uncached)
	if cand.class == ClassShort {
		c.shortPrefill.add(now, cand.uncached)
	}
	e.prefixes.record(ent.req.PrefixHashes)
	if g.mode == modeSolo {
		e.trial = g
		g.trialUntil = now + processingTime(e.work.backlog(), e.rate()) + trialGracePeriod
	}
}

func sharesOf(g *grant) []EngineShare {
	out := make([]EngineShare, 0, len(g.holdings))
	for _, alloc := range g.holdings {
		cfg := &alloc.engine.cfg
		out = append(out, EngineShare{
			Engine: cfg.Name, Address: cfg.Address, Incarnation: alloc.incarnation, Tokens: alloc.tokens,
		})
	}
	return out
}

func (c *Core) addGrant(g *grant) {
	c.grants[g.id] = g
	g.node = c.grantOrder.PushBack(g)
}

// removeGrant removes a grant, frees its remaining allocations and records a tombstone.
func (c *Core) removeGrant(now core.Micros, g *grant) {
	for _, alloc := range g.holdings {
		if !alloc.freed {
			alloc.engine.recordEnded(g.requestID, now)
			alloc.engine.free(alloc)
		}
	}
	delete(c.grants, g.id)
	delete(c.byCall, g.call)
	c.grantOrder.Remove(g.node)
	c.tombstones[g.id] = true
	c.endedGrants = append(c.endedGrants, tombstone{g.id, now})
}

// handleRelease ends a grant. After a lost connection the engine may continue the request for its resume window, so the
// memory is freed only once the engine no longer reports the request.
func (c *Core) handleRelease(ev GrantReleased) {
	g := c.grants[ev.GrantID]
	if g == nil {
		return
	}
	if ev.Outcome == OutcomeComplete {
		c.observeGrantDuration(ev.Now - g.grantedAt)
	}
	if ev.Outcome == OutcomeLost {
		c.endGrant(ev.Now, g)
		return
	}
	if ev.Outcome == OutcomeRefused {
		for _, alloc := range g.holdings {
			alloc.engine.cooldownUntil = ev.Now + refusalCooldown
		}
	}
	c.removeGrant(ev.Now, g)
}

// endGrant marks a grant as ending. Each allocation is freed once its engine no longer runs the request.
func (c *Core) endGrant(now core.Micros, g *grant) {
	if g.ending {
		return
	}
	g.ending, g.endingAt = true, now
	c.freeFinished(now, g)
}

// freeFinished frees the allocations of an ending grant whose engines no longer run the request, and removes the grant
// when none is left.
func (c *Core) freeFinished(now core.Micros, g *grant) {
	remaining := false
	for _, alloc := range g.holdings {
		if !alloc.freed && alloc.engine.finished(now, g) {
			alloc.engine.free(alloc)
			g.invalid = true
		}
		remaining = remaining || !alloc.freed
	}
	if !remaining {
		c.removeGrant(now, g)
	}
}

// finished reports whether an engine no longer holds memory for an ending grant: the engine is presumed dead, or a
// report polled more than reportLag after the end does not list the request.
func (e *engineState) finished(now core.Micros, g *grant) bool {
	if e.presumedDead(now) {
		return true
	}
	return e.report.PolledAt > g.endingAt+reportLag && !e.reportsRequest(g)
}

// handleRenewals extends known grants, adopts unknown ones and returns the ids of grants that cannot be renewed.
func (c *Core) handleRenewals(ev GrantsRenewed) {
	expires := ev.Now + grantTTL
	var lost []string
	for i := range ev.Grants {
		if !c.renewGrant(ev.Now, expires, &ev.Grants[i]) {
			lost = append(lost, ev.Grants[i].GrantID)
		}
	}
	c.emit(Renewed{Call: ev.Call, Lost: lost, Expires: expires})
}

func (c *Core) renewGrant(now, expires core.Micros, held *HeldGrant) bool {
	g := c.grants[held.GrantID]
	switch {
	case g == nil && c.tombstones[held.GrantID]:
		return false
	case g == nil:
		return c.adopt(now, expires, held)
	case g.invalid:
		c.endGrant(now, g)
		return false
	}
	// The gate has received the grant, so abandoning the request must no longer free it.
	delete(c.byCall, g.call)
	g.expires, g.ending = expires, false
	return true
}

// adopt registers a grant issued by an earlier allocator. The grant may exceed the free memory of its engines, because
// they hold the memory already.
func (c *Core) adopt(now, expires core.Micros, held *HeldGrant) bool {
	g := &grant{id: held.GrantID, requestID: held.RequestID, grantedAt: now, expires: expires}
	for _, share := range held.Engines {
		e := c.byName[share.Engine]
		if e == nil || e.report != nil && e.incarnation() != share.Incarnation {
			return false
		}
		class := c.policy.classOf(share.Tokens)
		g.holdings = append(g.holdings, &allocation{
			grant: g, engine: e, incarnation: share.Incarnation, class: class, tokens: share.Tokens, at: now,
		})
	}
	if len(g.holdings) == 0 {
		return false
	}
	for _, alloc := range g.holdings {
		alloc.engine.add(alloc)
		if alloc.engine.report != nil {
			alloc.engine.reconcile()
		}
	}
	c.addGrant(g)
	return true
}

// sweep ends expired grants, frees finished allocations, and drops expired tombstones and removed engines.
func (c *Core) sweep(now core.Micros) {
	for node := c.grantOrder.Front(); node != nil; {
		g := node.Value.(*grant)
		node = node.Next()
		if !g.ending && now >= g.expires {
			g.ending, g.endingAt = true, now
		}
		if g.ending {
			c.freeFinished(now, g)
		}
	}
	expired := 0
	for expired < len(c.endedGrants) && now-c.endedGrants[expired].at >= tombstoneTTL {
		delete(c.tombstones, c.endedGrants[expired].id)
		expired++
	}
	c.endedGrants = c.endedGrants[expired:]
	c.dropRemovedEngines()
}

// setSweepTimer sets the sweep timer if none is pending and grants or tombstones exist.
func (c *Core) setSweepTimer(now core.Micros) {
	if c.sweepTimerAt > now || len(c.grants)+len(c.endedGrants) == 0 {
		return
	}
	c.sweepTimerAt = now + sweepInterval
	c.emit(SetTimer{Key: timerSweep, At: c.sweepTimerAt})
}
