package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

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
	// end ends what the request waits for at the cut-off of a stop; nil if it waits for nothing.
	end func()
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

func (p *progress) setEnd(end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end = end
}

func (p *progress) cutOff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.end != nil {
		p.end()
	}
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

// errStopped is the cause with which requests are cancelled at the cut-off of a stop.
var errStopped = errors.New("daemon is stopping")

// onCutOff sets what ends the request at the cut-off of a stop, or nil.
func (q *request) onCutOff(end func()) {
	q.progress.setEnd(end)
	if end != nil && q.h.cutOff.Load() {
		end()
	}
}

// stopped reports whether the stop of the daemon has ended the request.
func (q *request) stopped() bool { return q.ctx != nil && errors.Is(context.Cause(q.ctx), errStopped) }

// unfinishedBodyLinger is how long an unfinished body is read after its refusal, so that the caller gets that before its connection is reset.
const unfinishedBodyLinger = 150 * time.Millisecond

// refuseUnfinished refuses a request whose body had not arrived at the cut-off of a stop. It returns false.
func (q *request) refuseUnfinished() bool {
	control := http.NewResponseController(q.w)
	_ = control.EnableFullDuplex() // unsupported only by test recorders, as are the calls below
	q.rejectStopping()
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Now().Add(unfinishedBodyLinger))
	_, _ = io.Copy(io.Discard, q.r.Body) // ends with the connection or the deadline
	return false
}

// rejectStopping refuses a request that has not run, since the daemon stops.
func (q *request) rejectStopping() {
	if q.relayed != nil {
		q.decline(errStopped.Error())
		return
	}
	q.rejectNotRun(http.StatusServiceUnavailable, retryAfterStopping, errStopped.Error())
}

// failStopped answers a request that the cut-off of a stop has ended and whose answer has not begun.
func (q *request) failStopped() {
	if !q.mayHaveRun {
		q.rejectStopping()
		return
	}
	q.reject(http.StatusBadGateway, "daemon is stopping, and a server may have run the request")
}

// reasonStopped is the reason of requests that the stop of the daemon has cut off.
const reasonStopped = "cut off by the stop of the daemon"

// reasonUnwritten returns why an answer could not be written to the caller.
func (q *request) reasonUnwritten() string {
	if q.stopped() {
		return reasonStopped
	}
	return "caller left"
}

// reasonOfEnd returns why a stream was ended before its server had.
func (q *request) reasonOfEnd() string {
	switch {
	case q.stopped():
		return reasonStopped
	case q.r.Context().Err() != nil:
		return "caller left"
	}
	return "time is up"
}

// maxCutOffLines bounds the log lines about single requests that a stop cuts off.
const maxCutOffLines = 200

// CutOff ends the requests in progress: what they wait for is cancelled, so that they are answered now. stopping is when the stop of the daemon
// began.
func (h *Handler) CutOff(stopping core.Micros) {
	h.cutOff.Store(true)
	now := h.Now()
	var counts [stageCount]int
	open := h.open.list() // later ones are refused
	for n, q := range open {
		at, server, deadline := q.progress.get()
		counts[at]++
		h.Metrics.recordCutOff(at)
		if n < maxCutOffLines {
			h.Log.Warn(evlog.MessageCutOff, evlog.KeyRequest, q.ID, "stage", at, "server", server, "ms", millis(now-q.arrived),
				"left_ms", millis(max(0, deadline-now)), "stopping_ms", millis(now-stopping))
		}
	}
	for _, q := range open {
		q.progress.cutOff()
	}
	for at, n := range counts {
		if n > 0 {
			h.Log.Warn("open requests cut off", "stage", stage(at), "open", n, "stopping_ms", millis(now-stopping))
		}
	}
}
