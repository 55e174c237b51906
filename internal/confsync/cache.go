package confsync

import (
	"encoding/hex"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/config"
)

// maxBatchBytes limits the chunks in one response, so that with its largest chunk no message exceeds 1 MiB.
const maxBatchBytes = 768 << 10

// hashBytes is the length of a SHA-256 hash in bytes.
const hashBytes = 32

// cache holds the encoded roots and chunks of the active configuration and of the target, which is being fetched. It is
// safe for concurrent use.
type cache struct {
	mu     sync.RWMutex
	roots  map[uint64]*storedRoot
	chunks map[string][]byte
	// activeGeneration and target are generations; 0 means none.
	activeGeneration, target uint64
}

type storedRoot struct {
	raw    []byte
	parsed config.Root
	hashes []string
}

func newCache() *cache { return &cache{roots: map[uint64]*storedRoot{}, chunks: map[string][]byte{}} }

// parseRoot decodes and validates an encoded root.
func parseRoot(raw []byte) (*storedRoot, error) {
	r := &storedRoot{raw: raw}
	if err := json.Unmarshal(raw, &r.parsed); err != nil {
		return nil, errors.Wrap(err, "decode configuration root")
	}
	if r.parsed.Generation == 0 {
		return nil, errors.New("configuration root: generation is 0")
	}
	r.hashes = r.parsed.Hashes()
	for _, hash := range r.hashes {
		if b, err := hex.DecodeString(hash); err != nil || len(b) != hashBytes {
			return nil, errors.Newf("configuration root: chunk hash %q is not a hex SHA-256", hash)
		}
	}
	return r, nil
}

// addRoot caches a root that is newer than the active one; the core may select it as the target.
func (c *cache) addRoot(r *storedRoot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.roots[r.parsed.Generation] == nil && r.parsed.Generation > c.activeGeneration {
		c.roots[r.parsed.Generation] = r
	}
}

// setTarget makes a generation the target and drops the roots and chunks that neither it nor the active configuration
// needs. Newer roots stay, since one of them may become the next target.
func (c *cache) setTarget(generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = generation
	c.prune()
}

// activate makes a generation the active one and clears the target.
func (c *cache) activate(generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeGeneration, c.target = generation, 0
	c.prune()
}

func (c *cache) prune() {
	newest := max(c.activeGeneration, c.target)
	needed := map[string]bool{}
	for generation, r := range c.roots {
		if generation < newest && generation != c.activeGeneration {
			delete(c.roots, generation)
			continue
		}
		if generation > newest {
			continue
		}
		for _, hash := range r.hashes {
			needed[hash] = true
		}
	}
	for hash := range c.chunks {
		if !needed[hash] {
			delete(c.chunks, hash)
		}
	}
}

// addChunk caches a chunk of the target.
func (c *cache) addChunk(hash string, chunk []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks[hash] = chunk
}

// rootAtLeast returns the encoded active root if it has at least the given generation, else nil.
func (c *cache) rootAtLeast(generation uint64) []byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.activeGeneration < generation || c.roots[c.activeGeneration] == nil {
		return nil
	}
	return c.roots[c.activeGeneration].raw
}

// chunkBatch returns the cached chunks with the given hashes, in order, up to maxBatchBytes. The first one is always
// included.
func (c *cache) chunkBatch(hashes [][]byte) [][]byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out [][]byte
	remaining := maxBatchBytes
	for _, hash := range hashes {
		chunk, ok := c.chunks[hex.EncodeToString(hash)]
		if !ok {
			continue
		}
		if remaining -= len(chunk); remaining < 0 && len(out) > 0 {
			break
		}
		out = append(out, chunk)
	}
	return out
}

// build assembles the document of a generation from cached chunks and returns its index.
func (c *cache) build(generation uint64) (*config.Index, error) {
	c.mu.RLock()
	root := c.roots[generation]
	c.mu.RUnlock()
	if root == nil {
		return nil, errors.Newf("root of configuration generation %d is not cached", generation)
	}
	doc, err := config.Assemble(&root.parsed, c.chunk)
	if err != nil {
		return nil, err
	}
	if doc.FormatVersion != config.FormatVersion {
		return nil, errors.Newf("formatVersion is %d, this release supports only %d", doc.FormatVersion, config.FormatVersion)
	}
	return config.NewIndex(generation, doc), nil
}

func (c *cache) chunk(hash string) ([]byte, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	chunk, ok := c.chunks[hash]
	return chunk, ok
}
