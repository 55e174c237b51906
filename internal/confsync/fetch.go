package confsync

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/confcore"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/platform"
)

// Times and numbers of reads. A slow platform must not hold up a daemon whose peers have the configuration.
const (
	rootTimeout      = 2 * time.Second
	peerChunkTimeout = 3 * time.Second
	// storeChunkTimeout covers 257 chunks at a few milliseconds each, storeReaders at a time.
	storeChunkTimeout = 10 * time.Second
	storeReaders      = 8
	watchTimeout      = 20 * time.Second
	// watchSlack is how much longer the call may take than the watch was asked to wait.
	watchSlack     = 5 * time.Second
	watchRetry     = 1 * time.Second
	maxChunkHashes = 512
)

// watch reports every root that the platform's watch delivers until ctx is done.
func (s *Sync) watch(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		next, err := s.watchOnce(ctx, revision)
		if err == nil {
			revision = next
			continue
		}
		s.options.Log.Debug("watch of the configuration failed", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry + rand.N(watchRetry)):
		}
	}
}

func (s *Sync) watchOnce(ctx context.Context, revision uint64) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, watchTimeout+watchSlack)
	defer cancel()
	result, err := s.options.Store.WatchAfter(limited, platform.KindConfig, config.RootName, revision, watchTimeout)
	if err != nil {
		return 0, err
	}
	for _, object := range result.Objects {
		if object.Name == config.RootName && object.Version != 0 {
			s.watched(object.Value)
		}
	}
	return result.Revision, nil
}

func (s *Sync) watched(raw []byte) {
	root, err := s.keepRoot(raw)
	if err != nil {
		s.options.Log.Error("configuration root refused", "err", err)
		return
	}
	s.step(func() confcore.Event { return confcore.RootObserved{Now: s.clock.Now(), Root: root} })
}

// keepRoot checks a root and keeps it for the core's decision.
func (s *Sync) keepRoot(raw []byte) (confcore.Root, error) {
	r, err := parseRoot(raw)
	if err != nil {
		return confcore.Root{}, err
	}
	s.cache.addRoot(r)
	return confcore.Root{Generation: r.parsed.Generation, Hashes: r.hashes}, nil
}

func (s *Sync) pollRoot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rootTimeout)
	defer cancel()
	object, err := s.options.Store.Get(ctx, platform.KindConfig, config.RootName)
	if err != nil {
		s.options.Log.Debug("configuration root not read", "err", err)
		return
	}
	s.watched(object.Value)
}

// readRoot answers ReadRoot.
func (s *Sync) readRoot(ctx context.Context, e confcore.ReadRoot) {
	limited, cancel := context.WithTimeout(ctx, rootTimeout)
	defer cancel()
	raw, err := s.rawRoot(limited, e)
	var root confcore.Root
	if err == nil {
		root, err = s.keepRoot(raw)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.options.Log.Debug("configuration root not read", "source", sourceName(e.Source), "err", err)
		s.step(func() confcore.Event { return confcore.RootFailed{Now: s.clock.Now(), Attempt: e.Attempt} })
		return
	}
	s.step(func() confcore.Event { return confcore.RootRead{Now: s.clock.Now(), Attempt: e.Attempt, Root: root} })
}

func sourceName(source string) string {
	if source == confcore.Platform {
		return "platform"
	}
	return source
}

func (s *Sync) rawRoot(ctx context.Context, e confcore.ReadRoot) ([]byte, error) {
	if e.Source == confcore.Platform {
		object, err := s.options.Store.Get(ctx, platform.KindConfig, config.RootName)
		return object.Value, err
	}
	res, err := s.options.Peers.FetchConfig(ctx, e.Source, &pb.FetchConfigRequest{MinGeneration: e.MinGeneration})
	if err != nil {
		return nil, err
	}
	if len(res.GetRoot()) == 0 {
		return nil, errors.Newf("peer has generation %d, asked for %d", res.GetGeneration(), e.MinGeneration)
	}
	return res.GetRoot(), nil
}

