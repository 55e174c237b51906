package gate

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/bodybudget"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// Limits of calls to plain services.
const (
	// maxReplayBytes is the size of the largest body of an idempotent call that is kept for a retry.
	maxReplayBytes = 64 << 10
	// maxRecordedBytes is the size of the largest response body stored in a claim; in base64 it fits the platform's 1 MiB.
	maxRecordedBytes = 512 << 10
	copyBufferBytes  = 32 << 10
)

// serviceCall is a validated call of a plain service.
type serviceCall struct {
	route        *config.Route
	method       string
	target       string // path and query after the route
	header       http.Header
	maxBodyBytes int // limit of the request body and of the response body
	// body is the whole request body, or its start if unread is set. The unread rest can be sent only once.
	body           []byte
	unread         *boundedReader
	contentLength  int64
	idempotencyKey string
	bodyHash       [sha256.Size]byte

	// claim and outcome are set before the ClaimResult event that names them.
	claim   Claim
	outcome *ServiceOutcome
	// responseStatus and responseHeader are set before the ServiceAnswered event, record before the ServiceEnded event.
	responseStatus int
	responseHeader http.Header
	record         *ServiceOutcome
	// chunks passes the response body to the goroutine that writes to the caller.
	chunks chan []byte
}

// service serves /services/<route>/...
func (g *Gate) service(w http.ResponseWriter, r *http.Request) {
	arrived := g.now()
	active, p := g.prepareCall(w, r, arrived)
	if p != nil {
		g.reject(w, r, p)
		return
	}
	defer active.call.unread.stop()
	w.Header().Set(engine.HeaderRequestID, active.requestID)
	route := active.call.route
	g.opts.Log.Info("request received", evlog.KeyRequest, active.requestID, "workspace", active.identity.workspace.Name,
		"route", route.Name)
	g.admit(active, gatecore.RequestArrived{
		Now: g.now(), Kind: gatecore.KindService, Workspace: active.identity.workspace.Name,
		MaxConcurrent: active.identity.workspace.MaxConcurrent, Deadline: active.deadline, FirstAttempt: 1,
		CrashLimit: active.identity.index.Limits.CrashLimit, Idempotent: route.Idempotent,
		Servers: g.candidateServers(active.identity.index, route, arrived),
	})
	g.deliver(w, r, active, &serviceSink{w: w, rc: http.NewResponseController(w), call: active.call})
}

func (g *Gate) prepareCall(w http.ResponseWriter, r *http.Request, arrived core.Micros) (*activeRequest, *problem) {
	id, p := g.authenticate(r)
	if p != nil {
		return nil, p
	}
	name := r.PathValue("route")
	route, ok := id.index.Route(name)
	if !ok || !slices.Contains(id.caller.Routes, name) {
		return nil, notRun(gatecore.CodeRouteNotFound, fmt.Sprintf("route %q is not offered to the caller", name))
	}
	deadline, p := requestDeadline(r, id.index.Limits, arrived)
	if p != nil {
		return nil, p
	}
	deadline = min(deadline, arrived+core.Micros(route.Timeout())*core.Millisecond)
	requestID, err := g.newID()
	if err != nil {
		return nil, notRun(gatecore.CodeBackendFailed, "no random source")
	}
	call := &serviceCall{
		route: route, method: r.Method, target: backendTarget(r), header: forwardedHeader(r.Header),
		maxBodyBytes: id.index.Limits.MaxBodyBytes, contentLength: r.ContentLength, chunks: make(chan []byte),
	}
	body, p := g.readCallBody(w, r, call, deadline)
	if p != nil {
		return nil, p
	}
	if call.idempotencyKey = r.Header.Get(headerIdempotencyKey); call.idempotencyKey == "" {
		call.idempotencyKey = requestID // a random key: a repeated call is a new request
	}
	return &activeRequest{requestID: requestID, identity: id, call: call, arrived: arrived, deadline: deadline, body: body}, nil
}

// readCallBody reads what is required before the call is sent: the whole body of a non-idempotent call, since its claim
// contains the hash, else the part that can be resent.
func (g *Gate) readCallBody(
	w http.ResponseWriter, r *http.Request, call *serviceCall, deadline core.Micros,
) (*bodybudget.Body, *problem) {
	if r.ContentLength > int64(call.maxBodyBytes) {
		w.Header().Set("Connection", "close") // the body is not read
		return nil, tooLarge(call.maxBodyBytes)
	}
	limit := call.maxBodyBytes
	if call.route.Idempotent {
		limit = maxReplayBytes + 1
	}
	body, p := g.readBody(w, r, limit, deadline, call.route.Idempotent)
	if p != nil {
		return nil, p
	}
	if p := g.withWholeBody(r.Context(), body, func(whole []byte) *problem {
		call.body = whole
		if !call.route.Idempotent {
			call.bodyHash = hashCall(call, whole)
		}
		return nil
	}); p != nil {
		body.Release()
		return nil, p
	}
	if !call.route.Idempotent || len(call.body) <= maxReplayBytes {
		call.contentLength = int64(len(call.body))
		return body, nil
	}
	rc := http.NewResponseController(w)
	// Response writers without deadlines (test recorders) already have the body.
	_ = rc.SetReadDeadline(g.opts.Clock.Now().Add((deadline - g.now()).Duration() + endGrace))
	// The rest is read while the response is written. Without this call net/http discards it at the first write.
	_ = rc.EnableFullDuplex()
	call.unread = &boundedReader{
		r: r.Body, remaining: call.maxBodyBytes - len(call.body), interrupt: func() { _ = rc.SetReadDeadline(time.Unix(1, 0)) }, // as above
	}
	return body, nil
}

