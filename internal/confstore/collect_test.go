package confstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// hookStore calls a hook once before the first conditional write, which writes the root, or before the first deletion.
type hookStore struct {
	platform.Store
	beforeRootWrite, beforeDelete func()
}

func runOnce(hook *func()) {
	if run := *hook; run != nil {
		*hook = nil
		run()
	}
}

func (h *hookStore) PutIf(ctx context.Context, kind, name string, value []byte, version uint64) (uint64, error) {
	runOnce(&h.beforeRootWrite)
	return h.Store.PutIf(ctx, kind, name, value, version)
}

func (h *hookStore) DeleteIf(ctx context.Context, kind, name string, version uint64) error {
	runOnce(&h.beforeDelete)
	return h.Store.DeleteIf(ctx, kind, name, version)
}

type testCollector struct {
	*Collector
	t       *testing.T
	elapsed time.Duration
}

func newTestCollector(t *testing.T, objects platform.Store) *testCollector {
	c := &testCollector{Collector: NewCollector(objects, evlog.Discard()), t: t}
	c.now = func() time.Time { return time.Unix(0, 0).Add(c.elapsed) }
	return c
}

// collectAll runs a round for each partition and returns the numbers of deleted chunks and of failed rounds.
func (c *testCollector) collectAll() (deleted, failed int) {
	for range hashPartitions {
		n, err := c.Round(c.t.Context())
		deleted += n
		if err != nil {
			failed++
		}
	}
	return deleted, failed
}

func requireReadable(t *testing.T, objects platform.Store, weight int) {
	t.Helper()
	got, err := newTestStore(objects).Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, weight, got.Document.Workspaces[0].Weight)
}

// Guards against unused chunks that are never deleted, that are deleted while daemons may still read them, and against
// the deletion of chunks in use.
func TestUnusedChunksAreDeletedAfterGracePeriod(t *testing.T) {
	objects := platform.NewFake()
	for weight := 1; weight <= 4; weight++ {
		apply(t, newTestStore(objects), document(weight, 1))
	}
	c := newTestCollector(t, objects)
	deleted, _ := c.collectAll()
	require.Zero(t, deleted)
	c.elapsed = unusedGracePeriod - time.Second
	deleted, _ = c.collectAll()
	require.Zero(t, deleted)
	c.elapsed = unusedGracePeriod
	objects.SetFaults(platform.Faults{LoseWriteResponses: 1})
	first, failed := c.collectAll()
	require.Equal(t, 1, failed, "a lost answer of the root's write must end the round without a deletion")
	second, _ := c.collectAll()
	require.Equal(t, 3, first+second)
	chunks, err := objects.List(t.Context(), platform.KindConfigChunk, "")
	require.NoError(t, err)
	root, _, err := newTestStore(objects).readRoot(t.Context())
	require.NoError(t, err)
	require.Len(t, chunks, len(root.Hashes()))
	require.EqualValues(t, 4, root.Generation)
	requireReadable(t, objects, 4)
}

// Guards against an apply that is paused between writing its chunks and its root, and then references chunks that were
// deleted in the meantime.
func TestPausedApplyReferencesNoDeletedChunk(t *testing.T) {
	objects := platform.NewFake()
	apply(t, newTestStore(objects), document(1, 1))
	c := newTestCollector(t, objects)
	paused := &hookStore{Store: objects, beforeRootWrite: func() {
		c.collectAll()
		c.elapsed = 2 * unusedGracePeriod
		deleted, _ := c.collectAll()
		require.Equal(t, 1, deleted, "the collector must delete the chunk of the paused apply")
	}}
	accepted := apply(t, newTestStore(paused), document(2, 1))
	require.EqualValues(t, 2, accepted.Root.Generation)
	requireReadable(t, objects, 2)
}

// Guards against a collector that is paused before a deletion and then deletes a chunk that was put to use again in the
// meantime.
func TestPausedCollectorKeepsReferencedChunk(t *testing.T) {
	objects := platform.NewFake()
	apply(t, newTestStore(objects), document(1, 1))
	apply(t, newTestStore(objects), document(2, 1))
	hook := &hookStore{Store: objects, beforeDelete: func() { apply(t, newTestStore(objects), document(1, 1)) }}
	c := newTestCollector(t, hook)
	c.collectAll()
	c.elapsed = unusedGracePeriod
	deleted, failed := c.collectAll()
	require.Zero(t, deleted+failed)
	require.Nil(t, hook.beforeDelete, "the collector must have attempted a deletion")
	requireReadable(t, objects, 1)
}

// Guards against any interleaving of applies, collections, lost answers and stale reads that loses a chunk in use or a
// change.
func TestConcurrentAppliesAndCollectorsLoseNoChunk(t *testing.T) {
	const writers, changes, minDeletions = 3, 4, 20
	objects := platform.NewFake()
	apply(t, newTestStore(objects), document(1, 1, 1))
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { injectFaults(objects, stop) })
	var deleted atomic.Int64
	for range 2 {
		background.Go(func() { collectWithoutGracePeriod(t, objects, stop, &deleted) })
	}
	weight := 1
	for end := time.Now().Add(20 * time.Second); deleted.Load() < minDeletions && time.Now().Before(end); weight += changes {
		var group errgroup.Group
		for i := range writers {
			group.Go(func() error { return incrementWeight(t.Context(), objects, fmt.Sprintf("w%d", i), changes) })
		}
		require.NoError(t, group.Wait())
	}
	close(stop)
	background.Wait()
	objects.SetFaults(platform.Faults{})
	require.GreaterOrEqual(t, deleted.Load(), int64(minDeletions))
	requireReadable(t, objects, weight)
}

// collectWithoutGracePeriod runs rounds on random non-empty partitions until stop is closed. Its clock advances by the
// grace period at every call, so that a chunk is deleted when it is observed as unused for the second time.
func collectWithoutGracePeriod(t *testing.T, objects platform.Store, stop <-chan struct{}, deleted *atomic.Int64) {
	c := newTestCollector(t, objects)
	c.now = func() time.Time {
		c.elapsed += unusedGracePeriod
		return time.Unix(0, 0).Add(c.elapsed)
	}
	for {
		select {
		case <-stop:
			return
		default:
		}
		if chunks, err := objects.List(t.Context(), platform.KindConfigChunk, ""); err == nil && len(chunks) > 0 {
			_, _ = fmt.Sscanf(chunks[rand.IntN(len(chunks))].Name[:2], "%x", &c.partition) // names are hexadecimal, so parsing cannot fail
		}
		n, _ := c.Round(t.Context()) // injected faults fail some rounds
		deleted.Add(int64(n))
	}
}
