package dispatch

import (
	"cmp"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// minHoldTokens is the smallest reservation that is worth an order.
const minHoldTokens = 4_096

// spreadOption plans a prompt that fits no single engine: several engines hold a part of its memory, and all of them
// read. It returns nil if the free memory of all candidates does not suffice.
func (c *Core) spreadOption(now core.Micros, w *Work, list []*candidate) *option {
	byMemory := slices.Clone(list)
	slices.SortStableFunc(byMemory, func(a, b *candidate) int { return cmp.Compare(b.freeMemory(), a.freeMemory()) })
	lead := c.roomiestLead(byMemory)
	if lead == nil {
		return nil
	}
	missing := w.Prompt + w.Answer - lead.freeMemory()
	o := &option{lead: lead}
	for _, s := range byMemory {
		if missing <= 0 {
			break
		}
		tokens := min(missing, s.freeMemory())
		if s == lead || tokens <= 0 {
			continue
		}
		tokens = max(tokens, min(minHoldTokens, s.freeMemory()))
		missing -= tokens
		o.helpers = append(o.helpers, s)
		o.holds = append(o.holds, heldMemory{server: s.server, tokens: tokens})
	}
	if missing > 0 || len(o.helpers) > maxHelpers {
		return nil
	}
	c.addReaders(now, w, list, o)
	return o
}

// maxHelpers is the most helpers a request may name.
const maxHelpers = 16

func (c *Core) roomiestLead(byMemory []*candidate) *candidate {
	for _, s := range byMemory {
		if s.freeSlots() > 0 {
			return s
		}
	}
	return nil
}

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
