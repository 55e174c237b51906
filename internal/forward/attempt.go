package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/routing"
	"github.com/carobstile/carobstile/internal/upstream"
)

const (
	// maxPlacements bounds how often servers are assigned to one request, including attempts that were not run.
	maxPlacements = 6
	// attemptTimeoutShare is the share of the remaining time after which an idempotent request without a complete answer counts as
	// stalled.
	attemptTimeoutShare = 0.45
	// answerBytesPerToken estimates the size of an answer.
	answerBytesPerToken = 2
	// The caller of a stream is expected to leave after the longest of minEventWait, eventWaitFirstTargets times the
	// route's target for the first event, and eventWaitPauseTargets times its target for pauses without an event, as
	// stated by the platform's users.
	minEventWait          = 2 * time.Second
	eventWaitFirstTargets = 4
	eventWaitPauseTargets = 8
)

// outcome is the result of an attempt.
type outcome int

const (
	outcomeDone        outcome = iota + 1 // the caller was answered
	outcomeRetry                          // another server may be tried
	outcomeAborted                        // the stream to the caller cannot be continued
	outcomeServerError                    // the server responded with an error status
)

// serve attempts the request until it is answered or may not be retried, and answers the caller.
func (q *request) serve() {
	for placements := 0; placements < maxPlacements; placements++ {
		result, answer := q.placeAndAttempt()
		if answer != nil {
			q.serverError = answer
		}
		switch {
		case result == outcomeDone:
			return
		case result == outcomeAborted:
			q.abortAnswer()
			return
		case result == outcomeServerError && !q.allowRetry():
			q.forwardAnswer(q.serverError)
			return
		case result == outcomeRetry && q.arrivals > 0 && !q.allowRetry():
			q.failUnanswered()
			return
		}
		if q.ctx.Err() != nil {
			q.failUnanswered()
			return
		}
	}
	q.failUnanswered()
}

// placeAndAttempt sends the request to the servers that the scheduler chooses, or to a neighbour. It answers a request that is not sent.
func (q *request) placeAndAttempt() (outcome, *bufferedAnswer) {
	if n, ok := q.pickNeighbour(); ok {
		q.releaseNext()
		return q.attemptRelay(n)
	}
	q.countRequest()
	plan, id, err := q.place()
	if err != nil {
		q.failUnplaced(err)
		return outcomeDone, nil
	}
	if q.blocked() { // the verdict may be newer than the arrival
		q.h.Scheduler.RecordCancellation(id)
		q.failBlocked()
		return outcomeDone, nil
	}
	return q.attempt(plan, id)
}

// allowRetry reports whether the request may be sent again, and reserves its place in the retry budget if so.
func (q *request) allowRetry() bool {
	if q.mayHaveRun && !q.route.RetryMode.Repeatable() {
		return false
	}
	if q.blocked() {
		return false
	}
	if q.sendCount >= max(1, q.route.Attempts) {
		q.reason = "no attempts left"
		return false
	}
	return q.reservePermit()
}

// place waits until servers are assigned to the next attempt, unless they were before the last one ended.
func (q *request) place() (dispatch.Plan, uint64, error) {
	if next := q.next; next != nil {
		q.next = nil
		return next.plan, next.id, nil
	}
	w := q.newWork()
	if !q.headerSent {
		q.progress.enter(stageWaiting, "")
	}
	plan, err := q.h.Scheduler.Place(q.ctx, w)
	return plan, w.ID, err
}

