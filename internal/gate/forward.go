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

// Limits of connections to plain services.
const (
	dialTimeout            = time.Second
	maxResponseHeaderBytes = 64 << 10
	maxRefusalBytes        = 64 << 10
	idleConnsPerService    = 16
	idleConnTimeout        = 30 * time.Second
	// maxStatus is the highest status code of HTTP.
	maxStatus = 599
)

// hopByHopHeaders apply to one connection only (RFC 9110, section 7.6.1) and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEndHeader copies a header without its hop-by-hop fields, including those named by Connection.
func endToEndHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, line := range in.Values("Connection") {
		for _, name := range bytes.Split([]byte(line), []byte(",")) {
			out.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// forwardedHeader returns the part of a caller's header that is sent to a backend server. It excludes the bearer key
// and the fields that only the gate reads.
func forwardedHeader(in http.Header) http.Header {
	out := endToEndHeader(in)
	for _, name := range []string{"Authorization", "Expect", "Content-Length", headerDeadline, headerLastEventID} {
		out.Del(name)
	}
	if out.Get("User-Agent") == "" {
		out["User-Agent"] = nil // prevents net/http from adding its own
	}
	return out
}

// newServiceTransport returns a transport for idempotent calls.
func newServiceTransport() *http.Transport {
	return &http.Transport{
		DialContext:            dialService,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerService,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// runCall performs gatecore.CallService.
func (g *Gate) runCall(active *activeRequest, a *attempt, e gatecore.CallService) {
	g.metrics.countAttempt(gatecore.KindService)
	ended := gatecore.ServiceEnded{Request: active.handle, Attempt: e.Attempt, Replayable: active.call.unread == nil}
	if e.NonIdempotent {
		ended.Server, ended.Cause = g.callOnce(active, a, e)
	} else {
		ended.Server = e.Servers[0]
		ended.Cause = g.callIdempotent(active, a, e)
	}
	if ended.Cause != "" {
		g.opts.Log.Info("call ended", evlog.KeyRequest, active.requestID, evlog.KeyAttempt, e.Attempt, "server", ended.Server,
			"cause", ended.Cause)
	}
	ended.Now = g.now()
	g.step(ended)
}

// callIdempotent sends an idempotent call. A pooled connection can be dead without an error while new ones work. So
// only a first attempt that can be retried on another server uses one, and it waits for the response header for at most
// half of the remaining time.
func (g *Gate) callIdempotent(active *activeRequest, a *attempt, e gatecore.CallService) gatecore.Cause {
	name := e.Servers[0]
	server, ok := active.identity.index.Server(name)
	if !ok {
		return gatecore.CauseConnectFailed
	}
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	transport := g.serviceTransport
	if e.HasNext && e.Attempt == 1 {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
			if a.headerTimer != nil {
				a.headerTimer.Stop() // net/http replaced a broken pooled connection by this one
				a.headerTimer = nil
			}
			if c.Reused {
				a.headerTimer = g.opts.Clock.AfterFunc((active.deadline-g.now()).Duration()/2, cancel)
			}
		}})
	} else {
		transport = newServiceTransport()
		transport.DisableKeepAlives = true
	}
	cause := g.exchange(ctx, active, a, server, transport)
	if cause == gatecore.CauseConnectFailed && a.ctx.Err() == nil {
		g.routeHealth.markRefused(name, g.now())
	}
	return cause
}

// exchange sends the call and passes the response to the goroutine that writes to the caller.
func (g *Gate) exchange(
	ctx context.Context, active *activeRequest, a *attempt, server *config.BackendServer, transport http.RoundTripper,
) gatecore.Cause {
	req, err := g.serviceRequest(ctx, active, server.Address)
	if err != nil {
		return gatecore.CauseConnectFailed
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return classifyCallError(active.call, err)
	}
	defer func() { _ = resp.Body.Close() }() // read to its end or abandoned
	if a.headerTimer != nil && !a.headerTimer.Stop() {
		return gatecore.CauseLost // the timer cancelled the call while the header arrived
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		g.opts.Log.Warn("service answered with a status that no answer has", evlog.KeyRequest, active.requestID, "server", server.Name,
			"status", resp.StatusCode)
		return gatecore.CauseProtocol
	}
	body, refused := readRefusal(resp, active.call.route.Idempotent)
	if refused {
		return gatecore.CauseRefused // the reducer believes it only if the server's refusals are trustworthy
	}
	active.call.responseStatus, active.call.responseHeader = resp.StatusCode, endToEndHeader(resp.Header)
	g.step(gatecore.ServiceAnswered{Now: g.now(), Request: active.handle, Attempt: a.number})
	select {
	case <-a.forwardAllowed:
	case <-ctx.Done():
		return gatecore.CauseLost
	}
	return g.copyResponse(ctx, active, body)
}

func (g *Gate) serviceRequest(ctx context.Context, active *activeRequest, address string) (*http.Request, error) {
	call := active.call
	var body io.Reader = http.NoBody
	switch {
	case call.unread != nil:
		body = io.MultiReader(bytes.NewReader(call.body), call.unread)
	case len(call.body) > 0:
		// The wrapper hides the reader's type, so that net/http does not set GetBody.
		body = io.MultiReader(bytes.NewReader(call.body))
	}
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+address+call.target, body)
	if err != nil {
		return nil, errors.Wrap(err, "build service request")
	}
	req.Header = call.header.Clone()
	req.Header.Set(engine.HeaderRequestID, active.requestID)
	req.Header.Set(engine.HeaderDeadlineMs, strconv.FormatInt((active.deadline-g.now()).Duration().Milliseconds(), 10))
	if body != http.NoBody {
		req.ContentLength = call.contentLength
	}
	return req, nil
}

