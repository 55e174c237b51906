package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/evlog"
)

// silencer forwards TCP connections. Those that were open when it is silenced stay open and pass nothing on any more.
type silencer struct {
	net.Listener
	target   string
	epoch    atomic.Int64
	accepted atomic.Int64
}

func (s *silencer) serve() {
	for {
		in, err := s.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", s.target)
		if err != nil {
			return
		}
		s.accepted.Add(1)
		epoch := s.epoch.Load()
		go s.forward(in, out, epoch)
		go s.forward(out, in, epoch)
	}
}

func (s *silencer) forward(from, to net.Conn, epoch int64) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if s.epoch.Load() == epoch {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// Guards against a daemon that goes on using a connection which has gone silent while new ones work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := issue(t, newAuthority(t))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &silencer{Listener: listener, target: startServer(t, c)}
	t.Cleanup(func() { _ = listener.Close() })
	go s.serve()
	pool := newPool(t, c, 0, evlog.NewClock(time.Now))
	status := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := pool.Status(ctx, listener.Addr().String(), &pb.StatusRequest{})
		return err
	}
	require.NoError(t, status())
	require.NoError(t, status())
	require.Equal(t, int64(1), s.accepted.Load())
	s.epoch.Add(1)
	start := time.Now()
	require.Error(t, status())
	require.NoError(t, status())
	require.Less(t, time.Since(start), time.Second)
	require.Equal(t, int64(2), s.accepted.Load())
}

// Guards against an idle connection that goes silent and is kept until a call runs into it.
func TestSilentIdleConnectionIsReplaced(t *testing.T) {
	c := issue(t, newAuthority(t))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &silencer{Listener: listener, target: startServer(t, c)}
	t.Cleanup(func() { _ = listener.Close() })
	go s.serve()
	pool := newPool(t, c, 0, evlog.NewClock(time.Now))
	_, err = pool.Status(t.Context(), listener.Addr().String(), &pb.StatusRequest{})
	require.NoError(t, err)
	s.epoch.Add(1)
	time.Sleep(readIdleTimeout + pingTimeout + 500*time.Millisecond)
	start := time.Now()
	_, err = pool.Status(t.Context(), listener.Addr().String(), &pb.StatusRequest{})
	require.NoError(t, err)
	require.Less(t, time.Since(start), time.Second)
}
