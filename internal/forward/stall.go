package forward

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
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

// stallDetector cancels an attempt whose servers make no progress, if another server can still resume the stream.
type stallDetector struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	q      *request
	plan   dispatch.Plan

	mu                 sync.Mutex
	timer              *time.Timer
	lastProgress       core.Micros
	awaitingFirstEvent bool // no event has arrived yet
}

func (q *request) newStallDetector(plan dispatch.Plan) *stallDetector {
	ctx, cancel := context.WithCancelCause(q.ctx)
	d := &stallDetector{ctx: ctx, cancel: cancel, q: q, plan: plan, lastProgress: q.h.Now(), awaitingFirstEvent: true}
	if q.route.RetryMode == routing.Resumable && q.sendCount+1 < q.route.Attempts {
		d.mu.Lock() // the timer may fire before it is assigned; check waits for the lock
		d.timer = time.AfterFunc(stallCheckInterval, d.check)
		d.mu.Unlock()
	}
	return d
}

// check cancels the attempt if it is stalled, and otherwise schedules the next check.
func (d *stallDetector) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	idle := d.q.h.Now() - d.lastProgress
	limit := core.Micros(float64(core.FromDuration(d.q.eventWait())) * stallWaitShare)
	if idle > limit || idle > unreachableGracePeriod && d.serverUnreachable() {
		d.cancel(errStalled)
		return
	}
	d.timer.Reset(stallCheckInterval)
}

// serverUnreachable reports whether a server that the stream needs is unreachable. Helpers are needed only until the
// first event.
func (d *stallDetector) serverUnreachable() bool {
	if d.q.h.Scheduler.Unreachable(d.plan.Lead.ID) {
		return true
	}
	for _, s := range d.plan.Helpers {
		if d.awaitingFirstEvent && d.q.h.Scheduler.Unreachable(s.ID) {
			return true
		}
	}
	return false
}

// recordProgress records the arrival of an event.
func (d *stallDetector) recordProgress() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastProgress, d.awaitingFirstEvent = d.q.h.Now(), false
}

// stalled reports whether the detector cancelled the attempt.
func (d *stallDetector) stalled() bool { return errors.Is(context.Cause(d.ctx), errStalled) }

// blocked reports whether the attempt was cancelled because the request must not run.
func (d *stallDetector) blocked() bool { return errors.Is(context.Cause(d.ctx), errBlocked) }

func (d *stallDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	d.cancel(nil)
}
