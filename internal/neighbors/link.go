// Package neighbors exchanges hints between daemons by UDP: commitments on backend servers, failures seen by one
// daemon, and the versions of each daemon's copy of the platform's store. Nothing depends on a single datagram: a
// summary follows once or twice a second.
package neighbors

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
)

const (
	// summaryInterval is the time between two summaries of everything that a daemon runs, in deployments of up to
	// smallDeployment daemons. Larger ones use largeSummaryInterval, as each daemon receives the summaries of all
	// daemons in its cell.
	summaryInterval      = 500 * time.Millisecond
	largeSummaryInterval = time.Second
	smallDeployment      = 16
	// urgentDelay batches placements that are decided together. It is short because neighbours that choose servers a
	// few milliseconds later should know of them.
	urgentDelay = time.Millisecond
	// relaxedDelay batches first events and ends of jobs, which only free capacity. It is multiplied by the number of
	// known daemons, up to maxRelaxedDelay.
	relaxedDelay    = 3 * time.Millisecond
	maxRelaxedDelay = 200 * time.Millisecond
	// silenceTimeout is the time without a datagram after which a neighbour counts as away.
	silenceTimeout = 2500 * time.Millisecond
	// removalTimeout is the time without a datagram after which a neighbour of this cell is removed and no longer counts
	// among the daemons that share budgets. Daemons of other cells send no datagrams; they are removed if the store's list
	// and other daemons have not named them for otherCellTimeout, which is longer than outages of the store.
	removalTimeout   = 60 * time.Second
	otherCellTimeout = 10 * time.Minute
	// summariesPerAwayProbe is the number of summaries of which one also goes to neighbours that are away.
	summariesPerAwayProbe = 4
	// maxDatagramBytes is the largest size of a datagram. Larger packets are split. An element of one list, such as a change of
	// the store, may take all but headRoomBytes, which are for the sender.
	maxDatagramBytes = 60_000
	headRoomBytes    = 1 << 10
)

// Handler handles datagrams and membership changes, and supplies the content of summaries.
type Handler interface {
	// HandlePacket handles a datagram. restarted is set if the sender's process has restarted since its last datagram.
	HandlePacket(p *carobstilev1.EdgePacket, restarted bool)
	// FillSummary adds the daemon's store versions and running jobs to a summary.
	FillSummary(p *carobstilev1.EdgePacket)
	// MemberJoined is called when a daemon sends its first datagram, or its first one after it was away.
	MemberJoined(m *carobstilev1.EdgeMember)
	// MemberAway is called when a daemon has been silent for silenceTimeout or is leaving.
	MemberAway(m *carobstilev1.EdgeMember)
}

type neighbor struct {
	member    *carobstilev1.EdgeMember
	address   netip.AddrPort
	lastHeard time.Time
	// lastNamed is when the store's list, another daemon or the neighbour itself last gave its addresses.
	lastNamed time.Time
	away      bool
	// neverHeard is set until the first datagram arrives; lastHeard is then when the daemon became known.
	neverHeard bool
	// storeFailing is set if the neighbour last reported that its calls to the platform's store fail.
	storeFailing bool
}

// Link sends datagrams to the neighbours of a daemon and receives theirs.
type Link struct {
	name    string // of this daemon
	conn    *net.UDPConn
	handler Handler
	log     *slog.Logger

	mu            sync.Mutex
	self          *carobstilev1.EdgeMember
	neighbors     map[string]*neighbor
	pending       *carobstilev1.EdgePacket // for the neighbours in this cell
	pendingForAll *carobstilev1.EdgePacket // for all other daemons; nil if empty
	// pendingLate fills the packet for the neighbours in this cell when it is sent; nil if not needed.
	pendingLate   func(p *carobstilev1.EdgePacket)
	flushTimer    *time.Timer
	flushAt       time.Time
	summariesSent int
	serverCount   int // in the whole deployment
	layout        cellLayout
	layoutChanged bool // since the last call of CellsChanged
	traffic       Traffic
	// write sends a datagram; replaced in tests.
	write func(data []byte, to netip.AddrPort) (int, error)
}

