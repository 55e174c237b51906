package fakeengine

import (
	"container/list"
	"slices"

	"github.com/carobstile/carobstile/internal/engine"
)

// Kinds of owners of memory.
const (
	ownerRequest     = "request"
	ownerReservation = "reservation"
	ownerImport      = "import"
	ownerCache       = "cache"
)

// owner is what a private block is accounted to.
type owner struct {
	kind, id string
}

// pool is the KV memory, counted in blocks of engine.PrefixBlockTokens. A block is free, private to an owner, or in the
// prefix cache, where requests pin it by reference count. Cached blocks without a reference are evicted, least recently
// used first, when memory is needed. Invariant: held + len(cache) <= total.
type pool struct {
	total   int
	held    int
	private map[owner]int
	cache   map[uint64]*cacheBlock
	idle    *list.List // of *cacheBlock without a reference, least recently used first
	// onChange is told of every stored and evicted block.
	onChange func(op engine.CacheOp, hash uint64)
}

type cacheBlock struct {
	hash   uint64
	parent uint64 // hash of the block before; 0 at the start of a prompt
	refs   int
	elem   *list.Element // in pool.idle while refs is 0
}

func newPool(tokens int, onChange func(engine.CacheOp, uint64)) *pool {
	return &pool{
		total: tokens / engine.PrefixBlockTokens, private: map[owner]int{}, cache: map[uint64]*cacheBlock{},
		idle: list.New(), onChange: onChange,
	}
}

// blocksFor returns the blocks that hold the given tokens.
func blocksFor(tokens int) int {
	return (tokens + engine.PrefixBlockTokens - 1) / engine.PrefixBlockTokens
}

func (p *pool) free() int      { return p.total - p.held - len(p.cache) }
func (p *pool) available() int { return p.free() + p.idle.Len() }

// resize sets the private blocks of an owner and reports whether memory suffices.
func (p *pool) resize(o owner, blocks int) bool {
	more := blocks - p.private[o]
	if more > p.available() {
		return false
	}
	for p.free() < more {
		p.evict()
	}
	p.held += more
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

// match returns how many of the leading hashes are cached.
func (p *pool) match(hashes []uint64) int {
	for i, h := range hashes {
		if p.cache[h] == nil {
			return i
		}
	}
	return len(hashes)
}

// pin references cached blocks, which then cannot be evicted.
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

// unpin drops references. The last blocks of a chain become idle first, so that a prefix outlives what follows it.
func (p *pool) unpin(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b := p.cache[hashes[i]]
		b.refs--
		if b.refs == 0 {
			b.elem = p.idle.PushBack(b)
		}
	}
}

// store turns a private block of the owner into a pinned cached block. A block that is cached already is shared
// instead and the private one freed.
func (p *pool) store(o owner, hash, parent uint64) {
	p.held--
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

// chain returns the hashes from the start of a prompt up to the given one, or nil when one of them is not cached.
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

// flush evicts everything that is not pinned.
func (p *pool) flush() {
	for p.idle.Len() > 0 {
		p.evict()
	}
}

// blocksDone returns the blocks that the given tokens fill completely.
func blocksDone(tokens int) int { return tokens / engine.PrefixBlockTokens }
