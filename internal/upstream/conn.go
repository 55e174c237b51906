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

const readBuffer = 4 << 10 // bytes; an event of a stream takes about 100

// conn is one connection; it serves one request at a time.
type conn struct {
	net.Conn
	pool      *Pool
	target    Target
	reader    *bufio.Reader
	idleUntil time.Time

	mu        sync.Mutex
	cancelled bool
	limit     time.Time
}

func newConn(raw net.Conn, p *Pool, t Target) *conn {
	return &conn{Conn: raw, pool: p, target: t, reader: bufio.NewReaderSize(raw, readBuffer)}
}

func (c *conn) close() { _ = c.Conn.Close() } // nothing is left to learn from a connection that is given up

// quiet reports whether an idle connection is open and has nothing to read. Bytes that a server sends after a complete
// answer belong to no request.
func (c *conn) quiet() bool {
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
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		open = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// begin sets the time at which all I/O of a request ends.
func (c *conn) begin(limit time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled, c.limit = false, limit
	_ = c.SetDeadline(limit) // fails only on a closed connection, which the next I/O reports
}

// cancel ends all I/O at once.
func (c *conn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	_ = c.SetDeadline(time.Unix(1, 0)) // as above
}

// stallAfter bounds the wait for the next byte; 0 leaves only the limit of the request.
func (c *conn) stallAfter(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return
	}
	at := c.limit
	if d > 0 && c.pool.now().Add(d).Before(at) {
		at = c.pool.now().Add(d)
	}
	_ = c.SetReadDeadline(at) // as above
}

// keepFor returns how long the server keeps the connection open, or 0 if it closes it.
func keepFor(resp *http.Response) time.Duration {
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
		return time.Duration(float64(seconds) * idleShare * float64(time.Second))
	}
	return defaultIdle
}

var _ io.Closer = (*conn)(nil)
