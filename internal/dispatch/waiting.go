package dispatch

import (
	"fmt"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// processWaiting assigns or refuses waiting requests, in the order of their keys.
func (c *Core) processWaiting(now core.Micros) {
	if len(c.waiting) == 0 {
		return
	}
	c.recordWaiting(now)
	for _, svc := range c.services {
		svc.usualTime = svc.usualFirstEvent()
	}
	slices.SortStableFunc(c.waiting, func(a, b *Work) int {
		return c.waitKey(now, a).compare(c.waitKey(now, b))
	})
	clear(c.ahead)
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Work) bool {
		done := c.assignOrRefuse(now, w, c.ahead[w.Service])
		if !done {
			c.ahead[w.Service]++
		}
		return done
	})
	if len(c.waiting) > 0 && c.timerAt <= now {
		c.timerAt = now + recheckInterval
		c.emit(SetTimer{At: c.timerAt})
	}
}

// refuse ends a waiting request.
func (c *Core) refuse(now core.Micros, w *Work, retryAfter core.Micros, reason string) {
	c.services[w.Service].recordUnserved(now, w.Workspace, w.Fingerprint, w.Prompt, w.Answer)
	c.endRefused(w, retryAfter, reason)
}

// refuseOversized ends a request that no set of engines can hold. It is no demand, because it cannot use anybody's share.
func (c *Core) refuseOversized(w *Work) {
	c.endRefused(w, retryAfterShortage, "the prompt exceeds the memory of all engines")
}

func (c *Core) endRefused(w *Work, retryAfter core.Micros, reason string) {
	c.leaveWideQueue(w.ID)
	c.stopWaiting(w.ID, false)
	c.emit(Refuse{ID: w.ID, RetryAfter: retryAfter, Reason: reason})
}

// assignOrRefuse reports whether the request was assigned or refused; otherwise it keeps waiting. ahead is the number of waiting
// requests for the same service that come before it.
func (c *Core) assignOrRefuse(now core.Micros, w *Work, ahead int) bool {
	svc := c.services[w.Service]
	if svc == nil {
		c.refuse(now, w, retryAfter, "no server of the service is known")
		return true
	}
	if svc.evacuated() {
		c.refuse(now, w, max(retryAfter, c.evacuationBound), "all servers of the service are evacuated")
		return true
	}
	if c.refuseByStop(now, w, svc, svc.soonestFirstEvent(w)) {
		return true
	}
	if svc.isWide(w) {
		return c.assignOrRefuseWide(now, w, svc, ahead)
	}
	c.leaveWideQueue(w.ID) // engines may have left since it queued
	o := c.bestOption(now, w, svc)
	reason := "all servers of the service are full or away"
	if o != nil && svc.Model != nil {
		if limit := c.shareLimit(now, svc, w); o.loss-o.refusalLoss >= limit && !w.Retried {
			reason = fmt.Sprintf(
				"other requests would lose more than this one can earn: %.1f of %.1f, %d engines, first event in %.0f ms",
				o.loss, limit, 1+len(o.helpers), o.firstMs)
			o = nil
		}
	}
	if o != nil && svc.Model != nil && c.refuseByStop(now, w, svc, micros(o.firstMs)) {
		return true
	}
	if o != nil && svc.Model != nil && now+micros(o.firstMs) > svc.lastStart(w) {
		reason = fmt.Sprintf("first event would come in %.0f ms, too late for the answer to end before the caller leaves", o.firstMs)
		o = nil
	}
	if o != nil && (svc.Model == nil || !c.shouldWait(now, w, o)) {
		c.assign(now, w, o)
		return true
	}
	if c.refuseInShortage(now, w, svc, ahead) {
		return true
	}
	if o == nil && !svc.canHold(w) {
		c.refuseOversized(w)
		return true
	}
	if o == nil && now-w.Arrived > svc.longestWait(w) {
		c.refuse(now, w, retryAfter, reason)
		return true
	}
	svc.recordWait(now)
	c.announceWaiting(now, w, svc)
	return false
}

// longestWait returns how long after its arrival a request without a server is refused. With few engines long prompts wait no
// longer than others: the loss that they may cause does not grow there (admissionFactor). A request that is tried again waits as
// long as its caller.
func (s *service) longestWait(w *Work) core.Micros {
	if w.Retried {
		return min(w.AbandonAt, w.Deadline) - w.Arrived
	}
	share := refuseAfterShare
	if w.Prompt > longTokens && len(s.servers) > fewEngines {
		share = longRefuseAfterShare
	}
	return core.Micros(float64(min(w.AbandonAt, w.Deadline)-w.Arrived) * share)
}

// shouldWait reports whether a request should wait for an option with less loss.
func (c *Core) shouldWait(now core.Micros, w *Work, o *option) bool {
	benefit := estimateBenefit(w.Prompt, w.Answer)
	needed := micros(o.firstMs/onTimeRatio) + recheckInterval
	if o.refusalLoss > maxRefusalLossShare*benefit && now+needed+minRefusalSlack < w.FirstEventDue {
		return true
	}
	if o.transientLoss <= acceptableLossShare(now-w.Arrived, w.FirstEventDue-needed-w.Arrived)*benefit {
		return false
	}
	if now+needed < w.FirstEventDue {
		return true
	}
	late := now+micros(o.firstMs) > w.FirstEventDue
	othersLoss := o.transientLoss - benefit*ownLatenessLossShare(now, w, o.firstMs)
	canWait := now+needed < w.Arrived+core.Micros(float64(w.AbandonAt-w.Arrived)*onTimeRatio)
	return late && canWait && othersLoss > maxOthersLossShare*(1-lateLossShare)*benefit
}

// acceptableLossShare returns the share of its benefit that a request may cost after having waited for the given time;
// slack is the total time that it can wait.
func acceptableLossShare(waited, slack core.Micros) float64 {
	if slack <= waited {
		return initialLossTolerance + lossToleranceGrowth
	}
	x := float64(waited) / float64(slack)
	return initialLossTolerance + lossToleranceGrowth*x*x
}
