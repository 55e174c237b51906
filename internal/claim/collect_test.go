package claim

import (
	"context"
	"testing"
	"time"

	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/stretchr/testify/require"
)

// deleteHookStore calls a hook before each deletion.
type deleteHookStore struct {
	platform.Store
	beforeDelete func()
}

func (s *deleteHookStore) DeleteIf(ctx context.Context, kind, name string, version uint64) error {
	s.beforeDelete()
	return s.Store.DeleteIf(ctx, kind, name, version)
}

// collectAll collects all partitions, with a hook before each deletion, and returns the number of claims deleted.
func (f *fixture) collectAll(t *testing.T, beforeDelete func()) int {
	c := NewCollector(&deleteHookStore{f.store, beforeDelete}, evlog.Discard())
	c.now = func() time.Time { return time.UnixMicro(f.now.Load()) }
	deleted := 0
	for range namePartitions {
		n, err := c.CollectNext(t.Context())
		require.NoError(t, err)
		deleted += n
	}
	return deleted
}

// Guards against claims that are deleted while they must block their key, and expired claims that are never deleted.
func TestOnlyExpiredClaimsAreDeleted(t *testing.T) {
	f := newFixture()
	require.Equal(t, Dispatch, f.claims("g1").Acquire(contextWithTimeout(t, time.Second), "trust", "old", "b").Decision)
	_, err := f.store.Put(t.Context(), platform.KindClaim, "000unreadable", []byte("?"))
	require.NoError(t, err)
	f.now.Add((Retention + clockSkewMargin).Microseconds())
	require.Equal(t, Dispatch, f.claims("g1").Acquire(contextWithTimeout(t, time.Second), "trust", "young", "b").Decision)
	require.Zero(t, f.collectAll(t, func() {}))
	f.now.Add(1)
	require.Equal(t, 1, f.collectAll(t, func() {}))
	left, err := f.store.List(t.Context(), platform.KindClaim, "")
	require.NoError(t, err)
	require.Len(t, left, 2)
	require.Equal(t, Unknown, f.claims("g2").Acquire(contextWithTimeout(t, 100*time.Millisecond), "trust", "young", "b").Decision)
}

// Guards against a collector that is paused before a deletion and then deletes the claim that has replaced the expired
// one, so that a request could run twice.
func TestPausedCollectorKeepsANewClaim(t *testing.T) {
	f := newFixture()
	require.Equal(t, Dispatch, f.claims("g1").Acquire(contextWithTimeout(t, time.Second), "trust", "k", "b").Decision)
	f.now.Add((Retention + 2*clockSkewMargin).Microseconds())
	require.Zero(t, f.collectAll(t, func() {
		require.Equal(t, Dispatch, f.claims("g2").Acquire(contextWithTimeout(t, time.Second), "trust", "k", "b").Decision)
	}))
	require.Equal(t, Unknown, f.claims("g3").Acquire(contextWithTimeout(t, 100*time.Millisecond), "trust", "k", "b").Decision)
}
