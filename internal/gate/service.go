package gate

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// Bounds of plain services.
const (
	// replayBytes is the longest body of an idempotent call that is kept for another attempt.
	replayBytes = 64 << 10
	// recordBytes is the longest answer body kept in a claim; in base64 it fits the platform's 1 MiB.
	recordBytes = 512 << 10
	chunkBytes  = 32 << 10
)

// serviceCall is a checked call of a plain service.
type serviceCall struct {
	route  *config.Route
	method string
	target string // path and query behind the route
	header http.Header
	limit  int // bytes of the answer's body
	// body is the whole body, or its start when rest is set. The rest can be sent once only.
	body   []byte
	rest   *boundedReader
	length int64
	// heldBytes of the body count among the bodies held.
	heldBytes int64
	key       string
	bodyHash  [sha256.Size]byte

	// claim and outcome are set before the ClaimResult event that names them.
	claim   Claim
	outcome *ServiceOutcome
	// status and head are set before the ServiceAnswered event; record before the ServiceEnded event.
	status int
	head   http.Header
	record *ServiceOutcome
	// chunks hands the answer's body to the goroutine that writes to the caller.
	chunks chan []byte
}

// service serves /services/<route>/...
func (g *Gate) service(w http.ResponseWriter, r *http.Request) {
	arrived := g.now()
	f, p := g.prepareCall(w, r, arrived)
	if p != nil {
		g.reject(w, r, p)
		return
	}
	w.Header().Set(engine.HeaderRequestID, f.requestID)
	route := f.call.route
	g.opts.Log.Info("request received", evlog.KeyRequest, f.requestID, "workspace", f.identity.workspace.Name,
		"route", route.Name)
	g.admit(f, gatecore.RequestArrived{
		Now: g.now(), Kind: gatecore.KindService, Workspace: f.identity.workspace.Name,
		MaxConcurrent: f.identity.workspace.MaxConcurrent, Deadline: f.deadline, FirstAttempt: 1,
		CrashLimit: f.identity.index.Limits.CrashLimit, Idempotent: route.Idempotent,
		Servers: g.serversOf(f.identity.index, route, arrived),
	})
	g.deliver(w, r, f, &serviceSink{w: w, rc: http.NewResponseController(w), call: f.call})
}

func (g *Gate) prepareCall(w http.ResponseWriter, r *http.Request, arrived core.Micros) (*flight, *problem) {
	id, p := g.identify(r)
	if p != nil {
		return nil, p
	}
	name := r.PathValue("route")
	route, ok := id.index.Route(name)
	if !ok || !slices.Contains(id.caller.Routes, name) {
		return nil, notRun(gatecore.CodeRouteNotFound, fmt.Sprintf("route %q is not offered to the caller", name))
	}
	deadline, p := deadlineOf(r, id.index.Limits, arrived)
	if p != nil {
		return nil, p
	}
	deadline = min(deadline, arrived+core.Micros(route.Timeout())*core.Millisecond)
	requestID, err := g.newID()
	if err != nil {
		return nil, notRun(gatecore.CodeBackendFailed, "no random source")
	}
	call := &serviceCall{
		route: route, method: r.Method, target: targetOf(r), header: forwardedHeader(r.Header),
		limit: id.index.Limits.MaxBodyBytes, length: r.ContentLength, chunks: make(chan []byte),
	}
	if p := g.readCall(w, r, call, deadline); p != nil {
		return nil, p
	}
	if call.key = r.Header.Get(headerIdempotencyKey); call.key == "" {
		call.key = requestID // a random key: a repeat is a new request
	}
	return &flight{requestID: requestID, identity: id, call: call, arrived: arrived, deadline: deadline, heldBytes: call.heldBytes}, nil
}

// readCall reads what must be known before the call is sent: the whole body of a call that runs at most once, since
// its claim holds the hash, else the part that can be sent again.
func (g *Gate) readCall(w http.ResponseWriter, r *http.Request, call *serviceCall, deadline core.Micros) *problem {
	if !call.route.Idempotent {
		body, held, p := g.readBodyBefore(w, r, call.limit, deadline)
		call.heldBytes = held
		call.body, call.bodyHash, call.length = body, hashCall(call, body), int64(len(body))
		return p
	}
	if r.ContentLength > int64(call.limit) {
		return tooLarge(call.limit)
	}
	limitRead := g.limitBodyTime(w, deadline)
	start, err := io.ReadAll(io.LimitReader(r.Body, replayBytes+1))
	if err != nil {
		return bodyProblem(err)
	}
	call.body = start
	if len(start) <= replayBytes {
		call.length = int64(len(start))
		limitRead(zeroTime)
		return nil
	}
	limitRead(g.opts.Clock.Now().Add((deadline - g.now()).Duration() + endGrace))
	// The rest is read while the answer is written. Without this call net/http discards it at the first write.
	_ = http.NewResponseController(w).EnableFullDuplex()
	call.rest = &boundedReader{r: r.Body, left: call.limit - len(start)}
	return nil
}

