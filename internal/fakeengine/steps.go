package fakeengine

import (
	"time"
)

// maxLag bounds how far the modelled time may fall behind the clock before it is reset. On a busy machine, steps
// that were delayed are caught up within it.
const maxLag = 100 * time.Millisecond

// step is one step of the batch: a token for each decoding request and chunks of prompts, under one token budget.
type step struct {
	epoch   int
	decodes []*request
	chunks  []chunk
	helped  []helperChunk
	cost    time.Duration
}

type chunk struct {
	r      *request
	tokens int
}

func (s *step) empty() bool { return len(s.decodes)+len(s.chunks)+len(s.helped) == 0 }

// loop runs the batch until the engine is closed.
func (e *Engine) loop() {
	next := time.Now()
	for {
		e.mu.Lock()
		s := e.plan()
		for s.empty() && !e.closed {
			e.work.Wait()
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

// plan composes the next step. Engine.mu is held.
func (e *Engine) plan() step {
	for len(e.queue) > 0 && len(e.running) < e.set.MaxRunning {
		r := e.queue[0]
		e.queue = e.queue[1:]
		r.phase = phaseRunning
		e.running = insert(e.running, r)
	}
	s := step{epoch: e.epoch}
	budget := e.set.Step.TokenBudget
	kv := 0
	for _, r := range e.running {
		if r.decoding() && budget > 0 {
			s.decodes = append(s.decodes, r)
			kv += r.contextTokens() / r.group.size()
			budget--
		}
	}
	prefill, read := e.planPrefill(&s, budget)
	cost := e.set.Step
	micros := cost.BaseMicros + cost.DecodeTokenMicros*float64(len(s.decodes)) +
		cost.PrefillTokenMicros*float64(prefill) + cost.KVTokenMicros*float64(kv+read)
	s.cost = e.scaled(time.Duration(micros * float64(time.Microsecond)))
	return s
}

// planPrefill gives the rest of the budget to prompts, by priority and then arrival. Shares of other engines' prompts
// come after own prompts of the same priority.
func (e *Engine) planPrefill(s *step, budget int) (tokens, kvRead int) {
	start := budget
	helpers := e.helperOrder()
	for _, r := range e.running {
		for len(helpers) > 0 && helpers[0].priority > r.priority {
			budget -= s.help(helpers[0], budget)
			helpers = helpers[1:]
		}
		if n := min(r.prefillLeft, budget); n > 0 {
			s.chunks = append(s.chunks, chunk{r, n})
			kvRead += r.contextTokens()
			budget -= n
		}
	}
	for _, h := range helpers {
		budget -= s.help(h, budget)
	}
	return start - budget, kvRead
}

func (s *step) help(h *helperWork, budget int) int {
	n := min(h.left, budget)
	if n > 0 {
		s.helped = append(s.helped, helperChunk{h, n})
	}
	return n
}

// apply takes over the results of a step. Requests that ended meanwhile are passed over. Engine.mu is held.
func (e *Engine) apply(s step) {
	if s.epoch != e.epoch {
		return
	}
	for _, r := range s.decodes {
		e.advance(r)
	}
	for _, h := range s.helped {
		h.work.left -= h.tokens
	}
	for _, c := range s.chunks {
		if c.r.phase != phaseRunning {
			continue
		}
		if c.r.crashes {
			e.crash()
			return
		}
		e.prefilled(c.r, c.tokens)
	}
}

func (e *Engine) prefilled(r *request, tokens int) {
	r.prefillLeft -= tokens
	r.prefillDone += tokens
	e.storeBlocks(r)
	if r.prefillLeft == 0 {
		e.firstToken(r)
	}
}

// firstToken comes with the last chunk of the prompt, in a group only when all helpers are done as well.
func (e *Engine) firstToken(r *request) {
	if r.group.ready() {
		e.advance(r)
	}
}

// storeBlocks moves the blocks that are complete to the prefix cache. Blocks of a group are spread over several engines
// and are not cached.
func (e *Engine) storeBlocks(r *request) {
	if r.group != nil {
		return
	}
	done := min(blocksDone(r.cachedTokens+r.prefillDone), len(r.hashes))
	for ; r.pinned < done; r.pinned++ {
		e.pool.store(r.owner(), r.hashes[r.pinned], parentOf(r.hashes, r.pinned))
	}
}

func (e *Engine) advance(r *request) {
	if r.phase != phaseRunning {
		return
	}
	r.generated++
	if r.whole() {
		e.end(r, "")
		return
	}
	r.notify()
}

func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / e.set.TimeScale)
}
