package allocator

import (
	"context"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/engine"
)

// FakeLoads is a LoadReader that answers from memory. It is safe for concurrent use.
type FakeLoads struct {
	mu      sync.Mutex
	loads   map[string]engine.Load
	refused map[string]bool
}

// NewFakeLoads returns a fake on which every engine is down.
func NewFakeLoads() *FakeLoads {
	return &FakeLoads{loads: map[string]engine.Load{}, refused: map[string]bool{}}
}

// Set states the report of the engine at address.
func (f *FakeLoads) Set(address string, load engine.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[address] = load
}

// Down makes the engine at address fail its polls.
func (f *FakeLoads) Down(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.loads, address)
}

// Refuse makes the host of the engine at address refuse connections, as after a crash.
func (f *FakeLoads) Refuse(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[address] = true
}

// Load implements LoadReader.
func (f *FakeLoads) Load(ctx context.Context, address string) (*engine.Load, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refused[address] {
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "engine %s", address)
	}
	load, ok := f.loads[address]
	if !ok {
		return nil, errors.Newf("engine %s is down", address)
	}
	return &load, nil
}
