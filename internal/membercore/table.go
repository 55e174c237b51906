package membercore

import (
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// maxMemberBytes limits the total length of a member's strings, so that the sender, the target and one update always
// fit into a packet.
const maxMemberBytes = 256

func (m Member) valid() bool {
	return m.Name != "" && m.Address != "" && m.stringBytes() <= maxMemberBytes
}

func (m Member) stringBytes() int {
	return len(m.Name) + len(m.Address) + len(m.Region) + len(m.FailureDomain)
}

// supersedes reports whether m replaces old: it has a higher incarnation, or the same one and a state of higher rank.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.State.rank() > old.State.rank()
}

// applyUpdate applies a received member record: it adds or updates the member, queues an unverified report of its
// death, or refutes a record about this daemon.
func (c *Core) applyUpdate(m Member) {
	switch e := c.members[m.Name]; {
	case !m.valid():
	case m.Name == c.self.Name:
		c.refute(m)
	case e == nil:
		c.addMember(m)
	case m.State == Dead && e.TakesWork():
		c.queueClaimVerification(e, m)
	case m.supersedes(e.Member):
		c.storeMember(e, m)
	}
}

// queueClaimVerification queues a record that reports a live member as suspect or dead, to be verified by a probe that
// carries it. The member either refutes the record or is suspected. The timeout of an existing suspicion is not
// changed.
//
// After a network partition each side lists the other as dead, and adopting these records would declare every daemon
// dead. Detection of real failures is not delayed, since the preceding suspicion spreads to all daemons and times out
// at each of them.
func (c *Core) queueClaimVerification(e *entry, claim Member) {
	if e.State == Suspect || !claim.supersedes(e.Member) {
		return
	}
	for i, old := range c.unverifiedClaims {
		if old.Name == claim.Name {
			c.unverifiedClaims[i] = claim
			return
		}
	}
	c.unverifiedClaims = append(c.unverifiedClaims, claim)
}

// refute raises this daemon's incarnation if m is a false record of it, and disseminates its own record. A record with
// another address is reported as a name conflict.
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
	c.sendHints(originFanout)
}

// addMember adds an unknown member. Unknown dead members are ignored, since full exchanges would spread them for ever.
func (c *Core) addMember(m Member) {
	if !m.Live() {
		return
	}
	index, _ := slices.BinarySearch(c.names, m.Name)
	c.names = slices.Insert(c.names, index, m.Name)
	e := &entry{}
	c.members[m.Name] = e
	c.storeMember(e, m)
}

// storeMember replaces the record of a member and disseminates the new one.
func (c *Core) storeMember(e *entry, m Member) {
	old := e.Member
	e.Member = m
	e.deadline = 0
	switch m.State {
	case Suspect:
		c.suspectUntil(e, c.now+suspicionTimeout)
	case Dead:
		e.deadSince = c.now
	}
	immediate := m.State == Suspect || old.State == Suspect && m.Live() || m.State == Leaving && old.State == Alive
	c.enqueue(m.Name, immediate || m.State == Dead)
	c.emit(MemberChanged{Member: m, Previous: old.State})
	if immediate {
		c.sendHints(relayFanout)
	}
	if m.Live() && (!old.Live() || old.Address != m.Address) {
		c.resolveAddressConflict(e)
	}
}

// resolveAddressConflict declares all but one of the live members at an address dead. This daemon keeps its own
// address; otherwise the member with the highest incarnation does. Such a conflict arises when a host is replaced under
// a new name.
func (c *Core) resolveAddressConflict(e *entry) {
	if e.Address == c.self.Address {
		c.markDead(e)
		return
	}
	for _, name := range c.names {
		other := c.members[name]
		if other == e || !other.Live() || other.Address != e.Address {
			continue
		}
		if other.Incarnation > e.Incarnation {
			c.markDead(e)
			return
		}
		c.markDead(other)
	}
}

func (c *Core) markDead(e *entry) {
	m := e.Member
	m.State = Dead
	c.storeMember(e, m)
}

// markSuspect starts the suspicion of a member that answered neither direct nor indirect probes.
func (c *Core) markSuspect(name string) {
	e := c.members[name]
	switch {
	case e == nil:
	case e.State == Alive:
		m := e.Member
		m.State = Suspect
		c.storeMember(e, m)
		c.sendHints(originFanout)
	case e.State == Leaving && e.deadline == 0:
		// A leaving member keeps its state, in which it gets no new work.
		c.suspectUntil(e, c.now+suspicionTimeout)
	}
}

func (c *Core) suspectUntil(e *entry, deadline core.Micros) {
	e.deadline = deadline
	c.setTimer(keySuspect+e.Name, deadline)
}

func (c *Core) handleSuspicionTimeout(name string) {
	e := c.members[name]
	if e == nil || e.deadline == 0 || c.now < e.deadline {
		return
	}
	c.markDead(e)
}

// applyDirectUpdate applies a record that the member itself sent, which ends the suspicion of a leaving member.
func (c *Core) applyDirectUpdate(m Member) {
	c.applyUpdate(m)
	if e := c.members[m.Name]; e != nil && e.State == Leaving {
		e.deadline = 0
	}
}

// purge removes dead members after deadRetention, and expired relays and crash records.
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
