package forward

import (
	"net/http"

	"github.com/carobstile/carobstile/internal/core"
)

// Reasons why a request did not earn its full benefit, as logged. carobctl losses adds them up.
const (
	shortfallNone         = ""
	shortfallRefused      = "refused"       // answered that it was not run
	shortfallServerFailed = "server_failed" // a server failed it, or the answer broke off
	shortfallTimedOut     = "timed_out"     // no answer before its deadline
	shortfallCallerLeft   = "caller_left"
	shortfallStopped      = "stopped"      // cut off by the stop of the daemon
	shortfallResumed      = "resumed"      // late because it was sent to more than one server
	shortfallWaited       = "waited"       // late because it waited for servers
	shortfallPlacedLate   = "placed_late"  // late as predicted: no servers were faster
	shortfallSlower       = "slower"       // later than predicted, such as beside a choice of a neighbour not yet heard of
	shortfallPaused       = "paused"       // a pause between two events was too long
	shortfallRejected     = "rejected"     // not allowed by the configuration, or malformed
	shortfallUnclassified = "unclassified" // none of the above
)

// waitedShare is the share of the target for the first event from which a wait before the placement counts as the cause of
// a late event.
const waitedShare = 0.5

// shortfall returns why a request that ended with the given status did not earn its full benefit.
func (q *request) shortfall(status int) string {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		return q.lateness()
	}
	switch {
	case q.stopped() && (status == 0 || status == http.StatusBadGateway):
		return shortfallStopped
	case q.r != nil && q.r.Context().Err() != nil && (status == 0 || !q.h.cutOff.Load()): // the cut-off ends reads of the connection, too
		return shortfallCallerLeft
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout:
		return shortfallRefused
	case status == http.StatusGatewayTimeout:
		return shortfallTimedOut
	case status == 0 || status >= http.StatusInternalServerError:
		return shortfallServerFailed
	case status >= http.StatusBadRequest:
		return shortfallRejected
	}
	return shortfallUnclassified
}

// lateness returns why a request that was served was late, or shortfallNone.
func (q *request) lateness() string {
	switch {
	case !q.stream.firstEventLate && !q.pauseExceeded():
		return shortfallNone
	case q.sendCount > 1:
		return shortfallResumed
	case !q.stream.firstEventLate:
		return shortfallPaused
	case len(q.placements) == 0:
		return shortfallUnclassified
	}
	target := core.FromDuration(q.route.FirstTarget)
	last := q.placements[len(q.placements)-1]
	switch {
	case float64(last.at-q.arrived) > waitedShare*float64(target):
		return shortfallWaited
	case last.plan.FirstEventAt-q.arrived > target:
		return shortfallPlacedLate
	}
	return shortfallSlower
}
