// Package neighbors exchanges hints between daemons by UDP: commitments on backend servers, failures that one daemon has
// seen, and the versions of what each knows of the platform's store. Nothing depends on a datagram that is lost: a
// summary follows twice a second.
package neighbors

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
)

const (
	// summaryEvery is how often all that a daemon runs is told again, in cells of up to smallCell daemons. In larger ones
	// summaries are rarer, as each daemon hears all of them.
	summaryEvery     = 500 * time.Millisecond
	rareSummaryEvery = time.Second
	smallCell        = 16
	// urgentDelay gathers placements that are decided together; the choice of a neighbour a few milliseconds later
	// should know of them.
	urgentDelay = time.Millisecond
	// relaxedDelay gathers ends and first events, which only free what was counted; it is multiplied by the number of
	// neighbours, up to maxRelaxed.
	relaxedDelay = 3 * time.Millisecond
	maxRelaxed   = 200 * time.Millisecond
	// silentAfter is how long a neighbour may say nothing before it counts as away.
	silentAfter = 2500 * time.Millisecond
	// forgetAfter is how long a daemon that is away still counts among those that share budgets.
	forgetAfter = 60 * time.Second
	// Deployments are divided into cells of daemons that exchange hints with one another, and of the backend servers that
	// they use, so that what a daemon hears and keeps does not grow with the deployment. Cells have about cellDaemons
	// daemons where each can have cellServers servers, ten times the engines that read one prompt, and otherwise up to
	// maxCell daemons. In a sweep with 100 daemons, cells of 50 made hints most of the bytes between failure domains.
	maxCell     = 80
	cellDaemons = 16
	cellServers = 160
	// probeAwayEvery is how many summaries pass between two that also go to daemons that are away.
	probeAwayEvery = 4
	// maxPacket bounds a datagram, in bytes; larger ones are split by number of jobs.
	maxPacket = 60_000
	// maxJobs bounds the jobs of one datagram.
	maxJobs = 64
)

// Handler is told what neighbours say.
type Handler interface {
	// Packet handles a datagram; restarted says that its sender is another process than before.
	Packet(p *carobstilev1.EdgePacket, restarted bool)
	// Summary fills in what the daemon knows and runs.
	Summary(p *carobstilev1.EdgePacket)
	// Joined says that a daemon was heard for the first time or is back.
	Joined(m *carobstilev1.EdgeMember)
	// Away says that a daemon has fallen silent or is leaving.
	Away(m *carobstilev1.EdgeMember)
}

type neighbor struct {
	member  *carobstilev1.EdgeMember
	address netip.AddrPort
	heard   time.Time
	away    bool
	// unheard is set until the first datagram; heard is then when the daemon became known.
	unheard bool
	// storeFailing is what the neighbour last said of the platform's store.
	storeFailing bool
}

// Link sends to and receives from the neighbours of one daemon.
type Link struct {
	name    string // of this daemon
	conn    *net.UDPConn
	handler Handler
	log     *slog.Logger

	mu        sync.Mutex
	self      *carobstilev1.EdgeMember
	neighbors map[string]*neighbor
	pending   *carobstilev1.EdgePacket
	timer     *time.Timer
	due       time.Time
	summaries int
	divided   uint64 // number of cells at the last call of CellChanged
	servers   int    // of the whole deployment
}

// Listen opens the address of self for datagrams.
func Listen(self *carobstilev1.EdgeMember, handler Handler, log *slog.Logger) (*Link, error) {
	address, err := net.ResolveUDPAddr("udp4", self.GetPacketAddress())
	if err != nil {
		return nil, errors.Wrap(err, "packet address")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "packet address")
	}
	return &Link{
		name: self.GetName(), conn: conn, handler: handler, log: log, self: self, neighbors: map[string]*neighbor{},
		pending: &carobstilev1.EdgePacket{},
	}, nil
}

// Run receives and sends until ctx ends.
func (l *Link) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	go l.summarize(ctx)
	buffer := make([]byte, 1<<16)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			l.log.Warn("datagram not received", "err", err)
			continue
		}
		l.receive(buffer[:n])
	}
}

func (l *Link) receive(data []byte) {
	p := &carobstilev1.EdgePacket{}
	if err := proto.Unmarshal(data, p); err != nil {
		l.log.Warn("datagram not understood", "err", err)
		return
	}
	if p.GetSender().GetName() == l.name {
		return
	}
	restarted := l.Meet(p.GetSender())
	l.spellOut(p)
	l.heard(p)
	l.handler.Packet(p, restarted)
}

