package crashes

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// drawRecords draws from few keys and times, so that the sets overlap and reach their bounds.
func drawRecords(t *rapid.T, label string) []Record {
	one := rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Fingerprint: Fingerprint(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "fingerprint")),
			Incarnation: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "incarnation")),
			CreatedAt:   core.Micros(rapid.IntRange(0, 8).Draw(t, "made")),
		}
	})
	return rapid.SliceOfN(one, 0, 12).Draw(t, label)
}

// Guards against daemons that hold different sets after they received the same records in different orders, including
// when the bounds drop records.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRecords(t, "a"), drawRecords(t, "b"), drawRecords(t, "c")
		mergeSmall := func(x, y []Record) []Record { return merge(x, y, 2, 5) }
		require.Equal(t, mergeSmall(a, b), mergeSmall(b, a), "commutative")
		require.Equal(t, mergeSmall(mergeSmall(a, b), c), mergeSmall(a, mergeSmall(b, c)), "associative")
		require.Equal(t, mergeSmall(a, b), mergeSmall(mergeSmall(a, b), b), "idempotent")
	})
}

// Guards against a verdict that counts one crash twice, is not reported, is reported twice, or outlives its TTL, and
// against accepting a record from the future.
func TestVerdictAtLimit(t *testing.T) {
	s := NewSet(2)
	now := 10 * core.Hour
	first := Record{"f", "i1", now}
	require.Len(t, s.Add(now, first, first).New, 1)
	require.Empty(t, s.Add(now, Record{"f", "i1", now + 1}).New, "another report of the same crash")
	require.False(t, s.Refused(now, "f"))
	change := s.Add(now, Record{"f", "i2", now})
	require.Equal(t, []Fingerprint{"f"}, change.ReachedLimit)
	require.True(t, s.Refused(now, "f"))
	require.Empty(t, s.Add(now, Record{"f", "i3", now}).ReachedLimit, "reported once")
	require.False(t, s.Refused(now+TTL+1, "f"))
	require.Empty(t, s.Records(now+TTL+1))
	s.AddVerdict(now, "far", now+TTL)
	require.False(t, s.Refused(now+TTL, "far"), "a verdict from the future outlives its TTL")
	s.AddVerdict(now, "g", now)
	require.True(t, s.Refused(now+1, "g"))
	require.False(t, s.Refused(now+TTL, "g"))
	require.Empty(t, s.Add(now, Record{"h", "i", now + TTL}).New, "time too far in the future")
}
