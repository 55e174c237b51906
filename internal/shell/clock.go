// Package shell provides what all shells of reducers need: a clock that does not jump, keyed timers and periodic calls.
package shell

import (
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/core"
)

// Clock provides the time of events. It starts at the wall-clock time and then follows the monotonic clock, so that an
// adjustment of the wall clock neither fires timers early nor looks like a pause of the process.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that starts at the current wall-clock time.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the current time of the clock.
func (c Clock) Now() core.Micros {
	return core.FromTime(c.start) + core.FromDuration(time.Since(c.start))
}

// Timers holds the pending timers of one reducer. It is safe for concurrent use. For Set calls to take effect in the
// order of the reducer's steps, call Set while holding the lock that serialises Step.
type Timers struct {
	mu      sync.Mutex
	pending map[string]*time.Timer
	stopped bool
}

// Set starts a timer that calls fire once after the given duration. It replaces an earlier timer with the same key.
func (t *Timers) Set(key string, after core.Micros, fire func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	if t.pending == nil {
		t.pending = map[string]*time.Timer{}
	}
	if previous := t.pending[key]; previous != nil {
		previous.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(after.Duration(), func() {
		if t.take(key, &timer) {
			fire()
		}
	})
	t.pending[key] = timer
}

// take removes a timer that has fired. It returns false if the timer was replaced or stopped in the meantime. It takes a
// pointer to the variable, because Set assigns the variable only after starting the timer, under the lock.
func (t *Timers) take(key string, timer **time.Timer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.pending[key] != *timer {
		return false
	}
	delete(t.pending, key)
	return true
}

// Stop stops all timers permanently; later calls of Set do nothing.
func (t *Timers) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	for _, timer := range t.pending {
		timer.Stop()
	}
	t.pending = nil
}
