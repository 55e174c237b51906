package fakeengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
)

// kvImport is a chain of imported blocks, which are pinned until the owner releases them or the import expires.
type kvImport struct {
	hashes []uint64
	// timer ends the import at its expiry. It is nil during the transfer.
	timer *time.Timer
}

// transferTime returns the modelled time to transfer the KV cache of the given number of blocks.
func (e *Engine) transferTime(blocks int) time.Duration {
	seconds := float64(blocks*engine.PrefixBlockTokens) / float64(e.settings.KVBandwidth)
	return e.scaled(time.Duration(seconds * float64(time.Second)))
}

func parseHash(r *http.Request) (uint64, bool) {
	hash, err := strconv.ParseUint(r.PathValue("hash"), 16, 64)
	return hash, err == nil
}

// handleExport returns the chain of cached blocks that ends in the given block, after the modelled transfer time. The
// blocks are pinned during the transfer.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	hash, ok := parseHash(r)
	e.mu.Lock()
	chain := e.pool.chain(hash)
	if !ok || chain == nil {
		e.mu.Unlock()
		writeRefusal(w, http.StatusNotFound, engine.CodeNotFound, "the blocks are not cached")
		return
	}
	pool := e.pool // a crash replaces the pool during the transfer
	pool.pin(chain)
	e.mu.Unlock()
	sleep(r.Context(), e.transferTime(len(chain)))
	e.mu.Lock()
	pool.unpin(chain)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, engine.KVBlocks{Hashes: chain})
}

// handleImport stores a chain of blocks after the modelled transfer time. Blocks that are cached already need no
// transfer.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var in engine.KVBlocks
	hash, ok := parseHash(r)
	err := json.NewDecoder(r.Body).Decode(&in)
	if !ok || err != nil || in.Owner == "" || len(in.Hashes) == 0 || in.Hashes[len(in.Hashes)-1] != hash {
		writeRefusal(w, http.StatusBadRequest, engine.CodeInvalidRequest,
			"expected owner, ttlMs and hashes that end with the hash of the path")
		return
	}
	o := importOwner(in.Owner, hash)
	e.mu.Lock()
	hits, refused := e.beginImport(o, in)
	epoch := e.epoch
	e.mu.Unlock()
	if refused != nil {
		writeRefusal(w, refused.status, refused.code, refused.message)
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

func importOwner(ownerID string, hash uint64) owner {
	return owner{ownerImport, ownerID + "/" + strconv.FormatUint(hash, 16)}
}

func (e *Engine) beginImport(o owner, in engine.KVBlocks) (hits int, refused *refusalError) {
	if _, ok := e.imports[o]; ok {
		return 0, &refusalError{http.StatusConflict, engine.CodeOtherOwner, "the owner has already imported these blocks"}
	}
	hits = e.pool.matchPrefix(in.Hashes)
	e.pool.pin(in.Hashes[:hits])
	if !e.pool.resize(o, len(in.Hashes)-hits) {
		e.pool.unpin(in.Hashes[:hits])
		return 0, &refusalError{http.StatusTooManyRequests, engine.CodeOutOfMemory, "not enough free KV memory"}
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
	held.timer = time.AfterFunc(clampTTL(in.TTLMs), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.imports[o] == held {
			e.releaseImport(o)
		}
	})
}

// releaseImport ends an import. Its blocks stay cached, but can be evicted. Engine.mu is held.
func (e *Engine) releaseImport(o owner) {
	held := e.imports[o]
	held.timer.Stop()
	e.pool.unpin(held.hashes)
	delete(e.imports, o)
}

func (e *Engine) handleReleaseImport(w http.ResponseWriter, r *http.Request) {
	hash, _ := parseHash(r)
	o := importOwner(r.URL.Query().Get("owner"), hash)
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.imports[o]; !ok || held.timer == nil {
		writeRefusal(w, http.StatusNotFound, engine.CodeNotFound, "no such import")
		return
	}
	e.releaseImport(o)
	w.WriteHeader(http.StatusNoContent)
}

// parentOf returns the hash before hashes[i], or 0 for the first block of a prompt.
func parentOf(hashes []uint64, i int) uint64 {
	if i == 0 {
		return 0
	}
	return hashes[i-1]
}
