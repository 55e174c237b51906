package claim

import (
	"context"
	"testing"
	"time"

	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/stretchr/testify/require"
)

// slowStore calls a hook before each deletion.
type slowStore struct {
	platform.Store
	beforeDelete func()
}

func (s *slowStore) DeleteIf(ctx context.Context, kind, name string, version uint64) error {
	s.beforeDelete()
	return s.Store.DeleteIf(ctx, kind, name, version)
}

// collect works on all slices with a hook before each deletion and returns the number of claims deleted.
func (f *fixture) collect(t *testing.T, beforeDelete func()) int {
	c := NewCollector(&slowStore{f.store, beforeDelete}, evlog.Discard())
	c.now = func() time.Time { return time.UnixMicro(f.now.Load()) }
	deleted := 0
	for range hashSlices {
		n, err := c.Round(t.Context())
		require.NoError(t, err)
		deleted += n
	}
	return deleted
}

// Guards against a claim that is deleted while it must block its key, and against expired claims that stay for ever.
func TestOnlyExpiredClaimsAreDeleted(t *testing.T) {
	f := newFixture()
	require.Equal(t, Dispatch, f.claims("g1").Acquire(within(t, time.Second), "trust", "old", "b").Decision)
	_, err := f.store.Put(t.Context(), platform.KindClaim, "000unreadable", []byte("?"))
	require.NoError(t, err)
	f.now.Add((Retention + deleteMargin).Microseconds())
	require.Equal(t, Dispatch, f.claims("g1").Acquire(within(t, time.Second), "trust", "young", "b").Decision)
	require.Zero(t, f.collect(t, func() {}))
	f.now.Add(1)
	require.Equal(t, 1, f.collect(t, func() {}))
	left, err := f.store.List(t.Context(), platform.KindClaim, "")
	require.NoError(t, err)
	require.Len(t, left, 2)
	require.Equal(t, Unknown, f.claims("g2").Acquire(within(t, 100*time.Millisecond), "trust", "young", "b").Decision)
}

// Guards against a collector that was paused before a deletion and deletes the claim that took the expired one's place,
// so that a request would run twice.
func TestPausedCollectorKeepsANewClaim(t *testing.T) {
	f := newFixture()
	require.Equal(t, Dispatch, f.claims("g1").Acquire(within(t, time.Second), "trust", "k", "b").Decision)
	f.now.Add((Retention + 2*deleteMargin).Microseconds())
	require.Zero(t, f.collect(t, func() {
		require.Equal(t, Dispatch, f.claims("g2").Acquire(within(t, time.Second), "trust", "k", "b").Decision)
	}))
	require.Equal(t, Unknown, f.claims("g3").Acquire(within(t, 100*time.Millisecond), "trust", "k", "b").Decision)
}
