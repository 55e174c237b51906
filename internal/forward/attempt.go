package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/routing"
	"github.com/carobstile/carobstile/internal/upstream"
)

const (
	// maxPlacements bounds how often one request is given servers, refused sends included.
	maxPlacements = 6
	// tryShare is the share of the time left that an idempotent request waits for its first server.
	tryShare = 0.45
	// maxAnswer bounds answers that are read whole before they are passed on.
	maxAnswer = 8 << 20
	// minPatience, patienceTargets and patiencePauses give how long a caller stays without an event: the longest of
	// two seconds, four times the target and eight of the longest pauses on time. Stated by the platform's users.
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
)

// verdict says how a request goes on after a send.
type verdict int

const (
	done      verdict = iota + 1 // the caller has its answer
	again                        // another server may be tried
	cutOff                       // the stream cannot go on
	failedRun                    // the server answered with a failure
)

// serve sends the request until it has an answer.
func (q *request) serve() {
	for placed := 0; placed < maxPlacements; placed++ {
		plan, id, err := q.place()
		if err != nil {
			q.unplaced(err)
			return
		}
		v, answer := q.attempt(plan, id)
		if answer != nil {
			q.failure = answer
		}
		switch {
		case v == done:
			return
		case v == cutOff:
			q.cutOff()
			return
		case v == failedRun && !q.mayRepeat():
			q.deliver(q.failure)
			return
		case v == again && q.mayHaveRun && !q.mayRepeat():
			q.giveUp()
			return
		}
		if q.ctx.Err() != nil {
			q.giveUp()
			return
		}
	}
	q.giveUp()
}

// mayRepeat takes a repeat out of the budget if the request may be sent once more.
func (q *request) mayRepeat() bool {
	if q.mayHaveRun && !q.route.Repeat.Repeatable() {
		return false
	}
	if q.h.Suspects.Refused(q.fingerprint) {
		q.reason = "request crashes the servers that run it"
		return false
	}
	if q.sends >= max(1, q.route.Attempts) {
		q.reason = "no attempts left"
		return false
	}
	if !q.h.Budget.Allow(q.service) {
		q.reason = "retry budget is used up"
		return false
	}
	return true
}

func (q *request) place() (dispatch.Plan, uint64, error) {
	w := q.work()
	plan, err := q.h.Scheduler.Place(q.ctx, w)
	return plan, w.ID, err
}

func (q *request) work() dispatch.Work {
	w := dispatch.Work{
		ID: rand.Uint64(), Service: q.service, Arrived: q.arrived, Deadline: q.deadline,
		FirstBy: q.arrived + core.Span(q.route.FirstTarget), GiveUp: q.arrived + core.Span(q.patience()),
		Pause: core.Span(q.route.PauseTarget), Rank: q.rank(), Exclude: q.exclude,
	}
	if svc := q.table.Service(q.service); svc != nil && svc.Engine != nil {
		w.Prompt, w.Answer = q.Prompt, q.answerTokens()
	}
	if q.stream.events > 0 {
		// The first event of a continued stream is due as soon as any other.
		w.FirstBy = q.h.Now() + core.Span(q.route.PauseTarget)
		w.GiveUp = q.h.Now() + core.Span(q.patience())
	}
	return w
}

func (q *request) answerTokens() int {
	if q.AnswerHint > 0 && q.AnswerHint < q.MaxAnswer {
		return q.AnswerHint
	}
	return q.MaxAnswer
}

func (q *request) rank() int {
	if q.workspace != nil && q.workspace.Rank != nil {
		return *q.workspace.Rank
	}
	return q.route.Rank
}

func (q *request) patience() time.Duration {
	if !q.route.Stream {
		return (q.deadline - q.arrived).Duration()
	}
	return max(minPatience, patienceTargets*q.route.FirstTarget, patiencePauses*q.route.PauseTarget)
}

