package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// Bounds of connections to plain services.
const (
	dialTimeout         = time.Second
	maxAnswerHeadBytes  = 64 << 10
	maxRefusalBytes     = 64 << 10
	idleConnsPerService = 16
	idleConnTimeout     = 30 * time.Second
)

// hopByHop headers concern one connection only (RFC 9110, section 7.6.1) and are not forwarded.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEnd copies a header without hop-by-hop fields, those named by Connection included.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, line := range in.Values("Connection") {
		for _, name := range bytes.Split([]byte(line), []byte(",")) {
			out.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// forwardedHeader is what a backend server gets of a caller's header: never the bearer key, nor what only the gate
// reads.
func forwardedHeader(in http.Header) http.Header {
	out := endToEnd(in)
	for _, name := range []string{"Authorization", "Expect", "Content-Length", headerDeadline, headerLastEventID} {
		out.Del(name)
	}
	if out.Get("User-Agent") == "" {
		out["User-Agent"] = nil // keeps net/http from adding its own
	}
	return out
}

// newServiceTransport returns the transport of idempotent calls.
func newServiceTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerService,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	}
}

// runCall performs gatecore.CallService.
func (g *Gate) runCall(f *flight, a *attempt, e gatecore.CallService) {
	g.tally.attempt(gatecore.KindService)
	ended := gatecore.ServiceEnded{Request: f.handle, Attempt: e.Attempt, Replayable: f.call.rest == nil}
	if e.Once {
		ended.Server, ended.Cause = g.callOnce(f, a, e)
	} else {
		ended.Server = e.Servers[0]
		ended.Cause = g.callAgain(f, a, e)
	}
	if ended.Cause != "" {
		g.opts.Log.Info("call ended", evlog.KeyRequest, f.requestID, evlog.KeyAttempt, e.Attempt, "server", ended.Server,
			"cause", ended.Cause)
	}
	ended.Now = g.now()
	g.step(ended)
}

// callAgain sends an idempotent call. A pooled connection can have gone silent while new ones work: only a first
// attempt that another server can follow takes one, and it waits for the head of the answer for half of the time left.
func (g *Gate) callAgain(f *flight, a *attempt, e gatecore.CallService) gatecore.Cause {
	name := e.Servers[0]
	server, ok := f.identity.index.Server(name)
	if !ok {
		return gatecore.CauseConnectFailed
	}
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	transport := g.services
	if e.HasNext && e.Attempt == 1 {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
			if a.silence != nil {
				a.silence.Stop() // net/http left a broken pooled connection for this one
				a.silence = nil
			}
			if c.Reused {
				a.silence = g.opts.Clock.AfterFunc((f.deadline-g.now()).Duration()/2, cancel)
			}
		}})
	} else {
		transport = newServiceTransport()
		transport.DisableKeepAlives = true
	}
	cause := g.exchange(ctx, f, a, server, transport)
	if cause == gatecore.CauseConnectFailed && a.ctx.Err() == nil {
		g.route.refuse(name, g.now())
	}
	return cause
}

