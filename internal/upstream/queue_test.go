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

// fullServer returns the address of a server that accepts nothing and whose queue of new connections is full, so that the
// kernel drops further opening packets.
func fullServer(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
	const most = 8
	for range most {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("queue of new connections does not fill")
	return ""
}

// Guards against requests that wait for the seconds after which a dropped opening packet is sent again, and against an
// outcome that is taken for unknown although nothing was sent.
func TestFullAcceptQueueEndsInTime(t *testing.T) {
	address := fullServer(t)
	began := time.Now()
	_, err := NewPool().Send(context.Background(), Target{ID: "s", Address: address}, &Request{
		Method: "POST", URI: "/x", Host: "h", Fresh: true, Limit: time.Now().Add(10 * time.Second),
	})
	require.True(t, errors.Is(err, ErrNotSent), "%v", err)
	require.Less(t, time.Since(began), 2*dialTimeout)
}
