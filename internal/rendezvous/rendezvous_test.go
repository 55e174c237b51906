package rendezvous_test

import (
	"cmp"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/rendezvous"
)

// Guards against a ranking that differs from a full sort of the names by score, and against a First that differs from
// the head of Top.
func TestTopMatchesFullSort(t *testing.T) {
	for count := range 12 {
		var names []string
		for i := range count {
			names = append(names, "n"+strconv.Itoa(i))
		}
		for key := range 20 {
			k := strconv.Itoa(key)
			sorted := slices.Clone(names)
			slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(rendezvous.Score(k, b), rendezvous.Score(k, a)) })
			for n := range count + 2 {
				require.Equal(t, append([]string{}, sorted[:min(n, count)]...), rendezvous.Top(k, names, n))
			}
			if count > 0 {
				require.Equal(t, sorted[0], rendezvous.First(k, names))
			}
		}
	}
	require.Empty(t, rendezvous.First("k", nil))
}

func BenchmarkFirstOf60(b *testing.B) {
	var names []string
	for i := range 60 {
		names = append(names, "edge-zone-"+strconv.Itoa(i))
	}
	for b.Loop() {
		rendezvous.First("i-80952321a1", names)
	}
}