// exchange sends the call and hands the answer to the caller's goroutine.
func (g *Gate) exchange(
	ctx context.Context, f *flight, a *attempt, server *config.BackendServer, transport http.RoundTripper,
) gatecore.Cause {
	req, err := g.serviceRequest(ctx, f, server.Address)
	if err != nil {
		return gatecore.CauseConnectFailed
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return causeOfCall(f.call, err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end or given up
	if a.silence != nil && !a.silence.Stop() {
		return gatecore.CauseLost // cancelled while the head arrived
	}
	body, refused := refusal(resp, f.call.route.Idempotent || server.TrustworthyRefusals)
	if refused {
		return gatecore.CauseRefused
	}
	f.call.status, f.call.head = resp.StatusCode, endToEnd(resp.Header)
	g.step(gatecore.ServiceAnswered{Now: g.now(), Request: f.handle, Attempt: a.number})
	select {
	case <-a.forward:
	case <-ctx.Done():
		return gatecore.CauseLost
	}
	return g.copyAnswer(ctx, f, body)
}

func (g *Gate) serviceRequest(ctx context.Context, f *flight, address string) (*http.Request, error) {
	call := f.call
	var body io.Reader = http.NoBody
	switch {
	case call.rest != nil:
		body = io.MultiReader(bytes.NewReader(call.body), call.rest)
	case len(call.body) > 0:
		// The wrapper hides the reader's type, so that net/http sets no GetBody.
		body = io.MultiReader(bytes.NewReader(call.body))
	}
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+address+call.target, body)
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	req.Header = call.header.Clone()
	req.Header.Set(engine.HeaderRequestID, f.requestID)
	req.Header.Set(engine.HeaderDeadlineMs, strconv.FormatInt((f.deadline-g.now()).Duration().Milliseconds(), 10))
	if body != http.NoBody {
		req.ContentLength = call.length
	}
	return req, nil
}

func causeOfCall(call *serviceCall, err error) gatecore.Cause {
	if call.rest != nil && call.rest.failed != nil {
		return gatecore.CauseBody
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return gatecore.CauseConnectFailed
	}
	return gatecore.CauseLost
}

// refusal tells a typed refusal before any work from an answer. It returns the body with what was read put back.
func refusal(resp *http.Response, honoured bool) (io.Reader, bool) {
	if !honoured || resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable {
		return resp.Body, false
	}
	start, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	var in struct {
		Error struct {
			Run gatecore.Run `json:"run"`
		} `json:"error"`
	}
	if err == nil && json.Unmarshal(start, &in) == nil && in.Error.Run == gatecore.RunNot {
		return nil, true
	}
	return io.MultiReader(bytes.NewReader(start), resp.Body), false
}

// copyAnswer hands the body to the caller's goroutine in chunks and keeps a copy for the claim. When the caller has
// left, a call that runs at most once is still read to its end, for its outcome.
func (g *Gate) copyAnswer(ctx context.Context, f *flight, body io.Reader) gatecore.Cause {
	call := f.call
	record := &ServiceOutcome{Status: call.status, Header: call.head}
	bufs := [2][]byte{make([]byte, chunkBytes), make([]byte, chunkBytes)}
	total := 0
	for i := 0; ; i++ {
		n, err := body.Read(bufs[i%2])
		total += n
		if total > call.limit {
			return gatecore.CauseProtocol
		}
		if n > 0 {
			record.keep(bufs[i%2][:n], !call.route.Idempotent)
			select {
			case call.chunks <- bufs[i%2][:n]:
			case <-f.ctx.Done():
			case <-ctx.Done():
				return gatecore.CauseLost
			}
		}
		if err == io.EOF {
			call.record = record
			return ""
		}
		if err != nil {
			return gatecore.CauseLost
		}
	}
}

func (o *ServiceOutcome) keep(chunk []byte, wanted bool) {
	switch {
	case !wanted || o.Truncated:
	case len(o.Body)+len(chunk) > recordBytes:
		o.Body, o.Truncated = nil, true
	default:
		o.Body = append(o.Body, chunk...)
	}
}

// refusingFor is how long a backend server that refused a connection is tried last.
const refusingFor = 5 * core.Second

// routeHealth remembers which backend servers of routes refused a connection.
type routeHealth struct {
	mu    sync.Mutex
	until map[string]core.Micros
	turn  int
}

func newRouteHealth() *routeHealth { return &routeHealth{until: map[string]core.Micros{}} }

func (h *routeHealth) refuse(name string, now core.Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until[name] = now + refusingFor
}

func (h *routeHealth) isRefusing(name string, now core.Micros) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	until, ok := h.until[name]
	if ok && now >= until {
		delete(h.until, name)
	}
	return ok && now < until
}

// next returns a number that grows with each call.
func (h *routeHealth) next() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turn++
	return h.turn
}
