package edge

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// shareLease is how long a daemon uses its share of the retry budget without a list of the daemons from the store, if it does not hear
// all others. It is shorter than deadDaemonTimeout, after which others take a silent daemon off the list and divide its share.
const shareLease = 30 * time.Second

// sharers are the daemons among which the allowance of the retry budget is divided. A daemon that is silent may be cut off and use its
// share, so that it counts until the store no longer lists it; and one that may be taken off the list itself gives its share up. Without
// that, each part of a divided deployment would use the whole allowance.
type sharers struct {
	self string
	// retain is how long a daemon counts after it was last heard or listed: a stopping one uses its share until it ends, and what it
	// has used counts for a window.
	retain time.Duration

	mu sync.Mutex
	// seen is when each daemon became known, was heard or was listed, whichever is latest.
	seen     map[string]time.Time
	listedAt time.Time
	// allHeard is set while all counted daemons are heard.
	allHeard bool
}

func newSharers(self string, retain time.Duration) *sharers {
	return &sharers{self: self, retain: retain, seen: map[string]time.Time{}}
}

// heard applies the daemons that are known, and those of them that are heard at the moment.
func (s *sharers) heard(now time.Time, known, live []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range known {
		if _, ok := s.seen[name]; !ok {
			s.seen[name] = now
		}
	}
	for _, name := range live {
		s.seen[name] = now
	}
	s.allHeard = true
	for name := range s.seen {
		s.allHeard = s.allHeard && slices.Contains(live, name)
	}
}

// listed applies the daemons that the store lists, and forgets those that are not among them any more.
func (s *sharers) listed(now time.Time, names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listedAt = now
	for _, name := range names {
		s.seen[name] = now
	}
	maps.DeleteFunc(s.seen, func(_ string, at time.Time) bool { return now.Sub(at) > s.retain })
}

// count returns the number of daemons that share the allowance, including this one; 0 if this daemon may not use its share.
func (s *sharers) count(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := len(s.seen)
	if _, ok := s.seen[s.self]; ok {
		others--
	}
	listed := !s.listedAt.IsZero() && now.Sub(s.listedAt) <= shareLease
	if !listed && (others == 0 || !s.allHeard) {
		return 0
	}
	return others + 1
}
