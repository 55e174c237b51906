package dispatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// wideQueueLease is how long a peer's queued prompt keeps its place without being announced again. Its daemon repeats
	// it in each summary, at least once a second.
	wideQueueLease = 2500 * core.Millisecond
	// idleWithin is the pending prefill, in milliseconds, up to which an engine counts as free for a wide prompt.
	idleWithin = 150
	// answerStretch is how much longer an answer takes than decoding alone, since its engine reads other prompts meanwhile.
	answerStretch = 1.3
	// maxWideLossShare is the share of its benefit that a wide prompt may cost the running requests of free engines.
	maxWideLossShare = 0.5
)

// A wide prompt occupies all engines that may read it for longer than queueThresholdMs. It needs many engines that have little
// else to do, and requests that came later would take each of them as it frees. Wide prompts therefore wait in one queue for all
// daemons of the cell, ordered by the time at which their callers leave, and the first one starts once enough engines without
// requests of a shorter pause target are free. Each daemon announces its own entries and repeats them in its summaries; the
// entry of a daemon that falls silent lapses after wideQueueLease. Daemons whose views differ may start two prompts at a time,
// which delays both.

// Queued is a waiting wide prompt as announced between daemons.
type Queued struct {
	ID      uint64
	Service string
	Prompt  int
	// EndIn is the remaining time until the caller leaves.
	EndIn     core.Micros
	Workspace uint64 `json:",omitempty"`
	// Fingerprint is that of the request, by which peers count it once if it is refused several times.
	Fingerprint uint64 `json:",omitempty"`
}

// queuedPrompt is a place in the queue of wide prompts.
type queuedPrompt struct {
	id        uint64
	peer      string // empty for this daemon
	service   string
	cost      float64 // of the whole prefill, ms
	workspace uint64
	// fingerprint is that of the request; 0 if it is unknown.
	fingerprint uint64
	prompt      int
	end         core.Micros
	// lapses is when the place is given up unless the peer announces it again.
	lapses core.Micros
}

// before reports whether q comes before other in the queue. The share of a workspace counts like some more or less time until the
// caller leaves, so that it decides among prompts of about the same urgency only.
func (q *queuedPrompt) before(now core.Micros, svc *service, other *queuedPrompt) bool {
	return cmp.Or(cmp.Compare(q.urgency(now, svc), other.urgency(now, svc)), cmp.Compare(q.id, other.id)) < 0
}

func (q *queuedPrompt) urgency(now core.Micros, svc *service) core.Micros {
	return q.end + core.Micros(svc.shareClass(now, q.workspace))*shareUrgency
}

// isWide reports whether a prompt waits in the queue of wide prompts. With few engines there are hardly ever enough free ones.
func (s *service) isWide(w *Work) bool {
	return s.Model != nil && len(s.servers) > fewEngines && s.Model.PrefillMs(w.Prompt) > queueThresholdMs*(maxHelpers+1)
}

// lastStart is the latest time for the first event of a request: then its caller leaves without one, or the answer of a long prompt does
// not end before the caller's time limit. Short prompts leave engines soon, and the estimates of their answers are often far
// too long: with the same rule for them 233 requests were refused on a day with 26 refusals.
func (s *service) lastStart(w *Work) core.Micros {
	if s.Model == nil || w.Prompt <= longTokens {
		return min(w.AbandonAt, w.Deadline)
	}
	return min(w.AbandonAt, w.Deadline-s.longAnswer(w))
}

// longAnswer returns how long the answer to a long prompt takes from its first event on.
func (s *service) longAnswer(w *Work) core.Micros {
	context := min(w.Prompt, int(maxShardShare*float64(s.Model.KVTokens)))
	return micros(answerStretch * s.Model.AnswerMs(w.Answer, s.Model.Slots/2, context))
}

