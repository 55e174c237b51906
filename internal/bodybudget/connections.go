package bodybudget

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// ownFiles is the number of descriptors that are left for the store, other daemons, operators and files. Deployments have up
	// to 82 daemons.
	ownFiles = 128
	// filesPerConnection: a request has a connection to its caller and one to a server.
	filesPerConnection = 2
	// freeHeaderBytes is the memory of headers that ConnBytes includes. Requests of about 1 KiB in 15 lines need 3 KiB.
	freeHeaderBytes = 4 << 10
	// newConnectionTime is the time after which a connection that has sent nothing counts as idle.
	newConnectionTime = time.Second
	// logInterval is the least time between two log lines about closed connections.
	logInterval = time.Second
)

// MaxConnectionsOfFiles returns the number of callers' connections that a process with maxFiles descriptors may have. 0 means the
// limit that the operating system sets.
func MaxConnectionsOfFiles(maxFiles int) int {
	if maxFiles == 0 {
		var limit syscall.Rlimit
		if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
			return ownFiles
		}
		const unlimited = 1 << 24
		maxFiles = int(min(limit.Cur, unlimited))
	}
	return max(1, (maxFiles-ownFiles)/filesPerConnection)
}

// Listener bounds the number of open connections and the memory of these and of the headers of their requests. Over the bound it closes
// idle connections first and then new ones, or the one whose headers are largest. It never closes one with a request in progress.
type Listener struct {
	net.Listener
	budget  *Budget
	maximum int
	// memory bounds ConnBytes for each connection and headers together.
	memory int64
	log    *slog.Logger

	mu      sync.Mutex
	conns   map[*connection]connectionState
	headers int64 // of all connections, as counted
	// closedIdle, closedLarge and refused count connections since loggedAt.
	closedIdle, closedLarge, refused int
	loggedAt                         time.Time
}

type connectionState struct {
	state http.ConnState
	since time.Time
	// reading is set during a read. A server that reads from an idle or new connection has no complete request of it.
	reading bool
	// closing is set once the connection was chosen to be closed. Its reads return no data any more.
	closing bool
	// headers is the memory of the headers of the current request. The server reads all of them before the state becomes active.
	headers int64
}

// countedHeaders is the memory of headers that is counted besides ConnBytes.
func (s connectionState) countedHeaders() int64 { return max(0, s.headers-freeHeaderBytes) }

func (s connectionState) awaitsRequest() bool {
	return s.state == http.StateIdle || s.state == http.StateNew
}

// connection keeps the methods of a TCP connection that net/http uses to end connections in order.
type connection struct {
	*net.TCPConn
	listener *Listener
}

// Listen bounds the connections of a TCP listener to maximum, and counts their memory. The server must report states to
// Listener.ConnState.
func (b *Budget) Listen(l net.Listener, maximum int, log *slog.Logger) *Listener {
	fitting := b.MaxConnections()
	return &Listener{
		Listener: l, budget: b, maximum: min(maximum, fitting), memory: int64(fitting) * ConnBytes, log: log,
		conns: map[*connection]connectionState{},
	}
}

// Maximum returns the bound.
func (l *Listener) Maximum() int { return l.maximum }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return c, nil
		}
		accepted := &connection{TCPConn: tcp, listener: l}
		if l.add(accepted) {
			return accepted, nil
		}
		_ = tcp.Close()
		// A connection whose body has stalled has reached no server. Without this, such bodies keep others out for seconds.
		l.budget.dropStalled()
	}
}

// add takes a connection in if there is room or an idle one can be closed instead.
func (l *Listener) add(c *connection) bool {
	now := l.budget.opts.Now()
	l.mu.Lock()
	var idle *connection
	if len(l.conns) >= l.maximum || !l.fits(1) {
		if idle = l.longestIdle(now); idle != nil {
			l.countClosed(now, "idle", &l.closedIdle)
		} else if idle = l.largestHeaders(); idle != nil {
			l.countClosed(now, "large_headers", &l.closedLarge)
		} else {
			l.countClosed(now, "refused", &l.refused)
			l.mu.Unlock()
			return false
		}
	}
	closeNow := idle != nil && l.closeAwaiting(idle)
	l.conns[c] = connectionState{state: http.StateNew, since: now}
	l.mu.Unlock()
	l.budget.addConnections(1)
	if closeNow {
		_ = idle.Close()
	}
	return true
}

// fits reports whether further connections fit into the memory. The caller holds mu.
func (l *Listener) fits(further int) bool {
	return int64(len(l.conns)+further)*ConnBytes+l.headers <= l.memory
}

// closeAwaiting chooses a connection without a request to be closed, and reports whether the caller has to close it after it has
// released mu. Between two reads the server may have a complete request in its buffer. The next read closes the connection then, unless a
// request follows, which must be answered. The caller holds mu.
func (l *Listener) closeAwaiting(c *connection) bool {
	s := l.conns[c]
	s.closing = true
	l.conns[c] = s
	return s.reading
}

// longestIdle returns the connection that has been idle for the longest time, or nil. The caller holds mu.
func (l *Listener) longestIdle(now time.Time) *connection {
	var out *connection
	var since time.Time
	for c, s := range l.conns {
		idle := !s.closing && (s.state == http.StateIdle || s.state == http.StateNew && now.Sub(s.since) > newConnectionTime)
		if idle && (out == nil || s.since.Before(since)) {
			out, since = c, s.since
		}
	}
	return out
}

