// Package confstore reads and applies the stored configuration over the platform's object API.
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

// parallelCalls bounds the calls of one read or apply in flight, so that reading 257 chunks takes a fraction of a second
// without a burst that the object API's rate limit would refuse.
const parallelCalls = 8

// chunkTries bounds the reads of a chunk that a stale read does not show yet.
const chunkTries = 5

// Snapshot is one accepted version of the configuration. It must not be changed.
type Snapshot struct {
	Root config.Root
	// Version is the object version of the root; 0 means that no configuration was ever applied.
	Version  uint64
	Document *config.Document
}

// Clone returns a deep copy of the document, for editing.
func (s *Snapshot) Clone() (*config.Document, error) {
	data, err := json.Marshal(s.Document)
	if err != nil {
		return nil, errors.Wrap(err, "copy the document")
	}
	doc := &config.Document{}
	return doc, errors.Wrap(json.Unmarshal(data, doc), "copy the document")
}

// Store reads and applies the configuration. It is safe for concurrent use.
type Store struct {
	objects platform.Store
	newID   func() string
	now     func() core.Micros
	pause   func(ctx context.Context, d time.Duration) error
	cache   chunkCache
}

// New returns a store over the object API.
func New(objects platform.Store) *Store {
	return &Store{objects: objects, newID: uuid.NewString, now: func() core.Micros { return core.At(time.Now()) }, pause: pause}
}

// Read returns the version in force. Without any accepted version it returns an empty document at Version 0.
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
		return nil, errors.Wrapf(err, "assemble generation %d", root.Generation)
	}
	return &Snapshot{Root: root, Version: version, Document: doc}, nil
}

// chunks returns the chunks of a root from the cache or the object API, and remembers exactly them.
func (s *Store) chunks(ctx context.Context, hashes []string) (map[string][]byte, error) {
	found := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for i, hash := range hashes {
		if chunk, ok := s.cache.get(hash); ok {
			found[i] = chunk
			continue
		}
		group.Go(func() error {
			object, err := s.getChunk(ctx, hash)
			found[i] = object.Value
			return errors.Wrapf(err, "read chunk %s", hash)
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

// getChunk reads a chunk. It is written before the root that names it, so that a missing one is a stale read and is
// repeated a few times.
func (s *Store) getChunk(ctx context.Context, hash string) (platform.Object, error) {
	for try, wait := 1, firstPause; ; try, wait = try+1, 2*wait {
		object, err := s.get(ctx, platform.KindConfigChunk, hash)
		if try == chunkTries || !errors.Is(err, platform.ErrNotFound) || s.pause(ctx, wait) != nil {
			return object, err
		}
	}
}

// get reads one object and repeats calls that the platform refused or did not answer.
func (s *Store) get(ctx context.Context, kind, name string) (platform.Object, error) {
	var object platform.Object
	err := s.retry(ctx, func(ctx context.Context) error {
		var err error
		object, err = s.objects.Get(ctx, kind, name)
		return err
	})
	return object, err
}

// prepare validates a document and returns its stored form.
func prepare(doc *config.Document) (config.Root, map[string][]byte, error) {
	if found := config.Validate(doc); len(found) > 0 {
		return config.Root{}, nil, &findings.Error{Findings: found}
	}
	root, chunks, err := config.Split(doc)
	if err != nil {
		return config.Root{}, nil, &findings.Error{Findings: []findings.Finding{{
			Message: fmt.Sprintf("the document cannot be stored: %v", err),
		}}}
	}
	return root, chunks, nil
}

// Refresh returns known when it is still in force, else the version in force. It costs one read of the root when nothing
// changed.
func (s *Store) Refresh(ctx context.Context, known *Snapshot) (*Snapshot, error) {
	for last := uint64(0); ; {
		root, version, err := s.readRoot(ctx)
		if err != nil {
			return nil, err
		}
		if known != nil && version <= known.Version {
			return known, nil // an equal version, or a stale read
		}
		if version == 0 {
			return &Snapshot{Document: &config.Document{FormatVersion: config.FormatVersion}}, nil
		}
		snapshot, err := s.readDocument(ctx, root, version)
		// A chunk may be collected while a newer version comes into force; the newer root names what there is.
		if !errors.Is(err, platform.ErrNotFound) || version == last {
			return snapshot, err
		}
		last = version
	}
}
