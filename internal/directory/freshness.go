package directory

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// freshness records when an image was last known to be current. Times are those of sinceBoot. It is safe for concurrent use.
type freshness struct {
	// answeredAt is when the store last answered this daemon, confirmedAt the latest time at which the store answered this
	// daemon or a neighbour with the same image; 0 before the first time.
	answeredAt, confirmedAt atomic.Int64
}

// answered records that the store answered this daemon.
func (f *freshness) answered(at time.Duration) {
	f.answeredAt.Store(int64(at))
	f.confirm(at)
}

// confirm records that the image was current at a time.
func (f *freshness) confirm(at time.Duration) {
	for {
		old := f.confirmedAt.Load()
		if int64(at) <= old || f.confirmedAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// age returns the time since the image was last known to be current.
func (f *freshness) age(now time.Duration) time.Duration {
	return now - time.Duration(f.confirmedAt.Load())
}

// ownAge returns the time since the store last answered this daemon; false if it has not.
func (f *freshness) ownAge(now time.Duration) (time.Duration, bool) {
	at := f.answeredAt.Load()
	return now - time.Duration(at), at > 0
}

// processStart is the base of sinceBoot where the kernel has no clock that counts suspended time.
var processStart = time.Now()

// sinceBoot returns the time since the host was booted. Unlike the monotonic clock it counts the time for which the host was
// suspended, in which the store may have changed.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}
