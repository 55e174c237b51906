package dispatch

import "github.com/carobstile/carobstile/internal/core"

// retryElsewhere is the Retry-After of requests that a stopping daemon cannot serve before its end. Other daemons can take them at once.
const retryElsewhere = 20 * core.Millisecond

// stopping begins the stop of this daemon. Requests that wait are evaluated again.
func (c *Core) stopping(e Stopping) {
	c.cutOffAt = e.CutOffAt
	c.processWaiting(e.Now)
}

// boundByStop reports whether the stop of the daemon ends a request before its own time limit.
func (c *Core) boundByStop(w *Work) bool { return c.cutOffAt > 0 && c.cutOffAt < w.Deadline }

// lastStart is the latest time for the first event of a request. On a stopping daemon the answer has to end before the cut-off, too.
func (c *Core) lastStart(w *Work, svc *service) core.Micros {
	last := svc.lastStart(w)
	if c.boundByStop(w) {
		last = min(last, c.cutOffAt-svc.expectedAnswer(w))
	}
	return last
}

// expectedAnswer returns how long an answer takes from its first event on. The caller of a request that is tried again may have most of it.
func (s *service) expectedAnswer(w *Work) core.Micros {
	switch {
	case w.Retried:
		return 0
	case s.Model == nil:
		return s.answerTime
	case w.Prompt > longTokens:
		return s.longAnswer(w)
	}
	return micros(s.Model.AnswerMs(w.Answer, s.Model.Slots/2, w.Prompt))
}

// soonestFirstEvent returns the least time from a start until the first event.
func (s *service) soonestFirstEvent(w *Work) core.Micros {
	if s.Model == nil {
		return 0
	}
	return micros(s.Model.PrefillMs(w.Prompt) / float64(min(maxHelpers+1, max(1, len(s.servers)))))
}

// refuseByStop refuses a request that the daemon could not answer before its end if the first event came after the given time, and reports whether it
// did. It is no unserved demand, since other daemons can serve it.
func (c *Core) refuseByStop(now core.Micros, w *Work, svc *service, firstIn core.Micros) bool {
	if !c.boundByStop(w) || now+firstIn <= c.cutOffAt-svc.expectedAnswer(w) {
		return false
	}
	c.leaveWideQueue(w.ID)
	c.stopWaiting(w.ID, false)
	c.emit(Refuse{ID: w.ID, RetryAfter: retryElsewhere, Reason: "the daemon stops before the answer could end", Elsewhere: true})
	return true
}
