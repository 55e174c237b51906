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

// Delays between retries. They double from the minimum to the maximum, which keeps the retries of a waiting apply well
// below the object API's rate limit during an outage.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// callTimeout limits one call, so that an unresponsive connection does not use up the whole time of an apply.
	callTimeout = 5 * time.Second
)

// ErrOutcomeUnknown means that Apply could not determine whether the change was accepted, usually because the context
// ended first. The message holds the attempt id; if the change was accepted, the id is in the root's list of attempts,
// until later attempts displace it.
var ErrOutcomeUnknown = errors.New("it is unknown whether the change was accepted")

// ConflictError means that another change was accepted after the base was read. No part of the rejected change was
// accepted.
type ConflictError struct {
	// Current is the stored version that the change conflicts with.
	Current *Snapshot
	// Meanwhile lists the changes between the base and Current.
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

// Apply validates doc and stores it as the next version, provided that base is still the current version. It writes the
// new chunks before the root, so that a root never references a missing chunk. It returns the accepted version, or an
// error that may be a *findings.Error, a *ConflictError or ErrOutcomeUnknown.
func (s *Store) Apply(ctx context.Context, base *Snapshot, doc *config.Document, author string) (*Snapshot, error) {
	root, chunks, err := prepare(doc)
	if err != nil {
		return nil, err
	}
	for {
		if err := s.writeChunks(ctx, base, chunks); err != nil {
			return nil, errors.Wrap(err, "write configuration chunks; the change was not accepted")
		}
		next := s.nextRoot(base, root, author)
		version, err := s.writeRoot(ctx, base, &next)
		if rewritten := rewrittenBase(base, err); rewritten != nil {
			base = rewritten
			continue
		}
		if err != nil {
			return nil, err
		}
		s.cache.replace(chunks)
		return &Snapshot{Root: next, Version: version, Document: doc}, nil
	}
}

// rewrittenBase returns the current version if err is a conflict because a collector rewrote the base root unchanged,
// else nil. The chunks must then be written again, since the collector may have deleted them.
func rewrittenBase(base *Snapshot, err error) *Snapshot {
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

// writeChunks writes the chunks that base does not reference. A chunk is named by its content hash, so writing it
// repeatedly is safe.
func (s *Store) writeChunks(ctx context.Context, base *Snapshot, chunks map[string][]byte) error {
	stored := map[string]bool{}
	if base.Version > 0 {
		for _, hash := range base.Root.Hashes() {
			stored[hash] = true
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
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

// writeRoot stores the root on the condition that base is still the current version. If the answer to a write is lost,
// it reads the root back to determine the outcome. While the stored root is still the base, it repeats the conditional
// write, which can take effect at most once, because a write changes the root's version.
func (s *Store) writeRoot(ctx context.Context, base *Snapshot, root *config.Root) (uint64, error) {
	value, err := json.Marshal(root)
	if err != nil {
		return 0, errors.Wrap(err, "encode the root of the configuration")
	}
	id := root.Attempts[len(root.Attempts)-1].ID
	unknown := false
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		version, err := s.putRoot(ctx, value, base.Version)
		if err == nil {
			return version, nil
		}
		if errors.Is(err, platform.ErrTooLarge) {
			return 0, errors.Wrap(err, "write the root of the configuration")
		}
		if !errors.Is(err, platform.ErrRejected) {
			unknown = true
			version, decided, readErr := s.resolveWrite(ctx, base, id)
			if decided {
				return version, readErr
			}
		}
		if s.sleep(ctx, delay) != nil {
			return 0, undecidedWriteError(err, unknown, id)
		}
	}
}

func (s *Store) putRoot(ctx context.Context, value []byte, ifVersion uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.objects.PutIf(ctx, platform.KindConfig, config.RootName, value, ifVersion)
}

func undecidedWriteError(err error, unknown bool, id string) error {
	if unknown {
		return errors.Wrapf(ErrOutcomeUnknown, "attempt %s", id)
	}
	return errors.Wrap(err, "write the root of the configuration; the change was not accepted")
}

// resolveWrite reads the root to determine whether an attempt was accepted. It returns decided = false if the root
// cannot be read or is still the base: the read may be stale, or the write may still be in progress.
func (s *Store) resolveWrite(ctx context.Context, base *Snapshot, id string) (version uint64, decided bool, err error) {
	for lastVersion := uint64(0); ; lastVersion = version {
		version, decided, err = s.resolveOnce(ctx, base, id)
		// The chunks of the root that was read may have been deleted because a newer root replaced it meanwhile.
		if !errors.Is(err, platform.ErrNotFound) || version == lastVersion {
			return version, decided, err
		}
	}
}

// resolveOnce is resolveWrite for one read of the root. If the root's chunks cannot be read, it returns the root's
// version with the error.
func (s *Store) resolveOnce(ctx context.Context, base *Snapshot, id string) (version uint64, decided bool, err error) {
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
		return 0, true, errors.Wrapf(ErrOutcomeUnknown, "attempt %s, if accepted, is older than the attempts listed in the root", id)
	}
	current, err := s.readDocument(ctx, root, version)
	if err != nil {
		return version, true, errors.Wrap(err, "the change conflicts with another accepted change, which cannot be read")
	}
	return 0, true, &ConflictError{Current: current, Meanwhile: config.Diff(base.Document, current.Document)}
}

// retry repeats an idempotent call while the platform rejects it or its answer is lost, until the context ends.
func (s *Store) retry(ctx context.Context, call func(ctx context.Context) error) error {
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := callWithTimeout(ctx, call)
		if err == nil || !transient(err) {
			return err
		}
		if s.sleep(ctx, delay) != nil {
			return err
		}
	}
}

func callWithTimeout(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return call(ctx)
}

func transient(err error) bool {
	return errors.Is(err, platform.ErrRejected) || errors.Is(err, platform.ErrUnknown)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// chunkCache holds the chunks of the version read or written last, so that later reads fetch only changed chunks.
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
