// Package rendezvous ranks names for a key by rendezvous (highest random weight) hashing. All processes that know the
// same names compute the same ranking, and a name that comes or goes changes the rank of no other pair.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of a name for a key.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // a Digest never returns an error
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// scored is a name with its weight for a key.
type scored struct {
	name  string
	score uint64
}

func (s scored) before(o scored) bool {
	return s.score > o.score || s.score == o.score && s.name < o.name
}

// Top returns the n names with the highest scores for a key, highest first; ties go by name. Each name is scored once.
func Top(key string, names []string, n int) []string {
	n = max(0, min(n, len(names)))
	top := make([]scored, 0, n+1)
	for _, name := range names {
		s := scored{name: name, score: Score(key, name)}
		if len(top) == n && (n == 0 || !s.before(top[n-1])) {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, s, func(a, b scored) int {
			if a.before(b) {
				return -1
			}
			return 1
		})
		top = slices.Insert(top, at, s)[:min(n, len(top)+1)]
	}
	out := make([]string, len(top))
	for i := range top {
		out[i] = top[i].name
	}
	return out
}

// First returns the name with the highest score for a key, "" if there is none.
func First(key string, names []string) string {
	best := scored{}
	for i, name := range names {
		if s := (scored{name: name, score: Score(key, name)}); i == 0 || s.before(best) {
			best = s
		}
	}
	return best.name
}
