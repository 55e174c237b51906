package dispatch

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// maxAdmissionFactor, fewEngines and enginesPerFactor determine admissionFactor while at most freeBusyShare of the engines prefill;
	// it falls to 1 at fullBusyShare.
	maxAdmissionFactor = 2.5
	fewEngines         = 14
	enginesPerFactor   = 14
	freeBusyShare      = 0.5
	fullBusyShare      = 0.8
	// hugeTokens is the length from which the prefill of a prompt occupies more than ten engines for a second.
	hugeTokens = 300_000
	// lateLossShare is the share of its benefit that a late request loses.
	lateLossShare = 0.75
	// The predicted probability of being late grows linearly from 0 at onTimeRatio times the target to 1 at lateRatio
	// times the target. The band covers the unknown position within the current pass.
	onTimeRatio = 0.75
	lateRatio   = 1.15
	// A request of unitBenefitTokens tokens (the prompt, plus answerWeight times the answer) has a benefit of one; only
	// the ratio between requests matters. Up to longTokens the benefit grows faster than the length, as the engine time
	// does: users state 1.3, 4.2 and 21 for mean lengths of 22,000, 55,000 and 162,000. Beyond that it grows linearly,
	// as it does among requests of one kind.
	unitBenefitTokens = 20_000
	answerWeight      = 10
	benefitExponent   = 1.375
	longTokens        = 160_000
	longBenefitBase   = 0.3
	minBenefit        = 0.3
	// freeEngineLossShare is the share of its benefit charged to the first request with a short pause target on an
	// engine, since an engine without such requests can prefill long prompts without delaying any of them. The charge
	// falls to minFreeEngineDemand of that once spareEngines more such engines are free than long prompts need.
	freeEngineLossShare = 0.3
	minFreeEngineDemand = 0.05
	spareEngines        = 3
	// prefillHeadroom is the number of engines kept free for each engine that prefill of long prompts keeps busy on
	// average.
	prefillHeadroom = 1.4
	// prefillLoadDecayTime is the time constant of the moving average of prefill load.
	prefillLoadDecayTime = 3 * core.Second
	// An engine with more than queueThresholdMs of pending prefill delays later requests. queueLossPerMs is charged for
	// each millisecond beyond, since an engine earns about four units of benefit per second. Less is charged while the
	// running requests have less than fullLoadBenefit per engine.
	queueThresholdMs = 700
	queueLossPerMs   = 0.006
	fullLoadBenefit  = 3
	// minPartMs is the least time that an engine spends on a part of a prompt. A prompt starts when the passes of all its engines
	// have ended; smaller parts save less than that costs.
	minPartMs = 40
	// helperFailureProbability is the probability that a helper fails during prefill, which fails the whole request.
	helperFailureProbability = 0.0005
	// loadLossPerMs breaks ties in favour of engines with less pending work.
	loadLossPerMs = 0.00002
	// Daemons learn of each other's choices some milliseconds late. To keep them from choosing the same engine
	// meanwhile, each request has preferences among engines worth up to preferenceLossPerDaemon for each daemon. With
	// 60 daemons and no preferences, most late prompts had collided with others placed within 20 ms.
	preferenceLossPerDaemon = 0.00015
)

// prefillEngineCounts are the numbers of engines considered for one prompt: the lead and up to maxHelpers helpers.
var prefillEngineCounts = []int{1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17}

// estimateBenefit estimates the benefit of a request from its length in tokens.
func estimateBenefit(prompt, answer int) float64 {
	size := float64(prompt + answerWeight*answer)
	benefit := math.Pow(min(size, longTokens)/unitBenefitTokens, benefitExponent)
	if size > longTokens {
		benefit *= longBenefitBase + (1-longBenefitBase)*size/longTokens
	}
	return max(minBenefit, benefit)
}

