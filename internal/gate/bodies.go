package gate

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/bodybudget"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/gatecore"
)

const (
	// DefaultMaxOpenBodyBytes is enough for 64 prompts of a million tokens, which are 4 MB each.
	DefaultMaxOpenBodyBytes = 256 << 20
	// reservedBytes is the memory for connections and for bodies up to bodybudget.SmallBytes, in addition to that for large
	// bodies. It is part of the 128 MB that a daemon needs for control. About 1,200 connections fit; a daemon has about 90 streams
	// at the peak of a day (docs/CAPACITY.md).
	reservedBytes = 48 << 20
	// maxLargeParses limits the number of large bodies decoded at the same time. Decoding 4 MB takes about 80 ms of one
	// core and two to three times the size in memory; short requests and streams need the other cores.
	maxLargeParses = 2
	// bodyReadTimeout limits the time that a caller may take to send a body, so that slow senders do not hold resources for
	// long. The largest body takes well under a second from a caller 1 ms away.
	bodyReadTimeout = 30 * time.Second
)

// LimitConnections bounds the callers' connections of a listener by memory and by the descriptors of the process; maxFiles 0
// means the limit of the operating system. The server must report states to Listener.ConnState.
func (g *Gate) LimitConnections(l net.Listener, maxFiles int) *bodybudget.Listener {
	return g.bodies.Listen(l, bodybudget.MaxConnectionsOfFiles(maxFiles), g.opts.Log)
}

// serveBounded serves a request whose body is read and whose answer is written in bounded time, also after a refusal. Reads are
// bounded only if there is a body: without one, the connection is read to notice that the caller leaves.
func (g *Gate) serveBounded(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// Response writers without deadlines (test recorders) already have the body and never block.
		_ = http.NewResponseController(w).SetReadDeadline(g.opts.Clock.Now().Add(bodyReadTimeout))
	}
	g.boundWrites(w, bodyReadTimeout)
	g.mux.ServeHTTP(w, r)
}

// boundWrites lets writes to the caller fail after a time and the write timeout. The next request of the connection sets the
// deadline anew.
func (g *Gate) boundWrites(w http.ResponseWriter, after time.Duration) {
	_ = http.NewResponseController(w).SetWriteDeadline(g.opts.Clock.Now().Add(after + g.writeTimeout)) // as above
}

// readBody reads a body of at most limit bytes before the request's deadline. If partial is set, it reads only the first limit
// bytes. The body must be released. After a problem the connection is closed.
func (g *Gate) readBody(
	w http.ResponseWriter, r *http.Request, limit int, deadline core.Micros, partial bool,
) (*bodybudget.Body, *problem) {
	body, err := g.bodies.Read(bodybudget.Source{
		Body: r.Body, Announced: r.ContentLength, Limit: int64(limit), Partial: partial,
		Overhead:        bodybudget.HeaderBytes(r.Header),
		Deadline:        g.opts.Clock.Now().Add(min((deadline - g.now()).Duration(), bodyReadTimeout)),
		SetReadDeadline: http.NewResponseController(w).SetReadDeadline,
	})
	if err == nil {
		return body, nil
	}
	w.Header().Set("Connection", "close") // the rest of the body is not read
	switch {
	case errors.Is(err, bodybudget.ErrTooLarge):
		return nil, tooLarge(limit)
	case errors.Is(err, bodybudget.ErrNoRoom):
		return nil, notRun(gatecore.CodeOverloaded, "the gate holds as many request bodies as it may")
	default:
		return nil, bodyReadProblem(err)
	}
}

// withWholeBody runs f with the body in one piece. For a large body it first waits for one of maxLargeParses slots.
func (g *Gate) withWholeBody(ctx context.Context, body *bodybudget.Body, f func(body []byte) *problem) *problem {
	if body.Size() > bodybudget.SmallBytes {
		select {
		case g.parseSlots <- struct{}{}:
		case <-ctx.Done():
			return notRun(gatecore.CodeInvalidRequest, "the caller left")
		}
		defer func() { <-g.parseSlots }()
	}
	return f(body.Join())
}
