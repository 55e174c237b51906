package confstore

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/stretchr/testify/require"
)

func newTestStore(objects platform.Store) *Store {
	s := New(objects)
	n := 0
	s.newID = func() string { n++; return fmt.Sprintf("%p-%d", s, n) }
	s.sleep = func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	return s
}

func document(weights ...int) *config.Document {
	doc := &config.Document{FormatVersion: config.FormatVersion, Callers: []config.Caller{{Name: "trust"}}}
	for i, w := range weights {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{
			Name: fmt.Sprintf("w%d", i), Caller: "trust", KeyHashes: []string{config.HashKey(fmt.Sprint(i))}, Weight: w,
		})
	}
	return doc
}

func apply(t *testing.T, s *Store, doc *config.Document) *Snapshot {
	t.Helper()
	base, err := s.Read(t.Context())
	require.NoError(t, err)
	accepted, err := s.Apply(t.Context(), base, doc, "ada")
	require.NoError(t, err)
	return accepted
}

// Guards against a root that references chunks which are not stored yet, and against a version that is read back with
// other content.
func TestApplyWritesChunksBeforeTheRoot(t *testing.T) {
	objects := newMemoryStore()
	s := newTestStore(objects)
	accepted := apply(t, s, document(1, 2))
	require.Equal(t, platform.KindConfig, objects.writes[len(objects.writes)-1])
	require.Equal(t, uint64(1), accepted.Root.Generation)
	for _, reader := range []*Store{s, newTestStore(objects)} {
		got, err := reader.Read(t.Context())
		require.NoError(t, err)
		require.Equal(t, accepted, got)
	}
}

// Guards against writing all chunks for a change of one workspace.
func TestApplyWritesOnlyNewChunks(t *testing.T) {
	objects := newMemoryStore()
	s := newTestStore(objects)
	apply(t, s, document(1, 2, 3))
	objects.writes = nil
	apply(t, s, document(1, 2, 4))
	require.Equal(t, []string{platform.KindConfigChunk, platform.KindConfig}, objects.writes)
}

// Guards against reporting a write whose answer was lost as failed, which would make an operator apply the change
// twice.
func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	objects := newMemoryStore()
	s := newTestStore(objects)
	apply(t, s, document(1))
	before := objects.objects["config/root"]
	objects.loseAnswers, objects.stale, objects.staleReads = 1, &before, 0
	objects.beforeRootWrite = func() { objects.staleReads = 1 }
	accepted := apply(t, s, document(2))
	require.Equal(t, uint64(2), accepted.Root.Generation)
	require.Equal(t, accepted.Version, objects.objects["config/root"].Version)
}

// Guards against a conflict that is reported as unreadable because the conflicting root was replaced, and its chunks were
// deleted, while they were read.
func TestConflictingRootIsReplacedWhileItIsRead(t *testing.T) {
	objects := newMemoryStore()
	s := newTestStore(objects)
	base := apply(t, s, document(1))
	apply(t, newTestStore(objects), document(2))
	chunks := map[string]bool{}
	for key := range objects.objects {
		chunks[key] = strings.HasPrefix(key, platform.KindConfigChunk+"/")
	}
	objects.beforeChunkRead = func() {
		apply(t, newTestStore(objects), document(3))
		for key, isChunk := range chunks {
			if isChunk {
				delete(objects.objects, key)
			}
		}
	}
	_, err := s.Apply(t.Context(), base, document(4), "ada")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, uint64(3), conflict.Current.Root.Generation)
}

// Guards against failing on a write that the platform rejected because of its rate limit.
func TestRejectedWriteIsRetried(t *testing.T) {
	objects := newMemoryStore()
	objects.rejectWrites = 3
	require.Equal(t, uint64(1), apply(t, newTestStore(objects), document(1)).Root.Generation)
}

// Guards against overwriting another operator's change, and against a conflict error that does not list the changes.
func TestConflictErrorListsChanges(t *testing.T) {
	objects := newMemoryStore()
	s, other := newTestStore(objects), newTestStore(objects)
	base := apply(t, s, document(1, 1))
	objects.beforeRootWrite = func() { apply(t, other, document(1, 7)) }
	_, err := s.Apply(t.Context(), base, document(3, 1), "ben")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.EqualError(t, err, "generation 2 by ada was accepted meanwhile; it changed:\n"+
		"  ~ workspaces/w1 weight: 1 -> 7")
	now, err := newTestStore(objects).Read(t.Context())
	require.NoError(t, err)
	require.Equal(t, 7, now.Document.Workspaces[1].Weight)
	require.Equal(t, 1, now.Document.Workspaces[0].Weight)
}