// admissionLimit returns the loss up to which a request is accepted. It answers loads in which long prompts keep the
// engines busy: the benefit of a prompt over longTokens grows linearly and the time of the engines that it needs with the
// square of its length, so that the longest prompts would hardly ever be served. For them the limit grows while they wait,
// fast at first, from the benefit to what the same time of the engines earns with a prompt of longTokens, but at most to
// the benefit times admissionFactor. While a prompt over hugeTokens is prefilled, no other one may cause more loss than
// its benefit.
func (c *Core) admissionLimit(now core.Micros, svc *service, w *Work) float64 {
	benefit := estimateBenefit(w.Prompt, w.Answer)
	usual := svc.Model.PrefillMs(longTokens)
	if w.Prompt <= longTokens || usual <= 0 || c.prefillsHugePrompt(w.Service) {
		return benefit
	}
	full := estimateBenefit(longTokens, w.Answer) * svc.Model.PrefillMs(w.Prompt) / usual
	waited := min(1, float64(now-w.Arrived)/max(1, float64(svc.longestWait(w))))
	busy := c.prefillLoads.load(now, w.Service, -1) / float64(max(1, len(svc.servers)))
	return min(admissionFactor(len(svc.servers), busy)*benefit, benefit+max(0, full-benefit)*math.Sqrt(waited))
}

// admissionFactor returns the largest loss that a long prompt may cause, as a multiple of its benefit; busy is the average
// share of the engines that prefill. Few engines have no room beside such a prompt: with 14 engines and a factor of 1.6,
// other requests lost more than such prompts gained. Engines that are busy anyway are left to the prompts that earn most.
func admissionFactor(engines int, busy float64) float64 {
	room := min(1, max(0, (fullBusyShare-busy)/(fullBusyShare-freeBusyShare)))
	return 1 + min(maxAdmissionFactor-1, float64(max(0, engines-fewEngines))/enginesPerFactor)*room
}

// prefillsHugePrompt reports whether engines of a service prefill a prompt over hugeTokens.
func (c *Core) prefillsHugePrompt(service string) bool {
	for _, j := range c.jobs {
		if j.service == service && !j.decoding && j.prompt > hugeTokens {
			return true
		}
	}
	return false
}

// EstimateBenefit estimates the benefit of a request from its length in tokens. Only ratios between requests matter.
func EstimateBenefit(prompt, answer int) float64 { return estimateBenefit(prompt, answer) }

// lateProbability returns the probability that an event with the given predicted delay comes later than target.
func lateProbability(predicted, target float64) float64 {
	if target <= 0 {
		return 0
	}
	x := (predicted/target - onTimeRatio) / (lateRatio - onTimeRatio)
	return min(1, max(0, x))
}

func ms(m core.Micros) float64 { return float64(m) / float64(core.Millisecond) }

func micros(ms float64) core.Micros { return core.Micros(ms * float64(core.Millisecond)) }

// candidate is a server considered for one request.
type candidate struct {
	*server
	pass, pending float64 // ms
	// queueLossPerMs is the loss for each millisecond by which pending prefill exceeds queueThresholdMs.
	queueLossPerMs float64
	delayLoss      float64
	// loss is delayLoss plus the losses for load and failures.
	loss float64
	// leadLoss is loss plus that of leading the request, for comparisons.
	leadLoss float64
	// preference is a small loss that differs between requests. It counts only in comparisons of servers.
	preference float64
	// roundTripMs is the time by which an answer comes later from the failure domain of the server, and domainLoss the price of leaving
	// for it.
	roundTripMs, domainLoss float64
	// refusalRate is by how much more the server refuses than the one that refuses least.
	refusalRate float64
}

// preference returns a pseudo-random number in [0,1) that is fixed for each pair of request and server.
func preference(w *Work, s *server) float64 {
	const bits = 32
	var id [8]byte
	binary.LittleEndian.PutUint64(id[:], w.ID)
	d := xxhash.NewWithSeed(s.idHash)
	_, _ = d.Write(id[:]) // a Digest never returns an error
	return float64(d.Sum64()>>(64-bits)) / (1 << bits)
}