// Listen opens the packet address of self.
func Listen(self *carobstilev1.EdgeMember, handler Handler, log *slog.Logger) (*Link, error) {
	address, err := net.ResolveUDPAddr("udp4", self.GetPacketAddress())
	if err != nil {
		return nil, errors.Wrap(err, "resolve packet address")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on packet address")
	}
	return &Link{
		name: self.GetName(), conn: conn, handler: handler, log: log, self: self, neighbors: map[string]*neighbor{},
		pending: &carobstilev1.EdgePacket{}, layout: newCellLayout(nil, 0), write: conn.WriteToUDPAddrPort,
	}, nil
}

// Run receives datagrams and sends summaries until ctx ends.
func (l *Link) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	go l.runSummaries(ctx)
	buffer := make([]byte, 1<<16)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			l.log.Warn("failed to receive datagram", "err", err)
			continue
		}
		l.receive(buffer[:n])
	}
}

func (l *Link) receive(data []byte) {
	p := &carobstilev1.EdgePacket{}
	if err := proto.Unmarshal(data, p); err != nil {
		l.log.Warn("failed to decode datagram", "err", err)
		return
	}
	if p.GetSender().GetName() == l.name {
		return
	}
	restarted := l.AddMember(p.GetSender())
	l.expandSender(p)
	l.recordPacket(p)
	l.handler.HandlePacket(p, restarted)
}

// AddMember adds or updates a daemon, and greets a new one in this cell. It reports whether the daemon has restarted
// since the last update.
func (l *Link) AddMember(m *carobstilev1.EdgeMember) bool {
	if m.GetPacketAddress() == "" {
		return l.updateBoot(m)
	}
	address, err := netip.ParseAddrPort(m.GetPacketAddress())
	if err != nil || m.GetName() == "" || m.GetName() == l.name {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.neighbors[m.GetName()]
	if n == nil {
		now := time.Now()
		l.neighbors[m.GetName()] = &neighbor{
			member: m, address: address, lastHeard: now, lastNamed: now, away: true, neverHeard: true,
		}
		l.updateLayout()
		if l.inCell(m) {
			go l.sendGreeting(recipient{address, m.GetFailureDomain() != l.self.GetFailureDomain()})
		}
		return false
	}
	restarted := n.member.GetBoot() != m.GetBoot()
	moved := n.member.GetFailureDomain() != m.GetFailureDomain()
	n.member, n.address, n.lastNamed = m, address, time.Now()
	if moved {
		l.updateLayout()
	}
	return restarted
}

// expandSender replaces a sender's short form by its stored member record, so that the handler has its addresses.
func (l *Link) expandSender(p *carobstilev1.EdgePacket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.neighbors[p.GetSender().GetName()]
	if p.GetSender().GetPacketAddress() != "" || n == nil {
		return
	}
	full := proto.Clone(n.member).(*carobstilev1.EdgeMember)
	full.Leaving = p.GetSender().GetLeaving()
	p.Sender = full
}

// updateBoot is AddMember for the short form of a sender, which has no addresses.
func (l *Link) updateBoot(m *carobstilev1.EdgeMember) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.neighbors[m.GetName()]
	if n == nil || n.member.GetBoot() == m.GetBoot() {
		return false
	}
	n.member = proto.Clone(n.member).(*carobstilev1.EdgeMember)
	n.member.Boot = m.GetBoot()
	return true
}

// recordPacket updates the state of a datagram's sender and reports joins and departures to the handler.
func (l *Link) recordPacket(p *carobstilev1.EdgePacket) {
	m := p.GetSender()
	l.mu.Lock()
	n := l.neighbors[m.GetName()]
	if n == nil || !l.inCell(n.member) {
		l.mu.Unlock()
		return
	}
	n.lastHeard, n.neverHeard = time.Now(), false
	if p.GetConfigVersion() > 0 || p.GetStoreFailing() {
		n.storeFailing = p.GetStoreFailing()
	}
	joined, left := n.away && !m.GetLeaving(), !n.away && m.GetLeaving()
	n.away = m.GetLeaving()
	l.mu.Unlock()
	if joined {
		l.handler.MemberJoined(m)
	}
	if left {
		l.handler.MemberAway(m)
	}
}

// Members returns all known daemons, including this one.
func (l *Link) Members() []*carobstilev1.EdgeMember {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []*carobstilev1.EdgeMember{l.self}
	for _, n := range l.neighbors {
		out = append(out, n.member)
	}
	return out
}

