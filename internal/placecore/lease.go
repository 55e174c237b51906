package placecore

import "github.com/carobstile/carobstile/internal/core"

// Time limits of the lease. A holder stops acting, by its own clock, well before another process may take the lease over,
// so that clock drift cannot lead to two active holders.
const (
	// renewInterval is the time between renewals.
	renewInterval = 5 * core.Second
	// holderTTL is the time for which a holder may act, from the start of its last confirmed write.
	holderTTL = 10 * core.Second
	// takeoverAfter is the time for which the lease must be unchanged before another process may take it over: the lease
	// duration of 15 s plus 5 s for clock drift and orders in flight.
	takeoverAfter = 20 * core.Second
	// readInterval is the time between reads while another process holds the lease.
	readInterval = 5 * core.Second
	// responseTimeout is the time after which an outstanding response is considered lost.
	responseTimeout = 8 * core.Second
)

// leaseState is this process's view of the lease.
type leaseState struct {
	name string
	// lease and version are the last ones read or written. known is false before the first read and after a loss or
	// conflict, until the next read.
	known   bool
	lease   Lease
	version uint64
	// changedAt is the time, by this process's clock, at which version was first read or, for an own write, requested.
	changedAt core.Micros
	// held is true from a confirmed acquisition until the loss of the lease. The lease is valid until validUntil only.
	held       bool
	validUntil core.Micros
	// pendingWrite is the write whose outcome is not known yet. requestedAt is the time of its request or, if no write is
	// pending, that of the last read.
	pendingWrite  *Lease
	readPending   bool
	requestedAt   core.Micros
	nextRequestAt core.Micros
}

// active reports whether this process may act as the holder.
func (s *leaseState) active(now core.Micros) bool { return s.held && now < s.validUntil }

// tick expires the lease if it is no longer valid and emits the next request of the lease protocol.
func (s *leaseState) tick(ev Tick) []Effect {
	var out []Effect
	if s.held && ev.Now >= s.validUntil {
		out = append(out, s.markLost())
	}
	if s.awaitingResponse(ev.Now) || ev.Now < s.nextRequestAt {
		return out
	}
	switch {
	case s.pendingWrite != nil:
		// The outcome of the write is unknown; a read must determine it before the next write.
		return append(out, s.read(ev.Now))
	case s.held:
		return append(out, s.write(ev.Now, s.renewal()))
	case !ev.Candidate:
		return out
	case s.known && s.available(ev.Now):
		next := Lease{Holder: s.name, AttemptID: ev.AttemptID, Epoch: s.lease.Epoch + 1}
		return append(out, s.write(ev.Now, next))
	default:
		return append(out, s.read(ev.Now))
	}
}

// awaitingResponse reports whether a response is outstanding and responseTimeout has not passed.
func (s *leaseState) awaitingResponse(now core.Micros) bool {
	return (s.readPending || s.pendingWrite != nil) && now < s.requestedAt+responseTimeout
}

// available reports whether the lease may be acquired: it was released, or it has not changed for takeoverAfter.
func (s *leaseState) available(now core.Micros) bool {
	return now >= s.availableAt()
}

// availableAt returns the time from which on the lease may be acquired if it does not change.
func (s *leaseState) availableAt() core.Micros {
	if s.lease.Holder == "" {
		return 0
	}
	return s.changedAt + takeoverAfter
}

func (s *leaseState) renewal() Lease {
	next := s.lease
	next.Renewals++
	return next
}

func (s *leaseState) read(now core.Micros) Effect {
	s.readPending, s.nextRequestAt = true, now+readInterval
	if s.pendingWrite == nil {
		s.requestedAt = now // a pending write keeps its request time, from which the lease is valid
	}
	return ReadLease{}
}

func (s *leaseState) write(now core.Micros, next Lease) Effect {
	s.pendingWrite, s.requestedAt, s.nextRequestAt = &next, now, now+renewInterval
	return WriteLease{IfVersion: s.version, Lease: next}
}

// markLost records the loss of the lease and returns the change of role.
func (s *leaseState) markLost() Effect {
	s.held, s.known = false, false
	return RoleChanged{Active: false, Epoch: s.lease.Epoch}
}

// onWritten processes the result of a write.
func (s *leaseState) onWritten(ev LeaseWritten) []Effect {
	if s.pendingWrite == nil {
		return nil
	}
	switch ev.Result {
	case WriteOK:
		return s.onWriteConfirmed(ev.Version)
	case WriteUnknown:
		// The write may have taken effect; a read determines this before the next write.
		s.readPending = true
		return []Effect{ReadLease{}}
	case WriteConflict:
		s.pendingWrite, s.known = nil, false
		s.nextRequestAt = ev.Now
		if s.held {
			return []Effect{s.markLost()}
		}
		return nil
	default:
		s.pendingWrite = nil
		s.nextRequestAt = ev.Now + core.Second
		return nil
	}
}

// onWriteConfirmed records that the pending write took effect. The lease is valid from the time the write was requested.
func (s *leaseState) onWriteConfirmed(version uint64) []Effect {
	s.lease, s.version, s.known = *s.pendingWrite, version, true
	s.pendingWrite, s.readPending = nil, false
	s.changedAt, s.validUntil = s.requestedAt, s.requestedAt+holderTTL
	if s.lease.Holder == "" {
		return nil
	}
	if s.held {
		return nil
	}
	s.held = true
	return []Effect{RoleChanged{Active: true, Epoch: s.lease.Epoch}}
}

// onRead processes the result of a read. Reads may be stale, so a version lower than the known one is ignored.
func (s *leaseState) onRead(ev LeaseRead) []Effect {
	s.readPending = false
	if ev.Failed || ev.Version < s.version {
		s.nextRequestAt = ev.Now + core.Second
		return nil
	}
	if p := s.pendingWrite; p != nil && ev.Lease == *p {
		return s.onWriteConfirmed(ev.Version)
	}
	hadPendingWrite := s.pendingWrite != nil
	s.pendingWrite = nil
	if s.held && (ev.Lease.AttemptID != s.lease.AttemptID || ev.Lease.Holder != s.name) {
		s.recordRead(ev)
		effect := s.markLost()
		s.known = true
		return []Effect{effect}
	}
	if hadPendingWrite {
		s.nextRequestAt = ev.Now + core.Second
	}
	s.recordRead(ev)
	if !hadPendingWrite && !s.held {
		// Without this, a takeover waits for up to a whole readInterval after the lease has become available.
		s.nextRequestAt = min(s.nextRequestAt, max(ev.Now, s.availableAt()))
	}
	return nil
}

func (s *leaseState) recordRead(ev LeaseRead) {
	if !s.known || ev.Version != s.version {
		s.changedAt = ev.Now
	}
	s.known, s.version, s.lease = true, ev.Version, ev.Lease
}
