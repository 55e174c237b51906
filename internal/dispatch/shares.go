package dispatch

import (
	"math"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/fairshare"
)

const (
	// aboveShareLimit and belowShareLimit are the largest loss that a request may cause, as a multiple of the usual limit, if its
	// workspace is above or below its share. A request that will be late loses 0.75 of its benefit, so that limits up to that keep it
	// back; with 0.9 small workspaces gained a third as much in a burst of long prompts (docs/design/fair-shares.md).
	aboveShareLimit = 0.5
	belowShareLimit = 1.1
	// shareShift is how much later a request of a workspace above its share comes among those that wait, and how much earlier one below
	// it. It is the usual target for the first event of a short request; targets of long ones are seconds.
	shareShift = 300 * core.Millisecond
	// shareUrgency is how much later a wide prompt of a workspace above its share comes in the queue, and how much earlier one
	// below it.
	shareUrgency = 1500 * core.Millisecond
	// minDemandWait is how long a request waits before it counts as demand. Many requests wait for some evaluations for a better choice of
	// engines, also without competition.
	minDemandWait = 50 * core.Millisecond
	// engineMsParts is the number of parts of a millisecond to which engine times are rounded.
	engineMsParts = 1024
)

// Workspaces get shares of engine time by weight while they compete for the engines of a service (internal/fairshare). Each
// daemon keeps the use of all daemons from its own placements and those announced to it, so that all of them compare alike up
// to the delay of the announcements. Services without a cost model have no shares: their servers' time is not known. Without the
// setting fairShares no service has shares.

// nextLedger returns the ledger of a service after a change, given the service before it.
func nextLedger(before *service, e ServersChanged) *fairshare.Ledger {
	switch {
	case !e.FairShares:
		return nil
	case before == nil || before.shares == nil:
		return fairshare.New(e.WorkspaceWeights)
	}
	before.shares.SetWeights(e.WorkspaceWeights)
	return before.shares
}

// hasShares reports whether the use of the service's engines is counted by workspace.
func (s *service) hasShares() bool { return s != nil && s.Model != nil && s.shares != nil }

// engineMs returns the engine time of a request in milliseconds: its prefill, and the part of a slot of an engine for the answer. It is
// rounded to a binary fraction, so that sums over waiting requests are exact and do not depend on the order of a map.
func (s *service) engineMs(prompt, answer int) float64 {
	slots := max(1, s.Model.Slots)
	return math.Round(engineMsParts*(s.Model.PrefillMs(prompt)+s.Model.AnswerMs(answer, slots, 0)/float64(slots))) / engineMsParts
}

// withdrawRefusal takes back what an earlier refusal of a request counted that waits or is placed now. It reports whether there was one.
func (s *service) withdrawRefusal(now core.Micros, workspace, fingerprint uint64) bool {
	return s.hasShares() && s.shares.Withdraw(now, workspace, fingerprint)
}

// recordUse counts a job of any daemon.
func (s *service) recordUse(now core.Micros, j *job) {
	if s.hasShares() {
		s.shares.Use(now, j.workspace, s.engineMs(j.prompt, j.answer))
	}
}

// recordUnserved counts a request of any daemon that was refused, or whose caller left before it was placed.
func (s *service) recordUnserved(now core.Micros, workspace, fingerprint uint64, prompt, answer int) {
	if s.hasShares() {
		s.shares.Unserved(now, workspace, fingerprint, s.engineMs(prompt, answer))
	}
}

// recordWait records that a request of any daemon waits.
func (s *service) recordWait(now core.Micros) {
	if s.hasShares() {
		s.shares.Contend(now)
	}
}

// shareClass returns how the use of a workspace compares with its share.
func (s *service) shareClass(now core.Micros, workspace uint64) fairshare.Class {
	if !s.hasShares() {
		return fairshare.Within
	}
	return s.shares.Class(now, workspace)
}

// recordWaiting tells the ledgers what the waiting requests of all daemons ask for. Long prompts wait for seconds before they are placed
// or refused: without it the demand of a burst shows only when most of it is over.
func (c *Core) recordWaiting(now core.Micros) {
	var due map[string]map[uint64]float64
	for name, svc := range c.services {
		if svc.hasShares() && svc.shares.WaitingDue(now) {
			if due == nil {
				due = map[string]map[uint64]float64{}
			}
			due[name] = map[uint64]float64{}
		}
	}
	if due == nil {
		return
	}
	c.addWaitingDemand(now, due)
	for name, engineMs := range due {
		c.services[name].shares.SetWaiting(now, engineMs)
	}
}

// addWaitingDemand adds the engine time in milliseconds that waiting requests ask for, by service and workspace. Services that are
// not in the map are left out.
func (c *Core) addWaitingDemand(now core.Micros, demand map[string]map[uint64]float64) {
	for _, w := range c.waiting {
		svc, out := c.services[w.Service], demand[w.Service]
		if out != nil && (now >= w.Arrived+minDemandWait || svc.isWide(w)) {
			out[w.Workspace] += svc.engineMs(w.Prompt, w.Answer)
		}
	}
	for _, a := range c.peersAsking {
		if out := demand[a.service]; out != nil && a.lapses > now && now >= a.lapses-askingLease+minDemandWait {
			out[a.workspace] += c.services[a.service].engineMs(a.prompt, a.answer)
		}
	}
	for _, q := range c.wideQueue {
		if out := demand[q.service]; out != nil && q.peer != "" && q.lapses > now {
			out[q.workspace] += c.services[q.service].engineMs(q.prompt, 0)
		}
	}
}

// asking is what a peer's request asks for that has waited and is neither placed nor refused yet. It is kept for longer than the
// place in the common order (peerWaiting), which lapses before long prompts are refused.
type asking struct {
	peer, service          string
	workspace, fingerprint uint64
	prompt, answer         int
	lapses                 core.Micros
}

// endPeerWait records the end of a wait of a peer's request that was not placed.
func (c *Core) endPeerWait(now core.Micros, id uint64) {
	if q := c.wideQueue[id]; q != nil {
		c.services[q.service].recordUnserved(now, q.workspace, q.fingerprint, q.prompt, 0)
	} else if a, ok := c.peersAsking[id]; ok {
		c.services[a.service].recordUnserved(now, a.workspace, a.fingerprint, a.prompt, a.answer)
	}
	delete(c.wideQueue, id)
	delete(c.peersWaiting, id)
	delete(c.peersAsking, id)
}

// shareLimit returns the loss up to which a request is accepted, given the share of its workspace.
func (c *Core) shareLimit(now core.Micros, svc *service, w *Work) float64 {
	limit := c.admissionLimit(now, svc, w)
	switch svc.shareClass(now, w.Workspace) {
	case fairshare.Above:
		return limit * aboveShareLimit
	case fairshare.Below:
		return limit * belowShareLimit
	case fairshare.Within:
	}
	return limit
}
