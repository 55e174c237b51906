package peer

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of TCP connections between daemons, TLS included. The zero value is ready for use.
type Traffic struct {
	sent, received atomic.Uint64
}

// Sent returns the bytes written so far.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the bytes read so far.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Listener counts the connections that l accepts.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, traffic: t}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialer counts the connections that dial makes. A nil Traffic counts nothing.
func (t *Traffic) dialer(dial dialFunc) dialFunc {
	if t == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, traffic: t}, nil
	}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
