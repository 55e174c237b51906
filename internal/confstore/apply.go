package confstore

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Pauses between repeated calls. They double from the first to the last, which keeps a waiting operator's apply well
// under the object API's rate during an outage.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = 2 * time.Second
	// callTimeout bounds one call; a connection that has gone silent must not use up the whole time of an apply.
	callTimeout = 5 * time.Second
)

// ErrOutcomeUnknown says that the context ended while it was still open whether the change was accepted. The attempt id
// in the message is in the root's list of attempts if it was.
var ErrOutcomeUnknown = errors.New("it is unknown whether the change was accepted")

// ConflictError says that another change was accepted after the base was read. Nothing of the refused change was
// accepted.
type ConflictError struct {
	// Current is the version in force.
	Current *Snapshot
	// Meanwhile is what changed between the base and Current.
	Meanwhile []config.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "generation %d by %s was accepted meanwhile; it changed:", e.Current.Root.Generation,
		e.Current.Root.Author)
	for _, c := range e.Meanwhile {
		b.WriteString("\n  " + c.String())
	}
	return b.String()
}

// Apply validates doc and makes it the next version, on the condition that base is still in force. It writes the new
// chunks first and then the root, so that a root never names a chunk that does not exist. It returns the accepted
// version, a *findings.Error, a *ConflictError, or ErrOutcomeUnknown.
func (s *Store) Apply(ctx context.Context, base *Snapshot, doc *config.Document, author string) (*Snapshot, error) {
	root, chunks, err := prepare(doc)
	if err != nil {
		return nil, err
	}
	for {
		if err := s.writeChunks(ctx, base, chunks); err != nil {
			return nil, errors.Wrap(err, "write chunks; nothing was accepted")
		}
		next := s.nextRoot(base, root, author)
		version, err := s.writeRoot(ctx, base, &next)
		if moved := onlyMoved(base, err); moved != nil {
			base = moved
			continue
		}
		if err != nil {
			return nil, err
		}
		s.cache.replace(chunks)
		return &Snapshot{Root: next, Version: version, Document: doc}, nil
	}
}

// onlyMoved returns the root in force when a collector wrote the base again, unchanged. The chunks must then be written
// once more, since the collector may have deleted them.
func onlyMoved(base *Snapshot, err error) *Snapshot {
	var conflict *ConflictError
	if errors.As(err, &conflict) && conflict.Current.Root.Generation == base.Root.Generation {
		return conflict.Current
	}
	return nil
}

func (s *Store) nextRoot(base *Snapshot, root config.Root, author string) config.Root {
	root.Generation = base.Root.Generation + 1
	root.Author = author
	root.AcceptedAtMicros = int64(s.now())
	attempts := base.Root.Attempts
	if keep := config.MaxRootAttempts - 1; len(attempts) > keep {
		attempts = attempts[len(attempts)-keep:]
	}
	root.Attempts = append(append([]config.Attempt(nil), attempts...), config.Attempt{
		Generation: root.Generation, ID: s.newID(), Author: author, AcceptedAtMicros: root.AcceptedAtMicros,
	})
	return root
}

// writeChunks writes the chunks that the base does not have. Chunks are named by their content, so repeating a write is
// harmless.
func (s *Store) writeChunks(ctx context.Context, base *Snapshot, chunks map[string][]byte) error {
	stored := map[string]bool{}
	if base.Version > 0 {
		for _, hash := range base.Root.Hashes() {
			stored[hash] = true
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for hash, chunk := range chunks {
		if stored[hash] {
			continue
		}
		group.Go(func() error {
			return s.retry(ctx, func(ctx context.Context) error {
				_, err := s.objects.Put(ctx, platform.KindConfigChunk, hash, chunk)
				return err
			})
		})
	}
	return group.Wait()
}

// writeRoot makes the root the next version. A write whose answer was lost is resolved by reading the root back; while
// the root is still the base, the same conditional write is repeated, which can take effect at most once because the
// version moves with it.
func (s *Store) writeRoot(ctx context.Context, base *Snapshot, root *config.Root) (uint64, error) {
	value, err := json.Marshal(root)
	if err != nil {
		return 0, errors.Wrap(err, "encode the root")
	}
	id := root.Attempts[len(root.Attempts)-1].ID
	unknown := false
	for wait := firstPause; ; wait = min(2*wait, lastPause) {
		version, err := s.putRoot(ctx, value, base.Version)
		if err == nil {
			return version, nil
		}
		if errors.Is(err, platform.ErrTooLarge) {
			return 0, errors.Wrap(err, "write the root of the configuration")
		}
		if !errors.Is(err, platform.ErrRejected) {
			unknown = true
			version, decided, readErr := s.readBack(ctx, base, id)
			if decided {
				return version, readErr
			}
		}
		if s.pause(ctx, wait) != nil {
			return 0, notDecided(err, unknown, id)
		}
	}
}

func (s *Store) putRoot(ctx context.Context, value []byte, ifVersion uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.objects.PutIf(ctx, platform.KindConfig, config.RootName, value, ifVersion)
}

func notDecided(err error, unknown bool, id string) error {
	if unknown {
		return errors.Wrapf(ErrOutcomeUnknown, "attempt %s", id)
	}
	return errors.Wrap(err, "write the root; nothing was accepted")
}

// readBack finds out what became of an attempt. It is undecided while the root cannot be read or still is the base: the
// read may be stale or the write may be under way.
func (s *Store) readBack(ctx context.Context, base *Snapshot, id string) (version uint64, decided bool, err error) {
	root, version, err := s.readRoot(ctx)
	if err != nil || version <= base.Version {
		return 0, false, nil
	}
	for _, attempt := range root.Attempts {
		if attempt.ID == id {
			return version, true, nil
		}
	}
	if len(root.Attempts) > 0 && root.Attempts[0].Generation > base.Root.Generation+1 {
		return 0, true, errors.Wrapf(ErrOutcomeUnknown, "attempt %s is older than the attempts that the root keeps", id)
	}
	current, err := s.readDocument(ctx, root, version)
	if err != nil {
		return 0, true, errors.Wrap(err, "the change conflicts with another one, which cannot be read")
	}
	return 0, true, &ConflictError{Current: current, Meanwhile: config.Diff(base.Document, current.Document)}
}

// retry repeats a harmless call while the platform refuses it or loses the answer, until the context ends.
func (s *Store) retry(ctx context.Context, call func(ctx context.Context) error) error {
	for wait := firstPause; ; wait = min(2*wait, lastPause) {
		err := callOnce(ctx, call)
		if err == nil || !transient(err) {
			return err
		}
		if s.pause(ctx, wait) != nil {
			return err
		}
	}
}

func callOnce(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}

func transient(err error) bool {
	return errors.Is(err, platform.ErrRejected) || errors.Is(err, platform.ErrUnknown)
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// chunkCache holds the chunks of the version read last, so that repeated reads fetch only what changed.
type chunkCache struct {
	mu     sync.Mutex
	chunks map[string][]byte
}

func (c *chunkCache) get(hash string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chunk, ok := c.chunks[hash]
	return chunk, ok
}

func (c *chunkCache) replace(chunks map[string][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks = chunks
}