// enqueueWide returns the place of a request of this daemon in the queue of wide prompts.
func (c *Core) enqueueWide(now core.Micros, w *Work, svc *service) *queuedPrompt {
	if q := c.wideQueue[w.ID]; q != nil {
		return q
	}
	q := &queuedPrompt{
		id: w.ID, service: w.Service, cost: svc.Model.PrefillMs(w.Prompt), workspace: w.Workspace, fingerprint: w.Fingerprint,
		prompt: w.Prompt, end: svc.lastStart(w), lapses: svc.lastStart(w),
	}
	c.wideQueue[w.ID] = q
	c.emit(AnnounceQueued{Queued: q.announced(now)})
	svc.recordWait(now)
	svc.withdrawRefusal(now, w.Workspace, w.Fingerprint)
	return q
}

func (q *queuedPrompt) announced(now core.Micros) Queued {
	return Queued{
		ID: q.id, Service: q.service, Prompt: q.prompt, EndIn: q.end - now, Workspace: q.workspace, Fingerprint: q.fingerprint,
	}
}

// leaveWideQueue gives up the place of a request of this daemon. The message about it ends any wait of the request at the peers, so that
// it has to be announced again if it waits on.
func (c *Core) leaveWideQueue(id uint64) {
	if c.wideQueue[id] != nil {
		delete(c.wideQueue, id)
		delete(c.announcedWaiting, id)
		c.emit(AnnounceEnd{ID: id})
	}
}

func (c *Core) peerQueued(e PeerQueued) {
	svc := c.services[e.Queued.Service]
	if svc == nil || svc.Model == nil || c.jobs[e.Queued.ID] != nil {
		return
	}
	delete(c.peersAsking, e.Queued.ID) // more engines have come, so that the prompt is wide now
	end := e.Now + e.Queued.EndIn
	c.wideQueue[e.Queued.ID] = &queuedPrompt{
		id: e.Queued.ID, peer: e.Peer, service: e.Queued.Service, cost: svc.Model.PrefillMs(e.Queued.Prompt), end: end,
		workspace: e.Queued.Workspace, fingerprint: e.Queued.Fingerprint, prompt: e.Queued.Prompt,
		lapses: min(end, e.Now+wideQueueLease),
	}
	svc.recordWait(e.Now)
	svc.withdrawRefusal(e.Now, e.Queued.Workspace, e.Queued.Fingerprint)
}

// dropQueued removes the queued prompts of a peer except those listed.
func (c *Core) dropQueued(peer string, except []uint64) {
	for id, q := range c.wideQueue {
		if q.peer == peer && !slices.Contains(except, id) {
			delete(c.wideQueue, id)
		}
	}
}

// QueuedPrompts returns the wide prompts of this daemon that wait, in no particular order.
func (c *Core) QueuedPrompts(now core.Micros) []Queued {
	var out []Queued
	for _, w := range c.waiting {
		if q := c.wideQueue[w.ID]; q != nil {
			out = append(out, q.announced(now))
		}
	}
	return out
}

// QueueLength returns the number of wide prompts of all daemons of the cell that wait, as known here.
func (c *Core) QueueLength() int { return len(c.wideQueue) }

// aheadOf returns the total prefill time in milliseconds of the wide prompts that come before q, and their number.
func (c *Core) aheadOf(now core.Micros, q *queuedPrompt) (cost float64, count int) {
	svc := c.services[q.service]
	for _, other := range c.wideQueue {
		if other != q && other.service == q.service && other.lapses > now && other.before(now, svc, q) {
			cost += other.cost
			count++
		}
	}
	return cost, count
}

// wideDemand returns the number of engines that should come free for the queue of a service: those of one wide prompt, if any
// other than the given request waits.
func (c *Core) wideDemand(now core.Micros, w *Work) float64 {
	for id, q := range c.wideQueue {
		if id != w.ID && q.service == w.Service && q.lapses > now {
			return maxHelpers + 1
		}
	}
	return 0
}

