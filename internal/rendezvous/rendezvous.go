// Package rendezvous ranks names for a key by rendezvous (highest random weight) hashing. All processes that know the
// same names compute the same ranking, and a name that comes or goes changes the rank of no other pair.
package rendezvous

import (
	"sort"

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

// Top returns the n names with the highest scores for a key, highest first; ties go by name.
func Top(key string, names []string, n int) []string {
	out := append([]string(nil), names...)
	sort.Slice(out, func(i, j int) bool {
		a, b := Score(key, out[i]), Score(key, out[j])
		if a != b {
			return a > b
		}
		return out[i] < out[j]
	})
	return out[:min(n, len(out))]
}
