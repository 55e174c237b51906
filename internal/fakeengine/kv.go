package fakeengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
)

// kvImport is a chain of imported blocks that its owner keeps from eviction until it expires.
type kvImport struct {
	hashes []uint64
	// timer is nil while the transfer runs.
	timer *time.Timer
}

// transferTime is the time that the KV cache of some blocks takes on the wire.
func (e *Engine) transferTime(blocks int) time.Duration {
	seconds := float64(blocks*engine.PrefixBlockTokens) / float64(e.set.KVBandwidth)
	return e.scaled(time.Duration(seconds * float64(time.Second)))
}

func parseHash(r *http.Request) (uint64, bool) {
	hash, err := strconv.ParseUint(r.PathValue("hash"), 16, 64)
	return hash, err == nil
}

// handleExport answers with the chain of cached blocks that ends in the given one, after the time of the transfer. The
// blocks cannot be evicted meanwhile.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	hash, ok := parseHash(r)
	e.mu.Lock()
	chain := e.pool.chain(hash)
	if !ok || chain == nil {
		e.mu.Unlock()
		refuse(w, http.StatusNotFound, engine.CodeNotFound, "the blocks are not cached")
		return
	}
	used := e.pool
	used.pin(chain)
	e.mu.Unlock()
	sleep(r.Context(), e.transferTime(len(chain)))
	e.mu.Lock()
	used.unpin(chain)
	e.mu.Unlock()
	reply(w, http.StatusOK, engine.KVBlocks{Hashes: chain})
}

// handleImport takes a chain of blocks in, after the time of the transfer.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var in engine.KVBlocks
	hash, ok := parseHash(r)
	err := json.NewDecoder(r.Body).Decode(&in)
	if !ok || err != nil || in.Owner == "" || len(in.Hashes) == 0 || in.Hashes[len(in.Hashes)-1] != hash {
		refuse(w, http.StatusBadRequest, engine.CodeInvalidRequest, "expected hashes up to the block, owner and ttlMs")
		return
	}
	o := importOwner(in.Owner, hash)
	e.mu.Lock()
	hits, refused := e.beginImport(o, in)
	epoch := e.epoch
	e.mu.Unlock()
	if refused != nil {
		refuse(w, refused.status, refused.code, refused.message)
		return
	}
	sleep(r.Context(), e.transferTime(len(in.Hashes)-hits))
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != epoch {
		panic(http.ErrAbortHandler)
	}
	if r.Context().Err() != nil {
		e.pool.resize(o, 0)
		e.pool.unpin(in.Hashes[:hits])
		delete(e.imports, o)
		return
	}
	e.finishImport(o, in, hits)
	w.WriteHeader(http.StatusNoContent)
}

func importOwner(by string, hash uint64) owner {
	return owner{ownerImport, by + "/" + strconv.FormatUint(hash, 16)}
}

func (e *Engine) beginImport(o owner, in engine.KVBlocks) (hits int, refused *refusalError) {
	if _, ok := e.imports[o]; ok {
		return 0, &refusalError{http.StatusConflict, engine.CodeOtherOwner, "the owner has imported these blocks"}
	}
	hits = e.pool.match(in.Hashes)
	e.pool.pin(in.Hashes[:hits])
	if !e.pool.resize(o, len(in.Hashes)-hits) {
		e.pool.unpin(in.Hashes[:hits])
		return 0, &refusalError{http.StatusTooManyRequests, engine.CodeOutOfMemory, "KV memory is short"}
	}
	e.imports[o] = &kvImport{}
	return hits, nil
}

func (e *Engine) finishImport(o owner, in engine.KVBlocks, hits int) {
	for i, h := range in.Hashes[hits:] {
		e.pool.store(o, h, parentOf(in.Hashes, hits+i))
	}
	held := e.imports[o]
	held.hashes = in.Hashes
	held.timer = time.AfterFunc(ttl(in.TTLMs), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.imports[o] == held {
			e.dropImport(o)
		}
	})
}

// dropImport makes imported blocks ordinary cached blocks. Engine.mu is held.
func (e *Engine) dropImport(o owner) {
	held := e.imports[o]
	held.timer.Stop()
	e.pool.unpin(held.hashes)
	delete(e.imports, o)
}

func (e *Engine) handleFreeImport(w http.ResponseWriter, r *http.Request) {
	hash, _ := parseHash(r)
	o := importOwner(r.URL.Query().Get("owner"), hash)
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.imports[o]; !ok || held.timer == nil {
		refuse(w, http.StatusNotFound, engine.CodeNotFound, "no such import")
		return
	}
	e.dropImport(o)
	w.WriteHeader(http.StatusNoContent)
}

// parentOf returns the hash before hashes[i], 0 at the start of a prompt.
func parentOf(hashes []uint64, i int) uint64 {
	if i == 0 {
		return 0
	}
	return hashes[i-1]
}
