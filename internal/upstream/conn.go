package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const readBufferBytes = 4 << 10 // an event of a stream takes about 100 bytes

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	pool      *Pool
	target    Target
	reader    *bufio.Reader
	idleUntil time.Time

	mu        sync.Mutex
	cancelled bool
	deadline  time.Time
}

func newConn(raw net.Conn, p *Pool, t Target) *conn {
	return &conn{Conn: raw, pool: p, target: t, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

func (c *conn) close() { _ = c.Conn.Close() } // the connection is discarded, so a close error has no consequence

// reusable reports whether an idle connection is open and has no unread bytes. Bytes that a server sends after a complete
// response belong to no request and would be read as the next response.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, readErr := syscall.Read(int(fd), buf[:])
		open = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// beginRequest starts a request whose I/O fails after the deadline.
func (c *conn) beginRequest(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled, c.deadline = false, deadline
	_ = c.SetDeadline(deadline) // fails only on a closed connection, which the next I/O reports
}

// cancel makes pending and further I/O of the request fail immediately.
func (c *conn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	_ = c.SetDeadline(time.Unix(1, 0)) // as above
}

// setReadTimeout makes reads fail after the timeout or at the deadline of the request, whichever is earlier; 0 means the
// deadline only.
func (c *conn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return
	}
	deadline := c.deadline
	if timeout > 0 && c.pool.now().Add(timeout).Before(deadline) {
		deadline = c.pool.now().Add(timeout)
	}
	_ = c.SetReadDeadline(deadline) // as above
}

// keepAliveTimeout returns how long the connection may be reused after the response, or 0 if the server closes it.
func keepAliveTimeout(resp *http.Response) time.Duration {
	if resp.Close || resp.ProtoMajor != 1 || resp.ProtoMinor < 1 {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return 0
		}
		return time.Duration(float64(seconds) * idleTimeoutShare * float64(time.Second))
	}
	return defaultIdleTimeout
}

var _ io.Closer = (*conn)(nil)
