package membercore

import (
	"bytes"
	"cmp"
	"math/bits"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// maxUpdates and maxRecords bound what one packet carries.
	maxUpdates = 8
	maxRecords = 4
	// retransmitFactor times log2 of the members is how often one daemon passes an update on.
	retransmitFactor = 3
	// packetBudget is the plain text that fits a packet of 1,200 bytes, less the packet's own fields and the clock.
	packetBudget = 1_100
	// memberOverhead and recordOverhead are the encoded bytes beside the strings.
	memberOverhead = 26
	recordOverhead = 18
	recordLifetime = 1 * core.Hour
	// recordAhead is how far the clock of a record's maker may run ahead.
	recordAhead = 1 * core.Minute
	// keptRecords bounds memory and the full exchange; crashes are rare.
	keptRecords = 1_024
)

// queued is an update that is still to be passed on. The record itself is read when a packet is filled.
type queued struct {
	name   string
	sent   int
	serial uint64
	// urgent updates go before others. After a start of all daemons each has hundreds of joins to pass on for minutes,
	// and a suspicion among them took seconds to reach the last daemons.
	urgent bool
}

type heldRecord struct {
	Record
	sent   int
	serial uint64
}

// enqueue passes the record of a member on from the start.
func (c *Core) enqueue(name string, urgent bool) {
	c.serial++
	update := &queued{name: name, serial: c.serial, urgent: urgent}
	for i, q := range c.queue {
		if q.name == name {
			c.queue[i] = update
			return
		}
	}
	c.queue = append(c.queue, update)
}

func (c *Core) retransmits() int { return retransmitFactor * bits.Len(uint(len(c.names)+1)) }

// send fills a packet with the sender, the generation and what is to be passed on. to is the receiver's name, if known.
func (c *Core) send(address, to string, p Packet) {
	p.Sender, p.Generation = c.self, c.generation
	left := packetBudget - c.self.size()
	if p.Target != nil {
		left -= p.Target.size()
	}
	for _, r := range p.Records {
		left -= r.size()
	}
	// A member must learn that it is held for suspect or dead, to refute it.
	if e := c.members[to]; e != nil && (e.State == Suspect || e.State == Dead) && p.Target == nil {
		p.Updates = append(p.Updates, e.Member)
		left -= e.size()
	}
	c.fillUpdates(&p, to, &left)
	c.fillRecords(&p, &left)
	c.emit(SendPacket{To: address, Packet: p})
}

func (m Member) size() int { return m.stringBytes() + memberOverhead }

func (r Record) size() int { return len(r.Fingerprint) + len(r.Engine) + recordOverhead }

// before orders urgent updates, then the least often sent, and of these the newest, first.
func (q *queued) before(other *queued) int {
	if q.urgent != other.urgent {
		if q.urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(q.sent, other.sent), cmp.Compare(other.serial, q.serial))
}

// fillUpdates takes the updates in the order of before and drops those that were sent often enough.
func (c *Core) fillUpdates(p *Packet, to string, left *int) {
	slices.SortFunc(c.queue, (*queued).before)
	limit := c.retransmits()
	kept := c.queue[:0]
	for _, q := range c.queue {
		m, ok := c.record(q.name)
		if !ok {
			continue
		}
		if q.name != to && q.name != c.self.Name && len(p.Updates) < maxUpdates && m.size() <= *left {
			p.Updates = append(p.Updates, m)
			*left -= m.size()
			q.sent++
		} else if q.name == c.self.Name {
			// Every packet names its sender, which passes this daemon's own record on.
			q.sent++
		}
		if q.sent < limit {
			kept = append(kept, q)
		}
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

func (c *Core) record(name string) (Member, bool) {
	if name == c.self.Name {
		return c.self, true
	}
	e := c.members[name]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

func (c *Core) fillRecords(p *Packet, left *int) {
	limit := c.retransmits()
	var waiting []*heldRecord
	for _, r := range c.records {
		if r.sent < limit {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *heldRecord) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.serial, a.serial))
	})
	for _, r := range waiting {
		if len(p.Records) >= maxRecords || r.size() > *left {
			return
		}
		if slices.ContainsFunc(p.Records, func(o Record) bool { return o.key() == r.key() }) {
			continue
		}
		p.Records = append(p.Records, r.Record)
		*left -= r.size()
		r.sent++
	}
}

// addRecords holds records that were not known and returns them.
func (c *Core) addRecords(records []Record) []Record {
	var fresh []Record
	for _, r := range records {
		if c.records[r.key()] != nil || r.size() > maxMemberBytes || c.expired(r) || r.Made > c.now+recordAhead {
			continue
		}
		c.serial++
		c.records[r.key()] = &heldRecord{Record: r, serial: c.serial}
		fresh = append(fresh, r)
	}
	c.boundRecords()
	return fresh
}

func (c *Core) learnRecords(records []Record) {
	if fresh := c.addRecords(records); len(fresh) > 0 {
		c.emit(RecordsLearned{Records: fresh})
	}
}

func (c *Core) expired(r Record) bool { return c.now-r.Made > recordLifetime }

func (c *Core) expireRecords() {
	for key, r := range c.records {
		if c.expired(r.Record) {
			delete(c.records, key)
		}
	}
}

// boundRecords drops the oldest records over the bound.
func (c *Core) boundRecords() {
	if len(c.records) <= keptRecords {
		return
	}
	for _, r := range c.sortedRecords()[keptRecords:] {
		delete(c.records, r.key())
	}
}

// sortedRecords returns the records, the newest first.
func (c *Core) sortedRecords() []Record {
	out := make([]Record, 0, len(c.records))
	for _, r := range c.records {
		out = append(out, r.Record)
	}
	slices.SortFunc(out, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.Made, a.Made), bytes.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Engine, b.Engine))
	})
	return out
}
