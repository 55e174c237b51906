package peer

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/evlog"
)

type statusSource struct{}

func (statusSource) Status(context.Context, *pb.StatusRequest) (*pb.StatusResponse, error) {
	return &pb.StatusResponse{Generation: 7}, nil
}

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	ca, err := NewAuthority(time.Hour)
	require.NoError(t, err)
	return ca
}

func issue(t *testing.T, ca *Authority) Credentials {
	t.Helper()
	c, err := ca.Issue("host", net.IPv4(127, 0, 0, 1))
	require.NoError(t, err)
	return c
}

func startServer(t *testing.T, c Credentials) string {
	t.Helper()
	server, err := NewServer(c, Handlers{Status: statusSource{}}, evlog.NewClock(time.Now))
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func newPool(t *testing.T, c Credentials, maxPeers int, clock *evlog.Clock) *Pool {
	t.Helper()
	pool, err := NewPool(c, maxPeers, clock)
	require.NoError(t, err)
	t.Cleanup(pool.Close)
	return pool
}

// Guards against calls that do not transfer the hybrid logical clock, which would break the event order of the
// timeline.
func TestCallCarriesTheClock(t *testing.T) {
	c := issue(t, newAuthority(t))
	address := startServer(t, c)
	behind := evlog.NewClock(func() time.Time { return time.Now().Add(-10 * time.Second) })
	res, err := newPool(t, c, 0, behind).Status(t.Context(), address, &pb.StatusRequest{})
	require.NoError(t, err)
	require.Equal(t, uint64(7), res.GetGeneration())
	require.GreaterOrEqual(t, behind.Now().WallMicros, res.GetClock().GetWallMicros())
}

// Guards against a server that accepts clients without a certificate of the deployment's CA, and against a client that
// accepts such a server.
func TestUntrustedPeerIsRejected(t *testing.T) {
	own, foreign := issue(t, newAuthority(t)), issue(t, newAuthority(t))
	address := startServer(t, own)
	_, err := newPool(t, foreign, 0, evlog.NewClock(time.Now)).Status(t.Context(), address, &pb.StatusRequest{})
	require.Error(t, err)
	foreignTrustingOwnCA := foreign
	foreignTrustingOwnCA.CA = own.CA
	_, err = newPool(t, foreignTrustingOwnCA, 0, evlog.NewClock(time.Now)).Status(t.Context(), address, &pb.StatusRequest{})
	require.Error(t, err)
	conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}})
	if err == nil {
		_, err = conn.Read(make([]byte, 1))
	}
	require.Error(t, err)
}

// Guards against a daemon that keeps connections to several hundred others.
func TestPoolLimitsPeers(t *testing.T) {
	c := issue(t, newAuthority(t))
	pool := newPool(t, c, 2, evlog.NewClock(time.Now))
	for range 5 {
		_, err := pool.Status(t.Context(), startServer(t, c), &pb.StatusRequest{})
		require.NoError(t, err)
	}
	require.Equal(t, 2, pool.Peers())
}

func newSealer(t *testing.T, wall func() time.Time, keys ...string) *Sealer {
	t.Helper()
	s, err := NewSealer(keys, wall)
	require.NoError(t, err)
	return s
}

func newKey(t *testing.T) string {
	t.Helper()
	key, err := NewKey()
	require.NoError(t, err)
	return key
}

// Guards against accepting packets that are sealed with an unknown key, altered, replayed or oversized, and against a
// key rotation that partitions the cluster.
func TestSealer(t *testing.T) {
	k1, k2 := newKey(t), newKey(t)
	a := newSealer(t, time.Now, k1, k2)
	sealed, err := a.Seal([]byte("hello"))
	require.NoError(t, err)
	plain, err := newSealer(t, time.Now, k2, k1).Open(sealed)
	require.NoError(t, err)
	require.Equal(t, "hello", string(plain))
	_, err = newSealer(t, time.Now, k2).Open(sealed)
	require.ErrorIs(t, err, ErrPacketRefused)
	late := func() time.Time { return time.Now().Add(31 * time.Second) }
	_, err = newSealer(t, late, k1).Open(sealed)
	require.ErrorIs(t, err, ErrPacketAge)
	for i := range sealed {
		altered := append([]byte(nil), sealed...)
		altered[i] ^= 1
		_, err = a.Open(altered)
		require.ErrorIs(t, err, ErrPacketRefused, "byte %d", i)
	}
	_, err = a.Seal(make([]byte, MaxPlainBytes+1))
	require.ErrorIs(t, err, ErrPacketTooLarge)
	full, err := a.Seal(make([]byte, MaxPlainBytes))
	require.NoError(t, err)
	require.Len(t, full, MaxPacketBytes)
}

// Guards against a UDP transport that delivers or answers packets of another cluster.
func TestUDPDropsPacketsOfOtherClusters(t *testing.T) {
	key := newKey(t)
	clock := evlog.NewClock(time.Now)
	listen := func(key string) *UDP {
		u, err := ListenUDP("127.0.0.1:0", newSealer(t, time.Now, key), clock)
		require.NoError(t, err)
		t.Cleanup(func() { _ = u.Close() })
		return u
	}
	receiver, sameCluster, otherCluster := listen(key), listen(key), listen(newKey(t))
	got := make(chan *pb.Packet, 2)
	go func() { _ = receiver.Serve(func(p *pb.Packet) { got <- p }) }()
	require.NoError(t, otherCluster.Send(receiver.Address(), &pb.Packet{Sequence: 1}))
	require.NoError(t, sameCluster.Send(receiver.Address(), &pb.Packet{Sequence: 2}))
	require.Equal(t, uint64(2), (<-got).GetSequence())
	require.Equal(t, uint64(1), receiver.Counters().RefusedPackets)
}
