package crashes

import (
	"slices"
	"sync"

	"github.com/carobstile/carobstile/internal/core"
)

// Set holds the crash records and verdicts known to one daemon. It is safe for concurrent use.
type Set struct {
	limit int

	mu      sync.Mutex
	records []Record
	// verdicts maps each fingerprint to the time of its verdict.
	verdicts map[Fingerprint]core.Micros
}

// NewSet returns an empty set. A fingerprint is refused once limit engine incarnations crashed while running it; 0
// disables the limit for records.
func NewSet(limit int) *Set {
	return &Set{limit: limit, verdicts: map[Fingerprint]core.Micros{}}
}

// SetLimit changes the crash limit.
func (s *Set) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// AddResult describes the changes made by Add.
type AddResult struct {
	// New lists the records that were not known before, newest first.
	New []Record
	// ReachedLimit lists the fingerprints whose count reached the crash limit, in the order of New.
	ReachedLimit []Fingerprint
}

// Add merges records into the set and returns those that were new, for dissemination to other daemons. Expired records
// and records more than maxClockSkew in the future are ignored.
func (s *Set) Add(now core.Micros, records ...Record) AddResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	before := s.countEach(records)
	known := make(map[recordKey]bool, len(s.records))
	for i := range s.records {
		known[s.records[i].key()] = true
	}
	s.records = Merge(s.records, slices.DeleteFunc(slices.Clone(records), func(r Record) bool {
		return r.CreatedAt+TTL <= now || r.CreatedAt > now+maxClockSkew
	}))
	return s.added(known, before)
}

func (s *Set) countEach(records []Record) map[Fingerprint]int {
	out := make(map[Fingerprint]int, len(records))
	for _, r := range records {
		out[r.Fingerprint] = s.count(r.Fingerprint)
	}
	return out
}

// added returns the records that are not in known and the fingerprints whose count rose to the limit; before holds the
// previous counts.
func (s *Set) added(known map[recordKey]bool, before map[Fingerprint]int) AddResult {
	var out AddResult
	for _, r := range s.records {
		if known[r.key()] {
			continue
		}
		out.New = append(out.New, r)
		reached := before[r.Fingerprint] < s.limit && s.count(r.Fingerprint) >= s.limit
		if reached && !slices.Contains(out.ReachedLimit, r.Fingerprint) {
			out.ReachedLimit = append(out.ReachedLimit, r.Fingerprint)
		}
	}
	return out
}

// expire drops records and verdicts that are older than TTL.
func (s *Set) expire(now core.Micros) {
	s.records = slices.DeleteFunc(s.records, func(r Record) bool { return r.CreatedAt+TTL <= now })
	for f, made := range s.verdicts {
		if made+TTL <= now {
			delete(s.verdicts, f)
		}
	}
}

// count returns the number of distinct engine incarnations recorded for a fingerprint.
func (s *Set) count(f Fingerprint) int {
	n := 0
	for i := range s.records {
		if s.records[i].Fingerprint == f {
			n++
		}
	}
	return n
}

// Count returns the number of distinct engine incarnations that crashed while they ran the request.
func (s *Set) Count(now core.Micros, f Fingerprint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return s.count(f)
}

// AddVerdict adds a verdict that was read from the platform's store. A verdict more than maxClockSkew in the future is
// ignored, like such records.
func (s *Set) AddVerdict(now core.Micros, f Fingerprint, made core.Micros) {
	if made > now+maxClockSkew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts[f] = max(made, s.verdicts[f])
}

// Refused reports whether the fingerprint has reached the crash limit, by its records or by a verdict.
func (s *Set) Refused(now core.Micros, f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	_, verdict := s.verdicts[f]
	return verdict || s.limit > 0 && s.count(f) >= s.limit
}

// Records returns all valid records, newest first, for dissemination, operators and tests.
func (s *Set) Records(now core.Micros) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return slices.Clone(s.records)
}
