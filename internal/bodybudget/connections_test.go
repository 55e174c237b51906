package bodybudget

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// shortLines returns the start of a request with short header lines, without its end.
func shortLines(size int) []byte {
	out := bytes.NewBufferString("GET /wait HTTP/1.1\r\nHost: x\r\n")
	for i := 0; out.Len() < size; i++ {
		fmt.Fprintf(out, "%x:\r\n", i+1<<16)
	}
	return out.Bytes()
}

// headerServer serves requests on a listener whose connections and headers may take the memory of 60 connections (1.4 MB). Requests to
// /wait last until release is called.
func headerServer(t *testing.T) (b *Budget, l *Listener, connect func([]byte) net.Conn, release func()) {
	b = New(Options{LargeBytes: mib, ReservedBytes: 100 * ConnBytes})
	released := make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-released
		}
	}))
	l = b.Listen(server.Listener, 50, slog.New(slog.DiscardHandler))
	server.Listener, server.Config.ConnState = l, l.ConnState
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(release) // before the server is closed, which waits for its requests
	return b, l, func(data []byte) net.Conn {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, _ = c.Write(data) // fails if the connection is closed meanwhile
		return c
	}, release
}

func (l *Listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// stays reports whether a connection is open without an answer for a time.
func stays(c net.Conn, period time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(period))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against headers that arrive and are not counted: callers that send many short lines and no end would take several times the
// memory of connections. Also against closing the connections of ordinary callers instead.
func TestHeadersCountAsMemoryOfConnections(t *testing.T) {
	b, l, connect, release := headerServer(t)
	ordinary := connect([]byte("GET /wait HTTP/1.1\r\nHost: x\r\nAccept: a\r\n"))
	var hostile []net.Conn
	for range 20 {
		hostile = append(hostile, connect(shortLines(60<<10)))
	}
	require.Eventually(t, func() bool { return l.open() <= 3 }, 5*time.Second, time.Millisecond, "headers of 1 MB each stay")
	require.True(t, stays(ordinary, 50*time.Millisecond), "small headers are not counted")
	_, err := io.WriteString(ordinary, "\r\n")
	require.NoError(t, err)
	release()
	_ = ordinary.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = ordinary.Read(make([]byte, 1))
	require.NoError(t, err)
	for _, c := range append(hostile, ordinary) {
		require.NoError(t, c.Close())
	}
	require.Eventually(t, func() bool { return b.Held() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against headers that count only until they have arrived, although a request keeps them until its end, and against a request in
// progress that is closed because of others; and against headers that count after the request.
func TestHeadersCountUntilTheEndOfTheRequest(t *testing.T) {
	b, l, connect, release := headerServer(t)
	first := connect(append(shortLines(40<<10), "\r\n"...))
	require.Eventually(t, func() bool { return l.active() == 1 }, 5*time.Second, time.Millisecond)
	require.Greater(t, b.Held(), int64(ConnBytes+600<<10))
	for range 5 {
		require.False(t, stays(connect(shortLines(60<<10)), 5*time.Second), "the memory is held by a request in progress")
	}
	release()
	_ = first.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := first.Read(make([]byte, 1))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.Held() == ConnBytes }, 5*time.Second, time.Millisecond)
}

// Guards against a stop that closes a connection under a request: one that is being answered, whose header is arriving, or that was sent just now.
func TestCloseQuietLeavesRequestsAlone(t *testing.T) {
	_, l, connect, release := headerServer(t)
	answered := connect([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	waiting := connect([]byte("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n"))
	arriving := connect([]byte("GET / HTTP/1.1\r\nHost:"))
	fresh := connect(nil)
	want := Connections{Exchanging: 1, Arriving: 1, New: 1, Idle: 1}
	require.Eventually(t, func() bool { return l.Connections() == want }, time.Second, time.Millisecond)
	l.CloseQuiet(time.Minute)
	require.Equal(t, want, l.Connections())
	time.Sleep(20 * time.Millisecond)
	l.CloseQuiet(10 * time.Millisecond)
	require.Eventually(t, func() bool { return l.Connections() == Connections{Exchanging: 1, Arriving: 1} }, time.Second, time.Millisecond)
	_, err := fresh.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	_, err = io.ReadAll(answered)
	require.NoError(t, err, "closed in order after its answer")
	_, err = arriving.Write([]byte(" x\r\n\r\n"))
	require.NoError(t, err)
	release()
	for _, c := range []net.Conn{waiting, arriving} {
		_, err := c.Read(make([]byte, 1))
		require.NoError(t, err)
	}
}

// Guards against a connection that is closed although a request has arrived on it, in a process that was not scheduled meanwhile.
func TestCloseQuietSeesUnreadBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := New(Options{LargeBytes: mib, ReservedBytes: 100 * ConnBytes}).Listen(listener, 50, slog.New(slog.DiscardHandler))
	defer func() { _ = l.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	accepted, err := l.Accept()
	require.NoError(t, err)
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\n")
	require.NoError(t, err)
	require.Eventually(t, accepted.(*connection).hasUnread, time.Second, time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	l.CloseQuiet(10 * time.Millisecond)
	n, err := accepted.Read(make([]byte, 100))
	require.NoError(t, err)
	require.Equal(t, 16, n)
}
