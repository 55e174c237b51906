package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/bodybudget"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/drain"
	"github.com/carobstile/carobstile/internal/evlog"
)

// fakeLoad is what a stopping daemon has to do, by the time since the stop began.
type fakeLoad struct {
	now core.Micros
	// open are the requests and exchanging the connections with an answer that is not written to its end.
	open, exchanging func(at time.Duration) int
	drainedAt        core.Micros
	cutOffAt         core.Micros
	closedAt         core.Micros
	closedExchanging int
	// freezeAt and frozenFor are when the process is frozen, and for how long; 0 if it is not.
	freezeAt, frozenFor core.Micros
}

func (f *fakeLoad) OpenRequests() int64 { return int64(f.open(f.now.Duration())) }
func (f *fakeLoad) Drain()              { f.drainedAt = f.now }
func (f *fakeLoad) CutOff(core.Micros)  { f.cutOffAt = f.now }

func (f *fakeLoad) Connections() bodybudget.Connections {
	return bodybudget.Connections{Exchanging: f.exchanging(f.now.Duration())}
}

func (f *fakeLoad) CloseQuiet(time.Duration) {}
func (f *fakeLoad) Close() error             { return nil }

// until returns a number that holds until a time, and 0 afterwards.
func until(n int, end time.Duration) func(time.Duration) int {
	return func(at time.Duration) int {
		if at < end {
			return n
		}
		return 0
	}
}

// run plays a stop with a grace period of 8 s. The entry is removed at the given time.
func (f *fakeLoad) run(entryRemovedAt time.Duration) {
	removed := make(chan struct{})
	s := &stopper{
		plan: drain.NewPlan(0, 8*core.Second), requests: f, connections: f, entryRemoved: removed, log: evlog.Discard(), now: func() core.Micros { return f.now },
		sleep: func(d time.Duration) {
			before := f.now
			f.now += max(core.Millisecond, core.FromDuration(d))
			if f.frozenFor > 0 && f.now > f.freezeAt {
				f.now, f.frozenFor = f.now+f.frozenFor, 0
			}
			if at := core.FromDuration(entryRemovedAt); before < at && at <= f.now {
				close(removed)
			}
		},
		closeServer: func() { f.closedAt, f.closedExchanging = f.now, f.exchanging(f.now.Duration()) },
	}
	s.run()
}

// Guards against a stop that closes the connection of a request that has ended, before its answer is written to its end.
func TestStopWaitsUntilAnswersAreWritten(t *testing.T) {
	f := &fakeLoad{open: until(1, 3*time.Second), exchanging: until(1, 3200*time.Millisecond)}
	f.run(time.Second)
	require.Zero(t, f.closedExchanging)
	require.Less(t, f.closedAt, 4*core.Second)
}

// Guards against a daemon that was frozen beyond its grace period and closes connections before their last answers are written.
func TestFrozenStopStillAnswers(t *testing.T) {
	f := &fakeLoad{}
	f.exchanging = func(time.Duration) int {
		if f.cutOffAt > 0 && f.now > f.cutOffAt+50*core.Millisecond {
			return 0
		}
		return 1
	}
	f.open = f.exchanging
	f.freezeAt, f.frozenFor = 4*core.Second, 10*core.Second
	f.run(time.Second)
	require.GreaterOrEqual(t, f.cutOffAt, 14*core.Second)
	require.Zero(t, f.closedExchanging)
	require.Less(t, f.closedAt, 15*core.Second)
}

// Guards against a stop that closes connections without another look at them after it has waited for the store.
func TestStopLooksAgainAfterItsEntryIsRemoved(t *testing.T) {
	arriving := func(at time.Duration) int {
		if at > 4900*time.Millisecond && at < 5300*time.Millisecond {
			return 1
		}
		return 0
	}
	f := &fakeLoad{open: arriving, exchanging: arriving}
	f.run(5 * time.Second)
	require.Zero(t, f.closedExchanging)
	require.Less(t, f.closedAt, 6*core.Second)
}