func (q *request) newWork() dispatch.Work {
	w := dispatch.Work{
		ID: rand.Uint64(), Service: q.service, Arrived: q.arrived, Deadline: q.deadline,
		FirstEventDue: q.arrived + core.FromDuration(q.route.FirstTarget), AbandonAt: q.arrived + core.FromDuration(q.eventWait()),
		MaxPause: core.FromDuration(q.route.PauseTarget), Rank: q.rank(), Exclude: q.excludedServers,
		Retried: q.sendCount > 0, Bytes: q.body.Size(),
	}
	if len(q.traits) > 0 {
		w.Fingerprint = uint64(q.traits[0])
	}
	if q.workspace != nil {
		w.Workspace = xxhash.Sum64String(q.workspace.Name)
	}
	if svc := q.table.Service(q.service); svc != nil && svc.Engine != nil {
		w.Prompt, w.Answer = q.PromptTokens, q.answerTokens()
		w.Bytes += answerBytesPerToken * w.Answer
	}
	if q.stream.eventCount > 0 {
		// The first event of a resumed stream is due within the target for pauses, like any later event.
		w.FirstEventDue = q.h.Now() + core.FromDuration(q.route.PauseTarget)
		w.AbandonAt = q.h.Now() + core.FromDuration(q.eventWait())
	}
	return w
}

func (q *request) answerTokens() int {
	if q.AnswerTokensHint > 0 && q.AnswerTokensHint < q.MaxAnswerTokens {
		return q.AnswerTokensHint
	}
	return q.MaxAnswerTokens
}

func (q *request) rank() int {
	if q.workspace != nil && q.workspace.Rank != nil {
		return *q.workspace.Rank
	}
	return q.route.Rank
}

// eventWait returns how long the caller is expected to wait for an event before it leaves.
func (q *request) eventWait() time.Duration {
	if !q.route.Stream {
		return (q.deadline - q.arrived).Duration()
	}
	return max(minEventWait, eventWaitFirstTargets*q.route.FirstTarget, eventWaitPauseTargets*q.route.PauseTarget)
}

// attempt sends the request once to the servers of a plan.
func (q *request) attempt(plan dispatch.Plan, id uint64) (outcome, *bufferedAnswer) {
	q.enterAttempt(plan.Lead.ID)
	q.placements = append(q.placements, placement{at: q.h.Now(), plan: plan})
	helpers, release, err := q.reserve(plan, id)
	if err != nil {
		q.h.Scheduler.RecordCancellation(id)
		q.reason = err.Error()
		return outcomeRetry, nil
	}
	defer release()
	detector := q.newStallDetector(plan)
	defer detector.stop()
	defer q.h.pending.add(detector)()
	resp, err := q.send(detector.ctx, plan, helpers)
	if err != nil {
		return q.handleSendError(detector, plan, id, err), nil
	}
	defer resp.Close()
	return q.handleResponse(detector, plan, id, resp)
}

// enterAttempt records that servers, or a neighbour, were assigned to the request.
func (q *request) enterAttempt(server string) {
	q.lastServer = server
	if !q.headerSent {
		q.progress.enter(stageAttempt, server)
	}
}

func (q *request) reserve(plan dispatch.Plan, id uint64) ([]Helper, func(), error) {
	reservations := map[string]string{}
	release := func() {}
	if len(plan.Reservations) > 0 {
		var err error
		reservations, release, err = q.h.Memory.Reserve(q.ctx, id, plan.Reservations)
		if err != nil {
			return nil, nil, err
		}
	}
	helpers := make([]Helper, 0, len(plan.Helpers))
	for _, s := range plan.Helpers {
		helpers = append(helpers, Helper{Address: s.Address, Reservation: reservations[s.ID]})
	}
	return helpers, release, nil
}

func (q *request) send(ctx context.Context, plan dispatch.Plan, helpers []Helper) (*upstream.Response, error) {
	left := q.remaining()
	headers := ServerHeaders{ServerID: plan.Lead.ID, Remaining: left, Helpers: helpers, LastEventID: q.LastEventID}
	if q.workspace != nil {
		headers.Workspace = q.workspace.Name
	}
	if q.stream.eventCount > 0 {
		headers.LastEventID, headers.Version = q.stream.lastEventID, q.stream.weightsVersion
	} else if q.relayed != nil {
		headers.Version = q.relayed.weights
	}
	r := &upstream.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host, Header: q.h.HeaderCodec.Outgoing(q.r.Header, headers),
		Body: q.body.Chunks(), NewConn: q.route.RetryMode == routing.AtMostOnce, Deadline: time.Now().Add(left),
		Matches: func(h http.Header, sole bool) bool { return q.h.HeaderCodec.Matches(h, q.ID, sole) },
		Observe: func(status int, h http.Header) bool {
			return q.h.Scheduler.RecordNotice(plan.Lead.Process(), q.h.HeaderCodec.Notice(status, h))
		},
		Allowed: func() bool { return q.stillAccepted(plan) && q.spendPermit(plan) },
	}
	q.h.Metrics.recordSend(q.service, plan.Lead)
	return q.h.Pool.Send(ctx, upstream.Target{ID: plan.Lead.ID, Address: plan.Lead.Address}, r)
}