// hashCall hashes what must be equal when an idempotency key is repeated: route, method, target and body.
func hashCall(call *serviceCall, body []byte) [sha256.Size]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q ", call.route.Name, call.method, call.target)
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// backendTarget returns path and query after /services/<route>, as the caller escaped them.
func backendTarget(r *http.Request) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	target := "/" + rest
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return target
}

// boundedReader fails after a number of bytes. It keeps a read error, so that a broken request body is not taken for a
// fault of the backend server. The transport to the server may read on after the call has ended; net/http allows that only while the
// handler of the request runs.
type boundedReader struct {
	// interrupt lets a read that waits for the caller fail.
	interrupt func()
	// readErr is the error with which the body ended early, if any; atEnd is set once it has been read completely.
	readErr atomic.Pointer[error]
	atEnd   atomic.Bool

	mu        sync.Mutex // held while a read waits for the caller
	r         io.Reader
	remaining int
	stopped   bool
}

var errHandlerEnded = errors.New("the request has ended")

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return 0, errHandlerEnded
	}
	n, err := b.r.Read(p)
	b.remaining -= n
	if b.remaining < 0 {
		err = errors.New("the request body is over its bound")
	}
	switch err {
	case nil:
	case io.EOF:
		b.atEnd.Store(true)
	default:
		b.readErr.Store(&err)
	}
	return n, err
}

// atEndOfBody reports whether the whole body has been read. It returns true for a nil *boundedReader.
func (b *boundedReader) atEndOfBody() bool { return b == nil || b.atEnd.Load() }

// failed reports whether the body ended early. It returns false for a nil *boundedReader.
func (b *boundedReader) failed() bool { return b != nil && b.readErr.Load() != nil }

// stop ends the read that is under way and lets further ones fail. A nil *boundedReader has none.
func (b *boundedReader) stop() {
	if b == nil {
		return
	}
	if !b.mu.TryLock() {
		b.interrupt()
		b.mu.Lock()
	}
	b.stopped = true
	b.mu.Unlock()
}

// candidateServers returns the backend servers of a route that accept new work, with those that recently refused a
// connection last. The first server advances by one with each call to distribute the load.
func (g *Gate) candidateServers(index *config.Index, route *config.Route, now core.Micros) []gatecore.Server {
	var available, refused []gatecore.Server
	n := len(route.BackendServers)
	first := g.routeHealth.nextOffset()
	for i := range n {
		server, ok := index.Server(route.BackendServers[(first+i)%n])
		if !ok || server.Drained || g.opts.IsLeaving(server.Address) {
			continue
		}
		entry := gatecore.Server{Name: server.Name, Trustworthy: server.TrustworthyRefusals}
		if g.routeHealth.recentlyRefused(server.Name, now) {
			refused = append(refused, entry)
			continue
		}
		available = append(available, entry)
	}
	return append(available, refused...)
}

// acquireClaim performs gatecore.AcquireClaim.
func (g *Gate) acquireClaim(active *activeRequest) {
	// The margin leaves time to report a refusal before the deadline ends the request without a reason.
	remaining := (active.deadline - g.now()).Duration()
	ctx, cancel := context.WithTimeout(active.ctx, remaining-min(remaining/10, claimMargin))
	defer cancel()
	result := g.opts.Claims.Acquire(ctx, ClaimRequest{
		RequestID: active.requestID, Caller: active.identity.caller.Name, Key: active.call.idempotencyKey,
		BodyHash:     active.call.bodyHash,
		RouteTimeout: time.Duration(active.call.route.Timeout()) * time.Millisecond,
	})
	active.call.claim, active.call.outcome = result.Claim, result.Outcome
	if result.Status == gatecore.ClaimReplay && (result.Outcome == nil || result.Outcome.Truncated) {
		result.Status = gatecore.ClaimUnknown // the call ran, but its response was too large to be stored
	}
	g.step(gatecore.ClaimResult{
		Now: g.now(), Request: active.handle, Status: result.Status, ValidUntil: core.FromTime(result.Claim.ValidUntil),
	})
}

// settleTimeout limits the calls to Claims that settle a claim after its request has ended. claimMargin limits the time
// that is kept to report that a claim could not be acquired.
const (
	settleTimeout = 10 * time.Second
	claimMargin   = 500 * time.Millisecond
)

// releaseClaim performs gatecore.ReleaseClaim.
func (g *Gate) releaseClaim(active *activeRequest) {
	ctx, cancel := g.settleContext()
	defer cancel()
	if err := g.opts.Claims.Release(ctx, active.call.claim); err != nil {
		g.opts.Log.Warn("claim was not released", evlog.KeyRequest, active.requestID, "err", err)
	}
}

// recordOutcome performs gatecore.RecordOutcome.
func (g *Gate) recordOutcome(active *activeRequest) {
	ctx, cancel := g.settleContext()
	defer cancel()
	if err := g.opts.Claims.Record(ctx, active.call.claim, *active.call.record); err != nil {
		g.opts.Log.Warn("outcome was not recorded", evlog.KeyRequest, active.requestID, "err", err)
	}
}

// replay writes the recorded outcome of an earlier call.
func (g *Gate) replay(active *activeRequest, s sink) error {
	outcome := active.call.outcome
	active.call.responseStatus, active.call.responseHeader = outcome.Status, outcome.Header
	if err := s.writeChunk(outcome.Body); err != nil {
		return err
	}
	return s.writeFinish(gatecore.Finish{})
}
