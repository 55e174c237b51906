package forward

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/bodybudget"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/quarantine"
	"github.com/carobstile/carobstile/internal/retrybudget"
	"github.com/carobstile/carobstile/internal/routing"
	"github.com/carobstile/carobstile/internal/upstream"
)

const (
	// defaultTimeout is the timeout of requests that state none, unless the route has a shorter one.
	defaultTimeout = 30 * time.Second
	// bodyTimeout bounds the time to read a request body.
	bodyTimeout = 10 * time.Second
	// retryAfterTransient is the Retry-After for conditions that pass quickly.
	retryAfterTransient = 300 * time.Millisecond
	// retryAfterRefused is the Retry-After if servers refused the request and its repeats are used up, while another server takes most of
	// what it gets. The caller's return is a new request with a first attempt of its own, and can still be on time.
	retryAfterRefused = 20 * time.Millisecond
	// retryAfterStopping is the Retry-After of a daemon that stops. Other daemons can take the request at once.
	retryAfterStopping = 20 * time.Millisecond
	// retryAfterNoConfig is the Retry-After of a daemon without a configuration, which was started during an outage of
	// the store. Outages last seconds, and callers retry only once or twice.
	retryAfterNoConfig = 2 * time.Second
	// retryAfterNoRoom is the Retry-After if there is no memory for a body. Stalled bodies end within 10 s, most of them sooner.
	retryAfterNoRoom = time.Second
	// answerGrace is how much longer than the time limit of its request a caller may take to read the answer.
	answerGrace = time.Second
	// defaultMaxBodyBytes bounds request bodies if the configuration sets no limit.
	defaultMaxBodyBytes = 16 << 20
)

// Handler serves forwarded requests. All exported fields are required.
type Handler struct {
	HeaderCodec  HeaderCodec
	Scheduler    Scheduler
	Memory       MemoryReserver
	Budget       RetryBudget
	CrashTracker CrashTracker
	Pool         *upstream.Pool
	// Table returns the current configuration, or nil before the first one is available.
	Table func() *routing.Table
	// Now returns the monotonic time of the process.
	Now func() core.Micros
	// MaxBufferedBytes bounds the memory of all answers and large events that are held before they are forwarded.
	MaxBufferedBytes int64
	// Bodies bounds the memory held for callers: request bodies, headers and connections.
	Bodies *bodybudget.Budget
	// Relays chooses neighbours while this daemon is cut off from the servers; nil if requests are never passed on.
	Relays Relays
	// Name is that of this daemon.
	Name    string
	Log     *slog.Logger
	Metrics *Metrics

	// stopping is set from the beginning of a stop on, draining once new requests are refused.
	stopping atomic.Bool
	draining atomic.Bool
	// cutOff is set once the stop of the daemon ends the requests in progress.
	cutOff atomic.Bool
	open   openRequests
	// bufferedBytes counts the memory of the answers and large events that are being buffered.
	bufferedBytes atomic.Int64
	logSampler    logRateLimiter
	repeatSampler logRateLimiter
	pending       pendingAttempts
}

// Stop makes the handler say in all answers that their connections end. Requests are served as before.
func (h *Handler) Stop() { h.stopping.Store(true) }

// endConnection says in an answer whose header is not sent yet that its connection ends, if the daemon is stopping.
func (q *request) endConnection() {
	if q.h.stopping.Load() {
		q.w.Header().Set("Connection", "close")
	}
}

// Drain makes the handler reject new requests.
func (h *Handler) Drain() { h.draining.Store(true) }

// OpenRequests returns the number of requests in progress.
func (h *Handler) OpenRequests() int64 { return h.open.count() }

