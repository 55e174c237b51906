package forward

import (
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/evlog"
)

// loggedRepeatsPerSecond bounds how many repeats a second, and how many of those that the budget refuses, are logged. Metrics count
// all of them.
const loggedRepeatsPerSecond = 20

// reservePermit reserves the place of the next attempt in the retry budget, unless an attempt that was not sent has left one.
func (q *request) reservePermit() bool {
	if q.permit == nil {
		q.permit = q.h.Budget.Reserve(q.service)
	}
	if q.permit == nil {
		q.refuseRepeat()
		return false
	}
	return true
}

// spendPermit counts an attempt that is about to be sent, if a server may have received the request before. It returns false if the
// attempt may not be sent.
func (q *request) spendPermit(plan dispatch.Plan) bool {
	if q.permit == nil {
		return true
	}
	spent := q.permit.Spend()
	q.permit = nil
	if !spent {
		q.refuseRepeat()
		return false
	}
	q.h.Metrics.recordRepeat(q.service, q.lastFault)
	if q.h.repeatSampler.allow(q.h.Now(), loggedRepeatsPerSecond) {
		q.logBudget("request repeated", "server", plan.Lead.ID, "after", q.lastFault)
	}
	return true
}

func (q *request) releasePermit() {
	if q.permit != nil {
		q.permit.Release()
	}
}

// refuseRepeat records that the budget refuses a repeat.
func (q *request) refuseRepeat() {
	q.reason = "retry budget is used up"
	if q.h.repeatSampler.allow(q.h.Now(), loggedRepeatsPerSecond) {
		q.logBudget("repeat refused by the retry budget", "after", q.lastFault)
	}
}

// logBudget logs a decision on a repeat with the state of the budget that it depends on.
func (q *request) logBudget(message string, args ...any) {
	u := q.h.Budget.Usage(q.service)
	q.h.Log.Info(message, append([]any{
		evlog.KeyRequest, q.ID, "service", q.service, "arrivals", q.arrivals, "budget_credits", u.Credits, "budget_used", u.Used,
		"budget_share", u.Share, "budget_daemons", u.Daemons, "budget_age_ms", millis(u.Age),
	}, args...)...)
}