// Meet takes in a daemon that is known from elsewhere. It reports whether the daemon has restarted since it was known.
func (l *Link) Meet(m *carobstilev1.EdgeMember) bool {
	if m.GetPacketAddress() == "" {
		return l.rebooted(m)
	}
	address, err := netip.ParseAddrPort(m.GetPacketAddress())
	if err != nil || m.GetName() == "" || m.GetName() == l.name {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.neighbors[m.GetName()]
	if n == nil {
		l.neighbors[m.GetName()] = &neighbor{member: m, address: address, heard: time.Now(), away: true, unheard: true}
		if l.inCell(m.GetName()) {
			go l.greet(address)
		}
		return false
	}
	restarted := n.member.GetBoot() != m.GetBoot()
	n.member, n.address = m, address
	return restarted
}

// spellOut replaces the short form of a sender by what is known of it, so that the handler finds its addresses.
func (l *Link) spellOut(p *carobstilev1.EdgePacket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.neighbors[p.GetSender().GetName()]
	if p.GetSender().GetPacketAddress() != "" || n == nil {
		return
	}
	whole := proto.Clone(n.member).(*carobstilev1.EdgeMember)
	whole.Leaving = p.GetSender().GetLeaving()
	p.Sender = whole
}

// rebooted is Meet for the short form of a sender.
func (l *Link) rebooted(m *carobstilev1.EdgeMember) bool {
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

func (l *Link) heard(p *carobstilev1.EdgePacket) {
	m := p.GetSender()
	l.mu.Lock()
	n := l.neighbors[m.GetName()]
	if n == nil {
		l.mu.Unlock()
		return
	}
	n.heard, n.unheard = time.Now(), false
	if p.GetConfigVersion() > 0 || p.GetStoreFailing() {
		n.storeFailing = p.GetStoreFailing()
	}
	joined, left := n.away && !m.GetLeaving(), !n.away && m.GetLeaving()
	n.away = m.GetLeaving()
	l.mu.Unlock()
	if joined {
		l.handler.Joined(m)
	}
	if left {
		l.handler.Away(m)
	}
}

// Members returns all daemons known, this one included.
func (l *Link) Members() []*carobstilev1.EdgeMember {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []*carobstilev1.EdgeMember{l.self}
	for _, n := range l.neighbors {
		out = append(out, n.member)
	}
	return out
}

// Live returns the names of the daemons that are heard, this one included, in order.
func (l *Link) Live() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []string{l.name}
	for name, n := range l.neighbors {
		if !n.away && l.inCell(name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Serving returns the daemons that are heard, or became known a moment ago, and that the store serves; this daemon is
// always one of them.
func (l *Link) Serving() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []string{l.name}
	for name, n := range l.neighbors {
		live := !n.away || n.unheard && time.Since(n.heard) < silentAfter
		if live && !n.storeFailing && l.inCell(name) {
			out = append(out, name)
		}
	}
	return out
}

// Known returns how many daemons the deployment has, this one included; daemons that have been away for a while are
// not counted.
func (l *Link) Known() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known()
}

func (l *Link) known() int { return 1 + len(l.neighbors) }

// SilentFor returns how long a daemon has said nothing to this one; 0 if it is not a neighbour that is away.
func (l *Link) SilentFor(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.neighbors[name]
	if n == nil || !n.away || !l.inCell(name) {
		return 0
	}
	return time.Since(n.heard)
}

// cells returns into how many cells the deployment is divided.
func (l *Link) cells() uint64 {
	daemons := l.known()
	small := min(daemons/cellDaemons, l.servers/cellServers)
	return uint64(max(1, small, (daemons+maxCell-1)/maxCell))
}

// Cells returns into how many cells the deployment is divided.
func (l *Link) Cells() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.cells())
}

// SetServers says how many backend servers the deployment has.
func (l *Link) SetServers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = n
}

// inCell reports whether a daemon or backend server belongs to the cell of this daemon.
func (l *Link) inCell(name string) bool {
	cells := l.cells()
	return cells <= 1 || xxhash.Sum64String(name)%cells == xxhash.Sum64String(l.name)%cells
}

// InCell reports whether a backend server belongs to the cell of this daemon.
func (l *Link) InCell(server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inCell(server)
}

