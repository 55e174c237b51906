package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const readBufferBytes = 4 << 10 // an event of a stream takes about 100 bytes

// conn is a connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	pool      *Pool
	target    Target
	reader    *bufio.Reader
	headLimit *headLimiter
	idleUntil time.Time
	// used is set once an exchange has ended on the connection.
	used bool
}

func newConn(raw net.Conn, p *Pool, t Target) *conn {
	limit := &headLimiter{from: raw}
	return &conn{Conn: raw, pool: p, target: t, reader: bufio.NewReaderSize(limit, readBufferBytes), headLimit: limit}
}

// headLimiter bounds the bytes read while a response header is read. net/http's ReadResponse has no limit of its own.
type headLimiter struct {
	from    io.Reader
	limited bool
	left    int
	// err is the error with which the connection failed, if any.
	err error
}

var errHeadTooLarge = errors.Newf("response header exceeds %d bytes", maxHeadBytes)

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.from.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.from.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.err = err
	return n, err
}

const (
	// protocolPrefix starts each response.
	protocolPrefix = "HTTP/"
	// maxStatus is the highest status code of HTTP.
	maxStatus = 599
)

// readHead reads a response header, skipping informational responses. It reads at most maxHeadBytes.
func (c *conn) readHead(out *http.Request) (*http.Response, error) {
	c.headLimit.limited, c.headLimit.left = true, maxHeadBytes
	defer func() { c.headLimit.limited = false }()
	for {
		prefix, err := c.reader.Peek(len(protocolPrefix))
		if !strings.HasPrefix(protocolPrefix, string(prefix)) {
			return nil, errors.Mark(errors.New("response does not start with a status line"), ErrInvalidResponse)
		}
		if err != nil {
			return nil, markInvalid(err)
		}
		raw, err := http.ReadResponse(c.reader, out)
		if err != nil && c.headLimit.err != nil {
			return nil, errors.Wrap(c.headLimit.err, "response header cut off") // net/http reports the cut line as malformed
		}
		if err != nil {
			return nil, markInvalid(err)
		}
		switch status := raw.StatusCode; {
		case status < 100 || status > maxStatus || status == http.StatusSwitchingProtocols: // no request asks for another protocol
			return nil, errors.Mark(errors.Newf("response has status %03d, which is not one of an answer", status), ErrInvalidResponse)
		case status >= http.StatusOK:
			return raw, nil
		}
	}
}

func (c *conn) close() { _ = c.Conn.Close() } // the connection is discarded, so a close error has no consequence

// reusable reports whether an idle connection is open and has no unread bytes. Bytes that a server sends after a complete
// response belong to no request and would be read as the next response. The bytes read are returned.
func (c *conn) reusable() (bool, []byte) {
	if c.reader.Buffered() > 0 {
		return false, nil
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false, nil
	}
	open := false
	var buf [1]byte
	n := 0
	err = raw.Read(func(fd uintptr) bool {
		var readErr error
		n, readErr = syscall.Read(int(fd), buf[:])
		open = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && open, buf[:max(0, n)]
}

// lateHeadTimeout bounds the time to read the rest of a response that has already arrived.
const lateHeadTimeout = 5 * time.Millisecond

// observeLate passes the header of a response that arrived on an idle connection and belongs to no request of it to
// observe, and returns its result, or true if there is no such response. first holds the bytes that were already taken
// from the connection, which is closed afterwards.
func (c *conn) observeLate(first []byte, observe func(status int, h http.Header) bool) bool {
	if observe == nil || len(first) == 0 && c.reader.Buffered() == 0 {
		return true
	}
	if len(first) > 0 {
		c.headLimit.from = io.MultiReader(bytes.NewReader(first), c.Conn)
	}
	_ = c.SetReadDeadline(time.Now().Add(lateHeadTimeout)) // fails only on a closed connection
	raw, err := c.readHead(nil)
	return err != nil || observe(raw.StatusCode, raw.Header)
}

// beginRequest starts a request whose I/O fails after the deadline.
func (c *conn) beginRequest(deadline time.Time) {
	_ = c.SetDeadline(deadline) // fails only on a closed connection, which the next I/O reports
}

// cancel makes pending and further I/O of the request fail immediately.
func (c *conn) cancel() {
	_ = c.SetDeadline(time.Unix(1, 0)) // as above
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
