// Package shell holds what the shells of reducers share: a clock that does not jump, and timers by key.
package shell

import (
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/core"
)

// Clock gives the time of events. It starts at the wall clock and then follows the monotonic clock, so that a corrected
// wall clock neither fires timers early nor looks like a pause.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the time.
func (c Clock) Now() core.Micros { return core.At(c.start) + core.Span(time.Since(c.start)) }

// Timers are the pending timers of one reducer. It is safe for concurrent use; callers that want a later Set to win
// call it under the lock that serialises Step.
type Timers struct {
	mu      sync.Mutex
	pending map[string]*time.Timer
	stopped bool
}

// Set calls fire once after the given span, in place of an earlier timer of the same key.
func (t *Timers) Set(key string, after core.Micros, fire func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.pending == nil {
		t.pending = map[string]*time.Timer{}
	}
	if old := t.pending[key]; old != nil {
		old.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(after.Duration(), func() {
		if t.take(key, &timer) {
			fire()
		}
	})
	t.pending[key] = timer
}

// take removes a fired timer. It is false for one that was replaced or stopped meanwhile. The pointer is read under the
// lock that Set holds while it assigns the timer.
func (t *Timers) take(key string, timer **time.Timer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.pending[key] != *timer {
		return false
	}
	delete(t.pending, key)
	return true
}

// Stop ends all timers, for good.
func (t *Timers) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	for _, timer := range t.pending {
		timer.Stop()
	}
	t.pending = nil
}