// readChunks answers ReadChunks.
func (s *Sync) readChunks(ctx context.Context, e confcore.ReadChunks) {
	var got []string
	if e.Source == confcore.Platform {
		got = s.storeChunks(ctx, e.Hashes)
	} else {
		got = s.peerChunks(ctx, e.Source, e.Hashes)
	}
	if ctx.Err() != nil {
		return
	}
	s.step(func() confcore.Event {
		return confcore.ChunksRead{Now: s.clock.Now(), Attempt: e.Attempt, Hashes: got}
	})
}

// peerChunks reads chunks from a peer in as many answers as it takes, and returns the hashes that arrived.
func (s *Sync) peerChunks(ctx context.Context, source string, hashes []string) []string {
	var got []string
	missing := hashes
	for len(missing) > 0 {
		chunks, err := s.fetchBatch(ctx, source, missing[:min(len(missing), maxChunkHashes)])
		if err != nil {
			s.options.Log.Debug("chunks not read", "source", source, "err", err)
			return got
		}
		rest := s.keepChunks(missing, chunks)
		if len(rest) == len(missing) {
			return got
		}
		got = append(got, difference(missing, rest)...)
		missing = rest
	}
	return got
}

func (s *Sync) fetchBatch(ctx context.Context, source string, hashes []string) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerChunkTimeout)
	defer cancel()
	req := &pb.FetchConfigRequest{}
	for _, hash := range hashes {
		raw, err := hex.DecodeString(hash)
		if err != nil {
			return nil, errors.Wrap(err, "chunk hash")
		}
		req.ChunkHashes = append(req.ChunkHashes, raw)
	}
	res, err := s.options.Peers.FetchConfig(ctx, source, req)
	if err != nil {
		return nil, err
	}
	return res.GetChunks(), nil
}

// keepChunks keeps the chunks whose hash is missing and returns the hashes that are missing still. A chunk with other
// content than its name says has no such hash and is dropped.
func (s *Sync) keepChunks(missing []string, chunks [][]byte) []string {
	wanted := make(map[string]bool, len(missing))
	for _, hash := range missing {
		wanted[hash] = true
	}
	for _, chunk := range chunks {
		if hash := config.ChunkHash(chunk); wanted[hash] {
			s.cache.addChunk(hash, chunk)
			delete(wanted, hash)
		}
	}
	var rest []string
	for _, hash := range missing {
		if wanted[hash] {
			rest = append(rest, hash)
		}
	}
	return rest
}

// difference returns the items of all that are not in rest, which is a subsequence of all.
func difference(all, rest []string) []string {
	var out []string
	for _, item := range all {
		if len(rest) > 0 && rest[0] == item {
			rest = rest[1:]
			continue
		}
		out = append(out, item)
	}
	return out
}

// storeChunks reads chunks from the platform, a few at a time, and returns the hashes that arrived.
func (s *Sync) storeChunks(ctx context.Context, hashes []string) []string {
	ctx, cancel := context.WithTimeout(ctx, storeChunkTimeout)
	defer cancel()
	ok := make([]bool, len(hashes))
	var readers sync.WaitGroup
	for start := range storeReaders {
		readers.Go(func() {
			for i := start; i < len(hashes) && ctx.Err() == nil; i += storeReaders {
				ok[i] = s.storeChunk(ctx, hashes[i])
			}
		})
	}
	readers.Wait()
	var got []string
	for i, hash := range hashes {
		if ok[i] {
			got = append(got, hash)
		}
	}
	return got
}

func (s *Sync) storeChunk(ctx context.Context, hash string) bool {
	ctx, cancel := context.WithTimeout(ctx, rootTimeout)
	defer cancel()
	object, err := s.options.Store.Get(ctx, platform.KindConfigChunk, hash)
	if err != nil {
		s.options.Log.Debug("chunk not read from the platform", "chunk", hash, "err", err)
		return false
	}
	return len(s.keepChunks([]string{hash}, [][]byte{object.Value})) == 0
}
