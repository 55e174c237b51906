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

// Limits of reads. They keep a slow platform from delaying a daemon whose peers have the configuration.
const (
	readTimeout      = 2 * time.Second
	peerChunkTimeout = 3 * time.Second
	// storeChunkTimeout covers reading 257 chunks at a few milliseconds each, storeParallelReads at a time.
	storeChunkTimeout  = 10 * time.Second
	storeParallelReads = 8
	watchTimeout       = 20 * time.Second
	// watchTimeoutMargin is how much longer a watch call may take than watchTimeout, the duration requested from the
	// platform.
	watchTimeoutMargin = 5 * time.Second
	watchRetryDelay    = 1 * time.Second
	maxChunkHashes     = 512
)

// watch passes every root delivered by the watch on the platform to the core until ctx is done. After a failure it
// retries with a random delay.
func (s *Sync) watch(ctx context.Context) {
	revision := uint64(0)
	for ctx.Err() == nil {
		next, err := s.watchOnce(ctx, revision)
		if err == nil {
			revision = next
			continue
		}
		s.options.Log.Debug("watch of the configuration root failed", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryDelay + rand.N(watchRetryDelay)):
		}
	}
}

func (s *Sync) watchOnce(ctx context.Context, revision uint64) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout+watchTimeoutMargin)
	defer cancel()
	result, err := s.options.Store.WatchAfter(callCtx, platform.KindConfig, config.RootName, revision, watchTimeout)
	if err != nil {
		return 0, err
	}
	for _, object := range result.Objects {
		if object.Name == config.RootName && object.Version != 0 {
			s.rootObserved(object.Value)
		}
	}
	return result.Revision, nil
}

func (s *Sync) rootObserved(raw []byte) {
	root, err := s.cacheRoot(raw)
	if err != nil {
		s.options.Log.Error("configuration root refused", "err", err)
		return
	}
	s.step(func() confcore.Event { return confcore.RootObserved{Now: s.clock.Now(), Root: root} })
}

// cacheRoot validates an encoded root and adds it to the cache, so that the core can select it as the target.
func (s *Sync) cacheRoot(raw []byte) (confcore.Root, error) {
	r, err := parseRoot(raw)
	if err != nil {
		return confcore.Root{}, err
	}
	s.cache.addRoot(r)
	return confcore.Root{Generation: r.parsed.Generation, Hashes: r.hashes}, nil
}

func (s *Sync) pollRoot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	object, err := s.options.Store.Get(ctx, platform.KindConfig, config.RootName)
	if err != nil {
		s.options.Log.Debug("cannot read the configuration root from the platform", "err", err)
		return
	}
	s.rootObserved(object.Value)
}

// readRoot performs ReadRoot and reports RootRead or RootFailed.
func (s *Sync) readRoot(ctx context.Context, e confcore.ReadRoot) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	raw, err := s.fetchRoot(callCtx, e)
	var root confcore.Root
	if err == nil {
		root, err = s.cacheRoot(raw)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		s.options.Log.Debug("cannot read the configuration root", "source", sourceName(e.Source), "err", err)
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

func (s *Sync) fetchRoot(ctx context.Context, e confcore.ReadRoot) ([]byte, error) {
	if e.Source == confcore.Platform {
		object, err := s.options.Store.Get(ctx, platform.KindConfig, config.RootName)
		return object.Value, err
	}
	res, err := s.options.Peers.FetchConfig(ctx, e.Source, &pb.FetchConfigRequest{MinGeneration: e.MinGeneration})
	if err != nil {
		return nil, err
	}
	if len(res.GetRoot()) == 0 {
		return nil, errors.Newf("peer has configuration generation %d, requested at least %d", res.GetGeneration(), e.MinGeneration)
	}
	return res.GetRoot(), nil
}

// readChunks performs ReadChunks and reports ChunksRead.
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

// peerChunks reads chunks from a peer, in as many calls as needed, and returns the hashes of those received. It stops
// at an error or at a response without any missing chunk.
func (s *Sync) peerChunks(ctx context.Context, source string, hashes []string) []string {
	var got []string
	missing := hashes
	for len(missing) > 0 {
		chunks, err := s.fetchBatch(ctx, source, missing[:min(len(missing), maxChunkHashes)])
		if err != nil {
			s.options.Log.Debug("cannot read configuration chunks from a peer", "source", source, "err", err)
			return got
		}
		rest := s.cacheChunks(missing, chunks)
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
			return nil, errors.Wrapf(err, "decode chunk hash %q", hash)
		}
		req.ChunkHashes = append(req.ChunkHashes, raw)
	}
	res, err := s.options.Peers.FetchConfig(ctx, source, req)
	if err != nil {
		return nil, err
	}
	return res.GetChunks(), nil
}

// cacheChunks caches the chunks whose computed hash is in missing and returns the hashes that are still missing. A
// chunk whose content does not match a requested hash is dropped.
func (s *Sync) cacheChunks(missing []string, chunks [][]byte) []string {
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

// difference returns the items of all that are not in rest. rest must be a subsequence of all.
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

// storeChunks reads chunks from the platform, storeParallelReads at a time, and returns the hashes of those received.
func (s *Sync) storeChunks(ctx context.Context, hashes []string) []string {
	ctx, cancel := context.WithTimeout(ctx, storeChunkTimeout)
	defer cancel()
	received := make([]bool, len(hashes))
	var readers sync.WaitGroup
	for start := range storeParallelReads {
		readers.Go(func() {
			for i := start; i < len(hashes) && ctx.Err() == nil; i += storeParallelReads {
				received[i] = s.storeChunk(ctx, hashes[i])
			}
		})
	}
	readers.Wait()
	var got []string
	for i, hash := range hashes {
		if received[i] {
			got = append(got, hash)
		}
	}
	return got
}

func (s *Sync) storeChunk(ctx context.Context, hash string) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	object, err := s.options.Store.Get(ctx, platform.KindConfigChunk, hash)
	if err != nil {
		s.options.Log.Debug("cannot read a configuration chunk from the platform", "chunk", hash, "err", err)
		return false
	}
	return len(s.cacheChunks([]string{hash}, [][]byte{object.Value})) == 0
}
