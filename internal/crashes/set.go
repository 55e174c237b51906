package crashes

import (
	"slices"
	"sync"

	"github.com/carobstile/carobstile/internal/core"
)

// Set is the records and verdicts known to one daemon. It is safe for concurrent use.
type Set struct {
	limit int

	mu      sync.Mutex
	records []Record
	// verdicts holds when the verdict of a fingerprint was made.
	verdicts map[Fingerprint]core.Micros
}

// NewSet returns an empty set with a crash limit.
func NewSet(limit int) *Set {
	return &Set{limit: limit, verdicts: map[Fingerprint]core.Micros{}}
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

// Add merges records into the set and says which were new; membership disseminates them. Expired records are ignored,
// and so are records from further ahead than clocks may differ.
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

// change compares the set with what was known before.
func (s *Set) change(known map[recordKey]bool, before map[Fingerprint]int) Change {
	var out Change
	for _, r := range s.records {
		if known[r.key()] {
			continue
		}
		out.New = append(out.New, r)
		reached := before[r.Fingerprint] < s.limit && s.count(r.Fingerprint) >= s.limit
		if reached && !slices.Contains(out.Reached, r.Fingerprint) {
			out.Reached = append(out.Reached, r.Fingerprint)
		}
	}
	return out
}

// expire drops records and verdicts past their life.
func (s *Set) expire(now core.Micros) {
	s.records = slices.DeleteFunc(s.records, func(r Record) bool { return r.Made+Life <= now })
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

// Records returns all records, newest first, for operators and tests.
func (s *Set) Records(now core.Micros) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return slices.Clone(s.records)
}
