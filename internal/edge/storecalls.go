package edge

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/platform"
)

// Phases of a daemon by which its calls to the store are counted.
const (
	phaseStart    = "start"    // until the daemon knows the configuration and the servers, and for startupPeriod at least
	phaseRecovery = "recovery" // while the store fails calls of this daemon
	phaseSteady   = "steady"
)

// storeCall labels a call to the store.
type storeCall struct{ kind, operation, phase string }

// countingStore counts the calls to the store by kind of object, operation and phase, since the platform charges each of them.
type countingStore struct {
	store Store
	scope tally.Scope
	phase func() string

	mu       sync.Mutex
	counters map[storeCall]tally.Counter
}

var _ Store = (*countingStore)(nil)

func newCountingStore(store Store, scope tally.Scope, phase func() string) *countingStore {
	return &countingStore{store: store, scope: scope, phase: phase, counters: map[storeCall]tally.Counter{}}
}

func (s *countingStore) count(kind, operation string) {
	c := storeCall{kind: kind, operation: operation, phase: s.phase()}
	s.mu.Lock()
	defer s.mu.Unlock()
	counter, ok := s.counters[c]
	if !ok {
		counter = s.scope.Tagged(map[string]string{"kind": c.kind, "operation": c.operation, "phase": c.phase}).Counter("store_calls")
		s.counters[c] = counter
	}
	counter.Inc(1)
}

// List implements directory.Source.
func (s *countingStore) List(ctx context.Context, kind string) (directory.Image, error) {
	s.count(kind, "list")
	return s.store.List(ctx, kind)
}

// ListStale implements Store.
func (s *countingStore) ListStale(ctx context.Context, kind string) (directory.Image, error) {
	s.count(kind, "list_stale")
	return s.store.ListStale(ctx, kind)
}

// Watch implements directory.Source.
func (s *countingStore) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (platform.Watch, error) {
	s.count(kind, "watch")
	return s.store.Watch(ctx, kind, after, wait)
}

// Put implements Store.
func (s *countingStore) Put(ctx context.Context, kind, name string, value []byte) error {
	s.count(kind, "put")
	return s.store.Put(ctx, kind, name, value)
}

// Delete implements Store.
func (s *countingStore) Delete(ctx context.Context, kind, name string) error {
	s.count(kind, "delete")
	return s.store.Delete(ctx, kind, name)
}

// storePhase returns the phase by which calls to the store are counted now.
func (d *Daemon) storePhase() string {
	switch {
	case !d.initialized() || time.Since(d.start) < startupPeriod:
		return phaseStart
	case d.storeFailing():
		return phaseRecovery
	default:
		return phaseSteady
	}
}
