package simulate

import (
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// engine is a simulated engine. It works in passes; a pass with decoding requests produces one event for each of them and
// reads all parts of prompts that were waiting when it began.
type engine struct {
	sim *simulation
	id  string
	// index is the number of the engine, which gives its failure domain.
	index int
	// free is the memory that no admitted request uses, in tokens.
	free     int
	queue    []part // requests that wait for a slot or memory
	admitted []*request
	parts    []part // not yet read
	decoding []*request
	busy     bool
}

// part is what one engine reads of a prompt.
type part struct {
	request *request
	id      uint64 // of the attempt
	// cost is the time to read it in milliseconds, without the steps in which that happens.
	cost, tokens float64
	// split is set if several engines read the prompt.
	split bool
}

// admit queues a request that the engine leads.
func (e *engine) admit(p part) {
	e.queue = append(e.queue, p)
	e.admitQueued()
}

func (e *engine) admitQueued() {
	for len(e.queue) > 0 {
		next := e.queue[0]
		if len(e.admitted) >= e.sim.Model.Slots || next.request.memory > e.free {
			return
		}
		e.queue = e.queue[1:]
		e.free -= next.request.memory
		e.admitted = append(e.admitted, next.request)
		e.read(next)
	}
}

// read queues a part of a prompt.
func (e *engine) read(p part) {
	e.parts = append(e.parts, p)
	if !e.busy {
		e.pass()
	}
}

// remove frees what a request uses.
func (e *engine) remove(r *request) {
	e.queue = slices.DeleteFunc(e.queue, func(p part) bool { return p.request == r })
	if slices.Contains(e.admitted, r) {
		e.free += r.memory
	}
	e.admitted, e.decoding = without(e.admitted, r), without(e.decoding, r)
	r.lead = nil
	e.admitQueued()
}

// pass plays one pass and those that follow, until there is nothing to do.
func (e *engine) pass() {
	e.parts = slices.DeleteFunc(e.parts, func(p part) bool { return e.sim.running[p.id] != p.request })
	if len(e.parts) == 0 && len(e.decoding) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	decoding := slices.Clone(e.decoding)
	length := 0.0
	if len(decoding) > 0 {
		context := 0
		for _, r := range decoding {
			context += r.prompt
		}
		length = e.sim.Model.PassMs(len(decoding), context)
	}
	done, readMs := e.readPass(len(decoding) > 0)
	e.sim.at(e.sim.now+core.Micros((length+readMs)*float64(core.Millisecond)), func() {
		for _, r := range decoding {
			if slices.Contains(e.decoding, r) {
				e.sim.emit(r)
			}
		}
		for _, p := range done {
			e.finishPart(p)
		}
		e.pass()
	})
}

// readPass takes what is read in a pass from the waiting parts. It returns the parts that are complete after it and the time
// in milliseconds that reading adds to the pass.
func (e *engine) readPass(decoding bool) (done []part, readMs float64) {
	chunk := float64(e.sim.Chunk)
	if chunk == 0 {
		done, e.parts = e.parts, nil
		for _, p := range done {
			readMs += p.cost
		}
		return done, readMs
	}
	slices.SortStableFunc(e.parts, func(a, b part) int {
		switch {
		case a.split == b.split:
			return 0
		case a.split:
			return -1
		}
		return 1
	})
	left := chunk
	if decoding {
		left *= float64(e.sim.Model.Stride)
	} else {
		readMs = e.sim.Model.StepMs
	}
	for len(e.parts) > 0 && left > 0 {
		p := &e.parts[0]
		tokens := min(left, p.tokens)
		ms := p.cost * tokens / max(1, p.tokens)
		readMs, left = readMs+ms, left-tokens
		p.cost, p.tokens = p.cost-ms, p.tokens-tokens
		if p.tokens > 0 {
			break
		}
		done, e.parts = append(done, *p), e.parts[1:]
	}
	return done, readMs
}

// finishPart counts a part as read. The lead decodes once the last one has been read.
func (e *engine) finishPart(p part) {
	r := p.request
	if e.sim.running[p.id] != r {
		return
	}
	r.parts--
	if r.parts > 0 {
		return
	}
	lead := r.lead
	lead.decoding = append(lead.decoding, r)
	e.sim.firstEvent(r)
	if !lead.busy {
		lead.pass()
	}
}
