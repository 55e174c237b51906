// Package confstore reads and updates the stored configuration through the platform's object API, and deletes chunks
// that are no longer used.
package confstore

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
)

// maxParallelCalls limits the concurrent calls of one read or apply. Reading 257 chunks then takes a fraction of a
// second without a burst that the object API's rate limit would reject.
const maxParallelCalls = 8

// maxChunkReads limits the reads of a chunk that is reported as missing, which happens when the read is stale.
const maxChunkReads = 5

// Snapshot is one accepted version of the configuration. It must not be modified.
type Snapshot struct {
	Root config.Root
	// Version is the object version of the root; 0 means that no configuration has been applied yet.
	Version  uint64
	Document *config.Document
}

// Clone returns a deep copy of the document, for editing.
func (s *Snapshot) Clone() (*config.Document, error) {
	data, err := json.Marshal(s.Document)
	if err != nil {
		return nil, errors.Wrap(err, "encode a copy of the configuration document")
	}
	doc := &config.Document{}
	return doc, errors.Wrap(json.Unmarshal(data, doc), "decode a copy of the configuration document")
}

// Store reads and updates the stored configuration. It is safe for concurrent use.
type Store struct {
	objects platform.Store
	newID   func() string
	now     func() core.Micros
	sleep   func(ctx context.Context, d time.Duration) error
	cache   chunkCache
}

// New returns a Store that uses the given object API.
func New(objects platform.Store) *Store {
	return &Store{objects: objects, newID: uuid.NewString, now: func() core.Micros { return core.FromTime(time.Now()) }, sleep: sleep}
}

// Read returns the current version. If none was ever accepted, it returns an empty document with Version 0.
func (s *Store) Read(ctx context.Context) (*Snapshot, error) { return s.Refresh(ctx, nil) }

func (s *Store) readRoot(ctx context.Context) (config.Root, uint64, error) {
	var root config.Root
	object, err := s.get(ctx, platform.KindConfig, config.RootName)
	if errors.Is(err, platform.ErrNotFound) {
		return root, 0, nil
	}
	if err != nil {
		return root, 0, errors.Wrap(err, "read the root of the configuration")
	}
	if err := json.Unmarshal(object.Value, &root); err != nil {
		return root, 0, errors.Wrap(err, "decode the root of the configuration")
	}
	return root, object.Version, nil
}

func (s *Store) readDocument(ctx context.Context, root config.Root, version uint64) (*Snapshot, error) {
	chunks, err := s.chunks(ctx, root.Hashes())
	if err != nil {
		return nil, err
	}
	doc, err := config.Assemble(&root, func(hash string) ([]byte, bool) { c, ok := chunks[hash]; return c, ok })
	if err != nil {
		return nil, errors.Wrapf(err, "assemble configuration generation %d", root.Generation)
	}
	return &Snapshot{Root: root, Version: version, Document: doc}, nil
}

// chunks returns the chunks of a root from the cache or the object API, and replaces the content of the cache by them.
func (s *Store) chunks(ctx context.Context, hashes []string) (map[string][]byte, error) {
	found := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for i, hash := range hashes {
		if chunk, ok := s.cache.get(hash); ok {
			found[i] = chunk
			continue
		}
		group.Go(func() error {
			object, err := s.getChunk(ctx, hash)
			found[i] = object.Value
			return errors.Wrapf(err, "read configuration chunk %s", hash)
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	out := make(map[string][]byte, len(hashes))
	for i, hash := range hashes {
		out[hash] = found[i]
	}
	s.cache.replace(out)
	return out, nil
}

// getChunk reads a chunk. Chunks are written before the root that references them, so a missing chunk usually means a
// stale read; the read is retried up to maxChunkReads times in all.
func (s *Store) getChunk(ctx context.Context, hash string) (platform.Object, error) {
	for attempt, delay := 1, minRetryDelay; ; attempt, delay = attempt+1, 2*delay {
		object, err := s.get(ctx, platform.KindConfigChunk, hash)
		if attempt == maxChunkReads || !errors.Is(err, platform.ErrNotFound) || s.sleep(ctx, delay) != nil {
			return object, err
		}
	}
}

// get reads one object, retrying calls that the platform rejected or did not answer.
func (s *Store) get(ctx context.Context, kind, name string) (platform.Object, error) {
	var object platform.Object
	err := s.retry(ctx, func(ctx context.Context) error {
		var err error
		object, err = s.objects.Get(ctx, kind, name)
		return err
	})
	return object, err
}

// prepare validates a document and splits it into its root and chunks.
func prepare(doc *config.Document) (config.Root, map[string][]byte, error) {
	if found := config.Validate(doc); len(found) > 0 {
		return config.Root{}, nil, &findings.Error{Findings: found}
	}
	root, chunks, err := config.Split(doc)
	if err != nil {
		return config.Root{}, nil, &findings.Error{Findings: []findings.Finding{{
			Message: fmt.Sprintf("cannot encode the document for storage: %v", err),
		}}}
	}
	return root, chunks, nil
}

// Refresh returns known if it is still the current version, else the current version. If nothing changed, it costs one
// read of the root.
func (s *Store) Refresh(ctx context.Context, known *Snapshot) (*Snapshot, error) {
	for lastVersion := uint64(0); ; {
		root, version, err := s.readRoot(ctx)
		if err != nil {
			return nil, err
		}
		if known != nil && version <= known.Version {
			return known, nil // unchanged, or a stale read
		}
		if version == 0 {
			return &Snapshot{Document: &config.Document{FormatVersion: config.FormatVersion}}, nil
		}
		snapshot, err := s.readDocument(ctx, root, version)
		// A chunk may have been deleted because a newer version became current; the newer root references only existing
		// chunks, so read it. The loop ends when the version is the same as in the previous read.
		if !errors.Is(err, platform.ErrNotFound) || version == lastVersion {
			return snapshot, err
		}
		lastVersion = version
	}
}
