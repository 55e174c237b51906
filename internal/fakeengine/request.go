package fakeengine

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/engine"
)

// resumeWindow is how long a stream can be resumed after its connection closed, as the published protocol requires.
const resumeWindow = 5 * time.Second

// phase is the processing phase of a request.
type phase int

const (
	phaseQueued phase = iota
	phaseRunning
	phaseEnded // its memory has been freed
)

// request is the state of one request across all its connections. It is guarded by Engine.mu.
type request struct {
	id       string
	attempt  int
	priority int
	arrival  uint64
	// modelField, version, seed and the prompt determine the answer.
	modelField, version        string
	seed                       uint64
	answer                     Answer
	answerTokens               int // length of the complete answer
	finishReason               string
	promptTokens               int
	promptHash                 uint64
	triggersCrash              bool
	hashes                     []uint64 // of the full blocks of the prompt
	pinned                     int      // hashes[:pinned] are pinned in the cache
	cachedTokens               int
	reservedBlocks             int // private and pinned blocks, allocated on admission
	prefillLeft                int
	prefillDone                int
	generated                  int
	phase                      phase
	failure                    string // error code if the request ended before the answer was complete
	group                      *groupLead
	conn                       *conn
	deadlineTimer, resumeTimer *time.Timer
}

// conn is one connection of a request's stream.
type conn struct {
	wake   chan struct{} // capacity 1; signalled when the request has changed
	silent bool
	drop   bool
	// violation is the protocol violation to send with the next token. Only the writer of the connection uses it.
	violation ViolationMode
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

func (r *request) complete() bool { return r.generated >= r.answerTokens }

// decoding reports whether the next step generates a token.
func (r *request) decoding() bool {
	return r.prefillLeft == 0 && r.generated > 0 && !r.complete()
}

func (r *request) contextTokens() int { return r.cachedTokens + r.prefillDone + r.generated }

// refusalError is the refusal of a call before any work was done for it.
type refusalError struct {
	status        int
	code, message string
}

// admit allocates the memory of a new request and queues it, or refuses it. Engine.mu is held.
func (e *Engine) admit(r *request, reserve int, reservation string) *refusalError {
	if refused := e.checkAdmission(r); refused != nil {
		return refused
	}
	need := blocksFor(r.promptTokens + r.answerTokens)
	if r.group != nil {
		need = max(0, need-blocksFor(r.group.helperTokens))
		if reserve > 0 && need > blocksFor(reserve) {
			return &refusalError{429, engine.CodeOutOfMemory, "prompt and answer exceed the memory reserved on the group"}
		}
	}
	if reserve > 0 {
		need = max(need, blocksFor(reserve))
	}
	if need > e.pool.total {
		return &refusalError{429, engine.CodeTooLarge, "prompt and answer exceed the KV memory of the engine"}
	}
	e.releaseReservation(reservation) // the request takes over the memory reserved for it
	if !e.allocate(r, need) {
		return &refusalError{429, engine.CodeOutOfMemory, "not enough free KV memory"}
	}
	e.enqueue(r)
	return nil
}

func (e *Engine) checkAdmission(r *request) *refusalError {
	cached := e.pool.matchPrefix(r.hashes) * engine.PrefixBlockTokens
	switch {
	case e.leaving:
		return &refusalError{503, engine.CodeLeaving, "the engine is leaving"}
	case len(e.queue) >= e.settings.MaxQueued:
		return &refusalError{429, engine.CodeQueueFull, "the queue is full"}
	case e.role == engine.RolePrefill && r.answerTokens > 1:
		return &refusalError{503, engine.CodeWrongRole, "a prefill engine generates at most one token"}
	case e.role == engine.RoleDecode && r.promptTokens-cached > maxDecodePrefill:
		return &refusalError{503, engine.CodeWrongRole, "a decode engine requires the KV cache of the prompt to be imported"}
	}
	return nil
}

// maxDecodePrefill is the longest uncached part of a prompt that a decode engine computes itself, in tokens: the last,
// incomplete block and one full block.
const maxDecodePrefill = 2 * engine.PrefixBlockTokens

// allocate pins the cached prefix and allocates private blocks for the rest. The last prompt token is always computed,
// because the first token of the answer is generated from it.
func (e *Engine) allocate(r *request, need int) bool {
	hits := 0
	if r.group == nil {
		hits = min(e.pool.matchPrefix(r.hashes), max(0, r.promptTokens-1)/engine.PrefixBlockTokens, need)
	}
	e.pool.pin(r.hashes[:hits])
	if !e.pool.resize(r.owner(), need-hits) {
		e.pool.unpin(r.hashes[:hits])
		return false
	}
	r.pinned, r.reservedBlocks = hits, need
	r.cachedTokens = hits * engine.PrefixBlockTokens
	r.prefillLeft = max(1, (r.promptTokens-r.cachedTokens)/r.group.size())
	return true
}

func (e *Engine) enqueue(r *request) {
	e.arrivalCount++
	r.arrival = e.arrivalCount
	e.requests[r.id] = r
	e.queue = insertByPriority(e.queue, r)
	e.workCond.Broadcast()
}

// insertByPriority inserts r into a list ordered by priority (highest first), then arrival.
func insertByPriority(list []*request, r *request) []*request {
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

// endRequest ends a request and frees its memory. failure is the error code, empty if the answer is complete. A
// complete answer is retained until it is delivered or the resume window ends. Engine.mu is held.
func (e *Engine) endRequest(r *request, failure string) {
	if r.phase != phaseEnded {
		r.phase = phaseEnded
		e.queue = remove(e.queue, r)
		e.running = remove(e.running, r)
		e.pool.resize(r.owner(), 0)
		e.pool.unpin(r.hashes[:r.pinned])
		r.pinned = 0
		if r.deadlineTimer != nil {
			r.deadlineTimer.Stop()
		}
		r.group.release(e)
	}
	if failure != "" && !r.complete() {
		r.failure = failure
	}
	r.notify()
	if r.failure != "" || r.conn == nil && failure != "" {
		e.removeRequest(r)
	}
}

// abortRequest stops a request because the engine crashes. It does not notify the helpers; their reservations expire.
func (e *Engine) abortRequest(r *request) {
	r.phase, r.pinned = phaseEnded, 0
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	if r.resumeTimer != nil {
		r.resumeTimer.Stop()
	}
	if r.group != nil {
		r.group.released = true
		r.group.cancel()
	}
}

// removeRequest deletes an ended request from the table of requests.
func (e *Engine) removeRequest(r *request) {
	if r.resumeTimer != nil {
		r.resumeTimer.Stop()
	}
	if e.requests[r.id] == r {
		delete(e.requests, r.id)
	}
}

// attach makes c the connection of the request's stream and breaks an earlier connection.
func (e *Engine) attach(r *request, c *conn, attempt int) {
	if r.resumeTimer != nil {
		r.resumeTimer.Stop()
	}
	if r.conn != nil {
		r.conn.drop = true
		r.conn.notify()
	}
	r.conn, r.attempt = c, attempt
}

// detach starts the resume window if c is still the connection of the request.
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
	r.resumeTimer = time.AfterFunc(resumeWindow, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.conn == nil {
			e.endRequest(r, engine.CodeCancelled)
			e.removeRequest(r)
		}
	})
}

// hashPrompt returns a hash of model and prompt, so that prompts can be compared without storing their text.
func hashPrompt(modelField, prompt string) uint64 {
	return xxhash.Sum64String(modelField + "\x00" + prompt)
}

func splitModel(field string) (model, adapter string) {
	model, adapter, _ = strings.Cut(field, "/")
	return model, adapter
}
