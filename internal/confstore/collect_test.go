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

// hookStore calls a hook once before the first write of the root or the first deletion.
type hookStore struct {
	platform.Store
	beforeRoot, beforeDelete func()
}

func once(hook *func()) {
	if run := *hook; run != nil {
		*hook = nil
		run()
	}
}

func (h *hookStore) PutIf(ctx context.Context, kind, name string, value []byte, version uint64) (uint64, error) {
	once(&h.beforeRoot)
	return h.Store.PutIf(ctx, kind, name, value, version)
}

func (h *hookStore) DeleteIf(ctx context.Context, kind, name string, version uint64) error {
	once(&h.beforeDelete)
	return h.Store.DeleteIf(ctx, kind, name, version)
}

type collection struct {
	*Collector
	t   *testing.T
	age time.Duration
}

func newCollection(t *testing.T, objects platform.Store) *collection {
	c := &collection{Collector: NewCollector(objects, evlog.Discard()), t: t}
	c.now = func() time.Time { return time.Unix(0, 0).Add(c.age) }
	return c
}

// cycle works on all slices and returns the number of chunks deleted and of rounds that failed.
func (c *collection) cycle() (deleted, failed int) {
	for range hashSlices {
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

// Guards against chunks that stay for ever, that go while daemons may still read them, or that go while in force.
func TestUnusedChunksAreCollectedAfterTheGrace(t *testing.T) {
	objects := platform.NewFake()
	for weight := 1; weight <= 4; weight++ {
		apply(t, newTestStore(objects), document(weight, 1))
	}
	c := newCollection(t, objects)
	deleted, _ := c.cycle()
	require.Zero(t, deleted)
	c.age = unusedGrace - time.Second
	deleted, _ = c.cycle()
	require.Zero(t, deleted)
	c.age = unusedGrace
	objects.SetFaults(platform.Faults{LoseWriteResponses: 1})
	first, failed := c.cycle()
	require.Equal(t, 1, failed, "a lost answer of the root's write must end the round without a deletion")
	second, _ := c.cycle()
	require.Equal(t, 3, first+second)
	chunks, err := objects.List(t.Context(), platform.KindConfigChunk, "")
	require.NoError(t, err)
	root, _, err := newTestStore(objects).readRoot(t.Context())
	require.NoError(t, err)
	require.Len(t, chunks, len(root.Hashes()))
	require.EqualValues(t, 4, root.Generation)
	requireReadable(t, objects, 4)
}

// Guards against an apply that was paused between its chunks and its root, and then names chunks that were collected
// meanwhile.
func TestPausedApplyNamesNoCollectedChunk(t *testing.T) {
	objects := platform.NewFake()
	apply(t, newTestStore(objects), document(1, 1))
	c := newCollection(t, objects)
	paused := &hookStore{Store: objects, beforeRoot: func() {
		c.cycle()
		c.age = 2 * unusedGrace
		deleted, _ := c.cycle()
		require.Equal(t, 1, deleted, "the chunk of the paused apply")
	}}
	accepted := apply(t, newTestStore(paused), document(2, 1))
	require.EqualValues(t, 2, accepted.Root.Generation)
	requireReadable(t, objects, 2)
}

// Guards against a collector that was paused before a deletion, wakes up and deletes a chunk that is in force again.
func TestPausedCollectorDeletesNothingInForce(t *testing.T) {
	objects := platform.NewFake()
	apply(t, newTestStore(objects), document(1, 1))
	apply(t, newTestStore(objects), document(2, 1))
	hook := &hookStore{Store: objects, beforeDelete: func() { apply(t, newTestStore(objects), document(1, 1)) }}
	c := newCollection(t, hook)
	c.cycle()
	c.age = unusedGrace
	deleted, failed := c.cycle()
	require.Zero(t, deleted+failed)
	require.Nil(t, hook.beforeDelete, "the collector must have tried")
	requireReadable(t, objects, 1)
}

// Guards against any order of applies, collections, lost answers and stale reads that loses a chunk in force or a change.
func TestRacingAppliesAndCollectorsLoseNoChunk(t *testing.T) {
	const writers, changes, enough = 3, 4, 20
	objects := platform.NewFake()
	apply(t, newTestStore(objects), document(1, 1, 1))
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { injectFaults(objects, stop) })
	var deleted atomic.Int64
	for range 2 {
		background.Go(func() { collectWithoutGrace(t, objects, stop, &deleted) })
	}
	weight := 1
	for end := time.Now().Add(20 * time.Second); deleted.Load() < enough && time.Now().Before(end); weight += changes {
		var group errgroup.Group
		for i := range writers {
			group.Go(func() error { return writeAll(t.Context(), objects, fmt.Sprintf("w%d", i), changes) })
		}
		require.NoError(t, group.Wait())
	}
	close(stop)
	background.Wait()
	objects.SetFaults(platform.Faults{})
	require.GreaterOrEqual(t, deleted.Load(), int64(enough))
	requireReadable(t, objects, weight)
}

// collectWithoutGrace takes every chunk that it sees unused for the second time for old.
func collectWithoutGrace(t *testing.T, objects platform.Store, stop <-chan struct{}, deleted *atomic.Int64) {
	c := newCollection(t, objects)
	c.now = func() time.Time {
		c.age += unusedGrace
		return time.Unix(0, 0).Add(c.age)
	}
	for {
		select {
		case <-stop:
			return
		default:
		}
		if chunks, err := objects.List(t.Context(), platform.KindConfigChunk, ""); err == nil && len(chunks) > 0 {
			_, _ = fmt.Sscanf(chunks[rand.IntN(len(chunks))].Name[:2], "%x", &c.slice) // names are hexadecimal
		}
		n, _ := c.Round(t.Context()) // faults end rounds
		deleted.Add(int64(n))
	}
}
