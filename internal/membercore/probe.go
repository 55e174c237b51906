package membercore

import (
	"math/rand/v2"
	"strconv"

	"github.com/carobstile/carobstile/internal/core"
)

// probe is a probe that has not been acknowledged yet.
type probe struct {
	// name is the target's name; empty for a seed, whose name is unknown.
	name string
	// heal marks a probe of a dead member or a seed. If it fails, no suspicion is started.
	heal     bool
	indirect bool
}

// relay is a pending probe sent on behalf of another daemon.
type relay struct {
	origin   string
	name     string
	sequence uint64
	expires  core.Micros
}

// rotation is a randomised round-robin schedule of probe targets that all daemons compute alike. With n live daemons,
// the daemon of rank r by name probes the one of rank r+shift (modulo n). The shifts of n-1 consecutive intervals are a
// pseudo-random permutation of 1 to n-1, seeded by the time. Daemons with the same view thus probe each member exactly
// once per interval, each time from another daemon. With an independent round robin per daemon, a given member is not
// probed in a third of the intervals, and detection sometimes takes seconds longer.
type rotation struct {
	round  int64
	shifts []int
}

func (r *rotation) shift(interval int64, others int) int {
	round := interval / int64(others)
	if len(r.shifts) != others || r.round != round {
		random := rand.New(rand.NewPCG(uint64(round), uint64(others)))
		r.round, r.shifts = round, random.Perm(others)
	}
	return r.shifts[interval%int64(others)] + 1
}

