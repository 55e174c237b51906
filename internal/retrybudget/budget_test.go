package retrybudget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// Guards against more repeats than the bound in any window over all daemons, however requests and repeats are spread.
func TestBoundHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Allowance: 100, Window: 10 * core.Second}
		daemons := rapid.IntRange(1, 5).Draw(t, "daemons")
		now := core.Micros(0)
		budgets := make([]*Budget, daemons)
		for i := range budgets {
			budgets[i] = New(limits, daemons, func() core.Micros { return now })
		}
		var requests, repeats []core.Micros
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += core.Micros(rapid.IntRange(0, 200_000).Draw(t, "pause"))
			b := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if rapid.Bool().Draw(t, "request") {
				b.Counted("s")
				requests = append(requests, now)
				continue
			}
			for range 5 {
				if b.Allow("s") {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			from := end - limits.Window
			bound := limits.Ratio*float64(between(requests, from-limits.Window/2, end)) + float64(limits.Allowance)
			require.LessOrEqual(t, float64(between(repeats, from, end)), bound)
		}
	})
}

func between(times []core.Micros, from, to core.Micros) int {
	n := 0
	for _, t := range times {
		if t > from && t <= to {
			n++
		}
	}
	return n
}

// Guards against a budget that is never available again.
func TestBudgetComesBack(t *testing.T) {
	now := core.Micros(0)
	b := New(Limits{Allowance: 10, Window: 10 * core.Second}, 1, func() core.Micros { return now })
	n := 0
	for b.Allow("s") {
		n++
	}
	require.Equal(t, 8, n, "the part of the allowance that is used")
	require.True(t, b.Allow("other"))
	now += 12 * core.Second
	require.True(t, b.Allow("s"))
}