// predictDelayLoss predicts the loss of the requests on a server if it prefills for cost more milliseconds.
func (c *candidate) predictDelayLoss(now core.Micros, cost float64) float64 {
	before := c.pass + c.pending
	after := before + cost
	loss := c.queueLossPerMs * (max(0, c.pending+cost-queueThresholdMs) - max(0, c.pending-queueThresholdMs))
	for _, j := range c.jobs {
		if j.late {
			continue
		}
		if j.decoding || !c.hasPrefill(j) { // the report of a peer's first event can be on its way
			pause := ms(j.maxPause)
			loss += j.benefit * lateLossShare * (lateProbability(after, pause) - lateProbability(before, pause))
			continue
		}
		left := ms(j.firstEventDue - now)
		if left > 0 {
			loss += j.benefit * lateLossShare * (lateProbability(after, left) - lateProbability(before, left))
		}
	}
	return loss
}

// predictLoss sets delayLoss and loss for a request of the given benefit, whose part of the prompt takes cost milliseconds.
func (c *candidate) predictLoss(now core.Micros, cost, benefit float64) {
	c.delayLoss = c.predictDelayLoss(now, cost)
	c.loss = c.delayLoss + loadLossPerMs*(c.pass+c.pending) + c.failureRate*benefit
}

// finishMs predicts the time from now until a prefill part of cost milliseconds is done.
func (c *candidate) finishMs(cost float64) float64 {
	return c.roundTripMs + c.pass/2 + c.pass + c.pending + cost
}

// freeEngineLoss returns the loss of placing the first request with a pause target of at most pause on the engine.
func (c *candidate) freeEngineLoss(pause core.Micros, benefit float64, demand float64) float64 {
	if c.hasShortPauseJob(pause) {
		return 0
	}
	return freeEngineLossShare * benefit * demand
}

// hasShortPauseJob reports whether the engine has a job whose pause target is at most pause.
func (c *candidate) hasShortPauseJob(pause core.Micros) bool {
	for _, j := range c.jobs {
		if j.maxPause <= pause {
			return true
		}
	}
	return false
}

// freeEngineDemand returns how much long prompts need the engines without short-pause jobs: 1 if all are needed, down
// to minFreeEngineDemand if enough are spare.
func (c *Core) freeEngineDemand(now core.Micros, w *Work, list []*candidate) float64 {
	free := -1.0
	for _, s := range list {
		if !s.hasShortPauseJob(w.MaxPause) {
			free++
		}
	}
	needed := prefillHeadroom*c.prefillLoads.load(now, w.Service, w.MaxPause) + c.wideDemand(now, w)
	spare := (free - needed) / spareEngines
	return min(1, max(minFreeEngineDemand, 1-spare))
}

// option is a way to run a request.
type option struct {
	lead         *candidate
	helpers      []*candidate
	reservations []reservation
	firstMs      float64
	loss         float64
	// transientLoss is the part of the loss that may shrink if the request waits.
	transientLoss float64
	// refusalLoss is the part of the loss for a lead that refuses more than others; helpers take their parts from the lead. It says nothing
	// against the request, whose first arrival costs nobody anything.
	refusalLoss float64
}

// engineOption returns the option with the least predicted loss among those whose answer can end in time, or among all if there are
// none. It returns nil if no engine can lead now.
func (c *Core) engineOption(now core.Micros, w *Work, list []*candidate) *option {
	var best *option
	lastStart := c.lastStart(w, c.services[w.Service])
	startsInTime := func(o *option) bool { return now+micros(o.firstMs) <= lastStart }
	demand := c.freeEngineDemand(now, w, list)
	for _, n := range prefillEngineCounts {
		if n > len(list) || n > 1 && list[0].model.PrefillMs(w.Prompt)/float64(n) < minPartMs {
			break
		}
		o := c.prefillOption(now, w, list, n, demand)
		switch {
		case o == nil:
		case best == nil, startsInTime(o) && !startsInTime(best):
			best = o
		case startsInTime(o) == startsInTime(best) && o.loss < best.loss:
			best = o
		}
		if best != nil && best.transientLoss == 0 && startsInTime(best) {
			break // no request is delayed, so more engines cannot lower the loss
		}
	}
	return best
}

