package dispatch

import (
	"cmp"
	"math"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// holderShare is the share of an engine's memory that a part of a prompt may take, so that engines with a part have room for
// other requests, and those with other requests for a part.
const holderShare = 0.6

// spreadOption plans a prompt that fits no single engine: several engines hold even parts of its memory, and all of them
// read. It returns nil if too few candidates have room.
func (c *Core) spreadOption(now core.Micros, w *Work, list []*candidate) *option {
	model := list[0].model
	need := w.Prompt + w.Answer
	cost := model.ReadMs(w.Prompt) / (maxHelpers + 1)
	for _, s := range list {
		s.loss = s.harmOf(now, cost*s.pace) + loadLoss*(s.pass+s.pending) + s.preference
	}
	byLoss := slices.Clone(list)
	slices.SortStableFunc(byLoss, func(a, b *candidate) int { return cmp.Compare(a.loss, b.loss) })
	fewest := int(math.Ceil(float64(need) / (holderShare * float64(model.KVTokens))))
	for k := max(2, fewest); k <= min(maxHelpers+1, len(list)); k++ {
		if o := evenParts(byLoss, need, k); o != nil {
			c.addReaders(now, w, list, o)
			return o
		}
	}
	return nil
}

// evenParts plans with the first k candidates that have room for an even part, led by the first of them with a free slot.
func evenParts(byLoss []*candidate, need, k int) *option {
	part := (need + k - 1) / k
	o := &option{}
	for _, s := range byLoss {
		if s.freeMemory() < part {
			continue
		}
		if o.lead == nil && s.freeSlots() > 0 {
			o.lead = s
			continue
		}
		if len(o.helpers) < k-1 {
			o.helpers = append(o.helpers, s)
			o.holds = append(o.holds, heldMemory{server: s.server, tokens: part})
		}
		if o.lead != nil && len(o.helpers) == k-1 {
			return o
		}
	}
	return nil
}

// maxHelpers is the most helpers a request may name.
const maxHelpers = 16

// addReaders adds engines that only read, as long as that lowers the predicted loss.
func (c *Core) addReaders(now core.Micros, w *Work, list []*candidate, o *option) {
	base := append([]*candidate{o.lead}, o.helpers...)
	rest := slices.DeleteFunc(slices.Clone(list), func(s *candidate) bool { return slices.Contains(base, s) })
	holders := o.helpers
	best := *o
	best.loss = -1
	for _, n := range readerCounts {
		extra := n - len(base)
		if extra < 0 || extra > len(rest) {
			continue
		}
		trial := c.spreadLoss(now, w, o, base, rest, extra)
		if best.loss < 0 || trial.loss < best.loss {
			best = trial
			best.helpers = append(slices.Clone(holders), trial.helpers...)
		}
	}
	if best.loss < 0 {
		best = c.spreadLoss(now, w, o, base, rest, 0)
		best.helpers = holders
	}
	*o = best
}

// spreadLoss predicts the loss with extra engines that only read; its helpers are just those.
func (c *Core) spreadLoss(now core.Micros, w *Work, o *option, base, rest []*candidate, extra int) option {
	value := worth(w.Prompt, w.Answer)
	cost := o.lead.model.ReadMs(w.Prompt) / float64(len(base)+extra)
	for _, s := range rest {
		s.harm = s.harmOf(now, cost*s.pace)
		s.loss = s.harm + loadLoss*(s.pass+s.pending) + s.failureRate*value
	}
	slices.SortStableFunc(rest, func(a, b *candidate) int { return cmp.Compare(a.loss, b.loss) })
	trial := option{lead: o.lead, holds: o.holds, helpers: slices.Clone(rest[:extra])}
	for _, s := range append(slices.Clone(base), trial.helpers...) {
		trial.firstMs = max(trial.firstMs, s.finishMs(cost*s.pace))
		trial.loss += s.harmOf(now, cost*s.pace) + helperRisk*value
	}
	trial.loss += value * ownLateness(now, w, trial.firstMs)
	trial.passing = trial.loss
	return trial
}