// Guards against a conflict error for a change that was accepted, when its answer was lost and another change followed.
func TestLostAnswerFollowedByAnotherChange(t *testing.T) {
	objects := newMemoryStore()
	s := newTestStore(objects)
	base := apply(t, s, document(1))
	objects.loseAnswers = 1
	read := 0
	s.objects = &getHookStore{Store: objects, beforeGet: func() {
		if read++; read == 1 {
			apply(t, newTestStore(objects), document(5))
		}
	}}
	accepted, err := s.Apply(t.Context(), base, document(2), "ben")
	require.NoError(t, err)
	require.Equal(t, uint64(2), accepted.Root.Generation)
}

type getHookStore struct {
	platform.Store
	beforeGet func()
}

func (h *getHookStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	h.beforeGet()
	return h.Store.Get(ctx, kind, name)
}

// Guards against an error that reports the change as not accepted when the answer to the write was lost and the root
// cannot be read back.
func TestUnknownOutcomeIsReported(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	objects := newMemoryStore()
	s := newTestStore(&unansweredReadStore{Store: objects, cancel: cancel})
	objects.loseAnswers = 1
	base := &Snapshot{Document: &config.Document{FormatVersion: config.FormatVersion}}
	_, err := s.Apply(ctx, base, document(1), "ada")
	require.ErrorIs(t, err, ErrOutcomeUnknown)
}

// unansweredReadStore cancels the context of the apply on a read and answers every read with platform.ErrUnknown.
type unansweredReadStore struct {
	platform.Store
	cancel func()
}

func (s *unansweredReadStore) Get(context.Context, string, string) (platform.Object, error) {
	s.cancel()
	return platform.Object{}, platform.ErrUnknown
}

// Guards against writing an invalid document to the platform.
func TestInvalidDocumentIsRejected(t *testing.T) {
	objects := newMemoryStore()
	doc := document(1)
	doc.Workspaces[0].Caller = "nobody"
	_, err := newTestStore(objects).Apply(t.Context(), &Snapshot{}, doc, "ada")
	var found *findings.Error
	require.ErrorAs(t, err, &found)
	require.Empty(t, objects.writes)
}

// Guards against a root whose list of attempts grows without bound or loses recent attempts.
func TestRootKeepsTheLastAttempts(t *testing.T) {
	objects := newMemoryStore()
	s := newTestStore(objects)
	var last *Snapshot
	for i := range config.MaxRootAttempts + 5 {
		last = apply(t, s, document(i%9+1))
	}
	require.Len(t, last.Root.Attempts, config.MaxRootAttempts)
	require.Equal(t, uint64(6), last.Root.Attempts[0].Generation)
	require.Equal(t, last.Root.Generation, last.Root.Attempts[config.MaxRootAttempts-1].Generation)
}

// Guards against an operator command that fails because of a stale read of a new chunk.
func TestStaleChunkReadIsRetried(t *testing.T) {
	objects := newMemoryStore()
	apply(t, newTestStore(objects), document(1))
	stale := &staleChunkStore{Store: objects, missing: maxChunkReads - 1}
	got, err := newTestStore(stale).Read(t.Context())
	require.NoError(t, err)
	require.Empty(t, config.Diff(document(1), got.Document))
	stale.missing = 100
	_, err = newTestStore(stale).Read(t.Context())
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// staleChunkStore answers the next missing reads of chunks with platform.ErrNotFound, as stale reads do.
type staleChunkStore struct {
	platform.Store
	mu      sync.Mutex
	missing int
}

func (l *staleChunkStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind == platform.KindConfigChunk && l.missing > 0 {
		l.missing--
		return platform.Object{}, platform.ErrNotFound
	}
	return l.Store.Get(ctx, kind, name)
}

// Guards against more calls than the design page states: at most 257 chunks and the root for the first version at the
// design size, and two writes for a change of one workspace.
func TestCallsAtDesignSize(t *testing.T) {
	objects := platform.NewFake()
	s := newTestStore(objects)
	weights := make([]int, 14_000)
	for i := range weights {
		weights[i] = 1
	}
	apply(t, s, document(weights...))
	require.LessOrEqual(t, objects.Counts().Writes, uint64(config.Buckets+2))
	before := objects.Counts()
	weights[77] = 2
	apply(t, s, document(weights...))
	require.Equal(t, before.Writes+2, objects.Counts().Writes)
	require.Equal(t, before.Reads+1, objects.Counts().Reads)
}
