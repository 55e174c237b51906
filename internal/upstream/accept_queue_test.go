package upstream

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// startFullServer returns the address of a server that accepts no connections and whose accept queue is full, so that the
// kernel drops further SYN packets.
func startFullServer(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	const maxDials = 8
	for range maxDials {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("accept queue of the server did not fill")
	return ""
}

// Guards against a request that waits for the retransmission of a dropped SYN, which takes seconds, and against reporting
// ErrUnknown although nothing was sent.
func TestDialTimesOutOnFullAcceptQueue(t *testing.T) {
	address := startFullServer(t)
	start := time.Now()
	_, err := NewPool().Send(context.Background(), Target{ID: "s", Address: address}, &Request{
		Method: "POST", URI: "/x", Host: "h", NewConn: true, Deadline: time.Now().Add(10 * time.Second),
	})
	require.True(t, errors.Is(err, ErrNotSent), "%v", err)
	require.Less(t, time.Since(start), 2*dialTimeout)
}
