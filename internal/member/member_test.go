package member

import (
	"context"
	"fmt"
	"math"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/membercore"
	"github.com/carobstile/carobstile/internal/peer"
)

// secrets are the cluster key and host credentials of a test cluster.
type secrets struct {
	key         string
	credentials peer.Credentials
}

func newSecrets(t testing.TB) secrets {
	t.Helper()
	key, err := peer.NewKey()
	require.NoError(t, err)
	ca, err := peer.NewAuthority(time.Hour)
	require.NoError(t, err)
	credentials, err := ca.Issue("host", net.IPv4(127, 0, 0, 1))
	require.NoError(t, err)
	return secrets{key: key, credentials: credentials}
}

// daemon runs the membership protocol of one daemon on loopback sockets.
type daemon struct {
	*Membership
	address  string
	udp      *peer.UDP
	listener *countingListener
	stop     func()
}

// countingListener counts the bytes read from and written to all accepted connections.
type countingListener struct {
	net.Listener
	bytes atomic.Uint64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, bytes: &l.bytes}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}

// listen binds TCP and UDP on the same port. With port 0 it retries until it finds a port that is free for both.
func listen(t testing.TB, s secrets, address string, clock *evlog.Clock) (*countingListener, *peer.UDP) {
	t.Helper()
	sealer, err := peer.NewSealer([]string{s.key}, time.Now)
	require.NoError(t, err)
	for {
		listener, err := net.Listen("tcp", address)
		require.NoError(t, err)
		udp, err := peer.ListenUDP(listener.Addr().String(), sealer, clock)
		if err == nil {
			return &countingListener{Listener: listener}, udp
		}
		require.NoError(t, listener.Close())
	}
}

func startDaemon(t testing.TB, s secrets, name, address string, seeds ...string) *daemon {
	t.Helper()
	clock := evlog.NewClock(time.Now)
	listener, udp := listen(t, s, address, clock)
	pool, err := peer.NewPool(s.credentials, 0, clock)
	require.NoError(t, err)
	members := New(Options{
		Name: name, Address: udp.Address(), Region: "svealand", FailureDomain: "sv-1", Seeds: seeds,
		Seed: uint64(time.Now().UnixNano()), Transport: udp, Syncer: pool, Log: evlog.Discard(),
	})
	server, err := peer.NewServer(s.credentials, peer.Handlers{Members: members}, clock)
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = members.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
		_ = server.Close()
		pool.Close()
	}
	t.Cleanup(stop)
	return &daemon{Membership: members, address: udp.Address(), udp: udp, listener: listener, stop: stop}
}

func startDaemons(t testing.TB, s secrets, count int) []*daemon {
	t.Helper()
	out := []*daemon{startDaemon(t, s, "d000", "127.0.0.1:0")}
	for i := 1; i < count; i++ {
		out = append(out, startDaemon(t, s, fmt.Sprintf("d%03d", i), "127.0.0.1:0", out[0].address))
	}
	return out
}

func (d *daemon) inState(state membercore.State) int {
	n := 0
	for _, m := range d.Membership.Members() {
		if m.State == state {
			n++
		}
	}
	return n
}

func agree(daemons []*daemon, state membercore.State, count int) bool {
	for _, d := range daemons {
		if d.inState(state) != count {
			return false
		}
	}
	return true
}

func requireAgreement(t testing.TB, daemons []*daemon, state membercore.State, count int, within time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return agree(daemons, state, count) }, within, 20*time.Millisecond,
		"%d members in state %s", count, state)
}

// Guards against slow failure detection over real sockets, and against a restarted daemon, or one under a new name at
// the same address, that is not accepted as a member.
func TestDaemonsDetectStopAndRestart(t *testing.T) {
	s := newSecrets(t)
	daemons := startDaemons(t, s, 10)
	requireAgreement(t, daemons, membercore.Alive, 10, 15*time.Second)
	stopped, rest := daemons[4], daemons[5:]
	stopped.stop()
	requireAgreement(t, rest, membercore.Dead, 1, 8*time.Second)
	requireAgreement(t, rest, membercore.Alive, 9, time.Second)
	restarted := startDaemon(t, s, "d004", stopped.address, daemons[0].address)
	rest = append(rest, restarted)
	requireAgreement(t, rest, membercore.Alive, 10, 8*time.Second)
	restarted.stop()
	rest[len(rest)-1] = startDaemon(t, s, "d004b", stopped.address, daemons[0].address)
	requireAgreement(t, rest, membercore.Alive, 10, 8*time.Second)
}

