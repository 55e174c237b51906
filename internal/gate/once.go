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

// callOnce connects to the first server that accepts and sends the call there, if its claim is still valid.
func (g *Gate) callOnce(f *flight, a *attempt, e gatecore.CallService) (string, gatecore.Cause) {
	for _, name := range e.Servers {
		server, ok := f.identity.index.Server(name)
		if !ok || a.ctx.Err() != nil {
			continue
		}
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(a.ctx, "tcp", server.Address)
		if err == nil {
			return name, g.callOver(conn, f, a, server, e.ValidUntil)
		}
		if a.ctx.Err() == nil {
			g.route.refuse(name, g.now())
		}
	}
	return "", gatecore.CauseConnectFailed
}

// callOver sends a call that runs at most once over an established connection.
func (g *Gate) callOver(
	conn net.Conn, f *flight, a *attempt, server *config.BackendServer, validUntil core.Micros,
) gatecore.Cause {
	guarded := &onceConn{Conn: conn, valid: func() bool { return core.At(g.opts.Clock.Now()) < validUntil }}
	cause := g.exchange(a.ctx, f, a, server, onceTransport(guarded))
	switch state := guarded.shut(); {
	case state == onceLapsed:
		return gatecore.CauseClaimLapsed
	case state == onceUnused && cause != "":
		return gatecore.CauseConnectFailed
	}
	return cause
}

// onceTransport returns a transport for one call over one connection. net/http sends a request with an Idempotency-Key
// again when a reused connection breaks; here there is no reuse and no second connection.
func onceTransport(conn net.Conn) *http.Transport {
	var used sync.Once
	return &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			err := errors.New("a call that runs at most once has one connection")
			used.Do(func() { err = nil })
			if err != nil {
				return nil, err
			}
			return conn, nil
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
	}
}

// onceState says what was written to a connection.
type onceState int

const (
	onceUnused onceState = iota // nothing
	onceBegun                   // the call, at least in part
	onceLapsed                  // nothing, because the claim had lapsed
)

// onceConn checks the claim directly before the first byte of a call, so that a process that was paused after any
// earlier check sends nothing. It also knows whether a byte was sent, which is what not_run rests on.
type onceConn struct {
	net.Conn
	valid func() bool

	mu     sync.Mutex
	state  onceState
	closed bool
}

var errNotSent = errors.New("the call may not be sent any more")

// Write implements net.Conn.
func (c *onceConn) Write(p []byte) (int, error) {
	if !c.begin() {
		return 0, errNotSent
	}
	return c.Conn.Write(p)
}

func (c *onceConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return false
	case c.state == onceUnused && !c.valid():
		c.state = onceLapsed
	case c.state == onceUnused:
		c.state = onceBegun
	}
	return c.state == onceBegun
}

// shut closes the connection and returns what was written to it; nothing is written afterwards.
func (c *onceConn) shut() onceState {
	c.mu.Lock()
	c.closed = true
	state := c.state
	c.mu.Unlock()
	_ = c.Close() // net/http may have closed it
	return state
}