// attempt sends the request to the servers of a plan.
func (q *request) attempt(plan dispatch.Plan, id uint64) (verdict, *kept) {
	q.lastServer = plan.Lead.ID
	q.placements = append(q.placements, placement{at: q.h.Now(), plan: plan})
	helpers, release, err := q.reserve(plan, id)
	if err != nil {
		q.h.Scheduler.Cancelled(id)
		q.reason = err.Error()
		return again, nil
	}
	defer release()
	watch := q.newWatch(plan)
	defer watch.stop()
	resp, err := q.send(watch.ctx, plan, helpers)
	if err != nil {
		return q.sendFailed(watch, plan, id, err), nil
	}
	defer resp.Close()
	return q.answered(watch, plan, id, resp)
}

func (q *request) reserve(plan dispatch.Plan, id uint64) ([]Helper, func(), error) {
	names := map[string]string{}
	release := func() {}
	if len(plan.Holds) > 0 {
		var err error
		names, release, err = q.h.Memory.Reserve(q.ctx, id, plan.Holds)
		if err != nil {
			return nil, nil, err
		}
	}
	helpers := make([]Helper, 0, len(plan.Helpers))
	for _, s := range plan.Helpers {
		helpers = append(helpers, Helper{Address: s.Address, Reservation: names[s.ID]})
	}
	return helpers, release, nil
}

func (q *request) send(ctx context.Context, plan dispatch.Plan, helpers []Helper) (*upstream.Response, error) {
	left := q.left()
	send := Send{ServerID: plan.Lead.ID, Left: left, Helpers: helpers, LastEvent: q.LastEvent}
	if q.workspace != nil {
		send.Workspace = q.workspace.Name
	}
	if q.stream.events > 0 {
		send.LastEvent, send.Version = q.stream.last, q.stream.version
	}
	r := &upstream.Request{
		Method: q.r.Method, URI: q.r.RequestURI, Host: q.r.Host, Header: q.h.Dialect.Outgoing(q.r.Header, send),
		Body: q.body, Fresh: q.route.Repeat == routing.RunOnce, Limit: time.Now().Add(left),
		FirstByte: q.firstByteWithin(), Own: func(h http.Header) bool { return q.h.Dialect.Owns(h, q.ID) },
	}
	return q.h.Pool.Send(ctx, upstream.Target{ID: plan.Lead.ID, Address: plan.Lead.Address}, r)
}

// firstByteWithin bounds the wait for a server of an idempotent request where another one could still be tried.
func (q *request) firstByteWithin() time.Duration {
	if q.route.Repeat != routing.RunAgain || q.sends+1 >= q.route.Attempts {
		return 0
	}
	return time.Duration(float64(q.left()) * tryShare)
}

