package membercore

import (
	"math/rand/v2"
	"strconv"

	"github.com/carobstile/carobstile/internal/core"
)

// probe is a probe without an ack so far.
type probe struct {
	// name of the target; empty when a seed is probed.
	name string
	// heal probes go to dead members and seeds; their failure means nothing.
	heal     bool
	indirect bool
}

// relay is a probe sent on behalf of another daemon.
type relay struct {
	origin   string
	name     string
	sequence uint64
	expires  core.Micros
}

// rotation is a randomised round robin that all daemons share. With n running daemons, the daemon of rank r by name
// probes rank r+shift, and the shifts of n-1 intervals are a random permutation of 1 to n-1 that follows from the time.
// Daemons with the same view thus probe each member exactly once per interval, each time by another one. With a round
// robin of its own per daemon, a third of the intervals pass without a probe of a given member, and detection takes
// seconds longer at random.
type rotation struct {
	round  int64
	shifts []int
}

func (r *rotation) shift(interval int64, others int) int {
	round := interval / int64(others)
	if len(r.shifts) != others || r.round != round {
		shared := rand.New(rand.NewPCG(uint64(round), uint64(others)))
		r.round, r.shifts = round, shared.Perm(others)
	}
	return r.shifts[interval%int64(others)] + 1
}

// probeNext probes the live member whose turn it is.
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
	// live leaves out this daemon, so ranks from its own on are one lower.
	e := live[(rank+shift-1)%len(live)]
	c.probe(e.Address, &probe{name: e.Name}, nil)
}

// probeClaims probes members that a full exchange claimed to be gone. The probe carries the claim, so that a running
// member refutes it.
func (c *Core) probeClaims() {
	for sent := 0; sent < verifyPerInterval && len(c.verify) > 0; {
		claim := c.verify[0]
		c.verify = c.verify[1:]
		e := c.members[claim.Name]
		if e == nil || !e.Live() || !claim.newer(e.Member) {
			continue
		}
		c.probe(e.Address, &probe{name: claim.Name}, &claim)
		sent++
	}
}

// heal probes one dead member or seed, so that the halves of a region split find each other again.
func (c *Core) heal() {
	alone := len(c.pick(1, "")) == 0
	next := healInterval
	if alone {
		next = lonelyInterval
	}
	c.setTimer(keyHeal, c.now+next)
	if alone {
		c.join()
	}
	missing := c.missing()
	if len(missing) == 0 {
		return
	}
	m := missing[c.random.IntN(len(missing))]
	c.probe(m.Address, &probe{name: m.Name, heal: true}, nil)
}

// join asks a few random seeds or dead members for their tables.
func (c *Core) join() {
	missing := c.missing()
	c.random.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	for _, m := range missing[:min(joinSyncs, len(missing))] {
		c.emit(StartSync{To: m.Address, Table: c.table()})
	}
}

// missing returns dead members, then seeds (without a name), at whose address no live member is known.
func (c *Core) missing() []Member {
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

// probe sends a probe. A claim about the target travels with it, to be refuted.
func (c *Core) probe(address string, p *probe, claim *Member) {
	c.sequence++
	c.probes[c.sequence] = p
	c.send(address, p.name, Packet{Kind: Probe, Sequence: c.sequence, Target: claim})
	c.setTimer(ackKey(c.sequence), c.now+ackTimeout)
}

func ackKey(sequence uint64) string { return keyAck + strconv.FormatUint(sequence, 10) }

// ackMissing goes from the direct to the indirect probe, and from there to suspicion.
func (c *Core) ackMissing(sequence uint64) {
	p := c.probes[sequence]
	switch {
	case p == nil:
	case p.heal:
		delete(c.probes, sequence)
	case !p.indirect:
		p.indirect = true
		c.askOthers(sequence, p.name)
		c.setTimer(ackKey(sequence), c.now+probeTimeout-ackTimeout)
	default:
		delete(c.probes, sequence)
		c.suspect(p.name)
	}
}

func (c *Core) askOthers(sequence uint64, name string) {
	e := c.members[name]
	if e == nil {
		return
	}
	for _, m := range c.pick(indirectProbers, name) {
		target := e.Member
		c.send(m.Address, m.Name, Packet{Kind: IndirectProbe, Sequence: sequence, Target: &target})
	}
}

func (c *Core) receive(p Packet) {
	if !p.Sender.valid() || p.Sender.Name == c.self.Name {
		c.learn(p.Sender)
		return
	}
	before := c.members[p.Sender.Name]
	known := before != nil && before.Live()
	c.heard(p.Sender)
	if p.Target != nil && p.Kind != Ack {
		c.learnTarget(*p.Target)
	}
	for _, m := range p.Updates {
		c.learn(m)
	}
	c.learnRecords(p.Records)
	c.seeGeneration(p.Generation, p.Sender.Address)
	switch p.Kind {
	case Probe:
		c.send(p.Sender.Address, p.Sender.Name, Packet{Kind: Ack, Sequence: p.Sequence})
	case IndirectProbe:
		c.relay(p)
	case Ack:
		c.acked(p, known)
	}
}

// learnTarget takes in the record of a probed member only where it concerns this daemon, which refutes what is wrong.
func (c *Core) learnTarget(target Member) {
	if target.Name == c.self.Name {
		c.refute(target)
	}
}

func (c *Core) relay(p Packet) {
	if p.Target == nil || !p.Target.valid() {
		return
	}
	c.sequence++
	c.relays[c.sequence] = relay{
		origin: p.Sender.Address, name: p.Target.Name, sequence: p.Sequence, expires: c.now + probeTimeout,
	}
	c.send(p.Target.Address, p.Target.Name, Packet{Kind: Probe, Sequence: c.sequence})
}

func (c *Core) acked(p Packet, known bool) {
	if r, ok := c.relays[p.Sequence]; ok && r.name == p.Sender.Name {
		delete(c.relays, p.Sequence)
		answered := p.Sender
		c.send(r.origin, "", Packet{Kind: Ack, Sequence: r.sequence, Target: &answered})
		return
	}
	waiting := c.probes[p.Sequence]
	if waiting == nil {
		return
	}
	answered := p.Sender
	if p.Target != nil {
		answered = *p.Target
		c.heard(answered)
	}
	if waiting.name != "" && waiting.name != answered.Name && !waiting.heal {
		return
	}
	delete(c.probes, p.Sequence)
	if waiting.heal && !known {
		c.emit(StartSync{To: p.Sender.Address, Table: c.table()})
	}
}

func (c *Core) seeGeneration(generation uint64, from string) {
	if generation > c.generation {
		c.emit(GenerationSeen{Generation: generation, From: from})
	}
}
