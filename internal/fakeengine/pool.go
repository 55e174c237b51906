package fakeengine

import (
	"container/list"
	"slices"

	"github.com/carobstile/carobstile/internal/engine"
)

// Kinds of memory owners.
const (
	ownerRequest     = "request"
	ownerReservation = "reservation"
	ownerImport      = "import"
	ownerCache       = "cache"
)

// owner identifies whose private memory a block is.
type owner struct {
	kind, id string
}

// pool is the KV memory, counted in blocks of engine.PrefixBlockTokens. A block is free, private to an owner, or in the
// prefix cache, where requests pin it by reference count. When memory is needed, cached blocks without a reference are
// evicted, least recently used first. Invariant: privateTotal + len(cache) <= total.
type pool struct {
	total        int
	privateTotal int
	private      map[owner]int
	cache        map[uint64]*cacheBlock
	idle         *list.List // of *cacheBlock without a reference, least recently used first
	// onChange is called for every block that is stored in or evicted from the cache.
	onChange func(op engine.CacheOp, hash uint64)
}

type cacheBlock struct {
	hash   uint64
	parent uint64 // hash of the preceding block; 0 for the first block of a prompt
	refs   int
	elem   *list.Element // in pool.idle while refs is 0
}

func newPool(tokens int, onChange func(engine.CacheOp, uint64)) *pool {
	return &pool{
		total: tokens / engine.PrefixBlockTokens, private: map[owner]int{}, cache: map[uint64]*cacheBlock{},
		idle: list.New(), onChange: onChange,
	}
}

// blocksFor returns the number of blocks needed for the given number of tokens.
func blocksFor(tokens int) int {
	return (tokens + engine.PrefixBlockTokens - 1) / engine.PrefixBlockTokens
}

func (p *pool) free() int      { return p.total - p.privateTotal - len(p.cache) }
func (p *pool) available() int { return p.free() + p.idle.Len() }

// resize sets the number of private blocks of an owner, evicting cached blocks if needed. It returns false and changes
// nothing if there is not enough memory.
func (p *pool) resize(o owner, blocks int) bool {
	growth := blocks - p.private[o]
	if growth > p.available() {
		return false
	}
	for p.free() < growth {
		p.evict()
	}
	p.privateTotal += growth
	p.private[o] = blocks
	if blocks == 0 {
		delete(p.private, o)
	}
	return true
}

func (p *pool) evict() {
	b := p.idle.Remove(p.idle.Front()).(*cacheBlock)
	delete(p.cache, b.hash)
	p.onChange(engine.CacheEvicted, b.hash)
}

// matchPrefix returns the number of leading hashes that are cached.
func (p *pool) matchPrefix(hashes []uint64) int {
	for i, h := range hashes {
		if p.cache[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// pin adds a reference to each of the given cached blocks, so that they cannot be evicted.
func (p *pool) pin(hashes []uint64) {
	for _, h := range hashes {
		b := p.cache[h]
		if b.refs == 0 {
			p.idle.Remove(b.elem)
			b.elem = nil
		}
		b.refs++
	}
}

// unpin removes references. The last blocks of a chain become idle first, so that they are evicted before the prefix
// that they depend on.
func (p *pool) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := p.cache[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.elem = p.idle.PushBack(b)
		}
	}
}

// store turns a private block of the owner into a pinned cached block. If the hash is cached already, it frees the
// private block and pins the cached one.
func (p *pool) store(o owner, hash, parent uint64) {
	p.privateTotal--
	p.private[o]--
	if p.private[o] == 0 {
		delete(p.private, o)
	}
	if p.cache[hash] != nil {
		p.pin([]uint64{hash})
		return
	}
	p.cache[hash] = &cacheBlock{hash: hash, parent: parent, refs: 1}
	p.onChange(engine.CacheStored, hash)
}

// chain returns the hashes from the start of a prompt up to the given one, or nil if one of them is not cached.
func (p *pool) chain(hash uint64) []uint64 {
	var out []uint64
	for hash != 0 {
		b := p.cache[hash]
		if b == nil {
			return nil
		}
		out = append(out, hash)
		hash = b.parent
	}
	slices.Reverse(out)
	return out
}

// flush evicts all cached blocks that are not pinned.
func (p *pool) flush() {
	for p.idle.Len() > 0 {
		p.evict()
	}
}

// fullBlocks returns the number of blocks that the given number of tokens fills completely.
func fullBlocks(tokens int) int { return tokens / engine.PrefixBlockTokens }