func classifyCallError(call *serviceCall, err error) gatecore.Cause {
	if call.unread.failed() {
		return gatecore.CauseBody
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return gatecore.CauseConnectFailed
	}
	return gatecore.CauseLost
}

// readRefusal reports whether a response says that the call was not run. If not, it returns the whole body, including the
// bytes that it has read. An idempotent call is sent again only after a refusal before any work; of a call that is not idempotent, no
// response may tell the caller that it was not run, as the caller would send it again.
func readRefusal(resp *http.Response, idempotent bool) (io.Reader, bool) {
	typed := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	if !typed && (idempotent || resp.StatusCode < http.StatusBadRequest) {
		return resp.Body, false
	}
	start, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	var in struct {
		Error struct {
			Run gatecore.RunStatus `json:"run"`
		} `json:"error"`
	}
	if err == nil && json.Unmarshal(start, &in) == nil && in.Error.Run == gatecore.RunStatusNotRun {
		return nil, true
	}
	return io.MultiReader(bytes.NewReader(start), resp.Body), false
}

// copyResponse passes the body in chunks to the goroutine that writes to the caller and keeps a copy for the claim. If
// the caller has disconnected, a non-idempotent call is still read to its end to record its outcome.
func (g *Gate) copyResponse(ctx context.Context, active *activeRequest, body io.Reader) gatecore.Cause {
	call := active.call
	record := &ServiceOutcome{Status: call.responseStatus, Header: call.responseHeader}
	bufs := [2][]byte{make([]byte, copyBufferBytes), make([]byte, copyBufferBytes)}
	total := 0
	for i := 0; ; i++ {
		n, err := body.Read(bufs[i%2])
		total += n
		if total > call.maxBodyBytes {
			return gatecore.CauseProtocol
		}
		if n > 0 {
			record.appendBody(bufs[i%2][:n], !call.route.Idempotent)
			select {
			case call.chunks <- bufs[i%2][:n]:
			case <-active.ctx.Done():
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

func (o *ServiceOutcome) appendBody(chunk []byte, keepBody bool) {
	switch {
	case !keepBody || o.Truncated:
	case len(o.Body)+len(chunk) > maxRecordedBytes:
		o.Body, o.Truncated = nil, true
	default:
		o.Body = append(o.Body, chunk...)
	}
}

// connectRefusedPeriod is how long a backend server that refused a connection is ordered after the others.
const connectRefusedPeriod = 5 * core.Second

// routeHealth records which backend servers of routes refused a connection.
type routeHealth struct {
	mu           sync.Mutex
	refusedUntil map[string]core.Micros
	offset       int
}

func newRouteHealth() *routeHealth { return &routeHealth{refusedUntil: map[string]core.Micros{}} }

func (h *routeHealth) markRefused(name string, now core.Micros) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusedUntil[name] = now + connectRefusedPeriod
}

func (h *routeHealth) recentlyRefused(name string, now core.Micros) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	until, ok := h.refusedUntil[name]
	if ok && now >= until {
		delete(h.refusedUntil, name)
	}
	return ok && now < until
}

// nextOffset returns a number that increases by one with each call.
func (h *routeHealth) nextOffset() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.offset++
	return h.offset
}
