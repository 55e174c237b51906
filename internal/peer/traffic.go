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

// Listener returns a listener that counts the bytes of the connections that l accepts.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return &countingListener{Listener: l, traffic: t}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialer returns a dial function that counts the bytes of the connections opened by dial. A nil Traffic returns dial.
func (t *Traffic) dialer(dial dialFunc) dialFunc {
	if t == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, traffic: t}, nil
	}
}

type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
