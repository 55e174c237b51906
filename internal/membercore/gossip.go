package membercore

import (
	"bytes"
	"cmp"
	"math/bits"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// maxUpdates and maxRecords limit the member updates and crash records in one packet.
	maxUpdates = 8
	maxRecords = 4
	// retransmitFactor times log2 of the number of members is how often one daemon sends an update.
	retransmitFactor = 3
	// packetBudgetBytes is the plaintext that fits into a packet of 1,200 bytes, less the packet's fixed fields and the
	// clock.
	packetBudgetBytes = 1_100
	// memberOverheadBytes and recordOverheadBytes are the encoded bytes of a member or record beyond its strings.
	memberOverheadBytes = 26
	recordOverheadBytes = 18
	recordLifetime      = 1 * core.Hour
	// maxRecordClockSkew is how far the creation time of a record may lie in the future.
	maxRecordClockSkew = 1 * core.Minute
	// maxStoredRecords limits memory use and the size of a full exchange. Crashes are rare.
	maxStoredRecords = 1_024
)

// queuedUpdate is a pending update about a member. The member's record is looked up when a packet is filled.
type queuedUpdate struct {
	name   string
	sent   int
	serial uint64
	// urgent updates are sent before others. After all daemons start at once, each sends hundreds of join updates for
	// minutes, and a suspicion queued behind them took seconds to reach the last daemons.
	urgent bool
}

type storedRecord struct {
	CrashRecord
	sent   int
	serial uint64
}

// enqueue queues the record of a member for dissemination and resets its transmission count.
func (c *Core) enqueue(name string, urgent bool) {
	c.serial++
	update := &queuedUpdate{name: name, serial: c.serial, urgent: urgent}
	for i, q := range c.queue {
		if q.name == name {
			c.queue[i] = update
			return
		}
	}
	c.queue = append(c.queue, update)
}

func (c *Core) retransmitLimit() int { return retransmitFactor * bits.Len(uint(len(c.names)+1)) }

// send fills in the sender, the generation, pending updates and crash records, and sends the packet. to is the
// receiver's name, or empty if unknown.
func (c *Core) send(address, to string, p Packet) {
	p.Sender, p.Generation = c.self, c.generation
	remaining := packetBudgetBytes - c.self.size()
	if p.Target != nil {
		remaining -= p.Target.size()
	}
	for _, r := range p.Records {
		remaining -= r.size()
	}
	// Tell a member that it is listed as suspect or dead, so that it can refute it.
	if e := c.members[to]; e != nil && (e.State == Suspect || e.State == Dead) && p.Target == nil {
		p.Updates = append(p.Updates, e.Member)
		remaining -= e.size()
	}
	c.fillUpdates(&p, to, &remaining)
	c.fillRecords(&p, &remaining)
	c.emit(SendPacket{To: address, Packet: p})
}

func (m Member) size() int { return m.stringBytes() + memberOverheadBytes }

func (r CrashRecord) size() int {
	return len(r.Fingerprint) + len(r.EngineIncarnation) + recordOverheadBytes
}

// compare orders updates for sending: urgent ones first, then the least often sent, then the newest.
func (q *queuedUpdate) compare(other *queuedUpdate) int {
	if q.urgent != other.urgent {
		if q.urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(q.sent, other.sent), cmp.Compare(other.serial, q.serial))
}

// fillUpdates adds pending updates to the packet in the order of compare, and removes those from the queue that have
// reached the retransmission limit.
func (c *Core) fillUpdates(p *Packet, to string, remaining *int) {
	slices.SortFunc(c.queue, (*queuedUpdate).compare)
	limit := c.retransmitLimit()
	kept := c.queue[:0]
	for _, q := range c.queue {
		m, ok := c.member(q.name)
		if !ok {
			continue
		}
		if q.name != to && q.name != c.self.Name && len(p.Updates) < maxUpdates && m.size() <= *remaining {
			p.Updates = append(p.Updates, m)
			*remaining -= m.size()
			q.sent++
		} else if q.name == c.self.Name {
			// Every packet already carries this daemon's record as its sender.
			q.sent++
		}
		if q.sent < limit {
			kept = append(kept, q)
		}
	}
	clear(c.queue[len(kept):])
	c.queue = kept
}

func (c *Core) member(name string) (Member, bool) {
	if name == c.self.Name {
		return c.self, true
	}
	e := c.members[name]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

func (c *Core) fillRecords(p *Packet, remaining *int) {
	limit := c.retransmitLimit()
	var pending []*storedRecord
	for _, r := range c.records {
		if r.sent < limit {
			pending = append(pending, r)
		}
	}
	slices.SortFunc(pending, func(a, b *storedRecord) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(b.serial, a.serial))
	})
	for _, r := range pending {
		if len(p.Records) >= maxRecords || r.size() > *remaining {
			return
		}
		if slices.ContainsFunc(p.Records, func(o CrashRecord) bool { return o.key() == r.key() }) {
			continue
		}
		p.Records = append(p.Records, r.CrashRecord)
		*remaining -= r.size()
		r.sent++
	}
}

// addRecords stores the records that were not known before and returns them. Oversized, expired and future records are
// ignored.
func (c *Core) addRecords(records []CrashRecord) []CrashRecord {
	var added []CrashRecord
	for _, r := range records {
		if c.records[r.key()] != nil || r.size() > maxMemberBytes || c.expired(r) || r.CreatedAt > c.now+maxRecordClockSkew {
			continue
		}
		c.serial++
		c.records[r.key()] = &storedRecord{CrashRecord: r, serial: c.serial}
		added = append(added, r)
	}
	c.evictOldestRecords()
	return added
}

func (c *Core) storeReceivedRecords(records []CrashRecord) {
	if added := c.addRecords(records); len(added) > 0 {
		c.emit(RecordsLearned{Records: added})
	}
}

func (c *Core) expired(r CrashRecord) bool { return c.now-r.CreatedAt > recordLifetime }

func (c *Core) expireRecords() {
	for key, r := range c.records {
		if c.expired(r.CrashRecord) {
			delete(c.records, key)
		}
	}
}

// evictOldestRecords deletes the oldest records in excess of maxStoredRecords.
func (c *Core) evictOldestRecords() {
	if len(c.records) <= maxStoredRecords {
		return
	}
	for _, r := range c.sortedRecords()[maxStoredRecords:] {
		delete(c.records, r.key())
	}
}

// sortedRecords returns the stored records, newest first.
func (c *Core) sortedRecords() []CrashRecord {
	out := make([]CrashRecord, 0, len(c.records))
	for _, r := range c.records {
		out = append(out, r.CrashRecord)
	}
	slices.SortFunc(out, func(a, b CrashRecord) int {
		return cmp.Or(cmp.Compare(b.CreatedAt, a.CreatedAt), bytes.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.EngineIncarnation, b.EngineIncarnation))
	})
	return out
}