// request is the state of one caller's request.
type request struct {
	CallerHeaders
	h         *Handler
	w         http.ResponseWriter
	r         *http.Request
	ctx       context.Context
	table     *routing.Table
	route     *routing.Route
	service   string
	workspace *routing.Workspace
	// body is kept for further attempts until the request ends.
	body *bodybudget.Body
	// traits are what the request has in common with others; the first one is that of its repetitions.
	traits    []quarantine.Trait
	arrived   core.Micros
	deadline  core.Micros
	timeoutAt time.Time
	// sendCount counts the attempts that a server may have run; mayHaveRun is set after the first one.
	sendCount  int
	mayHaveRun bool
	// arrivals counts the attempts that a server may have received, refused ones too; lastFault is how the last one failed.
	arrivals  int
	lastFault dispatch.Fault
	// permit is the place of the next attempt in the retry budget; nil for the first one.
	permit *retrybudget.Permit
	// next holds the servers of the next attempt if they were assigned before the last one ended.
	next            *placedAttempt
	excludedServers []string
	// excludedNeighbours are the names of neighbours that declined or failed the request; neighbour is the one that has it now.
	excludedNeighbours []string
	neighbour          *Neighbour
	// relayed is set if another daemon has passed the request on to this one. counted is set once the request was counted for the retry
	// budget, here or there.
	relayed *relayed
	counted bool
	// lastServer and reason are logged when the request ends.
	lastServer string
	reason     string
	placements []placement
	// serverError is the last server error; it is forwarded to the caller if no other server gives a better answer.
	serverError *bufferedAnswer
	stream      streamState
	headerSent  bool // the response header was sent to the caller
	// bufferedBytes is this request's part of the handler's bufferedBytes.
	bufferedBytes int64
	progress      progress
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.serve(w, r, nil) }

// serve serves one request, which another daemon has passed on unless from is nil.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, from *relayed) {
	q := &request{h: h, w: w, r: r, CallerHeaders: h.HeaderCodec.Call(r.Header), arrived: h.Now(), relayed: from}
	h.open.add(q)
	defer h.open.remove(q)
	if from != nil {
		q.counted, q.sendCount = from.counted, from.sends
	}
	defer func() { q.body.Release() }()
	defer q.releasePermit()
	defer q.releaseNext()
	q.limitIO()
	if !q.admit() {
		return
	}
	q.setWriteDeadline(q.timeoutAt.Add(answerGrace))
	ctx, cancel := context.WithDeadline(r.Context(), q.timeoutAt)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	q.ctx = ctx
	q.onCutOff(func() { end(errStopped) })
	defer func() { h.bufferedBytes.Add(-q.bufferedBytes) }()
	q.serve()
}

// admit finds the route and the workspace and reads the body. If it returns false, it has answered the request.
func (q *request) admit() bool {
	h := q.h
	q.table = h.Table()
	if q.declineRelayed() {
		return false
	}
	if q.table == nil {
		return q.rejectNotRun(http.StatusServiceUnavailable, retryAfterNoConfig, "no configuration is known yet")
	}
	if q.rejectIfStopping() {
		return false
	}
	if !q.allowed() {
		return false
	}
	if q.workspace != nil && q.relayed == nil {
		h.Metrics.workspaces.recordReceived(q.workspace.Name)
	}
	if !q.readBody() || q.rejectIfStopping() { // a body can arrive seconds after its header
		return false
	}
	if latest := h.Table(); latest != q.table {
		q.table = latest
		if !q.allowed() {
			return false
		}
	}
	q.service = q.route.Pick(rand.Float64())
	q.setDeadline()
	q.traits = q.requestTraits()
	if q.blocked() {
		q.failBlocked()
		return false
	}
	return true
}

// rejectIfStopping rejects the request if the daemon takes no more requests, and reports whether it did.
func (q *request) rejectIfStopping() bool {
	if !q.h.draining.Load() {
		return false
	}
	q.rejectStopping()
	return true
}

// allowed finds the route and the workspace in the configuration. If it returns false, it has answered the request.
func (q *request) allowed() bool {
	q.route = q.table.Match(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return q.reject(http.StatusNotFound, "no route for host and path")
	}
	return q.authenticate()
}

