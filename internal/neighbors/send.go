package neighbors

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
)

// Broadcast adds content to the next datagram to all neighbours. Urgent content is sent within urgentDelay.
func (l *Link) Broadcast(urgent bool, add func(p *carobstilev1.EdgePacket)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(l.pending)
	delay := l.relaxedDelay()
	if urgent {
		delay = urgentDelay
	}
	l.scheduleFlush(delay)
}

// BroadcastLate lets add fill the next datagram to all neighbours when that is sent, within the time for content that is not urgent.
// It is for ages, which count up to the sending, and needs no datagram of its own if another one goes meanwhile.
func (l *Link) BroadcastLate(add func(p *carobstilev1.EdgePacket)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingLate = add
	l.scheduleFlush(l.relaxedDelay())
}

// relaxedDelay returns the delay of content that is not urgent. The caller holds mu.
func (l *Link) relaxedDelay() time.Duration {
	return min(maxRelaxedDelay, relaxedDelay*time.Duration(1+len(l.neighbors)))
}

// BroadcastToAll adds content to the next datagram to all other daemons, in all cells, which is sent within urgentDelay.
func (l *Link) BroadcastToAll(add func(p *carobstilev1.EdgePacket)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pendingForAll == nil {
		l.pendingForAll = &carobstilev1.EdgePacket{}
	}
	add(l.pendingForAll)
	l.scheduleFlush(urgentDelay)
}

// FitsDatagram reports whether an element of a list of a packet fits a datagram.
func FitsDatagram(m proto.Message) bool { return proto.Size(m) <= maxDatagramBytes-headRoomBytes }

// scheduleFlush makes sure that pending content is sent within delay. The caller holds mu.
func (l *Link) scheduleFlush(delay time.Duration) {
	flushAt := time.Now().Add(delay)
	if l.flushTimer != nil && !flushAt.Before(l.flushAt) {
		return
	}
	if l.flushTimer != nil {
		l.flushTimer.Stop()
	}
	l.flushAt = flushAt
	l.flushTimer = time.AfterFunc(delay, l.flush)
}

func (l *Link) flush() {
	l.mu.Lock()
	p, forAll, late := l.pending, l.pendingForAll, l.pendingLate
	l.pending, l.pendingForAll, l.pendingLate, l.flushTimer = &carobstilev1.EdgePacket{}, nil, nil, nil
	l.mu.Unlock()
	if late != nil {
		late(p)
	}
	if proto.Size(p) > 0 {
		l.send(p, func(n *neighbor) bool { return !n.away && l.inCell(n.member) })
	}
	if forAll != nil {
		l.send(forAll, func(n *neighbor) bool { return !n.away || !l.inCell(n.member) })
	}
}

func (l *Link) runSummaries(ctx context.Context) {
	for {
		interval := summaryInterval
		if l.DaemonCount() > smallDeployment {
			interval = largeSummaryInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
			l.expireNeighbors()
			l.sendSummary()
		}
	}
}

// sendGreeting sends a summary with the full sender to a daemon that has just become known.
func (l *Link) sendGreeting(to recipient) {
	p := &carobstilev1.EdgePacket{Summary: true}
	l.handler.FillSummary(p)
	l.mu.Lock()
	p.Sender = l.self
	l.mu.Unlock()
	for _, part := range split(p, maxDatagramBytes) {
		l.sendDatagram(part, []recipient{to})
	}
}

// sendSummary sends everything that this daemon runs to the neighbours; one of summariesPerAwayProbe summaries also
// goes to those that are away.
func (l *Link) sendSummary() {
	p := &carobstilev1.EdgePacket{Summary: true}
	l.handler.FillSummary(p)
	l.mu.Lock()
	l.summariesSent++
	all := l.summariesSent%summariesPerAwayProbe == 1
	p.Sender = l.senderField(all)
	l.mu.Unlock()
	l.send(p, func(n *neighbor) bool { return (all || !n.away) && l.inCell(n.member) })
}

// send sends a packet to those neighbours that include selects, in several datagrams if it is large. include is called with
// mu held.
func (l *Link) send(p *carobstilev1.EdgePacket, include func(*neighbor) bool) {
	l.mu.Lock()
	if p.GetSender() == nil {
		p.Sender = l.senderField(false)
	}
	var to []recipient
	for _, n := range l.neighbors {
		if include(n) {
			to = append(to, recipient{n.address, n.member.GetFailureDomain() != l.self.GetFailureDomain()})
		}
	}
	l.mu.Unlock()
	for _, part := range split(p, maxDatagramBytes) {
		l.sendDatagram(part, to)
	}
}

// senderField returns the sender of a datagram, in full or in short form. Only greetings and summaries to all
// neighbours hold the full form: traffic between failure domains is billed by the byte, and the addresses made up half
// of most datagrams.
func (l *Link) senderField(full bool) *carobstilev1.EdgeMember {
	if full {
		return l.self
	}
	return &carobstilev1.EdgeMember{Name: l.name, Boot: l.self.GetBoot(), Leaving: l.self.GetLeaving()}
}

// recipient is a daemon that a datagram is sent to.
type recipient struct {
	address     netip.AddrPort
	otherDomain bool
}

func (l *Link) sendDatagram(p *carobstilev1.EdgePacket, to []recipient) {
	data, err := proto.Marshal(p)
	if err != nil || len(data) > maxDatagramBytes {
		l.log.Warn("datagram too large or not encodable", "err", err, "bytes", len(data))
		return
	}
	for _, r := range to {
		if _, err := l.write(data, r.address); err != nil {
			l.log.Debug("failed to send datagram", "to", r.address, "err", err)
			continue
		}
		l.traffic.count(p.GetSummary(), r.otherDomain, len(data))
	}
}
