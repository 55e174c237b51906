package neighbors

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/evlog"
)

// recordingHandler is a Handler that records the datagrams and membership changes that it receives.
type recordingHandler struct {
	mu        sync.Mutex
	placed    map[uint64]bool
	restarted int
	sender    *carobstilev1.EdgeMember
	joined    int
	away      int
}

func (r *recordingHandler) HandlePacket(p *carobstilev1.EdgePacket, restarted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range p.GetPlaced() {
		r.placed[j.GetId()] = true
		r.sender = p.GetSender()
	}
	if restarted {
		r.restarted++
	}
}

func (r *recordingHandler) FillSummary(*carobstilev1.EdgePacket) {}

func (r *recordingHandler) MemberJoined(*carobstilev1.EdgeMember) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.joined++
}

func (r *recordingHandler) MemberAway(*carobstilev1.EdgeMember) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away++
}

// locked returns a condition that evaluates check while holding mu.
func (r *recordingHandler) locked(check func() bool) func() bool {
	return func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return check()
	}
}

// startLink runs a link on a free port until the test ends.
func startLink(t *testing.T, name string, boot uint64) (*Link, *recordingHandler) {
	t.Helper()
	return startLinkOf(t, &carobstilev1.EdgeMember{Name: name, Boot: boot})
}

// startLinkOf is startLink for a member, whose packet address it sets.
func startLinkOf(t *testing.T, member *carobstilev1.EdgeMember) (*Link, *recordingHandler) {
	t.Helper()
	probe, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	member.PacketAddress = probe.LocalAddr().String()
	require.NoError(t, probe.Close())
	r := &recordingHandler{placed: map[uint64]bool{}}
	l, err := Listen(member, r, evlog.Discard())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l, r
}

// Guards against a data race between a stopping daemon and datagrams that it still receives, and against neighbours
// that are not notified of its stop.
func TestLeaveWhileReceiving(t *testing.T) {
	a, ra := startLink(t, "a", 1)
	b, rb := startLink(t, "b", 2)
	a.AddMember(b.self)
	require.Eventually(t, rb.locked(func() bool { return rb.joined == 1 }), 2*time.Second, time.Millisecond)
	address := netip.MustParseAddrPort(a.self.GetPacketAddress())
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		for id := uint64(1); ; id++ {
			select {
			case <-stop:
				return
			default:
				p := &carobstilev1.EdgePacket{Sender: b.self, Placed: []*carobstilev1.EdgeJob{{Id: id}}}
				b.sendDatagram(p, []recipient{{address: address}})
				time.Sleep(time.Millisecond)
			}
		}
	})
	require.Eventually(t, ra.locked(func() bool { return len(ra.placed) > 20 }), 2*time.Second, time.Millisecond)
	a.Leave()
	require.Eventually(t, rb.locked(func() bool { return rb.away == 1 }), 2*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	close(stop)
	sending.Wait()
	require.Equal(t, []string{"b"}, b.Live())
}

// Guards against commitments of a dead process that still count after its successor has started.
func TestRestartIsDetected(t *testing.T) {
	a, ra := startLink(t, "a", 1)
	first, _ := startLink(t, "b", 2)
	first.AddMember(a.self)
	require.Eventually(t, ra.locked(func() bool { return ra.joined == 1 }), 2*time.Second, time.Millisecond)
	second, _ := startLink(t, "b", 3)
	second.AddMember(a.self)
	require.Eventually(t, ra.locked(func() bool { return ra.restarted == 1 }), 2*time.Second, time.Millisecond)
}

// Guards against a handler that cannot reach the sender of a datagram, because most datagrams hold only the sender's
// short form.
func TestSendersAreExpanded(t *testing.T) {
	a, _ := startLink(t, "a", 1)
	b, rb := startLink(t, "b", 2)
	a.AddMember(b.self)
	b.AddMember(a.self)
	require.Eventually(t, func() bool { return len(a.Live()) == 2 && len(b.Live()) == 2 }, 3*time.Second, 10*time.Millisecond)
	a.Broadcast(true, func(p *carobstilev1.EdgePacket) { p.Placed = append(p.Placed, &carobstilev1.EdgeJob{Id: 7}) })
	require.Eventually(t, rb.locked(func() bool { return rb.placed[7] }), 3*time.Second, 10*time.Millisecond)
	rb.mu.Lock()
	defer rb.mu.Unlock()
	require.Equal(t, a.self.GetPacketAddress(), rb.sender.GetPacketAddress())
	require.EqualValues(t, 1, rb.sender.GetBoot())
}