// CellChanged reports whether the deployment is divided otherwise than at the last call.
func (l *Link) CellChanged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.divided
	l.divided = l.cells()
	return before != l.divided
}

// Leave tells the neighbours that this daemon is stopping.
func (l *Link) Leave() {
	l.mu.Lock()
	l.self = proto.Clone(l.self).(*carobstilev1.EdgeMember)
	l.self.Leaving = true
	l.mu.Unlock()
	l.sendSummary()
}

// Tell adds to the next datagram. Urgent news leaves within a millisecond.
func (l *Link) Tell(urgent bool, add func(p *carobstilev1.EdgePacket)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(l.pending)
	delay := min(maxRelaxed, relaxedDelay*time.Duration(1+len(l.neighbors)))
	if urgent {
		delay = urgentDelay
	}
	due := time.Now().Add(delay)
	if l.timer != nil && !due.Before(l.due) {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.due = due
	l.timer = time.AfterFunc(delay, l.flush)
}

func (l *Link) flush() {
	l.mu.Lock()
	p := l.pending
	l.pending, l.timer = &carobstilev1.EdgePacket{}, nil
	l.mu.Unlock()
	l.send(p, false)
}

func (l *Link) summarize(ctx context.Context) {
	for {
		pause := summaryEvery
		if l.Known() > smallCell {
			pause = rareSummaryEvery
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
			l.sweep()
			l.sendSummary()
		}
	}
}

// greet makes this daemon known to one that was not known before.
func (l *Link) greet(address netip.AddrPort) {
	p := &carobstilev1.EdgePacket{Summary: true}
	l.handler.Summary(p)
	l.mu.Lock()
	p.Sender = l.self
	l.mu.Unlock()
	l.sendOne(p, []netip.AddrPort{address})
}

// sendSummary tells the neighbours all that this daemon runs, and now and then also those that are away.
func (l *Link) sendSummary() {
	p := &carobstilev1.EdgePacket{Summary: true}
	l.handler.Summary(p)
	l.mu.Lock()
	l.summaries++
	all := l.summaries%probeAwayEvery == 1
	l.mu.Unlock()
	l.send(p, all)
}

// sweep notices neighbours that have fallen silent.
func (l *Link) sweep() {
	l.mu.Lock()
	var gone []*carobstilev1.EdgeMember
	now := time.Now()
	for name, n := range l.neighbors {
		silent := now.Sub(n.heard)
		if !n.away && silent > silentAfter {
			n.away = true
			gone = append(gone, n.member)
		}
		if n.away && silent > forgetAfter {
			delete(l.neighbors, name)
		}
	}
	l.mu.Unlock()
	for _, m := range gone {
		l.handler.Away(m)
	}
}

// send sends a packet, in several datagrams if it holds many jobs.
func (l *Link) send(p *carobstilev1.EdgePacket, all bool) {
	l.mu.Lock()
	p.Sender = l.sender(all)
	var to []netip.AddrPort
	for name, n := range l.neighbors {
		if (all || !n.away) && l.inCell(name) {
			to = append(to, n.address)
		}
	}
	l.mu.Unlock()
	placed := p.GetPlaced()
	for len(placed) > maxJobs {
		l.sendOne(&carobstilev1.EdgePacket{Sender: p.GetSender(), Placed: placed[:maxJobs]}, to)
		placed = placed[maxJobs:]
	}
	p.Placed = placed
	l.sendOne(p, to)
}

// sender returns the sender of a datagram. Only greetings and the summaries that go to all spell it out; bytes between
// failure domains cost money, and the addresses were half of most datagrams.
func (l *Link) sender(whole bool) *carobstilev1.EdgeMember {
	if whole {
		return l.self
	}
	return &carobstilev1.EdgeMember{Name: l.name, Boot: l.self.GetBoot(), Leaving: l.self.GetLeaving()}
}

func (l *Link) sendOne(p *carobstilev1.EdgePacket, to []netip.AddrPort) {
	data, err := proto.Marshal(p)
	if err != nil || len(data) > maxPacket {
		l.log.Warn("datagram not sent", "err", err, "bytes", len(data))
		return
	}
	for _, address := range to {
		if _, err := l.conn.WriteToUDPAddrPort(data, address); err != nil {
			l.log.Debug("datagram not sent", "to", address, "err", err)
		}
	}
}