// countClosed counts a connection that is closed for a reason, and logs the counts. The caller holds mu.
func (l *Listener) countClosed(now time.Time, reason string, count *int) {
	*count++
	l.budget.metrics.scope.Tagged(map[string]string{"reason": reason}).Counter("caller_connections_closed").Inc(1)
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.log.Warn("connections of callers closed", "bound", l.maximum, "idle", l.closedIdle, "large_headers", l.closedLarge,
		"refused", l.refused)
	l.closedIdle, l.closedLarge, l.refused, l.loggedAt = 0, 0, 0, now
}

// ConnState is the hook of that name of http.Server.
func (l *Listener) ConnState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*connection)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, open := l.conns[tracked]; open {
		next := connectionState{state: state, since: l.budget.opts.Now(), headers: old.headers}
		if next.awaitsRequest() {
			next.headers = 0
		}
		l.replace(tracked, next)
	}
}

// Connections counts the open connections by what happens on them.
type Connections struct {
	// Exchanging have a request that has been read, and whose answer is not written to its end. Arriving have a part of a request's header.
	Exchanging, Arriving int
	// New have sent nothing yet, Idle nothing since their last answer.
	New, Idle int
}

// Total returns the number of connections.
func (c Connections) Total() int { return c.Exchanging + c.Arriving + c.New + c.Idle }

// Connections returns the open connections.
func (l *Listener) Connections() Connections {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out Connections
	for _, s := range l.conns {
		switch {
		case !s.awaitsRequest():
			out.Exchanging++
		case s.headers > 0:
			out.Arriving++
		case s.state == http.StateNew:
			out.New++
		default:
			out.Idle++
		}
	}
	return out
}

// CloseQuiet closes the connections that await a request, and on which nothing has happened for the given time.
func (l *Listener) CloseQuiet(quiet time.Duration) {
	before := l.budget.opts.Now().Add(-quiet)
	l.mu.Lock()
	var closeNow []*connection
	for c, s := range l.conns {
		quiet := s.awaitsRequest() && s.headers == 0 && !s.closing && s.since.Before(before) && !c.hasUnread()
		if quiet && l.closeAwaiting(c) {
			closeNow = append(closeNow, c)
		}
	}
	l.mu.Unlock()
	for _, c := range closeNow {
		_ = c.Close()
	}
}

// hasUnread reports whether bytes have arrived that the process has not read, as in one that was not scheduled.
func (c *connection) hasUnread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // the connection is closed
	}
	unread := 0
	_ = raw.Control(func(fd uintptr) { // fails only if the connection is closed
		unread, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return unread > 0
}

// replace sets the state of a connection and counts its headers. The caller holds mu.
func (l *Listener) replace(c *connection, s connectionState) {
	change := s.countedHeaders() - l.conns[c].countedHeaders()
	l.conns[c] = s
	if change != 0 {
		l.headers += change
		l.budget.addHeaders(change)
	}
}

// countHeaders counts what was read before a request is complete. Over the bound the connection whose headers are largest is closed,
// which may be this one. The memory of requests in progress is not freed by that; those whose bodies have stalled are dropped.
func (l *Listener) countHeaders(c *connection, data []byte) {
	l.mu.Lock()
	s, open := l.conns[c]
	if !open || !s.awaitsRequest() {
		l.mu.Unlock()
		return
	}
	if end := bytes.Index(data, []byte("\r\n\r\n")); end >= 0 {
		data = data[:end] // the rest belongs to the body
	}
	s.headers += int64(len(data)) + headerLineBytes*int64(bytes.Count(data, []byte("\n")))
	l.replace(c, s)
	if s.countedHeaders() == 0 || l.fits(0) {
		l.mu.Unlock()
		return
	}
	largest := l.largestHeaders()
	if largest == nil {
		l.mu.Unlock()
		return // this one was chosen before, and its read closes it
	}
	closeNow := l.closeAwaiting(largest)
	l.countClosed(l.budget.opts.Now(), "large_headers", &l.closedLarge)
	l.mu.Unlock()
	switch {
	case largest == c:
		l.budget.dropStalled()
	case closeNow:
		_ = largest.Close()
	}
}

// largestHeaders returns the connection without a complete request whose headers are largest, nil if none has headers that are counted.
// The caller holds mu.
func (l *Listener) largestHeaders() *connection {
	var out *connection
	largest := int64(0)
	for c, s := range l.conns {
		if s.awaitsRequest() && !s.closing && s.countedHeaders() > largest {
			out, largest = c, s.countedHeaders()
		}
	}
	return out
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	if !c.setReading(true) {
		return 0, net.ErrClosed
	}
	n, err := c.TCPConn.Read(p)
	c.listener.countHeaders(c, p[:n])
	if !c.setReading(false) {
		return 0, net.ErrClosed
	}
	return n, err
}

// setReading records the begin or the end of a read. It returns false if the connection is to be closed instead.
func (c *connection) setReading(reading bool) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	s, open := c.listener.conns[c]
	if !open {
		return true // the closed connection returns the error
	}
	if s.closing && s.awaitsRequest() {
		return false
	}
	s.reading = reading
	c.listener.conns[c] = s
	return true
}

// Close implements net.Conn.
func (c *connection) Close() error {
	l := c.listener
	l.mu.Lock()
	s, open := l.conns[c]
	if open {
		s.headers = 0
		l.replace(c, s)
	}
	delete(l.conns, c)
	l.mu.Unlock()
	err := c.TCPConn.Close()
	if open {
		l.budget.addConnections(-1)
	}
	return err
}