// hashCall hashes what a repeat of an idempotency key must have in common: route, method, target and body.
func hashCall(call *serviceCall, body []byte) [sha256.Size]byte {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q ", call.route.Name, call.method, call.target)
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// targetOf returns path and query behind /services/<route>, as the caller escaped them.
func targetOf(r *http.Request) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/services/"), "/")
	target := "/" + rest
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	return target
}

// boundedReader fails after a number of bytes. It remembers a failure, so that a broken body of the caller is not
// taken for a fault of the backend server.
type boundedReader struct {
	r      io.Reader
	left   int
	failed error
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.left -= n
	if b.left < 0 {
		err = fmt.Errorf("the request body is over its bound")
	}
	if err != nil && err != io.EOF {
		b.failed = err
	}
	return n, err
}

// serversOf returns the backend servers of a route that take new work, those that refused a connection a short time
// ago last. The start moves by one with each call, so that the servers share the load.
func (g *Gate) serversOf(index *config.Index, route *config.Route, now core.Micros) []gatecore.Server {
	var fit, refused []gatecore.Server
	n := len(route.BackendServers)
	first := g.route.next()
	for i := range n {
		server, ok := index.Server(route.BackendServers[(first+i)%n])
		if !ok || server.Drained || g.opts.Leaving(server.Address) {
			continue
		}
		entry := gatecore.Server{Name: server.Name, Trustworthy: server.TrustworthyRefusals}
		if g.route.isRefusing(server.Name, now) {
			refused = append(refused, entry)
			continue
		}
		fit = append(fit, entry)
	}
	return append(fit, refused...)
}

// acquireClaim performs gatecore.AcquireClaim.
func (g *Gate) acquireClaim(f *flight) {
	// The margin leaves time to refuse before the deadline ends the request without a reason.
	left := (f.deadline - g.now()).Duration()
	ctx, cancel := context.WithTimeout(f.ctx, left-min(left/10, claimMargin))
	defer cancel()
	answer := g.opts.Claims.Acquire(ctx, ClaimRequest{
		RequestID: f.requestID, Caller: f.identity.caller.Name, Key: f.call.key, BodyHash: f.call.bodyHash,
		RouteTimeout: time.Duration(f.call.route.Timeout()) * time.Millisecond,
	})
	f.call.claim, f.call.outcome = answer.Claim, answer.Outcome
	if answer.Status == gatecore.ClaimReplay && (answer.Outcome == nil || answer.Outcome.Truncated) {
		answer.Status = gatecore.ClaimUnknown // it ran, but its answer was too large to be kept
	}
	g.step(gatecore.ClaimResult{
		Now: g.now(), Request: f.handle, Status: answer.Status, ValidUntil: core.At(answer.Claim.ValidUntil),
	})
}

// Bounds of calls to Claims: claimTimeout of those that settle a claim after its request has ended, claimMargin of what
// is left of a request's time once its claim could not be acquired.
const (
	claimTimeout = 10 * time.Second
	claimMargin  = 500 * time.Millisecond
)

// releaseClaim performs gatecore.ReleaseClaim.
func (g *Gate) releaseClaim(f *flight) {
	ctx, cancel := g.settleContext()
	defer cancel()
	if err := g.opts.Claims.Release(ctx, f.call.claim); err != nil {
		g.opts.Log.Warn("claim was not released", evlog.KeyRequest, f.requestID, "err", err)
	}
}

// recordOutcome performs gatecore.RecordOutcome.
func (g *Gate) recordOutcome(f *flight) {
	ctx, cancel := g.settleContext()
	defer cancel()
	if err := g.opts.Claims.Record(ctx, f.call.claim, *f.call.record); err != nil {
		g.opts.Log.Warn("outcome was not recorded", evlog.KeyRequest, f.requestID, "err", err)
	}
}

// replay writes the recorded outcome of a former call.
func (g *Gate) replay(f *flight, s sink) error {
	outcome := f.call.outcome
	f.call.status, f.call.head = outcome.Status, outcome.Header
	if err := s.part(outcome.Body); err != nil {
		return err
	}
	return s.finish(gatecore.Finish{})
}