func (q *request) authenticate() bool {
	q.workspace = nil
	if !q.table.NeedsKey() || q.route.Public {
		return true
	}
	q.workspace = q.table.Workspace(q.Key)
	if q.workspace == nil {
		return q.reject(http.StatusUnauthorized, "unknown key")
	}
	return true
}

// MaxBodyBytes returns the bound of request bodies.
func MaxBodyBytes(l routing.Limits) int64 {
	if l.BodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return l.BodyBytes
}

func (q *request) readBody() bool {
	limit := MaxBodyBytes(q.table.Limits)
	if q.r.ContentLength > limit {
		return q.reject(http.StatusRequestEntityTooLarge, "body exceeds the limit")
	}
	control := http.NewResponseController(q.w)
	q.onCutOff(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }) // unsupported only by test recorders
	body, err := q.h.Bodies.Read(bodybudget.Source{
		Body: q.r.Body, Announced: q.r.ContentLength, Limit: limit, Overhead: bodybudget.HeaderBytes(q.r.Header),
		Deadline: time.Now().Add(bodyTimeout), SetReadDeadline: control.SetReadDeadline,
	})
	q.onCutOff(nil)
	if err != nil && q.h.cutOff.Load() {
		return q.refuseUnfinished()
	}
	if err != nil {
		q.w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	switch {
	case errors.Is(err, bodybudget.ErrTooLarge):
		return q.reject(http.StatusRequestEntityTooLarge, "body exceeds the limit")
	case errors.Is(err, bodybudget.ErrNoRoom):
		return q.rejectNotRun(http.StatusServiceUnavailable, retryAfterNoRoom, "no memory is left for the body")
	case err != nil:
		return q.reject(http.StatusRequestTimeout, "body did not arrive")
	}
	q.body = body
	return true
}

// limitIO bounds reads and writes of the caller's connection until the time limit of the request is known. Also after a
// refusal, the rest of a body is read and the answer is written in bounded time. Reads are bounded only if there is a body:
// without one, the connection is read to notice that the caller leaves.
func (q *request) limitIO() {
	if q.r.ContentLength != 0 {
		_ = http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(bodyTimeout)) // unsupported only by test recorders
	}
	q.setWriteDeadline(time.Now().Add(bodyTimeout + answerGrace))
}

// setWriteDeadline bounds writes to the caller. The next request of the connection sets it anew.
func (q *request) setWriteDeadline(at time.Time) {
	_ = http.NewResponseController(q.w).SetWriteDeadline(at) // unsupported only by test recorders
}

func (q *request) setDeadline() {
	timeout := q.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if t := q.route.Timeout; t > 0 {
		timeout = min(timeout, t)
	}
	q.deadline = q.arrived + core.FromDuration(timeout)
	q.timeoutAt = time.Now().Add(timeout - (q.h.Now() - q.arrived).Duration())
	q.progress.setDeadline(q.deadline)
}

// remaining returns the time until the deadline.
func (q *request) remaining() time.Duration { return (q.deadline - q.h.Now()).Duration() }

// rejectNotRun answers that the request was not run and may be retried after the given time. It returns false.
func (q *request) rejectNotRun(status int, after time.Duration, reason string) bool {
	q.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	if q.relayed != nil {
		q.w.Header().Set(headerRelayOutcome, relayNotRun)
	}
	return q.reject(status, reason)
}

// reject answers with an error of this daemon and records the end of the request. It returns false.
func (q *request) reject(status int, reason string) bool {
	header := q.w.Header()
	q.h.HeaderCodec.SetRequestID(header, q.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	q.endConnection()
	q.w.WriteHeader(status)
	_, _ = io.WriteString(q.w, reason+"\n") // fails only if the caller has left
	q.reason = reason
	q.recordEnd(status)
	return false
}