// sendFailed handles a send that brought no response header.
func (q *request) sendFailed(watch *watch, plan dispatch.Plan, id uint64, err error) verdict {
	q.h.Scheduler.Cancelled(id)
	q.exclude = append(q.exclude, plan.Lead.ID)
	q.reason = err.Error()
	if errors.Is(err, upstream.ErrNotSent) {
		if q.ctx.Err() == nil {
			q.fault(plan, dispatch.FaultUnreachable)
		}
		return again
	}
	q.sends++
	q.mayHaveRun = true
	if q.ctx.Err() != nil {
		return again
	}
	if watch.stalled() || isTimeout(err) {
		q.fault(plan, dispatch.FaultSilent)
		return again
	}
	q.fault(plan, dispatch.FaultBroken)
	q.h.Suspects.Crashed(q.fingerprint, plan.Lead.ID)
	return again
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (q *request) fault(plan dispatch.Plan, f dispatch.Fault) {
	q.h.Scheduler.Failed(plan.Lead.ID, f)
	q.h.Metrics.failed(q.service, plan.Lead, f)
	q.h.Log.Info(evlog.MessageFailed, evlog.KeyRequest, q.ID, "server", plan.Lead.ID, "fault", f, "reason", q.reason)
}

// answered handles a response header.
func (q *request) answered(watch *watch, plan dispatch.Plan, id uint64, resp *upstream.Response) (verdict, *kept) {
	a := q.h.Dialect.Answer(resp.Status, resp.Header)
	if a.NotRun || a.OtherServer {
		return q.notRun(plan, id, a), nil
	}
	q.sends++
	q.mayHaveRun = true
	if q.route.Stream && resp.Status < http.StatusMultipleChoices {
		return q.relay(watch, plan, id, resp, a), nil
	}
	if q.started {
		// Its body is no part of the stream that the caller has begun to get.
		return q.broken(plan, id, dispatch.FaultErrored, "server failed the continued stream"), nil
	}
	return q.whole(plan, id, resp)
}

func (q *request) notRun(plan dispatch.Plan, id uint64, a Answer) verdict {
	q.h.Scheduler.Cancelled(id)
	f := dispatch.FaultRefused
	if a.OtherServer {
		f = dispatch.FaultReplaced
	}
	q.reason = "server refused the request"
	if at := blamed(plan, a.AtFault); at != "" {
		q.h.Scheduler.Failed(at, dispatch.FaultUnreachable)
		q.reason = "a helping server failed: " + at
		q.exclude = append(q.exclude, at)
		return again
	}
	q.exclude = append(q.exclude, plan.Lead.ID)
	q.fault(plan, f)
	return again
}

// blamed returns the id of the helper that an answer blames, or "".
func blamed(plan dispatch.Plan, at string) string {
	for _, s := range plan.Helpers {
		if at != "" && (s.ID == at || s.Address == at) {
			return s.ID
		}
	}
	return ""
}

// kept is an answer that was read whole.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// whole reads an answer that is no stream and delivers it, or keeps a failure that another server may repair.
func (q *request) whole(plan dispatch.Plan, id uint64, resp *upstream.Response) (verdict, *kept) {
	body, err := io.ReadAll(io.LimitReader(resp, maxAnswer))
	if err != nil || !resp.Whole() {
		q.h.Scheduler.Cancelled(id)
		q.exclude = append(q.exclude, plan.Lead.ID)
		q.reason = "answer of the server ended early"
		if q.ctx.Err() == nil {
			q.fault(plan, dispatch.FaultBroken)
		}
		return again, nil
	}
	k := &kept{status: resp.Status, header: resp.Header, body: body}
	if resp.Status < http.StatusInternalServerError {
		q.h.Scheduler.Finished(id)
		q.deliver(k)
		return done, nil
	}
	q.h.Scheduler.Cancelled(id)
	q.fault(plan, dispatch.FaultErrored)
	q.exclude = append(q.exclude, plan.Lead.ID)
	return failedRun, k
}

// deliver passes a whole answer on.
func (q *request) deliver(k *kept) {
	copyHeader(q.w.Header(), k.header)
	q.w.WriteHeader(k.status)
	_, err := q.w.Write(k.body)
	if err != nil {
		q.reason = "caller left"
	}
	q.ended(k.status)
}

// unplaced ends a request for which no server was found.
func (q *request) unplaced(err error) {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		q.giveUp()
		return
	}
	q.reason = refusal.Reason
	if q.started {
		q.cutOff()
		return
	}
	if q.failure != nil {
		q.deliver(q.failure)
		return
	}
	if q.mayHaveRun {
		q.reject(http.StatusBadGateway, refusal.Reason)
		return
	}
	q.refuse(http.StatusServiceUnavailable, refusal.RetryAfter, refusal.Reason)
}

// giveUp ends a request that got no answer in time or within its attempts.
func (q *request) giveUp() {
	callerLeft := q.r.Context().Err() != nil
	timedOut := errors.Is(q.ctx.Err(), context.DeadlineExceeded)
	switch {
	case callerLeft:
		q.reason = "caller left"
		q.ended(0)
		panic(http.ErrAbortHandler)
	case q.started:
		q.cutOff()
	case q.failure != nil:
		q.deliver(q.failure)
	case !q.mayHaveRun:
		q.refuse(http.StatusServiceUnavailable, retrySoon, "no server took the request: "+q.reason)
	case timedOut:
		q.reject(http.StatusGatewayTimeout, "no answer in time: "+q.reason)
	default:
		q.reject(http.StatusBadGateway, "servers failed the request: "+q.reason)
	}
}

// cutOff closes the caller's connection in the middle of an answer, so that the answer does not look complete.
func (q *request) cutOff() {
	if !q.started {
		q.giveUp()
		return
	}
	q.ended(0)
	panic(http.ErrAbortHandler)
}
