package fakeengine

import (
	"time"
)

// maxLag limits how far the modelled time may lag behind the wall clock; a longer lag is cut to it. Within the limit,
// steps that a busy machine delayed are caught up.
const maxLag = 100 * time.Millisecond

// step is one step of the batch: one token for each decoding request and chunks of prompts, within one token budget.
type step struct {
	epoch         int
	decodes       []*request
	prefillChunks []prefillChunk
	helperChunks  []helperChunk
	cost          time.Duration
}

type prefillChunk struct {
	request *request
	tokens  int
}

func (s *step) empty() bool { return len(s.decodes)+len(s.prefillChunks)+len(s.helperChunks) == 0 }

// loop executes the steps of the batch until the engine is closed.
func (e *Engine) loop() {
	next := time.Now()
	for {
		e.mu.Lock()
		s := e.plan()
		for s.empty() && !e.closed {
			e.workCond.Wait()
			next = time.Now()
			s = e.plan()
		}
		closed := e.closed
		e.mu.Unlock()
		if closed {
			return
		}
		if oldest := time.Now().Add(-maxLag); next.Before(oldest) {
			next = oldest
		}
		next = next.Add(s.cost)
		time.Sleep(time.Until(next))
		e.mu.Lock()
		e.apply(s)
		e.mu.Unlock()
	}
}

// plan moves queued requests into the batch and composes the next step. Engine.mu is held.
func (e *Engine) plan() step {
	for len(e.queue) > 0 && len(e.running) < e.settings.MaxRunning {
		r := e.queue[0]
		e.queue = e.queue[1:]
		r.phase = phaseRunning
		e.running = insertByPriority(e.running, r)
	}
	s := step{epoch: e.epoch}
	budget := e.settings.Step.TokenBudget
	decodeKVRead := 0
	for _, r := range e.running {
		if r.decoding() && budget > 0 {
			s.decodes = append(s.decodes, r)
			decodeKVRead += r.contextTokens() / r.group.size()
			budget--
		}
	}
	prefill, prefillKVRead := e.planPrefill(&s, budget)
	cost := e.settings.Step
	micros := cost.BaseMicros + cost.DecodeTokenMicros*float64(len(s.decodes)) +
		cost.PrefillTokenMicros*float64(prefill) + cost.KVTokenMicros*float64(decodeKVRead+prefillKVRead)
	s.cost = e.scaled(time.Duration(micros * float64(time.Microsecond)))
	return s
}

// planPrefill assigns the rest of the token budget to prompts, in order of priority, then arrival. Helper work for
// other engines comes after own prompts of the same priority.
func (e *Engine) planPrefill(s *step, budget int) (tokens, kvRead int) {
	initial := budget
	helpers := e.pendingHelperWork()
	for _, r := range e.running {
		for len(helpers) > 0 && helpers[0].priority > r.priority {
			budget -= s.addHelperChunk(helpers[0], budget)
			helpers = helpers[1:]
		}
		if n := min(r.prefillLeft, budget); n > 0 {
			s.prefillChunks = append(s.prefillChunks, prefillChunk{r, n})
			kvRead += r.contextTokens()
			budget -= n
		}
	}
	for _, h := range helpers {
		budget -= s.addHelperChunk(h, budget)
	}
	return initial - budget, kvRead
}

func (s *step) addHelperChunk(h *helperWork, budget int) int {
	n := min(h.tokensLeft, budget)
	if n > 0 {
		s.helperChunks = append(s.helperChunks, helperChunk{h, n})
	}
	return n
}

// apply updates the requests with the results of a step. It skips requests that ended during the step. Engine.mu is
// held.
func (e *Engine) apply(s step) {
	if s.epoch != e.epoch {
		return
	}
	for _, r := range s.decodes {
		e.generateToken(r)
	}
	for _, h := range s.helperChunks {
		h.work.tokensLeft -= h.tokens
	}
	for _, c := range s.prefillChunks {
		if c.request.phase != phaseRunning {
			continue
		}
		if c.request.triggersCrash {
			e.crash()
			return
		}
		e.applyPrefill(c.request, c.tokens)
	}
}

func (e *Engine) applyPrefill(r *request, tokens int) {
	r.prefillLeft -= tokens
	r.prefillDone += tokens
	e.cacheFullBlocks(r)
	if r.prefillLeft == 0 {
		e.generateFirstToken(r)
	}
}

// generateFirstToken generates the first token after the last chunk of the prompt. A group must wait until all helpers
// are done as well.
func (e *Engine) generateFirstToken(r *request) {
	if r.group.ready() {
		e.generateToken(r)
	}
}

// cacheFullBlocks moves completely computed blocks to the prefix cache. The blocks of a group are spread over several
// engines and are not cached.
func (e *Engine) cacheFullBlocks(r *request) {
	if r.group != nil {
		return
	}
	done := min(fullBlocks(r.cachedTokens+r.prefillDone), len(r.hashes))
	for ; r.pinned < done; r.pinned++ {
		e.pool.store(r.owner(), r.hashes[r.pinned], parentOf(r.hashes, r.pinned))
	}
}

// generateToken adds one token to the answer and ends the request after the last one.
func (e *Engine) generateToken(r *request) {
	if r.phase != phaseRunning {
		return
	}
	r.generated++
	if r.complete() {
		e.endRequest(r, "")
		return
	}
	r.notify()
}

// scaled divides a modelled duration by Settings.TimeScale.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.settings.TimeScale)
}
