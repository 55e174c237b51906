package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/stretchr/testify/require"
)

// fixture is a fake platform shared by the gates of a test, with a manual clock.
type fixture struct {
	store *platform.Fake
	ids   atomic.Int64
	now   atomic.Int64
}

func newFixture() *fixture {
	f := &fixture{store: platform.NewFake()}
	f.now.Store(time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC).UnixMicro())
	return f
}

func (f *fixture) claims(gate string) *Manager {
	return New(Options{
		Store: f.store, Gate: gate, Log: evlog.Discard(),
		NewID: func() string { return fmt.Sprintf("%s-%d", gate, f.ids.Add(1)) },
		Now:   func() time.Time { return time.UnixMicro(f.now.Load()) },
	})
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// Guards against two gates that both acquire the claim of one request and run it twice.
func TestConcurrentAcquireDispatchesOnce(t *testing.T) {
	f := newFixture()
	var wg sync.WaitGroup
	var dispatched atomic.Int64
	for i := range 16 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := f.claims(fmt.Sprintf("gate-%d", i)).Acquire(contextWithTimeout(t, 300*time.Millisecond), "trust", "bell-1", "h")
			if r.Decision == Dispatch {
				dispatched.Add(1)
			}
		}()
	}
	wg.Wait()
	require.Equal(t, int64(1), dispatched.Load())
}

// Guards against a second claim, or a refused request that runs, when the response to the write of a claim is lost.
func TestLostWriteResponseIsResolvedByReading(t *testing.T) {
	f := newFixture()
	f.store.SetFaults(platform.Faults{LoseWriteResponses: 1})
	r := f.claims("a").Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h")
	require.Equal(t, Dispatch, r.Decision)
	other := f.claims("b").Acquire(contextWithTimeout(t, 50*time.Millisecond), "trust", "bell-1", "h")
	require.Equal(t, Unknown, other.Decision)
}

// outageAfterWriteStore is unavailable after its first write.
type outageAfterWriteStore struct {
	*platform.Fake
	firstWrite sync.Once
}

func (s *outageAfterWriteStore) PutIf(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	version, err := s.Fake.PutIf(ctx, kind, name, value, ifVersion)
	s.firstWrite.Do(func() { s.SetFaults(platform.Faults{Outage: true}) })
	return version, err
}

// Guards against a key that stays blocked because its claim was written, the response was lost and an outage of the
// platform followed.
func TestUnconfirmedClaimIsReleasedAfterOutage(t *testing.T) {
	f := newFixture()
	f.store.SetFaults(platform.Faults{LoseWriteResponses: 1})
	a := f.claims("a")
	a.opts.Store = &outageAfterWriteStore{Fake: f.store}
	r := a.Acquire(contextWithTimeout(t, 100*time.Millisecond), "trust", "bell-1", "h")
	require.Equal(t, Unavailable, r.Decision)

	f.store.SetFaults(platform.Faults{})
	a.Wait(contextWithTimeout(t, 5*time.Second))
	again := f.claims("b").Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h")
	require.Equal(t, Dispatch, again.Decision)
}

// Guards against a dispatch without a durable claim while the platform is unavailable.
func TestAcquireDuringOutageIsUnavailable(t *testing.T) {
	f := newFixture()
	f.store.SetFaults(platform.Faults{Outage: true})
	r := f.claims("a").Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h")
	require.Equal(t, Unavailable, r.Decision)
}

// Guards against a repeated request that runs again after its outcome was recorded.
func TestRepeatGetsRecordedOutcome(t *testing.T) {
	f := newFixture()
	a := f.claims("a")
	first := a.Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h")
	a.Complete(first.Handle, Outcome{Status: 200, Body: []byte("rung")})
	a.Wait(contextWithTimeout(t, time.Second))
	repeat := f.claims("b").Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h")
	require.Equal(t, Replay, repeat.Decision)
	require.Equal(t, "rung", string(repeat.Outcome.Body))
}

// Guards against a key that is accepted for a second, different request.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	f := newFixture()
	f.claims("a").Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h")
	r := f.claims("b").Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "other")
	require.Equal(t, KeyReused, r.Decision)
}

// Guards against idempotency keys of one caller that block or reveal those of another.
func TestKeysAreScopedToCaller(t *testing.T) {
	f := newFixture()
	require.Equal(t, Dispatch, f.claims("a").Acquire(contextWithTimeout(t, time.Second), "trust", "k", "h").Decision)
	require.Equal(t, Dispatch, f.claims("a").Acquire(contextWithTimeout(t, time.Second), "norrvik", "k", "h").Decision)
}

// Guards against a released claim that blocks its key, although nothing was dispatched, or is acquired twice.
func TestReleasedClaimCanBeAcquiredOnce(t *testing.T) {
	f := newFixture()
	a := f.claims("a")
	first := a.Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h")
	a.Release(first.Handle)
	a.Wait(contextWithTimeout(t, time.Second))
	require.Equal(t, Dispatch, f.claims("b").Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h").Decision)
	require.Equal(t, Unknown, f.claims("c").Acquire(contextWithTimeout(t, 50*time.Millisecond), "trust", "bell-1", "h").Decision)
}

// Guards against a gate that was paused beyond Retention, resumes and dispatches while another gate holds the claim.
func TestPausedHolderMayNotDispatchAfterRetention(t *testing.T) {
	f := newFixture()
	paused := f.claims("a").Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h")
	require.True(t, paused.Handle.ValidUntil().After(time.UnixMicro(f.now.Load())))
	f.now.Add((Retention + time.Minute).Microseconds())
	next := f.claims("b").Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h")
	require.Equal(t, Dispatch, next.Decision, "an expired claim no longer blocks its key")
	require.False(t, paused.Handle.ValidUntil().After(time.UnixMicro(f.now.Load())))
}

// Guards against a paused owner that releases or completes a claim that another attempt has since replaced.
func TestPausedHolderCannotModifySuccessorClaim(t *testing.T) {
	f := newFixture()
	a := f.claims("a")
	paused := a.Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h")
	f.now.Add((Retention + time.Minute).Microseconds())
	next := f.claims("b").Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h")
	a.Release(paused.Handle)
	a.Wait(contextWithTimeout(t, time.Second))
	stored, _, err := f.claims("c").read(context.Background(), Name("trust", "bell-1"))
	require.NoError(t, err)
	require.Equal(t, next.Handle.AttemptID(), stored.AttemptID)
	require.Equal(t, StateClaimed, stored.State)
}

// Guards against a second run when reads are stale and miss a claim that another gate has just written.
func TestStaleReadsDoNotGrantAClaimTwice(t *testing.T) {
	f := newFixture()
	require.Equal(t, Dispatch, f.claims("a").Acquire(contextWithTimeout(t, time.Second), "trust", "bell-1", "h").Decision)
	f.store.SetFaults(platform.Faults{StaleReads: 1})
	r := f.claims("b").Acquire(contextWithTimeout(t, 100*time.Millisecond), "trust", "bell-1", "h")
	require.NotEqual(t, Dispatch, r.Decision)
}
