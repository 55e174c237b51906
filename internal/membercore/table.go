package membercore

import (
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// maxMemberBytes bounds the strings of a member, so that sender, target and an update always fit into one packet.
const maxMemberBytes = 256

func (m Member) valid() bool {
	return m.Name != "" && m.Address != "" && m.stringBytes() <= maxMemberBytes
}

func (m Member) stringBytes() int {
	return len(m.Name) + len(m.Address) + len(m.Region) + len(m.FailureDomain)
}

// newer reports whether m replaces old.
func (m Member) newer(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State.rank() > old.State.rank()
}

// learn takes in a record of a member from a packet or its own sender.
func (c *Core) learn(m Member) {
	switch e := c.members[m.Name]; {
	case !m.valid():
	case m.Name == c.self.Name:
		c.refute(m)
	case e == nil:
		c.add(m)
	case m.State == Dead && e.TakesWork():
		c.doubt(e, m)
	case m.newer(e.Member):
		c.apply(e, m)
	}
}

// doubt has a claim that a member is gone, which this daemon holds for alive, checked by a probe that carries it. The
// member either refutes the claim or is suspected. A member that is suspect here keeps the time of its suspicion here.
//
// After a region split each half lists the other as dead, and taking that over would declare every daemon dead. A real
// death is not delayed by this, since the suspicion before it spreads to all daemons and ends at each of them.
func (c *Core) doubt(e *entry, claim Member) {
	if e.State == Suspect || !claim.newer(e.Member) {
		return
	}
	for i, old := range c.verify {
		if old.Name == claim.Name {
			c.verify[i] = claim
			return
		}
	}
	c.verify = append(c.verify, claim)
}

// refute answers a claim about this daemon that is not true with a higher incarnation.
func (c *Core) refute(m Member) {
	if m.Incarnation < c.self.Incarnation {
		return
	}
	if m.Address != c.self.Address {
		c.emit(NameConflict{Other: m})
	} else if m.Incarnation == c.self.Incarnation && m.State.rank() <= c.self.State.rank() && m.State != Suspect {
		return
	}
	c.self.Incarnation = m.Incarnation + 1
	c.enqueue(c.self.Name, true)
	c.emit(MemberChanged{Member: c.self, Previous: c.self.State})
	c.hint(urgentHints)
}

// add lists an unknown member. Unknown dead members are not listed, since full exchanges would pass them on for ever.
func (c *Core) add(m Member) {
	if !m.Live() {
		return
	}
	at, _ := slices.BinarySearch(c.names, m.Name)
	c.names = slices.Insert(c.names, at, m.Name)
	e := &entry{}
	c.members[m.Name] = e
	c.apply(e, m)
}

// apply stores a newer record and passes it on.
func (c *Core) apply(e *entry, m Member) {
	old := e.Member
	e.Member = m
	e.deadline = 0
	switch m.State {
	case Suspect:
		c.suspectUntil(e, c.now+suspicionTime)
	case Dead:
		e.deadSince = c.now
	}
	told := m.State == Suspect || old.State == Suspect && m.Live() || m.State == Leaving && old.State == Alive
	c.enqueue(m.Name, told || m.State == Dead)
	c.emit(MemberChanged{Member: m, Previous: old.State})
	if told {
		c.hint(relayedHints)
	}
	if m.Live() && (!old.Live() || old.Address != m.Address) {
		c.settleAddress(e)
	}
}

// settleAddress leaves an address to the member with the highest incarnation: a host was replaced under a new name.
func (c *Core) settleAddress(e *entry) {
	if e.Address == c.self.Address {
		c.declareDead(e)
		return
	}
	for _, name := range c.names {
		other := c.members[name]
		if other == e || !other.Live() || other.Address != e.Address {
			continue
		}
		if other.Incarnation > e.Incarnation {
			c.declareDead(e)
			return
		}
		c.declareDead(other)
	}
}

func (c *Core) declareDead(e *entry) {
	m := e.Member
	m.State = Dead
	c.apply(e, m)
}

// suspect starts the suspicion of a member that answers no probe.
func (c *Core) suspect(name string) {
	e := c.members[name]
	switch {
	case e == nil:
	case e.State == Alive:
		m := e.Member
		m.State = Suspect
		c.apply(e, m)
		c.hint(urgentHints)
	case e.State == Leaving && e.deadline == 0:
		// A leaving member keeps its state, which already keeps new work away from it.
		c.suspectUntil(e, c.now+suspicionTime)
	}
}

func (c *Core) suspectUntil(e *entry, deadline core.Micros) {
	e.deadline = deadline
	c.setTimer(keySuspect+e.Name, deadline)
}

func (c *Core) suspicionOver(name string) {
	e := c.members[name]
	if e == nil || e.deadline == 0 || c.now < e.deadline {
		return
	}
	c.declareDead(e)
}

// heard notes a packet that a member itself sent.
func (c *Core) heard(m Member) {
	c.learn(m)
	if e := c.members[m.Name]; e != nil && e.State == Leaving {
		e.deadline = 0
	}
}

// purge drops dead members after their retention, expired relays and records.
func (c *Core) purge() {
	kept := c.names[:0]
	for _, name := range c.names {
		e := c.members[name]
		if e.Live() || c.now-e.deadSince <= deadRetention {
			kept = append(kept, name)
			continue
		}
		delete(c.members, name)
		c.emit(MemberRemoved{Name: name})
	}
	c.names = kept
	for sequence, r := range c.relays {
		if c.now > r.expires {
			delete(c.relays, sequence)
		}
	}
	c.expireRecords()
}
