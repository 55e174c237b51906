package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/retrybudget"
	"github.com/carobstile/carobstile/internal/routing"
)

const (
	// stallCheckInterval is how often a stream is checked for progress.
	stallCheckInterval = 150 * time.Millisecond
	// unreachableGracePeriod is how long a stream may go without an event before it counts as stalled if one of its
	// servers is unreachable. One pass of a busy engine takes up to a second, so a pause alone is not a failure.
	unreachableGracePeriod = 400 * core.Millisecond
	// stallWaitShare is the share of eventWait after which a stream without an event counts as stalled, even if its
	// servers are reachable.
	stallWaitShare = 0.8
)

// Causes for which an attempt is cancelled.
var (
	errStalled = errors.New("server made no progress")
	errBlocked = errors.New("request must not run")
)

// stallDetector ends an attempt whose servers make no progress, once the attempt that follows is paid for in the retry budget and has servers.
// Until then it lets the attempt go on, as a sound server may only have been silent for a moment.
type stallDetector struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	q      *request
	plan   dispatch.Plan
	// work describes the attempt that would follow. answerLimit is how long an answer without events may take.
	work        dispatch.Work
	answerLimit core.Micros

	mu            sync.Mutex
	timer         *time.Timer
	lastProgress  core.Micros
	awaitingBegin bool // no event has arrived yet
	stopped       bool
	reported      bool // the scheduler knows of a stall that has not ended the attempt
	// endSearch ends the search for the servers of the attempt that follows; nil while there is none.
	endSearch context.CancelFunc
	// permit and next are those of the attempt that follows, once this one has been ended.
	permit *retrybudget.Permit
	next   *placedAttempt
}

// placedAttempt is an attempt to which servers have been assigned.
type placedAttempt struct {
	plan dispatch.Plan
	id   uint64
}

func (q *request) newStallDetector(plan dispatch.Plan) *stallDetector {
	ctx, cancel := context.WithCancelCause(q.ctx)
	d := &stallDetector{ctx: ctx, cancel: cancel, q: q, plan: plan, lastProgress: q.h.Now(), awaitingBegin: true}
	if !q.canResume() || q.sendCount+1 >= q.route.Attempts {
		return d
	}
	d.work = q.newWork()
	d.work.Exclude, d.work.Retried = append(slices.Clone(d.work.Exclude), plan.Lead.ID), true
	if q.route.RetryMode == routing.Idempotent {
		d.answerLimit = core.Micros(float64(core.FromDuration(q.remaining())) * attemptTimeoutShare)
	}
	d.mu.Lock() // the timer may fire before it is assigned; check waits for the lock
	d.timer = time.AfterFunc(stallCheckInterval, d.check)
	d.mu.Unlock()
	return d
}

// canResume reports whether another attempt can replace one that a server may be running.
func (q *request) canResume() bool {
	return q.route.RetryMode == routing.Resumable || q.route.RetryMode == routing.Idempotent
}

// check ends the attempt if it is stalled and can be replaced, and otherwise schedules the next check.
func (d *stallDetector) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	if d.isStalled() && d.replace() {
		return
	}
	if !d.stopped {
		d.timer.Reset(stallCheckInterval)
	}
}

// isStalled reports whether the servers make no progress. The caller holds mu.
func (d *stallDetector) isStalled() bool {
	idle := d.q.h.Now() - d.lastProgress
	if d.answerLimit > 0 {
		return d.awaitingBegin && idle > d.answerLimit
	}
	limit := core.Micros(float64(core.FromDuration(d.q.eventWait())) * stallWaitShare)
	return idle > limit || idle > unreachableGracePeriod && d.serverUnreachable()
}

