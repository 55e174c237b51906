package confsync

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/platform"
)

// memoryStore implements in memory the part of the object API that this package uses, with fault injection.
type memoryStore struct {
	platform.Store
	mu          sync.Mutex
	objects     map[string]platform.Object
	revision    uint64
	changed     chan struct{}
	unavailable bool
	delay       time.Duration
	// stale, if not nil, is returned by Get as the root.
	stale *platform.Object
	gets  int
	bytes int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

func (s *memoryStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) injectFault(ctx context.Context) error {
	s.mu.Lock()
	unavailable, delay := s.unavailable, s.delay
	s.mu.Unlock()
	if unavailable {
		return platform.ErrRejected
	}
	select {
	case <-ctx.Done():
		return platform.ErrUnknown
	case <-time.After(delay):
		return nil
	}
}

func (s *memoryStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	if err := s.injectFault(ctx); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	if s.stale != nil && kind == platform.KindConfig {
		return *s.stale, nil
	}
	object, ok := s.objects[kind+"/"+name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	s.bytes += len(object.Value)
	return object, nil
}

func (s *memoryStore) WatchAfter(ctx context.Context, kind, prefix string, revision uint64, timeout time.Duration) (platform.Watch, error) {
	end := time.After(timeout)
	for {
		if err := s.injectFault(ctx); err != nil {
			return platform.Watch{}, err
		}
		s.mu.Lock()
		result, changed := platform.Watch{Revision: s.revision}, s.changed
		for key, object := range s.objects {
			if strings.HasPrefix(key, kind+"/"+prefix) && object.Version > revision {
				result.Objects = append(result.Objects, object)
			}
		}
		s.mu.Unlock()
		if len(result.Objects) > 0 {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return platform.Watch{}, platform.ErrUnknown
		case <-end:
			return result, nil
		case <-changed:
		}
	}
}

func (s *memoryStore) put(kind, name string, value []byte) {
	s.update(func() {
		s.revision++
		s.objects[kind+"/"+name] = platform.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	})
}

// apply stores a document as the given generation.
func (s *memoryStore) apply(t testing.TB, generation uint64, doc *config.Document) {
	t.Helper()
	root, chunks, err := config.Split(doc)
	require.NoError(t, err)
	root.Generation, root.Author = generation, "test"
	for hash, chunk := range chunks {
		s.mu.Lock()
		_, ok := s.objects[platform.KindConfigChunk+"/"+hash]
		s.mu.Unlock()
		if !ok {
			s.put(platform.KindConfigChunk, hash, chunk)
		}
	}
	raw, err := json.Marshal(root)
	require.NoError(t, err)
	s.put(platform.KindConfig, config.RootName, raw)
}

func document(workspaces, weight int) *config.Document {
	doc := &config.Document{FormatVersion: config.FormatVersion, Callers: []config.Caller{{Name: "trust", Priority: 5}}}
	for i := range workspaces {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{
			Name: fmt.Sprintf("workspace-%05d", i), Caller: "trust", Weight: 1 + i%5,
			KeyHashes:     []string{config.HashKey(fmt.Sprintf("a-%d", i)), config.HashKey(fmt.Sprintf("b-%d", i))},
			MaxConcurrent: 64, MaxPromptTokens: 1_000_000,
		})
	}
	doc.Workspaces[0].Weight = weight
	sort.Slice(doc.Workspaces, func(i, j int) bool { return doc.Workspaces[i].Name < doc.Workspaces[j].Name })
	return doc
}
