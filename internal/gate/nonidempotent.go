package gate

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// callOnce connects to the first server that accepts and sends a non-idempotent call to it if the claim is still valid.
func (g *Gate) callOnce(active *activeRequest, a *attempt, e gatecore.CallService) (string, gatecore.Cause) {
	for _, name := range e.Servers {
		server, ok := active.identity.index.Server(name)
		if !ok || a.ctx.Err() != nil {
			continue
		}
		conn, err := dialService(a.ctx, "tcp", server.Address)
		if err == nil {
			return name, g.callOverConn(conn, active, a, server, e.ValidUntil)
		}
		if a.ctx.Err() == nil {
			g.routeHealth.markRefused(name, g.now())
		}
	}
	return "", gatecore.CauseConnectFailed
}

// callOverConn sends a non-idempotent call over an established connection.
func (g *Gate) callOverConn(
	conn net.Conn, active *activeRequest, a *attempt, server *config.BackendServer, validUntil core.Micros,
) gatecore.Cause {
	guarded := &onceConn{Conn: conn, claimValid: func() bool { return core.FromTime(g.opts.Clock.Now()) < validUntil }}
	cause := g.exchange(a.ctx, active, a, server, onceTransport(guarded))
	switch state := guarded.closeWithState(); {
	case state == onceClaimExpired:
		return gatecore.CauseClaimExpired
	case state == onceUnused && cause != "":
		return gatecore.CauseConnectFailed
	}
	return cause
}

// onceTransport returns a transport for one call over one connection. net/http resends a request with an
// Idempotency-Key when a reused connection breaks; this transport neither reuses connections nor opens a second one.
func onceTransport(conn net.Conn) *http.Transport {
	var used sync.Once
	return &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			err := errors.New("non-idempotent call must not open a second connection")
			used.Do(func() { err = nil })
			if err != nil {
				return nil, err
			}
			return conn, nil
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// onceState describes what was written to a connection.
type onceState int

const (
	onceUnused       onceState = iota // nothing was written
	onceStarted                       // the call was written, at least in part
	onceClaimExpired                  // nothing was written because the claim had expired
)

// onceConn checks the claim immediately before the first byte of a call, so that a process that was paused after an
// earlier check sends nothing. It also records whether a byte was sent, which determines whether the call counts as not
// run.
type onceConn struct {
	net.Conn
	claimValid func() bool

	mu     sync.Mutex
	state  onceState
	closed bool
}

var errNotSent = errors.New("the call may not be sent any more")

// Write implements net.Conn.
func (c *onceConn) Write(p []byte) (int, error) {
	if !c.allowWrite() {
		return 0, errNotSent
	}
	return c.Conn.Write(p)
}

func (c *onceConn) allowWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return false
	case c.state == onceUnused && !c.claimValid():
		c.state = onceClaimExpired
	case c.state == onceUnused:
		c.state = onceStarted
	}
	return c.state == onceStarted
}

// closeWithState closes the connection and returns what was written to it; nothing is written afterwards.
func (c *onceConn) closeWithState() onceState {
	c.mu.Lock()
	c.closed = true
	state := c.state
	c.mu.Unlock()
	_ = c.Close() // net/http may have closed it already
	return state
}
