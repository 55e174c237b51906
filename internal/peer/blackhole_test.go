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

// blackholeProxy forwards TCP connections. When epoch is incremented, connections that are already open stay open but
// no longer forward data.
type blackholeProxy struct {
	net.Listener
	target   string
	epoch    atomic.Int64
	accepted atomic.Int64
}

func (p *blackholeProxy) serve() {
	for {
		in, err := p.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			return
		}
		p.accepted.Add(1)
		epoch := p.epoch.Load()
		go p.forward(in, out, epoch)
		go p.forward(out, in, epoch)
	}
}

func (p *blackholeProxy) forward(from, to net.Conn, epoch int64) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if p.epoch.Load() == epoch {
			_, _ = to.Write(buffer[:n])
		}
	}
}

// Guards against calls that keep using a connection that no longer delivers data while new connections would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := issue(t, newAuthority(t))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &blackholeProxy{Listener: listener, target: startServer(t, c)}
	t.Cleanup(func() { _ = listener.Close() })
	go p.serve()
	pool := newPool(t, c, 0, evlog.NewClock(time.Now))
	status := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := pool.Status(ctx, listener.Addr().String(), &pb.StatusRequest{})
		return err
	}
	require.NoError(t, status())
	require.NoError(t, status())
	require.Equal(t, int64(1), p.accepted.Load())
	p.epoch.Add(1)
	start := time.Now()
	require.Error(t, status())
	require.NoError(t, status())
	require.Less(t, time.Since(start), time.Second)
	require.Equal(t, int64(2), p.accepted.Load())
}

// Guards against an idle connection that stops delivering data and is only detected by a call that exceeds its
// deadline.
func TestSilentIdleConnectionIsReplaced(t *testing.T) {
	c := issue(t, newAuthority(t))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &blackholeProxy{Listener: listener, target: startServer(t, c)}
	t.Cleanup(func() { _ = listener.Close() })
	go p.serve()
	pool := newPool(t, c, 0, evlog.NewClock(time.Now))
	_, err = pool.Status(t.Context(), listener.Addr().String(), &pb.StatusRequest{})
	require.NoError(t, err)
	p.epoch.Add(1)
	time.Sleep(readIdleTimeout + pingTimeout + 500*time.Millisecond)
	start := time.Now()
	_, err = pool.Status(t.Context(), listener.Addr().String(), &pb.StatusRequest{})
	require.NoError(t, err)
	require.Less(t, time.Since(start), time.Second)
}
