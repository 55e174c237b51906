package ratelimit

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// Guards against more requests than the limit and what may be saved, over any span, and against a limit that is never admitted
// again after too many were sent.
func TestBucketKeepsToItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 50).Draw(t, "rate")
		var b Bucket
		b.SetRate(0, rate)
		now := core.Micros(0)
		var sent []core.Micros
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += core.Micros(rapid.Int64Range(0, int64(300*core.Millisecond)).Draw(t, "pause"))
			if b.Admits(now, rapid.Float64Range(0, 1).Draw(t, "reserve")) {
				b.Sent(now)
				sent = append(sent, now)
			}
		}
		for i := range sent {
			for j := range sent[i:] {
				span := float64(sent[i+j]-sent[i]) / float64(core.Second)
				most := maxSaved + b.Rate()*(span+float64(savedFor)/float64(core.Second))
				require.LessOrEqual(t, float64(j+1), most+1e-6)
			}
		}
		for b.Admits(now, 0) {
			b.Sent(now)
		}
		for range 5 {
			b.Sent(now)
		}
		require.False(t, b.Admits(now, 0))
		at := b.AdmitsAt(now, 1)
		require.True(t, b.Admits(at, 1))
		require.Less(t, at-now, core.Minute)
	})
}

// Guards against daemons that have the same reserve, or always the same order.
func TestReservesDiffer(t *testing.T) {
	const daemons = 60
	first := map[int]bool{}
	for epoch := range core.Micros(20) {
		lowest, at := 2.0, 0
		for d := range daemons {
			r := Reserve(epoch*reserveEpoch, uint64(d), 7)
			require.True(t, r >= 0 && r < 1)
			if r < lowest {
				lowest, at = r, d
			}
		}
		first[at] = true
	}
	require.Greater(t, len(first), 10)
}
