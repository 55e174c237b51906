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
	// watchEvery is how often a quiet stream is looked at.
	watchEvery = 150 * time.Millisecond
	// quietAfter is how long a stream makes no event before its servers' state counts. A pass of a busy engine takes up
	// to a second.
	quietAfter = 400 * core.Millisecond
	// stallShare is the share of a caller's patience after which a stream counts as stalled whatever its servers say.
	stallShare = 0.8
)

var errStalled = errors.New("server made no progress")

// watch ends an attempt at servers that make no progress, while another server could still continue the stream.
type watch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	q      *request
	plan   dispatch.Plan

	mu    sync.Mutex
	timer *time.Timer
	last  core.Micros
	first bool // no event has come yet
}

func (q *request) newWatch(plan dispatch.Plan) *watch {
	ctx, cancel := context.WithCancelCause(q.ctx)
	w := &watch{ctx: ctx, cancel: cancel, q: q, plan: plan, last: q.h.Now(), first: true}
	if q.route.Repeat == routing.RunResumed && q.sends+1 < q.route.Attempts {
		w.mu.Lock() // the timer may fire before it is assigned
		w.timer = time.AfterFunc(watchEvery, w.look)
		w.mu.Unlock()
	}
	return w
}

func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	quiet := w.q.h.Now() - w.last
	limit := core.Micros(float64(core.Span(w.q.patience())) * stallShare)
	if quiet > limit || quiet > quietAfter && w.failing() {
		w.cancel(errStalled)
		return
	}
	w.timer.Reset(watchEvery)
}

// failing reports whether one of the servers that the stream needs cannot be reached.
func (w *watch) failing() bool {
	if w.q.h.Scheduler.Unreachable(w.plan.Lead.ID) {
		return true
	}
	for _, s := range w.plan.Helpers {
		if w.first && w.q.h.Scheduler.Unreachable(s.ID) {
			return true
		}
	}
	return false
}

// progress records an event of the stream.
func (w *watch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last, w.first = w.q.h.Now(), false
}

// stalled reports whether the watch ended the attempt.
func (w *watch) stalled() bool { return errors.Is(context.Cause(w.ctx), errStalled) }

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}
