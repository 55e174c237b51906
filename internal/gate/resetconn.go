package gate

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// writeResultTimeout is how long the end of a connection waits for the result of a write that is under way.
const writeResultTimeout = 200 * time.Millisecond

// errWriteUnfinished is returned by reads of a connection that the other side has ended while something is written to it.
var errWriteUnfinished = errors.New("connection ended while the request was written")

// resetConn reports a reset to reads that only a write has met. The kernel reports a reset once: if a write meets it first, the read that
// follows returns the end of the connection, which would end an answer without a length as if it were whole.
type resetConn struct {
	net.Conn
	// writing has an element while a write is under way or writeErr is read.
	writing  chan struct{}
	writeErr error // of the first write that failed
}

func newResetConn(c net.Conn) *resetConn { return &resetConn{Conn: c, writing: make(chan struct{}, 1)} }

// dialService connects to a plain service.
func dialService(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newResetConn(c), nil
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	timer := time.NewTimer(writeResultTimeout)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		defer func() { <-c.writing }()
		if c.writeErr != nil {
			return n, c.writeErr
		}
		return n, io.EOF
	case <-timer.C:
		return n, errWriteUnfinished
	}
}
