package allocator

import (
	"context"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/engine"
)

// FakeLoadReader is an in-memory LoadReader for tests. It is safe for concurrent use.
type FakeLoadReader struct {
	mu      sync.Mutex
	loads   map[string]engine.Load
	refused map[string]bool
}

// NewFakeLoadReader returns a fake without load reports; polls of all engines fail.
func NewFakeLoadReader() *FakeLoadReader {
	return &FakeLoadReader{loads: map[string]engine.Load{}, refused: map[string]bool{}}
}

// SetLoad sets the load report of the engine at address.
func (f *FakeLoadReader) SetLoad(address string, load engine.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[address] = load
}

// FailPolls makes polls of the engine at address fail until the next SetLoad.
func (f *FakeLoadReader) FailPolls(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.loads, address)
}

// RefuseConnections makes polls of the engine at address fail with ECONNREFUSED, as after a crash of the engine.
func (f *FakeLoadReader) RefuseConnections(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[address] = true
}

// Load implements LoadReader.
func (f *FakeLoadReader) Load(ctx context.Context, address string) (*engine.Load, error) {
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
		return nil, errors.Newf("fake load reader: no load report for engine %s", address)
	}
	return &load, nil
}
