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
	// free is the memory that no admitted request uses, in tokens.
	free     int
	queue    []queued // requests that wait for a slot or memory
	admitted []*request
	parts    []part // not yet read
	decoding []*request
	busy     bool
}

type queued struct {
	request *request
	cost    float64
}

type part struct {
	request *request
	id      uint64 // of the attempt
	cost    float64
}

// admit queues a request that the engine leads.
func (e *engine) admit(r *request, cost float64) {
	e.queue = append(e.queue, queued{r, cost})
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
		e.read(next.request, next.cost)
	}
}

// read queues a part of a prompt.
func (e *engine) read(r *request, cost float64) {
	e.parts = append(e.parts, part{r, r.id, cost})
	if !e.busy {
		e.pass()
	}
}

// remove frees what a request uses.
func (e *engine) remove(r *request) {
	e.queue = slices.DeleteFunc(e.queue, func(q queued) bool { return q.request == r })
	if slices.Contains(e.admitted, r) {
		e.free += r.memory
	}
	e.admitted, e.decoding = without(e.admitted, r), without(e.decoding, r)
	r.lead = nil
	e.admitQueued()
}

// pass plays one pass and those that follow, until there is nothing to do.
func (e *engine) pass() {
	parts := slices.DeleteFunc(e.parts, func(p part) bool { return e.sim.running[p.id] != p.request })
	e.parts = nil
	if len(parts) == 0 && len(e.decoding) == 0 {
		e.busy = false
		return
	}
	e.busy = true
	length := 0.0
	for _, p := range parts {
		length += p.cost
	}
	decoding := slices.Clone(e.decoding)
	if len(decoding) > 0 {
		context := 0
		for _, r := range decoding {
			context += r.prompt
		}
		length += e.sim.Model.PassMs(len(decoding), context)
	}
	e.sim.at(e.sim.now+core.Micros(length*float64(core.Millisecond)), func() {
		for _, r := range decoding {
			if slices.Contains(e.decoding, r) {
				e.sim.emit(r)
			}
		}
		for _, p := range parts {
			e.finishPart(p)
		}
		e.pass()
	})
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
