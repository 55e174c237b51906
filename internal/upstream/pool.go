// Package upstream sends requests to backend servers over its own connection pool. It does not use net/http's Transport,
// which retries some requests by itself when an idle connection turns out to be closed. Here only the user of the package
// decides whether a request is sent again.
package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to connect. Links take a few milliseconds; a lost SYN is retransmitted only after a
	// second, and by then another server is the better choice.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection.
	tcpUserTimeout = 3 * time.Second
	// defaultIdleTimeout is how long a connection may stay idle if the server sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the share of the server's Keep-Alive timeout after which a connection is no longer reused; the
	// rest covers the time that a request needs to arrive.
	idleTimeoutShare = 0.6
	// maxIdlePerServer bounds the idle connections of one daemon to one server; Retain may set a lower bound.
	maxIdlePerServer = 8
)

// Target is a backend server process.
type Target struct {
	// ID identifies the server process; Address is its IP address and port.
	ID, Address string
}

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	// Opened, unless nil, is called when a connection to a target has been opened. It is set before the first use.
	Opened func(Target)
	now    func() time.Time // replaced in tests
	dialer net.Dialer

	mu   sync.Mutex
	idle map[Target][]*conn
	// idleLimits are the limits of idle connections by server from the last Retain; maxIdlePerServer applies to the rest.
	idleLimits map[Target]int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		now:    time.Now,
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setTCPUserTimeout},
		idle:   map[Target][]*conn{}, idleLimits: map[Target]int{},
	}
}

func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optErr)
}

// get returns a reusable idle connection, or a new one if there is none or the request needs one.
func (p *Pool) get(ctx context.Context, t Target, r *Request) (*conn, error) {
	for !r.NewConn {
		c := p.takeIdle(t)
		if c == nil {
			break
		}
		reusable, late := c.reusable()
		if reusable && p.now().Before(c.idleUntil) {
			return c, nil
		}
		proceed := c.observeLate(late, r.Observe)
		c.close()
		if !proceed {
			return nil, errors.Mark(errors.Newf("server %s accepts no further requests", t.ID), ErrDeclined)
		}
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to server %s", t.ID)
	}
	if p.Opened != nil {
		p.Opened(t)
	}
	return newConn(raw, p, t), nil
}

func (p *Pool) takeIdle(t Target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[t] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, limited := p.idleLimits[c.target]
	if !limited {
		limit = maxIdlePerServer
	}
	if len(p.idle[c.target]) >= limit {
		c.close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Retain closes expired idle connections and limits the idle connections of each server to what keep returns, at most
// maxIdlePerServer. keep returns 0 for servers that no longer exist. The limits apply until the next call.
func (p *Pool) Retain(keep func(Target) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	clear(p.idleLimits)
	for t, list := range p.idle {
		limit := min(keep(t), maxIdlePerServer)
		p.idleLimits[t] = limit
		kept := list[:0]
		for _, c := range list {
			if len(kept) >= limit || !now.Before(c.idleUntil) {
				c.close()
				continue
			}
			kept = append(kept, c)
		}
		p.idle[t] = kept
		if len(kept) == 0 {
			delete(p.idle, t)
		}
	}
}
