package crashes

import (
	"cmp"
	"slices"
	"sync"

	"github.com/carobstile/carobstile/internal/core"
)

// transmissions is how often a new record is sent along with membership packets. Each packet goes to one member; with
// 360 daemons, 3*log2(360) sends reach nearly all, and the full exchange of tables reaches the rest.
const transmissions = 26

// Set is the records and verdicts known to one daemon. It is safe for concurrent use.
type Set struct {
	limit int

	mu      sync.Mutex
	records []Record
	// sends counts the transmissions left of each record.
	sends map[recordKey]int
	// verdicts holds when the verdict of a fingerprint was made.
	verdicts map[Fingerprint]core.Micros
}

// NewSet returns an empty set with a crash limit.
func NewSet(limit int) *Set {
	return &Set{limit: limit, sends: map[recordKey]int{}, verdicts: map[Fingerprint]core.Micros{}}
}

// SetLimit changes the crash limit.
func (s *Set) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// Change is what an addition brought.
type Change struct {
	// New are the records that were not known, newest first.
	New []Record
	// Reached are the fingerprints that reached the limit by it, in order of New.
	Reached []Fingerprint
}

// Add merges records into the set and schedules new ones for dissemination. Expired records are ignored, and so are
// records from further ahead than clocks may differ.
func (s *Set) Add(now core.Micros, records ...Record) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	before := s.counts(records)
	known := make(map[recordKey]bool, len(s.records))
	for i := range s.records {
		known[s.records[i].key()] = true
	}
	s.records = Merge(s.records, slices.DeleteFunc(slices.Clone(records), func(r Record) bool {
		return r.Made+Life <= now || r.Made > now+maxAhead
	}))
	return s.change(known, before)
}

func (s *Set) counts(records []Record) map[Fingerprint]int {
	out := make(map[Fingerprint]int, len(records))
	for _, r := range records {
		out[r.Fingerprint] = s.count(r.Fingerprint)
	}
	return out
}

// change compares the set with what was known before, and forgets the transmissions of records that were pushed out.
func (s *Set) change(known map[recordKey]bool, before map[Fingerprint]int) Change {
	var out Change
	sends := make(map[recordKey]int, len(s.sends))
	for _, r := range s.records {
		if left, ok := s.sends[r.key()]; ok {
			sends[r.key()] = left
		}
		if known[r.key()] {
			continue
		}
		sends[r.key()] = transmissions
		out.New = append(out.New, r)
		reached := before[r.Fingerprint] < s.limit && s.count(r.Fingerprint) >= s.limit
		if reached && !slices.Contains(out.Reached, r.Fingerprint) {
			out.Reached = append(out.Reached, r.Fingerprint)
		}
	}
	s.sends = sends
	return out
}

// expire drops records and verdicts past their life.
func (s *Set) expire(now core.Micros) {
	s.records = slices.DeleteFunc(s.records, func(r Record) bool {
		expired := r.Made+Life <= now
		if expired {
			delete(s.sends, r.key())
		}
		return expired
	})
	for f, made := range s.verdicts {
		if made+Life <= now {
			delete(s.verdicts, f)
		}
	}
}

// count returns the number of distinct engine incarnations of a fingerprint.
func (s *Set) count(f Fingerprint) int {
	n := 0
	for i := range s.records {
		if s.records[i].Fingerprint == f {
			n++
		}
	}
	return n
}

// Count returns the number of distinct engine incarnations that died while they ran the fingerprint.
func (s *Set) Count(now core.Micros, f Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return s.count(f)
}

// AddVerdict takes in a verdict read from the platform.
func (s *Set) AddVerdict(f Fingerprint, made core.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts[f] = max(made, s.verdicts[f])
}

// Refused reports whether the fingerprint has reached the crash limit, by records or by a verdict.
func (s *Set) Refused(now core.Micros, f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	_, verdict := s.verdicts[f]
	return verdict || s.limit > 0 && s.count(f) >= s.limit
}

// Records returns all records, newest first, for the exchange of full tables.
func (s *Set) Records(now core.Micros) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return slices.Clone(s.records)
}

// ToSend returns at most n records to put into the next packet, those sent least first, and counts the transmission.
func (s *Set) ToSend(now core.Micros, n int) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if len(s.sends) == 0 {
		return nil
	}
	out := make([]Record, 0, len(s.sends))
	for _, r := range s.records {
		if s.sends[r.key()] > 0 {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b Record) int { return cmp.Compare(s.sends[b.key()], s.sends[a.key()]) })
	out = out[:min(len(out), n)]
	for i := range out {
		s.sent(out[i].key())
	}
	return out
}

func (s *Set) sent(key recordKey) {
	s.sends[key]--
	if s.sends[key] == 0 {
		delete(s.sends, key)
	}
}