// stillAccepted reports whether the servers of a plan may still receive the request. Between the placement and the first byte
// memory is reserved and a connection is made, which takes up to a second.
func (q *request) stillAccepted(plan dispatch.Plan) bool {
	for _, s := range append([]dispatch.Server{plan.Lead}, plan.Helpers...) {
		if !q.h.Scheduler.Accepts(s.Process()) {
			q.h.Log.Info("server accepts nothing new since the placement", evlog.KeyRequest, q.ID, "server", s.ID)
			return false
		}
	}
	return true
}

// handleSendError handles an attempt without a response header.
func (q *request) handleSendError(detector *stallDetector, plan dispatch.Plan, id uint64, err error) outcome {
	q.h.Scheduler.RecordCancellation(id)
	q.reason = err.Error()
	if errors.Is(err, upstream.ErrDeclined) {
		return outcomeRetry // the scheduler knows; the lead is not to blame if a helper accepts nothing
	}
	q.excludedServers = append(q.excludedServers, plan.Lead.ID)
	if errors.Is(err, upstream.ErrNotSent) {
		if q.ctx.Err() == nil {
			q.recordFault(plan, dispatch.FaultUnreachable)
		}
		return outcomeRetry
	}
	q.arrivals++
	q.sendCount++
	q.mayHaveRun = true
	if q.ctx.Err() != nil || detector.blocked() {
		return outcomeRetry
	}
	if detector.stalled() || isTimeout(err) {
		q.recordFault(plan, dispatch.FaultStalled)
		return outcomeRetry
	}
	q.recordFault(plan, dispatch.FaultBroken)
	if !errors.Is(err, upstream.ErrInvalidResponse) {
		q.recordBreak(plan, false)
	}
	return outcomeRetry
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// recordFault reports a failure of the leading server to the scheduler, the metrics and the log.
func (q *request) recordFault(plan dispatch.Plan, f dispatch.Fault) {
	q.lastFault = f
	if q.neighbour != nil {
		q.recordNeighbourFault(f)
		return
	}
	q.h.Scheduler.RecordFailure(plan.Lead.ID, f)
	q.h.Metrics.recordFailure(q.service, plan.Lead, f)
	q.h.Log.Info(evlog.MessageFailed, evlog.KeyRequest, q.ID, "server", plan.Lead.ID, "fault", f, "reason", q.reason,
		"begun", q.stream.eventCount > 0, "fingerprint", formatTrait(q.traits[0]), "parts", joinParts(q.SharedParts, maxLoggedParts, ","))
}

// handleResponse handles the response of a server from its header on.
func (q *request) handleResponse(
	detector *stallDetector, plan dispatch.Plan, id uint64, resp *upstream.Response,
) (outcome, *bufferedAnswer) {
	q.arrivals++
	a := q.h.HeaderCodec.Answer(resp.Status, resp.Header)
	if !a.OtherServer {
		sent := q.placements[len(q.placements)-1].at
		q.h.Scheduler.RecordAnswer(plan.Lead.Process(), sent, q.h.HeaderCodec.Notice(resp.Status, resp.Header))
	}
	if a.NotRun || a.OtherServer {
		return q.handleNotRun(plan, id, a), nil
	}
	q.sendCount++
	q.mayHaveRun = true
	if isSuccess(resp.Status) && !a.Accepted {
		return q.failStream(plan, id, dispatch.FaultBroken, "success of the server does not say that it accepted the request"), nil
	}
	if q.route.Stream && resp.Status < http.StatusMultipleChoices && q.continuesStream(resp) {
		return q.relayStream(detector, plan, id, resp, a), nil
	}
	if q.headerSent {
		// The caller already receives a stream, which the body of an error response cannot continue.
		return q.failStream(plan, id, dispatch.FaultErrored, "server failed the continued stream"), nil
	}
	q.h.CrashTracker.RecordAnswer(q.traits, q.sinceSent())
	return q.handleBuffered(detector, plan, id, resp)
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// handleNotRun handles the response of a server that did not run the request.
func (q *request) handleNotRun(plan dispatch.Plan, id uint64, a ServerResponse) outcome {
	q.h.Scheduler.RecordCancellation(id)
	f := dispatch.FaultRefused
	if a.OtherServer {
		f = dispatch.FaultReplaced
	}
	q.reason, q.lastFault = "server refused the request", f
	if helper := blamedHelper(plan, a.FailedServer); helper != "" {
		q.h.Scheduler.RecordFailure(helper, dispatch.FaultUnreachable)
		q.reason = "a helping server failed: " + helper
		q.excludedServers = append(q.excludedServers, helper)
		return outcomeRetry
	}
	q.excludedServers = append(q.excludedServers, plan.Lead.ID)
	q.recordFault(plan, f)
	return outcomeRetry
}

// blamedHelper returns the id of the helper with the id or address failedServer, or "".
func blamedHelper(plan dispatch.Plan, failedServer string) string {
	for _, s := range plan.Helpers {
		if failedServer != "" && (s.ID == failedServer || s.Address == failedServer) {
			return s.ID
		}
	}
	return ""
}

// failUnplaced answers a request for which Place returned an error.
func (q *request) failUnplaced(err error) {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		q.failUnanswered()
		return
	}
	q.reason = refusal.Reason
	if q.headerSent {
		q.abortAnswer()
		return
	}
	if q.serverError != nil {
		q.forwardAnswer(q.serverError)
		return
	}
	if q.mayHaveRun {
		q.reject(http.StatusBadGateway, refusal.Reason)
		return
	}
	if refusal.Elsewhere && q.relayed != nil {
		q.decline(refusal.Reason)
		return
	}
	q.rejectNotRun(http.StatusServiceUnavailable, refusal.RetryAfter, refusal.Reason)
}

// failUnanswered answers a request that got no answer before its deadline or within its attempts. If the caller has
// left, it only records the end and aborts the handler.
func (q *request) failUnanswered() {
	callerLeft := q.r.Context().Err() != nil && !q.stopped()
	timedOut := errors.Is(q.ctx.Err(), context.DeadlineExceeded)
	switch {
	case callerLeft:
		q.reason = "caller left"
		q.recordEnd(0)
		panic(http.ErrAbortHandler)
	case q.headerSent:
		q.abortAnswer()
	case q.serverError != nil:
		q.forwardAnswer(q.serverError)
	case q.stopped():
		q.failStopped()
	case !q.mayHaveRun:
		q.rejectNotRun(http.StatusServiceUnavailable, q.returnAfterRefusals(), "no server took the request: "+q.reason)
	case timedOut:
		q.reject(http.StatusGatewayTimeout, "no answer in time: "+q.reason)
	default:
		q.reject(http.StatusBadGateway, "servers failed the request: "+q.reason)
	}
}

// returnAfterRefusals returns the Retry-After of a request that no server took.
func (q *request) returnAfterRefusals() time.Duration {
	if q.arrivals > 0 && q.h.Scheduler.Accepting(q.service) {
		return retryAfterRefused
	}
	return retryAfterTransient
}

// abortAnswer closes the caller's connection in the middle of an answer, so that the caller does not take the answer
// for complete. Before the response header is sent, it answers like failUnanswered.
func (q *request) abortAnswer() {
	if !q.headerSent {
		q.failUnanswered()
		return
	}
	q.recordEnd(0)
	panic(http.ErrAbortHandler)
}
