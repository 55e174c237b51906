package confstore

import (
	"context"
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/platform"
)

// memoryStore is an object API in memory with fault injection.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]platform.Object
	// beforeRootWrite, if not nil, is called once before the next root write, without the lock held.
	beforeRootWrite func()
	// beforeChunkRead, if not nil, is called once before the next read of a chunk, without the lock held.
	beforeChunkRead func()
	// loseAnswers is the number of next root writes that take effect but whose answers are lost; rejectWrites is the
	// number of next root writes that are rejected.
	loseAnswers, rejectWrites int
	// stale is returned by the next staleReads reads of the root.
	stale      *platform.Object
	staleReads int
	writes     []string
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: map[string]platform.Object{}} }

func (m *memoryStore) Get(_ context.Context, kind, name string) (platform.Object, error) {
	if before := m.beforeChunkRead; before != nil && kind == platform.KindConfigChunk {
		m.beforeChunkRead = nil
		before()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if kind == platform.KindConfig && m.staleReads > 0 && m.stale != nil {
		m.staleReads--
		return *m.stale, nil
	}
	object, ok := m.objects[kind+"/"+name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

func (m *memoryStore) Put(_ context.Context, kind, name string, value []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.write(kind, name, value), nil
}

func (m *memoryStore) write(kind, name string, value []byte) uint64 {
	m.revision++
	m.objects[kind+"/"+name] = platform.Object{Kind: kind, Name: name, Version: m.revision, Value: value}
	m.writes = append(m.writes, kind)
	return m.revision
}

func (m *memoryStore) PutIf(_ context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	if before := m.beforeRootWrite; before != nil {
		m.beforeRootWrite = nil
		before()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rejectWrites > 0 {
		m.rejectWrites--
		return 0, platform.ErrRejected
	}
	if m.objects[kind+"/"+name].Version != ifVersion {
		return 0, platform.ErrConflict
	}
	version := m.write(kind, name, value)
	if m.loseAnswers > 0 {
		m.loseAnswers--
		return 0, platform.ErrUnknown
	}
	return version, nil
}

func (m *memoryStore) DeleteIf(context.Context, string, string, uint64) error { return nil }

func (m *memoryStore) List(context.Context, string, string) ([]platform.Object, error) {
	return nil, nil
}

func (m *memoryStore) WatchAfter(context.Context, string, string, uint64, time.Duration) (platform.Watch, error) {
	return platform.Watch{}, nil
}

func (m *memoryStore) Hosts(context.Context, platform.HostState) ([]platform.Host, error) {
	return nil, nil
}
