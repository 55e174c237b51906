package confstore

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a change that is lost, accepted twice or reported as rejected while operators apply changes
// concurrently, answers are lost, reads are stale and the platform rejects calls.
func TestConcurrentWritersLoseNoChange(t *testing.T) {
	const writers, changes = 6, 8
	objects := platform.NewFake()
	weights := make([]int, writers)
	for i := range weights {
		weights[i] = 1
	}
	apply(t, newTestStore(objects), document(weights...))

	stop := make(chan struct{})
	var faults, group sync.WaitGroup
	faults.Go(func() { injectFaults(objects, stop) })
	failures := make(chan error, writers)
	for i := range writers {
		group.Go(func() { failures <- incrementWeight(t.Context(), objects, fmt.Sprintf("w%d", i), changes) })
	}
	group.Wait()
	close(stop)
	faults.Wait()
	objects.SetFaults(platform.Faults{})
	for range writers {
		require.NoError(t, <-failures)
	}
	got, err := newTestStore(objects).Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, uint64(1+writers*changes), got.Root.Generation, "a change was accepted twice or not at all")
	for _, w := range got.Document.Workspaces {
		require.Equal(t, 1+changes, w.Weight, w.Name)
	}
}

func injectFaults(objects *platform.Fake, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
		}
		objects.SetFaults(platform.Faults{LoseWriteResponses: i % 3, StaleReads: i % 4 / 2, Outage: i%7 == 6})
	}
}

// incrementWeight increments the weight of one workspace the given number of times and starts again from the current
// version after each conflict.
func incrementWeight(ctx context.Context, objects platform.Store, name string, changes int) error {
	s := New(objects)
	s.sleep = func(ctx context.Context, _ time.Duration) error { return sleep(ctx, time.Millisecond) }
	for done := 0; done < changes; {
		base, err := s.Read(ctx)
		if err != nil {
			return err
		}
		doc, err := base.Clone()
		if err != nil {
			return err
		}
		for i := range doc.Workspaces {
			if doc.Workspaces[i].Name == name {
				doc.Workspaces[i].Weight++
			}
		}
		_, err = s.Apply(ctx, base, doc, name)
		var conflict *ConflictError
		switch {
		case err == nil:
			done++
		case !errors.As(err, &conflict):
			return err
		}
	}
	return nil
}

// Guards against a clone that shares memory with its snapshot.
func TestCloneIsDeep(t *testing.T) {
	s := &Snapshot{Document: document(1)}
	doc, err := s.Clone()
	require.NoError(t, err)
	doc.Workspaces[0].KeyHashes[0] = config.HashKey("other")
	require.Equal(t, config.HashKey("0"), s.Document.Workspaces[0].KeyHashes[0])
}
