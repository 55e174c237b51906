package fakeengine

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/engine"
)

// resumeWindow is how long a stream whose connection closed is kept, as published.
const resumeWindow = 5 * time.Second

// phase of a request inside the engine.
type phase int

const (
	phaseQueued phase = iota
	phaseRunning
	phaseEnded // memory is freed
)

// request is one request, over all its connections. Engine.mu guards it.
type request struct {
	id       string
	attempt  int
	priority int
	arrival  uint64
	// modelField and version decide the answer together with prompt and seed.
	modelField, version string
	seed                uint64
	answer              Answer
	tokens              int // of the whole answer
	finish              string
	promptTokens        int
	promptHash          uint64
	crashes             bool
	hashes              []uint64 // full blocks of the prompt
	pinned              int      // hashes[:pinned] are pinned in the cache
	cachedTokens        int
	blocks              int // private and pinned, as reserved
	prefillLeft         int
	prefillDone         int
	generated           int
	phase               phase
	failure             string // code of the error event, when ended before the answer was whole
	group               *groupLead
	conn                *conn
	deadline, window    *time.Timer
}

// conn is one connection of a request's stream.
type conn struct {
	wake   chan struct{} // capacity 1; the request has changed
	silent bool
	drop   bool
	// nonsense is how the next token breaks the protocol. Only the writer uses it.
	nonsense NonsenseMode
}

func (c *conn) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (r *request) notify() {
	if r.conn != nil {
		r.conn.notify()
	}
}

func (r *request) owner() owner { return owner{ownerRequest, r.id} }

func (r *request) whole() bool { return r.generated >= r.tokens }

// decoding reports whether the next step generates a token.
func (r *request) decoding() bool {
	return r.prefillLeft == 0 && r.generated > 0 && !r.whole()
}

func (r *request) contextTokens() int { return r.cachedTokens + r.prefillDone + r.generated }

// refusalError is an answer before any work.
type refusalError struct {
	status        int
	code, message string
}

// admit takes a new request in or refuses it. Engine.mu is held.
func (e *Engine) admit(r *request, reserve int, reservation string) *refusalError {
	if refused := e.admissible(r); refused != nil {
		return refused
	}
	need := blocksFor(r.promptTokens + r.tokens)
	if r.group != nil {
		need = max(0, need-blocksFor(r.group.helperTokens))
		if reserve > 0 && need > blocksFor(reserve) {
			return &refusalError{429, engine.CodeOutOfMemory, "the prompt exceeds the reservations of the group"}
		}
	}
	if reserve > 0 {
		need = max(need, blocksFor(reserve))
	}
	if need > e.pool.total {
		return &refusalError{429, engine.CodeTooLarge, "the prompt and its answer exceed the engine's memory"}
	}
	e.dropReservation(reservation) // the request takes over what was reserved for it here
	if !e.allocate(r, need) {
		return &refusalError{429, engine.CodeOutOfMemory, "KV memory is short"}
	}
	e.enqueue(r)
	return nil
}

func (e *Engine) admissible(r *request) *refusalError {
	cached := e.pool.match(r.hashes) * engine.PrefixBlockTokens
	switch {
	case e.leaving:
		return &refusalError{503, engine.CodeLeaving, "the engine is leaving"}
	case len(e.queue) >= e.set.MaxQueued:
		return &refusalError{429, engine.CodeQueueFull, "too many requests wait"}
	case e.role == engine.RolePrefill && r.tokens > 1:
		return &refusalError{503, engine.CodeWrongRole, "a prefill engine generates one token at most"}
	case e.role == engine.RoleDecode && r.promptTokens-cached > maxDecodePrefill:
		return &refusalError{503, engine.CodeWrongRole, "a decode engine needs the prompt's KV cache imported"}
	}
	return nil
}

// maxDecodePrefill is the uncached part of a prompt that a decode engine computes itself, in tokens: the last,
// incomplete block and one more.
const maxDecodePrefill = 2 * engine.PrefixBlockTokens