// replace pays for the attempt that follows, waits for its servers and ends this attempt. It returns false if the budget has no place, no servers
// are free, or this attempt has made progress or ended meanwhile. The caller holds mu, which is released while the search lasts.
func (d *stallDetector) replace() bool {
	permit := d.q.h.Budget.ReserveHeld(d.q.service)
	if permit == nil {
		d.report("retry budget is used up")
		return false
	}
	progress := d.lastProgress
	next, err := d.search()
	if err == nil && !d.stopped && d.lastProgress == progress {
		d.permit, d.next = permit, next
		d.cancel(errStalled)
		return true
	}
	permit.Release()
	if next != nil {
		d.q.h.Scheduler.RecordCancellation(next.id)
	}
	if err != nil && !d.stopped && d.lastProgress == progress {
		d.report(err.Error())
	}
	return false
}

// search finds servers for the attempt that follows. A neighbour is chosen when that attempt begins; the result is nil then. The caller holds mu,
// which is released meanwhile.
func (d *stallDetector) search() (*placedAttempt, error) {
	if d.q.neighbour != nil {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	d.endSearch = cancel
	w, now := d.work, d.q.h.Now()
	w.ID = rand.Uint64()
	if !d.awaitingBegin {
		w.FirstEventDue = now + core.FromDuration(d.q.route.PauseTarget)
		w.AbandonAt = now + core.FromDuration(d.q.eventWait())
	}
	d.mu.Unlock()
	plan, err := d.q.h.Scheduler.Place(ctx, w)
	d.mu.Lock()
	d.endSearch = nil
	if err != nil {
		return nil, err
	}
	return &placedAttempt{plan: plan, id: w.ID}, nil
}

// report tells the scheduler, once, that the servers make no progress although the attempt goes on. The caller holds mu.
func (d *stallDetector) report(reason string) {
	if d.reported {
		return
	}
	d.reported = true
	if d.q.neighbour == nil {
		d.q.h.Scheduler.RecordFailure(d.plan.Lead.ID, dispatch.FaultStalled)
	}
	if d.q.h.repeatSampler.allow(d.q.h.Now(), loggedRepeatsPerSecond) {
		d.q.h.Log.Info("stalled attempt goes on", evlog.KeyRequest, d.q.ID, "server", d.plan.Lead.ID, "reason", reason,
			"idle_ms", (d.q.h.Now()-d.lastProgress)/core.Millisecond, "begun", !d.awaitingBegin)
	}
}

// serverUnreachable reports whether a server that the stream needs is unreachable. Helpers are needed only until the
// first event.
func (d *stallDetector) serverUnreachable() bool {
	if d.q.h.Scheduler.Unreachable(d.plan.Lead.ID) {
		return true
	}
	for _, s := range d.plan.Helpers {
		if d.awaitingBegin && d.q.h.Scheduler.Unreachable(s.ID) {
			return true
		}
	}
	return false
}

// recordProgress records the arrival of an event.
func (d *stallDetector) recordProgress() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastProgress, d.awaitingBegin, d.reported = d.q.h.Now(), false, false
	if d.endSearch != nil {
		d.endSearch()
	}
}

// stalled reports whether the detector ended the attempt.
func (d *stallDetector) stalled() bool { return errors.Is(context.Cause(d.ctx), errStalled) }

// blocked reports whether the attempt was cancelled because the request must not run.
func (d *stallDetector) blocked() bool { return errors.Is(context.Cause(d.ctx), errBlocked) }

// stop ends the detector and leaves the request what is reserved for the next attempt.
func (d *stallDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	if d.timer != nil {
		d.timer.Stop()
	}
	if d.endSearch != nil {
		d.endSearch()
	}
	d.cancel(nil)
	if d.permit != nil && (d.q.permit != nil || d.q.arrivals == 0) {
		d.permit.Release()
	} else if d.permit != nil {
		d.q.permit = d.permit
	}
	d.q.next = d.next
}

// releaseNext gives up the servers of an attempt that does not follow.
func (q *request) releaseNext() {
	if q.next != nil {
		q.h.Scheduler.RecordCancellation(q.next.id)
		q.next = nil
	}
}
