package forward

import (
	"sync"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/evlog"
)

// stage is how far a request in progress has come.
type stage int

const (
	stageBody    stage = iota // its header has been read, and its body may still arrive
	stageWaiting              // it waits for servers
	stageAttempt              // servers were assigned, and no part of an answer has been sent to the caller
	stageAnswer               // the caller has a part of the answer
	stageCount
)

// String returns the name used in logs and metrics.
func (s stage) String() string {
	return [stageCount]string{"body", "waiting", "attempt", "answer"}[s]
}

// progress is what other goroutines may read of a request in progress.
type progress struct {
	mu       sync.Mutex
	stage    stage
	server   string
	deadline core.Micros // 0 until it is known
}

func (p *progress) enter(s stage, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage, p.server = s, server
}

func (p *progress) setDeadline(at core.Micros) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = at
}

func (p *progress) get() (s stage, server string, deadline core.Micros) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stage, p.server, p.deadline
}

// openRequests holds the requests in progress. It is safe for concurrent use.
type openRequests struct {
	mu  sync.Mutex
	set map[*request]struct{}
}

func (o *openRequests) add(q *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.set == nil {
		o.set = map[*request]struct{}{}
	}
	o.set[q] = struct{}{}
}

func (o *openRequests) remove(q *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.set, q)
}

func (o *openRequests) count() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return int64(len(o.set))
}

func (o *openRequests) list() []*request {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*request, 0, len(o.set))
	for q := range o.set {
		out = append(out, q)
	}
	return out
}

// reasonStopped is the reason of requests that the stop of the daemon has cut off.
const reasonStopped = "cut off by the stop of the daemon"

// reasonUnwritten returns why an answer could not be written to the caller.
func (q *request) reasonUnwritten() string {
	if q.h.cutOff.Load() {
		return reasonStopped
	}
	return "caller left"
}

// reasonOfEnd returns why a stream was ended before its server had.
func (q *request) reasonOfEnd() string {
	switch {
	case q.h.cutOff.Load():
		return reasonStopped
	case q.r.Context().Err() != nil:
		return "caller left"
	}
	return "time is up"
}

// maxCutOffLines bounds the log lines about single requests that a stop cuts off.
const maxCutOffLines = 200

// CutOff logs and counts the requests in progress, which the stop of the daemon is about to end. stopping is when the stop began. Requests
// that end later don't count as left by their callers.
func (h *Handler) CutOff(stopping core.Micros) {
	h.cutOff.Store(true)
	now := h.Now()
	var counts [stageCount]int
	for n, q := range h.open.list() {
		at, server, deadline := q.progress.get()
		counts[at]++
		h.Metrics.recordCutOff(at)
		if n < maxCutOffLines {
			h.Log.Warn(evlog.MessageCutOff, evlog.KeyRequest, q.ID, "stage", at, "server", server, "ms", millis(now-q.arrived),
				"left_ms", millis(max(0, deadline-now)), "stopping_ms", millis(now-stopping))
		}
	}
	for at, n := range counts {
		if n > 0 {
			h.Log.Warn("open requests cut off", "stage", stage(at), "open", n, "stopping_ms", millis(now-stopping))
		}
	}
}