// allocate pins the cached prefix and takes private blocks for the rest. The last prompt token is always computed,
// because the first token of the answer comes from it.
func (e *Engine) allocate(r *request, need int) bool {
	hits := 0
	if r.group == nil {
		hits = min(e.pool.match(r.hashes), max(0, r.promptTokens-1)/engine.PrefixBlockTokens, need)
	}
	e.pool.pin(r.hashes[:hits])
	if !e.pool.resize(r.owner(), need-hits) {
		e.pool.unpin(r.hashes[:hits])
		return false
	}
	r.pinned, r.blocks = hits, need
	r.cachedTokens = hits * engine.PrefixBlockTokens
	r.prefillLeft = max(1, (r.promptTokens-r.cachedTokens)/r.group.size())
	return true
}

func (e *Engine) enqueue(r *request) {
	e.arrivals++
	r.arrival = e.arrivals
	e.requests[r.id] = r
	e.queue = insert(e.queue, r)
	e.work.Broadcast()
}

// insert keeps requests in order of priority, then arrival.
func insert(list []*request, r *request) []*request {
	at := sort.Search(len(list), func(i int) bool {
		if list[i].priority != r.priority {
			return list[i].priority < r.priority
		}
		return list[i].arrival > r.arrival
	})
	list = append(list, nil)
	copy(list[at+1:], list[at:])
	list[at] = r
	return list
}

func remove(list []*request, r *request) []*request {
	for i, other := range list {
		if other == r {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}

// end frees the memory of a request. failure is empty when the answer is whole. A whole answer stays known until it is
// delivered or the resume window ends. Engine.mu is held.
func (e *Engine) end(r *request, failure string) {
	if r.phase != phaseEnded {
		r.phase = phaseEnded
		e.queue = remove(e.queue, r)
		e.running = remove(e.running, r)
		e.pool.resize(r.owner(), 0)
		e.pool.unpin(r.hashes[:r.pinned])
		r.pinned = 0
		if r.deadline != nil {
			r.deadline.Stop()
		}
		r.group.leave(e)
	}
	if failure != "" && !r.whole() {
		r.failure = failure
	}
	r.notify()
	if r.failure != "" || r.conn == nil && failure != "" {
		e.forget(r)
	}
}

// lose stops a request of an engine that crashed. Its helpers are not told; their reservations expire.
func (e *Engine) lose(r *request) {
	r.phase, r.pinned = phaseEnded, 0
	if r.deadline != nil {
		r.deadline.Stop()
	}
	if r.window != nil {
		r.window.Stop()
	}
	if r.group != nil {
		r.group.left = true
		r.group.cancel()
	}
}

// forget drops the last trace of an ended request.
func (e *Engine) forget(r *request) {
	if r.window != nil {
		r.window.Stop()
	}
	if e.requests[r.id] == r {
		delete(e.requests, r.id)
	}
}

// attach makes c the connection of the request's stream and cuts off an earlier one.
func (e *Engine) attach(r *request, c *conn, attempt int) {
	if r.window != nil {
		r.window.Stop()
	}
	if r.conn != nil {
		r.conn.drop = true
		r.conn.notify()
	}
	r.conn, r.attempt = c, attempt
}

// detach starts the resume window when c is still the request's connection.
func (e *Engine) detach(r *request, c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.conn != c {
		return
	}
	r.conn = nil
	if r.phase == phaseEnded && r.failure != "" {
		return
	}
	r.window = time.AfterFunc(resumeWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.conn == nil {
			e.end(r, engine.CodeCancelled)
			e.forget(r)
		}
	})
}

// promptKey tells prompts apart without keeping them.
func promptKey(modelField, prompt string) uint64 {
	return xxhash.Sum64String(modelField + "\x00" + prompt)
}

func splitModel(field string) (model, adapter string) {
	model, adapter, _ = strings.Cut(field, "/")
	return model, adapter
}
