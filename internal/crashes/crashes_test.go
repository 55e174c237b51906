package crashes

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// fewRecords draws from few keys and times, so that sets overlap and reach their bounds.
func fewRecords(t *rapid.T, label string) []Record {
	one := rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Fingerprint: Fingerprint(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "fingerprint")),
			Incarnation: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "incarnation")),
			Made:        core.Micros(rapid.IntRange(0, 8).Draw(t, "made")),
		}
	})
	return rapid.SliceOfN(one, 0, 12).Draw(t, label)
}

// Guards against daemons that hold different sets after they received the same records in different orders, also
// where the bounds drop some.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := fewRecords(t, "a"), fewRecords(t, "b"), fewRecords(t, "c")
		small := func(x, y []Record) []Record { return merge(x, y, 2, 5) }
		require.Equal(t, small(a, b), small(b, a), "commutative")
		require.Equal(t, small(small(a, b), c), small(a, small(b, c)), "associative")
		require.Equal(t, small(a, b), small(small(a, b), b), "idempotent")
	})
}

// Guards against a verdict that counts one crash twice, is never reported, or outlives its hour.
func TestVerdictAtLimit(t *testing.T) {
	s := NewSet(2)
	now := 10 * core.Hour
	first := Record{"f", "i1", now}
	require.Len(t, s.Add(now, first, first).New, 1)
	require.Empty(t, s.Add(now, Record{"f", "i1", now + 1}).New, "another observer of the same crash")
	require.False(t, s.Refused(now, "f"))
	change := s.Add(now, Record{"f", "i2", now})
	require.Equal(t, []Fingerprint{"f"}, change.Reached)
	require.True(t, s.Refused(now, "f"))
	require.Empty(t, s.Add(now, Record{"f", "i3", now}).Reached, "reported once")
	require.False(t, s.Refused(now+Life+1, "f"))
	require.Empty(t, s.Records(now+Life+1))
	s.AddVerdict("g", now)
	require.True(t, s.Refused(now+1, "g"))
	require.False(t, s.Refused(now+Life, "g"))
	require.Empty(t, s.Add(now, Record{"h", "i", now + Life}).New, "a clock far ahead")
}