// Guards against a leaving daemon that still gets new work because others learn its state too late, and against one that
// is declared dead while it drains.
func TestLeavingStateSpreads(t *testing.T) {
	daemons := startDaemons(t, newSecrets(t), 8)
	requireAgreement(t, daemons, membercore.Alive, 8, 15*time.Second)
	daemons[3].Leave()
	requireAgreement(t, daemons, membercore.Leaving, 1, 3*time.Second)
	require.Never(t, func() bool { return !agree(daemons, membercore.Leaving, 1) }, 6*time.Second, 200*time.Millisecond)
}

// Guards against a daemon of another cluster, with a different cluster key and CA, joining the membership.
func TestDaemonOfOtherClusterCannotJoin(t *testing.T) {
	daemons := startDaemons(t, newSecrets(t), 3)
	requireAgreement(t, daemons, membercore.Alive, 3, 10*time.Second)
	foreign := startDaemon(t, newSecrets(t), "stranger", "127.0.0.1:0", daemons[0].address)
	require.Never(t, func() bool {
		return len(foreign.Membership.Members()) > 1 || !agree(daemons, membercore.Alive, 3)
	}, 4*time.Second, 100*time.Millisecond)
}

// Guards against crash records and generations that do not reach the other daemons within seconds.
func TestRecordsAndGenerationSpread(t *testing.T) {
	daemons := startDaemons(t, newSecrets(t), 8)
	requireAgreement(t, daemons, membercore.Alive, 8, 15*time.Second)
	var records, generations atomic.Int64
	for _, d := range daemons[1:] {
		d.Subscribe(Listener{
			Records: func(r []membercore.CrashRecord) { records.Add(int64(len(r))) },
			Generation: func(generation uint64, _ string) {
				generations.Add(1)
				d.SetGeneration(generation)
			},
		})
	}
	daemons[0].SetGeneration(5)
	daemons[0].AddRecords([]membercore.CrashRecord{{Fingerprint: []byte("0123456789abcdef"), EngineIncarnation: "e1/3", CreatedAt: daemons[0].clock.Now()}}, false)
	require.Eventually(t, func() bool { return records.Load() == 7 && generations.Load() >= 7 }, 4*time.Second, 10*time.Millisecond)
}

// Guards against packets that exceed the transport's size limit when names are long and many updates and records are
// pending.
func TestLargestPacketFits(t *testing.T) {
	longMember := func(i int) membercore.Member {
		return membercore.Member{
			Name: fmt.Sprintf("%0120d", i), Address: fmt.Sprintf("[2001:db8:1111:2222:3333:4444:5555:%04x]:65535", i),
			Region: strings.Repeat("r", 20), FailureDomain: strings.Repeat("f", 69), Incarnation: math.MaxInt64, State: membercore.Suspect,
		}
	}
	now := core.Micros(math.MaxInt64 / 2)
	c := membercore.New(longMember(0), 1)
	c.Step(membercore.Started{Now: now})
	var records []membercore.CrashRecord
	var effects []membercore.Effect
	for i := range 20 {
		packet := membercore.Packet{Kind: membercore.Probe, Sequence: math.MaxInt64, Sender: longMember(i + 1)}
		effects = append(effects, c.Step(membercore.PacketReceived{Now: now, Packet: packet})...)
		records = append(records, membercore.CrashRecord{Fingerprint: make([]byte, 16), EngineIncarnation: fmt.Sprintf("%0100d", i), CreatedAt: now})
	}
	c.Step(membercore.GenerationSet{Now: now, Generation: math.MaxInt64})
	effects = append(effects, c.Step(membercore.RecordsAdded{Now: now, Records: records})...)
	target := longMember(1)
	effects = append(effects, c.Step(membercore.PacketReceived{Now: now, Packet: membercore.Packet{
		Kind: membercore.IndirectProbe, Sender: longMember(2), Sequence: math.MaxInt64, Target: &target,
	}})...)
	packets := 0
	for _, effect := range effects {
		if e, ok := effect.(membercore.SendPacket); ok {
			packet := packetToProto(e.Packet)
			packet.Clock = &pb.Clock{WallMicros: math.MaxInt64, Counter: math.MaxUint32}
			require.LessOrEqual(t, proto.Size(packet), peer.MaxPlainBytes)
			packets++
		}
	}
	require.Greater(t, packets, 20)
}
