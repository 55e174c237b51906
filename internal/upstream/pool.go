// Package upstream sends requests to backend servers over connections of its own. net/http's Transport is not used,
// because it sends some requests again by itself when a kept connection turns out to be closed; here the caller of the
// package decides about every send.
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
	// dialTimeout bounds a new connection. Links take a few milliseconds; a lost opening packet is sent again after a
	// second, and by then another server is the better choice.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the connection counts as silent.
	userTimeout = 3 * time.Second
	// defaultIdle is how long a connection is kept when the server states no timeout.
	defaultIdle = 4 * time.Second
	// idleShare is the share of a server's stated timeout after which a connection is no longer used; the rest covers
	// the time that a request needs to arrive.
	idleShare = 0.6
	// maxIdlePerServer bounds kept connections of one daemon to one server; Retain may set a lower bound.
	maxIdlePerServer = 8
)

// Target is a backend server process.
type Target struct {
	// ID names the process; Address is its IP address and port.
	ID, Address string
}

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	now    func() time.Time // replaced in tests
	dialer net.Dialer

	mu   sync.Mutex
	idle map[Target][]*conn
	// limits are lower bounds than maxIdlePerServer, as the last Retain said.
	limits map[Target]int
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		now:    time.Now,
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout},
		idle:   map[Target][]*conn{}, limits: map[Target]int{},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, optErr)
}

// get returns a kept connection that is still sound, or a new one. fresh asks for a new one in any case.
func (p *Pool) get(ctx context.Context, t Target, fresh bool) (*conn, error) {
	for !fresh {
		c := p.takeIdle(t)
		if c == nil {
			break
		}
		if p.now().Before(c.idleUntil) && c.quiet() {
			return c, nil
		}
		c.close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to server %s", t.ID)
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
	p.mu.Lock()
	defer p.mu.Unlock()
	limit, limited := p.limits[c.target]
	if !limited {
		limit = maxIdlePerServer
	}
	if len(p.idle[c.target]) >= limit {
		c.close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Retain closes the kept connections that have been idle for too long, and those beyond what keep returns for a server;
// 0 is for servers that are gone.
func (p *Pool) Retain(keep func(Target) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	clear(p.limits)
	for t, list := range p.idle {
		limit := min(keep(t), maxIdlePerServer)
		p.limits[t] = limit
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
