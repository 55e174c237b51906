package placecore

import "github.com/carobstile/carobstile/internal/core"

// Times of the lease. A holder stops by its own clock well before others may take the lease over, so that clocks that
// run at slightly different rates cannot make two holders.
const (
	// renewEvery is the pause between renewals.
	renewEvery = 5 * core.Second
	// holderTTL is how long after the start of its last confirmed write a holder may act.
	holderTTL = 10 * core.Second
	// takeoverAfter is how long the lease must stay unchanged before another process takes it: the lease of 15 s plus
	// 5 s for clock drift and orders under way.
	takeoverAfter = 20 * core.Second
	// readEvery is the pause between reads while another process holds the lease.
	readEvery = 5 * core.Second
	// callTimeout ends the wait for an answer that never came.
	callTimeout = 8 * core.Second
)

// leaseState is this process's view of the lease.
type leaseState struct {
	name string
	// lease and version were last read or written; known is false before the first read.
	known   bool
	lease   Lease
	version uint64
	// changedAt is when version was first seen, by this process's clock.
	changedAt core.Micros
	// held is true between a confirmed acquisition and its loss. validUntil bounds it.
	held       bool
	validUntil core.Micros
	// pending is the write under way; sentAt is when it was asked for.
	pending *Lease
	reading bool
	sentAt  core.Micros
	nextAt  core.Micros
}

// active reports whether this process may act as the holder.
func (s *leaseState) active(now core.Micros) bool { return s.held && now < s.validUntil }

// tick emits the next step of the lease protocol.
func (s *leaseState) tick(ev Tick) []Effect {
	var out []Effect
	if s.held && ev.Now >= s.validUntil {
		out = append(out, s.lose())
	}
	if s.waiting(ev.Now) || ev.Now < s.nextAt {
		return out
	}
	switch {
	case s.pending != nil:
		// The outcome of a write is still open: nothing is written before a read has settled it.
		return append(out, s.read(ev.Now))
	case s.held:
		return append(out, s.write(ev.Now, s.renewed()))
	case !ev.Candidate:
		return out
	case s.known && s.free(ev.Now):
		next := Lease{Holder: s.name, AttemptID: ev.AttemptID, Epoch: s.lease.Epoch + 1}
		return append(out, s.write(ev.Now, next))
	default:
		return append(out, s.read(ev.Now))
	}
}

// waiting reports whether an answer is outstanding that may still come.
func (s *leaseState) waiting(now core.Micros) bool {
	return (s.reading || s.pending != nil) && now < s.sentAt+callTimeout
}

// free reports whether the lease may be taken: it was given back, or it has not changed for takeoverAfter.
func (s *leaseState) free(now core.Micros) bool {
	return s.lease.Holder == "" || now >= s.changedAt+takeoverAfter
}

func (s *leaseState) renewed() Lease {
	next := s.lease
	next.Renewals++
	return next
}

func (s *leaseState) read(now core.Micros) Effect {
	s.reading, s.nextAt = true, now+readEvery
	if s.pending == nil {
		s.sentAt = now // a pending write keeps the time it was asked for, from which the lease counts
	}
	return ReadLease{}
}

func (s *leaseState) write(now core.Micros, next Lease) Effect {
	s.pending, s.sentAt, s.nextAt = &next, now, now+renewEvery
	return WriteLease{IfVersion: s.version, Lease: next}
}

func (s *leaseState) lose() Effect {
	s.held, s.known = false, false
	return RoleChanged{Active: false, Epoch: s.lease.Epoch}
}

// onWritten takes in the answer to a write.
func (s *leaseState) onWritten(ev LeaseWritten) []Effect {
	if s.pending == nil {
		return nil
	}
	switch ev.Result {
	case WriteOK:
		return s.confirmed(ev.Version)
	case WriteUnknown:
		// The write may have taken effect: find out by reading before anything else is written.
		s.reading = true
		return []Effect{ReadLease{}}
	case WriteConflict:
		s.pending, s.known = nil, false
		s.nextAt = ev.Now
		if s.held {
			return []Effect{s.lose()}
		}
		return nil
	default:
		s.pending = nil
		s.nextAt = ev.Now + core.Second
		return nil
	}
}

// confirmed records a write of ours that took effect. The lease counts from when the write was asked for.
func (s *leaseState) confirmed(version uint64) []Effect {
	s.lease, s.version, s.known = *s.pending, version, true
	s.pending, s.reading = nil, false
	s.changedAt, s.validUntil = s.sentAt, s.sentAt+holderTTL
	if s.lease.Holder == "" {
		return nil
	}
	if s.held {
		return nil
	}
	s.held = true
	return []Effect{RoleChanged{Active: true, Epoch: s.lease.Epoch}}
}

// onRead takes in the stored lease. A read older than what is known is dropped, because reads may be stale.
func (s *leaseState) onRead(ev LeaseRead) []Effect {
	s.reading = false
	if ev.Failed || ev.Version < s.version {
		s.nextAt = ev.Now + core.Second
		return nil
	}
	if p := s.pending; p != nil && ev.Lease == *p {
		return s.confirmed(ev.Version)
	}
	pending := s.pending != nil
	s.pending = nil
	if s.held && (ev.Lease.AttemptID != s.lease.AttemptID || ev.Lease.Holder != s.name) {
		s.observe(ev)
		effect := s.lose()
		s.known = true
		return []Effect{effect}
	}
	if pending {
		s.nextAt = ev.Now + core.Second
	}
	s.observe(ev)
	if !pending && s.free(ev.Now) {
		s.nextAt = ev.Now
	}
	return nil
}

func (s *leaseState) observe(ev LeaseRead) {
	if !s.known || ev.Version != s.version {
		s.changedAt = ev.Now
	}
	s.known, s.version, s.lease = true, ev.Version, ev.Lease
}