// assignOrRefuseWide is assignOrRefuse for wide prompts.
func (c *Core) assignOrRefuseWide(now core.Micros, w *Work, svc *service, ahead int) bool {
	if !svc.canHold(w) {
		c.refuseOversized(w)
		return true
	}
	if c.refuseInShortage(now, w, svc, ahead) {
		return true
	}
	q := c.enqueueWide(now, w, svc)
	aheadMs, count := c.aheadOf(now, q)
	if count == 0 {
		if o := c.wideOption(now, w, svc); o != nil {
			c.assign(now, w, o)
			return true
		}
	}
	wait := micros(aheadMs / float64(len(svc.servers)))
	if c.refuseByStop(now, w, svc, wait+micros(q.cost/(maxHelpers+1))) {
		return true
	}
	if now+wait+micros(q.cost/(maxHelpers+1)) > q.end {
		c.refuse(now, w, max(retryAfter, wait), "the prompts that wait and this one take longer to read than its caller waits")
		return true
	}
	return false
}

// wideOption plans the first prompt of the queue, on free engines or else by the rule for all other prompts. It returns nil if
// the prompt should wait.
func (c *Core) wideOption(now core.Micros, w *Work, svc *service) *option {
	o := c.freeEnginesOption(now, w, svc)
	if o == nil {
		o = c.bestOption(now, w, svc)
		if o == nil || o.loss-o.refusalLoss >= c.shareLimit(now, svc, w) || c.shouldWait(now, w, o) {
			return nil
		}
	}
	if now+micros(o.firstMs) > c.lastStart(w, svc) {
		return nil
	}
	return o
}

// freeEnginesOption plans a wide prompt on engines that are free, without a charge for the queues that it leaves there: the
// queue of wide prompts bounds these. It returns nil if too few are free.
func (c *Core) freeEnginesOption(now core.Micros, w *Work, svc *service) *option {
	cost := svc.Model.PrefillMs(w.Prompt) / (maxHelpers + 1)
	benefit := estimateBenefit(w.Prompt, w.Answer)
	free := slices.DeleteFunc(c.candidates(now, w, svc), func(s *candidate) bool {
		return s.pending > idleWithin || s.hasShortPauseJob(w.MaxPause-1)
	})
	if len(free) < maxHelpers+1 {
		return nil
	}
	for _, s := range free {
		s.queueLossPerMs = 0
		s.delayLoss = s.predictDelayLoss(now, cost*s.slowdown)
		s.loss = s.delayLoss + loadLossPerMs*(s.pass+s.pending) + (s.failureRate+s.refusalRate)*benefit
	}
	slices.SortStableFunc(free, func(a, b *candidate) int { return cmp.Compare(a.loss+a.preference, b.loss+b.preference) })
	o := memoryOption(svc, w, free)
	if o == nil {
		return nil
	}
	for _, s := range free {
		if len(o.helpers) < maxHelpers && s != o.lead && !slices.Contains(o.helpers, s) {
			o.helpers = append(o.helpers, s)
		}
	}
	for _, s := range append([]*candidate{o.lead}, o.helpers...) {
		o.firstMs = max(o.firstMs, s.finishMs(cost*s.slowdown))
		o.transientLoss += s.delayLoss
	}
	if o.transientLoss > maxWideLossShare*benefit {
		return nil
	}
	o.loss = o.transientLoss + benefit*ownLatenessLossShare(now, w, o.firstMs)
	return o
}

// memoryOption chooses the engines that hold a prompt from free ones, sorted by loss: as few as possible.
func memoryOption(svc *service, w *Work, free []*candidate) *option {
	need := w.Prompt + w.Answer
	for _, s := range free {
		if s.freeSlots() > 0 && s.freeMemory() >= need && need <= int(math.Floor(float64(svc.Model.KVTokens)*maxShardShare)) {
			return &option{lead: s}
		}
	}
	for k := fewestShards(svc.Model, w); k <= maxHelpers+1; k++ {
		if o := evenShards(free, need, k); o != nil {
			return o
		}
	}
	return nil
}
