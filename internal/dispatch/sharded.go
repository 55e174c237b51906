package dispatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/enginecost"
)

// maxShardShare is the largest share of an engine's memory that one shard of a prompt may occupy. It leaves room for
// other requests on engines with a shard, and for a shard on engines with other requests.
const maxShardShare = 0.6

// shardedOption plans a prompt that exceeds the memory of a single engine: several engines hold shards of equal size,
// and all of them prefill. It returns nil if too few candidates have enough memory.
func (c *Core) shardedOption(now core.Micros, w *Work, list []*candidate) *option {
	model := list[0].model
	need := w.Prompt + w.Answer
	cost := model.PrefillMs(w.Prompt) / (maxHelpers + 1)
	for _, s := range list {
		s.loss = s.predictDelayLoss(now, cost*s.slowdown) + loadLossPerMs*(s.pass+s.pending) + s.preference
	}
	byLoss := slices.Clone(list)
	slices.SortStableFunc(byLoss, func(a, b *candidate) int { return cmp.Compare(a.loss, b.loss) })
	for k := fewestShards(model, w); k <= min(maxHelpers+1, len(list)); k++ {
		if o := evenShards(byLoss, need, k); o != nil {
			c.addPrefillHelpers(now, w, list, o)
			return o
		}
	}
	return nil
}

// canHold reports whether the engines of a service can hold a request while they run nothing else.
func (s *service) canHold(w *Work) bool {
	if s.Model == nil || len(s.servers) == 0 {
		return true
	}
	need := float64(w.Prompt + w.Answer)
	if need <= float64(s.Model.KVTokens)*usableMemoryShare {
		return true
	}
	return fewestShards(s.Model, w) <= min(maxHelpers+1, len(s.servers))
}

// fewestShards returns the least number of shards of a prompt that exceeds the memory of one engine.
func fewestShards(model *enginecost.Model, w *Work) int {
	return max(2, int(math.Ceil(float64(w.Prompt+w.Answer)/(maxShardShare*float64(model.KVTokens)))))
}

// evenShards plans k shards on the first candidates with enough memory. The first of them with a free slot becomes the
// lead. It returns nil if there are too few.
func evenShards(byLoss []*candidate, need, k int) *option {
	shard := (need + k - 1) / k
	o := &option{}
	for _, s := range byLoss {
		if s.freeMemory() < shard {
			continue
		}
		if o.lead == nil && s.freeSlots() > 0 {
			o.lead = s
			continue
		}
		if len(o.helpers) < k-1 {
			o.helpers = append(o.helpers, s)
			o.reservations = append(o.reservations, reservation{server: s.server, tokens: shard})
		}
		if o.lead != nil && len(o.helpers) == k-1 {
			return o
		}
	}
	return nil
}

// maxHelpers is the maximum number of helpers of a request.
const maxHelpers = 16

// addPrefillHelpers chooses the number of helpers that only prefill so that the predicted loss is lowest.
func (c *Core) addPrefillHelpers(now core.Micros, w *Work, list []*candidate, o *option) {
	base := append([]*candidate{o.lead}, o.helpers...)
	rest := slices.DeleteFunc(slices.Clone(list), func(s *candidate) bool { return slices.Contains(base, s) })
	shardHolders := o.helpers
	best := *o
	best.loss = -1
	for _, n := range prefillEngineCounts {
		extra := n - len(base)
		if extra < 0 || extra > len(rest) {
			continue
		}
		trial := c.optionWithExtraHelpers(now, w, o, base, rest, extra)
		if best.loss < 0 || trial.loss < best.loss {
			best = trial
			best.helpers = append(slices.Clone(shardHolders), trial.helpers...)
		}
	}
	if best.loss < 0 {
		best = c.optionWithExtraHelpers(now, w, o, base, rest, 0)
		best.helpers = shardHolders
	}
	*o = best
}

// optionWithExtraHelpers predicts the loss of o with extra helpers that only prefill. The helpers of the result are
// only the extra ones.
func (c *Core) optionWithExtraHelpers(now core.Micros, w *Work, o *option, base, rest []*candidate, extra int) option {
	benefit := estimateBenefit(w.Prompt, w.Answer)
	cost := o.lead.model.PrefillMs(w.Prompt) / float64(len(base)+extra)
	for _, s := range rest {
		s.delayLoss = s.predictDelayLoss(now, cost*s.slowdown)
		s.loss = s.delayLoss + loadLossPerMs*(s.pass+s.pending) + s.failureRate*benefit
	}
	slices.SortStableFunc(rest, func(a, b *candidate) int { return cmp.Compare(a.loss, b.loss) })
	trial := option{lead: o.lead, reservations: o.reservations, helpers: slices.Clone(rest[:extra])}
	for _, s := range append(slices.Clone(base), trial.helpers...) {
		trial.firstMs = max(trial.firstMs, s.finishMs(cost*s.slowdown))
		trial.loss += s.predictDelayLoss(now, cost*s.slowdown) + helperFailureProbability*benefit
	}
	trial.loss += benefit * ownLatenessLossShare(now, w, trial.firstMs)
	trial.transientLoss = trial.loss
	return trial
}
