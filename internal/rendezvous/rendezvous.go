// Package rendezvous ranks names for a key by rendezvous (highest random weight) hashing. All processes with the same
// names compute the same ranking, and adding or removing a name does not change the relative order of the others.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the hash weight of a name for a key.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key) // a Digest never returns an error
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// scoredName is a name with its score for a key.
type scoredName struct {
	name  string
	score uint64
}

func (s scoredName) ranksBefore(o scoredName) bool {
	return s.score > o.score || s.score == o.score && s.name < o.name
}

// Top returns the n names with the highest scores for a key, highest first; ties are broken by name. Each name is
// scored once.
func Top(key string, names []string, n int) []string {
	n = max(0, min(n, len(names)))
	top := make([]scoredName, 0, n+1)
	for _, name := range names {
		s := scoredName{name: name, score: Score(key, name)}
		if len(top) == n && (n == 0 || !s.ranksBefore(top[n-1])) {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, s, func(a, b scoredName) int {
			if a.ranksBefore(b) {
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

// First returns the name with the highest score for a key, or "" if names is empty.
func First(key string, names []string) string {
	best := scoredName{}
	for i, name := range names {
		if s := (scoredName{name: name, score: Score(key, name)}); i == 0 || s.ranksBefore(best) {
			best = s
		}
	}
	return best.name
}