// probeNext probes the live member that the rotation selects for this interval.
func (c *Core) probeNext() {
	live := make([]*entry, 0, len(c.names))
	rank := 0
	for _, name := range c.names {
		if e := c.members[name]; e.Live() {
			if name < c.self.Name {
				rank++
			}
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		return
	}
	shift := c.rotation.shift(int64(c.now/probeInterval), len(live))
	// live omits this daemon, so the index of each member ranked after it is one lower than its rank.
	e := live[(rank+shift-1)%len(live)]
	c.sendProbe(e.Address, &probe{name: e.Name}, nil)
}

// probeUnverifiedClaims probes live members that other daemons reported as suspect or dead. The probe carries the
// reported record, so that a running member can refute it.
func (c *Core) probeUnverifiedClaims() {
	for sent := 0; sent < maxClaimProbesPerInterval && len(c.unverifiedClaims) > 0; {
		claim := c.unverifiedClaims[0]
		c.unverifiedClaims = c.unverifiedClaims[1:]
		e := c.members[claim.Name]
		if e == nil || !e.Live() || !claim.supersedes(e.Member) {
			continue
		}
		c.sendProbe(e.Address, &probe{name: claim.Name}, &claim)
		sent++
	}
}

// handleHealTimer probes one random dead member or seed, so that the sides of a network partition reconnect. While no
// live member is known, it also starts full exchanges.
func (c *Core) handleHealTimer() {
	isolated := len(c.randomLiveMembers(1, "")) == 0
	next := healInterval
	if isolated {
		next = isolatedHealInterval
	}
	c.setTimer(keyHeal, c.now+next)
	if isolated {
		c.syncWithCandidates()
	}
	candidates := c.contactCandidates()
	if len(candidates) == 0 {
		return
	}
	m := candidates[c.random.IntN(len(candidates))]
	c.sendProbe(m.Address, &probe{name: m.Name, heal: true}, nil)
}

// syncWithCandidates starts full exchanges with up to joinFanout random seeds or dead members.
func (c *Core) syncWithCandidates() {
	candidates := c.contactCandidates()
	c.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, m := range candidates[:min(joinFanout, len(candidates))] {
		c.emit(StartSync{To: m.Address, Table: c.fullTable()})
	}
}

// contactCandidates returns dead members and then seeds, which have no name, at whose address no live member is known.
func (c *Core) contactCandidates() []Member {
	known := map[string]bool{c.self.Address: true}
	for _, name := range c.names {
		if e := c.members[name]; e.Live() {
			known[e.Address] = true
		}
	}
	var out []Member
	for _, name := range c.names {
		if e := c.members[name]; !known[e.Address] {
			known[e.Address] = true
			out = append(out, e.Member)
		}
	}
	for _, address := range c.seeds {
		if !known[address] {
			known[address] = true
			out = append(out, Member{Address: address})
		}
	}
	return out
}

// sendProbe sends a probe. If claim is not nil, the probe carries this record of the target, so that the target can
// refute it.
func (c *Core) sendProbe(address string, p *probe, claim *Member) {
	c.sequence++
	c.probes[c.sequence] = p
	c.send(address, p.name, Packet{Kind: Probe, Sequence: c.sequence, Target: claim})
	c.setTimer(ackKey(c.sequence), c.now+ackTimeout)
}

func ackKey(sequence uint64) string { return keyAck + strconv.FormatUint(sequence, 10) }

// handleAckTimeout sends indirect probes after a failed direct probe, and suspects the member after failed indirect
// ones.
func (c *Core) handleAckTimeout(sequence uint64) {
	p := c.probes[sequence]
	switch {
	case p == nil:
	case p.heal:
		delete(c.probes, sequence)
	case !p.indirect:
		p.indirect = true
		c.sendIndirectProbes(sequence, p.name)
		c.setTimer(ackKey(sequence), c.now+probeTimeout-ackTimeout)
	default:
		delete(c.probes, sequence)
		c.markSuspect(p.name)
	}
}

func (c *Core) sendIndirectProbes(sequence uint64, name string) {
	e := c.members[name]
	if e == nil {
		return
	}
	for _, m := range c.randomLiveMembers(indirectProbers, name) {
		target := e.Member
		c.send(m.Address, m.Name, Packet{Kind: IndirectProbe, Sequence: sequence, Target: &target})
	}
}

func (c *Core) handlePacket(p Packet) {
	if !p.Sender.valid() || p.Sender.Name == c.self.Name {
		c.applyUpdate(p.Sender)
		return
	}
	sender := c.members[p.Sender.Name]
	wasLive := sender != nil && sender.Live()
	c.applyDirectUpdate(p.Sender)
	if p.Target != nil && p.Kind != Ack {
		c.handleProbeTarget(*p.Target)
	}
	for _, m := range p.Updates {
		c.applyUpdate(m)
	}
	c.storeReceivedRecords(p.Records)
	c.reportNewerGeneration(p.Generation, p.Sender.Address)
	switch p.Kind {
	case Probe:
		c.send(p.Sender.Address, p.Sender.Name, Packet{Kind: Ack, Sequence: p.Sequence})
	case IndirectProbe:
		c.relayProbe(p)
	case Ack:
		c.handleAck(p, wasLive)
	}
}

// handleProbeTarget refutes the target record of a probe if it describes this daemon. Records of other members are
// ignored.
func (c *Core) handleProbeTarget(target Member) {
	if target.Name == c.self.Name {
		c.refute(target)
	}
}

func (c *Core) relayProbe(p Packet) {
	if p.Target == nil || !p.Target.valid() {
		return
	}
	c.sequence++
	c.relays[c.sequence] = relay{
		origin: p.Sender.Address, name: p.Target.Name, sequence: p.Sequence, expires: c.now + probeTimeout,
	}
	c.send(p.Target.Address, p.Target.Name, Packet{Kind: Probe, Sequence: c.sequence})
}

func (c *Core) handleAck(p Packet, wasLive bool) {
	if r, ok := c.relays[p.Sequence]; ok && r.name == p.Sender.Name {
		delete(c.relays, p.Sequence)
		answered := p.Sender
		c.send(r.origin, "", Packet{Kind: Ack, Sequence: r.sequence, Target: &answered})
		return
	}
	pending := c.probes[p.Sequence]
	if pending == nil {
		return
	}
	answered := p.Sender
	if p.Target != nil {
		answered = *p.Target
		c.applyDirectUpdate(answered)
	}
	if pending.name != "" && pending.name != answered.Name && !pending.heal {
		return
	}
	delete(c.probes, p.Sequence)
	if pending.heal && !wasLive {
		c.emit(StartSync{To: p.Sender.Address, Table: c.fullTable()})
	}
}

func (c *Core) reportNewerGeneration(generation uint64, from string) {
	if generation > c.generation {
		c.emit(GenerationSeen{Generation: generation, From: from})
	}
}