// prefillOption returns the best option with n engines that prefill the prompt, or nil if there is none.
func (c *Core) prefillOption(now core.Micros, w *Work, list []*candidate, n int, demand float64) *option {
	model := list[0].model
	cost := model.PrefillMs(w.Prompt) / float64(n)
	benefit := estimateBenefit(w.Prompt, w.Answer)
	for _, s := range list {
		s.predictLoss(now, cost*s.slowdown, benefit)
	}
	skip := 0
	if n == 1 {
		skip = c.peersBefore(now, w)
	}
	lead := c.bestLead(w, list, benefit, demand, skip)
	if lead == nil {
		return nil
	}
	o := &option{lead: lead, transientLoss: lead.delayLoss, refusalLoss: lead.refusalRate * benefit}
	o.loss = lead.loss + lead.freeEngineLoss(w.MaxPause, benefit, demand) + lead.domainLoss + o.refusalLoss
	o.helpers = bestHelpers(list, lead, n-1)
	if len(o.helpers) < n-1 {
		return nil
	}
	o.firstMs = lead.finishMs(cost * lead.slowdown)
	for _, h := range o.helpers {
		o.firstMs = max(o.firstMs, h.finishMs(cost*h.slowdown))
		o.transientLoss += h.delayLoss
		o.loss += h.loss + helperFailureProbability*benefit
	}
	late := benefit * ownLatenessLossShare(now, w, o.firstMs)
	o.transientLoss += late
	o.loss += late
	return o
}

// ownLatenessLossShare returns the share of its benefit that a request is predicted to lose if its first event comes in
// firstMs.
func ownLatenessLossShare(now core.Micros, w *Work, firstMs float64) float64 {
	sinceArrival := ms(now-w.Arrived) + firstMs
	loss := lateLossShare * lateProbability(sinceArrival, ms(w.FirstEventDue-w.Arrived))
	return loss + (1-lateLossShare)*lateProbability(sinceArrival, ms(min(w.AbandonAt, w.Deadline)-w.Arrived))
}

// bestLead returns the engine with the least loss among those with a free slot and memory for the whole request, or nil. The
// first ones, as many as skip says, are left to others. Requests that have waited see them in the same order, without preferences.
func (c *Core) bestLead(w *Work, list []*candidate, benefit, demand float64, skip int) *candidate {
	need := w.Prompt + w.Answer
	var able []*candidate
	for _, s := range list {
		if s.freeSlots() <= 0 || s.freeMemory() < need {
			continue
		}
		s.leadLoss = s.loss + s.domainLoss + s.refusalRate*benefit + s.freeEngineLoss(w.MaxPause, benefit, demand)
		able = append(able, s)
	}
	if len(able) <= skip {
		return nil
	}
	if !c.usesCommonOrder(w) && skip == 0 {
		return slices.MinFunc(able, func(a, b *candidate) int { return cmp.Compare(a.leadLoss+a.preference, b.leadLoss+b.preference) })
	}
	slices.SortStableFunc(able, func(a, b *candidate) int { return cmp.Compare(a.leadLoss, b.leadLoss) })
	return able[skip]
}

// bestHelpers returns up to n engines with the least loss, other than the lead.
func bestHelpers(list []*candidate, lead *candidate, n int) []*candidate {
	if n == 0 {
		return nil
	}
	others := slices.DeleteFunc(slices.Clone(list), func(s *candidate) bool { return s == lead })
	slices.SortStableFunc(others, func(a, b *candidate) int {
		return cmp.Compare(a.loss+a.preference, b.loss+b.preference)
	})
	return others[:min(n, len(others))]
}
