package forward

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/routing"
	"github.com/carobstile/carobstile/internal/upstream"
)

const (
	// defaultWait is used for callers that state no wait on routes without a timeout.
	defaultWait = 30 * time.Second
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 10 * time.Second
	// retrySoon is when a caller that was refused for a reason that passes quickly should come back.
	retrySoon = 300 * time.Millisecond
	// retryStart is when a caller should come back to a daemon that knows no configuration: it has started during an
	// outage of the store, which lasts seconds. Callers come back once or twice only.
	retryStart = 2 * time.Second
	// retryCrashing is when a request that crashes servers may be sent again; its records expire after an hour.
	retryCrashing = time.Hour
	// maxBody bounds bodies while the configuration states no limit.
	maxBody = 16 << 20
)

// Handler serves forwarded requests. All fields are required.
type Handler struct {
	Dialect   Dialect
	Scheduler Scheduler
	Memory    Memory
	Budget    Budget
	Suspects  Suspects
	Pool      *upstream.Pool
	// Table returns the configuration in force, or nil before the first one is known.
	Table func() *routing.Table
	// Now returns monotonic time of the process.
	Now     func() core.Micros
	Log     *slog.Logger
	Metrics *Metrics

	draining atomic.Bool
	open     atomic.Int64
	sampled  sampler
}

// Drain makes the handler refuse further requests.
func (h *Handler) Drain() { h.draining.Store(true) }

// Open returns how many requests are being served.
func (h *Handler) Open() int64 { return h.open.Load() }

// request is one request of a caller.
type request struct {
	Call
	h           *Handler
	w           http.ResponseWriter
	r           *http.Request
	ctx         context.Context
	table       *routing.Table
	route       *routing.Route
	service     string
	workspace   *routing.Workspace
	body        []byte
	fingerprint string
	arrived     core.Micros
	deadline    core.Micros
	timeoutAt   time.Time
	// sends counts servers that the request was sent to, mayHaveRun is set once one of them may have run it.
	sends      int
	mayHaveRun bool
	exclude    []string
	// lastServer and reason explain the end in the log.
	lastServer string
	reason     string
	placements []placement
	// failure is the last failure that a server answered; it is delivered if no other server gives a better answer.
	failure *kept
	stream  streamState
	started bool // a header was sent to the caller
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	q := &request{h: h, w: w, r: r, Call: h.Dialect.Call(r.Header), arrived: h.Now()}
	if !q.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.timeoutAt)
	defer cancel()
	q.ctx = ctx
	q.serve()
}

// admit finds route and workspace and reads the body. It answers the request itself if it returns false.
func (q *request) admit() bool {
	h := q.h
	q.table = h.Table()
	if q.table == nil {
		return q.refuse(http.StatusServiceUnavailable, retryStart, "no configuration is known yet")
	}
	if h.draining.Load() {
		q.w.Header().Set("Connection", "close")
		return q.refuse(http.StatusServiceUnavailable, retrySoon, "daemon is stopping")
	}
	q.route = q.table.Match(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return q.reject(http.StatusNotFound, "no route for host and path")
	}
	if !q.authorize() {
		return false
	}
	if !q.readBody() {
		return false
	}
	q.service = q.route.Pick(rand.Float64())
	q.setDeadline()
	q.fingerprint = q.hash()
	if h.Suspects.Refused(q.fingerprint) {
		return q.refuse(http.StatusServiceUnavailable, retryCrashing, "request crashes the servers that run it")
	}
	h.Budget.Counted(q.service)
	return true
}

func (q *request) authorize() bool {
	if !q.table.NeedsKey() || q.route.Public {
		return true
	}
	q.workspace = q.table.Workspace(q.Key)
	if q.workspace == nil {
		return q.reject(http.StatusUnauthorized, "unknown key")
	}
	return true
}

func (q *request) readBody() bool {
	limit := q.table.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if q.r.ContentLength > limit {
		return q.reject(http.StatusRequestEntityTooLarge, "body exceeds the limit")
	}
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // not supported by test recorders only
	body, err := readAll(http.MaxBytesReader(q.w, q.r.Body, limit), q.r.ContentLength)
	_ = control.SetReadDeadline(time.Time{}) // as above
	if errors.As(err, new(*http.MaxBytesError)) {
		return q.reject(http.StatusRequestEntityTooLarge, "body exceeds the limit")
	}
	if err != nil {
		return q.reject(http.StatusRequestTimeout, "body did not arrive")
	}
	q.body = body
	return true
}

// readAll reads a body whose length may be known.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

func (q *request) setDeadline() {
	wait := q.Wait
	if wait <= 0 {
		wait = defaultWait
	}
	if t := q.route.Timeout; t > 0 {
		wait = min(wait, t)
	}
	q.deadline = q.arrived + core.Span(wait)
	q.timeoutAt = time.Now().Add(wait - (q.h.Now() - q.arrived).Duration())
}

// hash identifies a request that comes again: by path, key and body.
func (q *request) hash() string {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{q.r.Method, q.r.Host, q.r.URL.Path, q.Key} {
		_, _ = d.WriteString(part) // a Digest never returns an error
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.body)
	return string(binary.BigEndian.AppendUint64(nil, d.Sum64()))
}

// left returns how long the request may still take.
func (q *request) left() time.Duration { return (q.deadline - q.h.Now()).Duration() }

// refuse says that the request was not run and when to come back. It returns false.
func (q *request) refuse(status int, after time.Duration, reason string) bool {
	q.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	return q.reject(status, reason)
}

// reject answers with a failure of this daemon. It returns false.
func (q *request) reject(status int, reason string) bool {
	header := q.w.Header()
	q.h.Dialect.Echo(header, q.ID)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	q.w.WriteHeader(status)
	_, _ = io.WriteString(q.w, reason+"\n") // the caller has left if this fails
	q.reason = reason
	q.ended(status)
	return false
}
