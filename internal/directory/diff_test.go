package directory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/platform"
)

func randomImage(t *rapid.T, label string, revision uint64) Image {
	out := Image{Kind: "k", Revision: revision, Objects: map[string]platform.Object{}}
	for _, n := range rapid.SliceOfN(rapid.IntRange(0, 99), 0, 60).Draw(t, label) {
		name := fmt.Sprint("s", n)
		out.Objects[name] = platform.Object{Name: name, Version: uint64(rapid.IntRange(1, 2).Draw(t, "version"))}
	}
	return out
}

// Guards against a daemon whose objects differ from its neighbour's after it merged the buckets that differed.
func TestDiffMakesImagesEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mine, theirs := randomImage(t, "mine", 1), randomImage(t, "theirs", 2)
		require.Equal(t, theirs, mine.merge(theirs.Diff(0, mine.Digests())))
		require.Equal(t, theirs, mine.merge(theirs.Diff(0, nil)))
	})
}

// Guards against transfers that grow with the number of servers: when one of 3,000 servers changed, all of them, 0.9
// MB, were sent to each daemon that had missed the change.
func TestDiffOfOneChangeIsSmall(t *testing.T) {
	const servers = 3_000
	mine := Image{Objects: map[string]platform.Object{}}
	for i := range servers {
		name := fmt.Sprint("i-", i)
		mine.Objects[name] = platform.Object{Name: name, Version: 1}
	}
	theirs := mine.apply(platform.Watch{Revision: 2, Objects: []platform.Object{{Name: "i-7", Version: 2}}})
	diff := theirs.Diff(0, mine.Digests())
	require.False(t, diff.Full)
	require.Contains(t, diff.Objects, "i-7")
	require.Less(t, len(diff.Objects), servers/20)
}
