package confsync

import (
	"encoding/hex"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/config"
)

// batchBytes bounds the chunks of one answer, so that no message is over 1 MiB with its largest chunk.
const batchBytes = 768 << 10

// hashBytes is the length of a SHA-256.
const hashBytes = 32

// cache holds the raw roots and chunks of the configuration in force and of the one that is being fetched. It is safe
// for concurrent use.
type cache struct {
	mu     sync.RWMutex
	roots  map[uint64]*storedRoot
	chunks map[string][]byte
	// inForce and target are generations; 0 means none.
	inForce, target uint64
}

type storedRoot struct {
	raw    []byte
	parsed config.Root
	hashes []string
}

func newCache() *cache { return &cache{roots: map[uint64]*storedRoot{}, chunks: map[string][]byte{}} }

// parseRoot checks a stored root object.
func parseRoot(raw []byte) (*storedRoot, error) {
	r := &storedRoot{raw: raw}
	if err := json.Unmarshal(raw, &r.parsed); err != nil {
		return nil, errors.Wrap(err, "configuration root")
	}
	if r.parsed.Generation == 0 {
		return nil, errors.New("configuration root: generation is 0")
	}
	r.hashes = r.parsed.Hashes()
	for _, hash := range r.hashes {
		if b, err := hex.DecodeString(hash); err != nil || len(b) != hashBytes {
			return nil, errors.Newf("configuration root: %q is not a SHA-256", hash)
		}
	}
	return r, nil
}

// addRoot keeps a root until it turns out whether it becomes the target.
func (c *cache) addRoot(r *storedRoot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.roots[r.parsed.Generation] == nil && r.parsed.Generation > c.inForce {
		c.roots[r.parsed.Generation] = r
	}
}

// aim makes a generation the target and drops what neither it nor the configuration in force needs. Newer roots stay,
// since one of them may become the next target.
func (c *cache) aim(generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = generation
	c.prune()
}

// settle makes the target the configuration in force.
func (c *cache) settle(generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce, c.target = generation, 0
	c.prune()
}

func (c *cache) prune() {
	newest := max(c.inForce, c.target)
	needed := map[string]bool{}
	for generation, r := range c.roots {
		if generation < newest && generation != c.inForce {
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

// addChunk keeps a chunk that the target needs.
func (c *cache) addChunk(hash string, chunk []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks[hash] = chunk
}

// rootFrom returns the raw root in force if it has at least the given generation.
func (c *cache) rootFrom(generation uint64) []byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.inForce < generation || c.roots[c.inForce] == nil {
		return nil
	}
	return c.roots[c.inForce].raw
}

// batch returns the chunks of the given hashes that are here, in order, up to batchBytes.
func (c *cache) batch(hashes [][]byte) [][]byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out [][]byte
	left := batchBytes
	for _, hash := range hashes {
		chunk, ok := c.chunks[hex.EncodeToString(hash)]
		if !ok {
			continue
		}
		if left -= len(chunk); left < 0 && len(out) > 0 {
			break
		}
		out = append(out, chunk)
	}
	return out
}

// build assembles the document of a generation and its index.
func (c *cache) build(generation uint64) (*config.Index, error) {
	c.mu.RLock()
	root := c.roots[generation]
	c.mu.RUnlock()
	if root == nil {
		return nil, errors.Newf("root of generation %d is not here", generation)
	}
	doc, err := config.Assemble(&root.parsed, c.chunk)
	if err != nil {
		return nil, err
	}
	if doc.FormatVersion != config.FormatVersion {
		return nil, errors.Newf("formatVersion is %d, this release reads %d", doc.FormatVersion, config.FormatVersion)
	}
	return config.NewIndex(generation, doc), nil
}

func (c *cache) chunk(hash string) ([]byte, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	chunk, ok := c.chunks[hash]
	return chunk, ok
}