// Live returns the sorted names of the daemons of this cell that are not away, including this one.
func (l *Link) Live() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []string{l.name}
	for name, n := range l.neighbors {
		if !n.away && l.inCell(n.member) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// LiveWithStore returns this daemon and those daemons of its cell that are not away, or became known less than
// silenceTimeout ago, and that have not reported failing calls to the store.
func (l *Link) LiveWithStore() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []string{l.name}
	for name, n := range l.neighbors {
		live := !n.away || n.neverHeard && time.Since(n.lastHeard) < silenceTimeout
		if live && !n.storeFailing && l.inCell(n.member) {
			out = append(out, name)
		}
	}
	return out
}

// StoreFailsNeighbors reports whether a daemon of this cell that is not away has reported failing calls to the store.
func (l *Link) StoreFailsNeighbors() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.neighbors {
		if !n.away && n.storeFailing && l.inCell(n.member) {
			return true
		}
	}
	return false
}

// DaemonCount returns the number of daemons in the deployment, including this one. Daemons that were silent for
// removalTimeout are not counted.
func (l *Link) DaemonCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.daemonCount()
}

// CellDaemonCount returns the number of daemons in the cell of this daemon, including this one and those that are away.
func (l *Link) CellDaemonCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 1
	for _, n := range l.neighbors {
		if l.inCell(n.member) {
			count++
		}
	}
	return count
}

func (l *Link) daemonCount() int { return 1 + len(l.neighbors) }

// SilentFor returns the time since the last datagram of a daemon of this cell that is away, or since it became known if
// there was none; 0 for other daemons.
func (l *Link) SilentFor(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.neighbors[name]
	if n == nil || !n.away || !l.inCell(n.member) {
		return 0
	}
	return time.Since(n.lastHeard)
}

// updateLayout applies a change of the daemons or of the number of servers to the cells. The caller holds mu.
func (l *Link) updateLayout() {
	domains := []string{l.self.GetFailureDomain()}
	for _, n := range l.neighbors {
		domains = append(domains, n.member.GetFailureDomain())
	}
	layout := newCellLayout(domains, l.serverCount)
	if layout.perDomain != l.layout.perDomain || !slices.Equal(layout.domains, l.layout.domains) {
		l.layout, l.layoutChanged = layout, true
	}
}

// CellCount returns the number of cells of the deployment.
func (l *Link) CellCount() int { return l.Cells().Count() }

// Cells returns the current division of the deployment into cells.
func (l *Link) Cells() Cells {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Cells{layout: l.layout, own: l.ownCell()}
}

// SetServerCount sets the number of backend servers in the deployment.
func (l *Link) SetServerCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serverCount = n
	l.updateLayout()
}

// inCell reports whether a daemon belongs to the cell of this daemon. The caller holds mu.
func (l *Link) inCell(m *carobstilev1.EdgeMember) bool {
	return l.layout.of(m.GetName(), m.GetFailureDomain()) == l.ownCell()
}

func (l *Link) ownCell() Cell { return l.layout.of(l.name, l.self.GetFailureDomain()) }

// InCell reports whether a backend server belongs to the cell of this daemon.
func (l *Link) InCell(server, domain string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.layout.of(server, domain) == l.ownCell()
}

// CellsChanged reports whether the division into cells has changed since the last call.
func (l *Link) CellsChanged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.layoutChanged
	l.layoutChanged = false
	return changed
}

// Leave notifies the neighbours that this daemon is stopping.
func (l *Link) Leave() {
	l.mu.Lock()
	l.self = proto.Clone(l.self).(*carobstilev1.EdgeMember)
	l.self.Leaving = true
	l.mu.Unlock()
	l.sendSummary()
}

// expireNeighbors marks neighbours as away after silenceTimeout and removes them after removalTimeout.
func (l *Link) expireNeighbors() {
	l.mu.Lock()
	var silenced []*carobstilev1.EdgeMember
	now := time.Now()
	for name, n := range l.neighbors {
		silent := now.Sub(n.lastHeard)
		if !n.away && silent > silenceTimeout {
			n.away = true
			silenced = append(silenced, n.member)
		}
		if n.away && l.gone(now, n) {
			delete(l.neighbors, name)
			l.updateLayout()
		}
	}
	l.mu.Unlock()
	for _, m := range silenced {
		l.handler.MemberAway(m)
	}
}

// gone reports whether a neighbour is to be removed. The caller holds mu.
func (l *Link) gone(now time.Time, n *neighbor) bool {
	if l.inCell(n.member) {
		return now.Sub(n.lastHeard) > removalTimeout
	}
	return now.Sub(n.lastNamed) > otherCellTimeout
}
