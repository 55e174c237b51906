package retrybudget

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// Guards against more retries over all daemons than the bound allows in any window, for random sequences of requests
// and retries that are sent long after they were allowed, or never.
func TestBoundHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Allowance: 100, Window: 10 * core.Second}
		daemons := rapid.IntRange(1, 5).Draw(t, "daemons")
		now := core.Micros(0)
		budgets := make([]*Budget, daemons)
		for i := range budgets {
			budgets[i] = New(limits, func() core.Micros { return now })
			budgets[i].SetDaemons(daemons)
		}
		now = core.Micros(rapid.IntRange(0, 20).Draw(t, "age")) * core.Second
		var requests, retries []core.Micros
		var waiting []*Permit
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += core.Micros(rapid.IntRange(0, 200_000).Draw(t, "pause"))
			b := budgets[rapid.IntRange(0, daemons-1).Draw(t, "daemon")]
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest("s")
				requests = append(requests, now)
				continue
			}
			for range 5 {
				reserve := b.Reserve
				if rapid.Bool().Draw(t, "held") {
					reserve = b.ReserveHeld
				}
				if p := reserve("s"); p != nil {
					waiting = append(waiting, p)
				}
			}
			for n := rapid.IntRange(0, len(waiting)).Draw(t, "sent"); n > 0; n-- {
				if waiting[0].Spend() {
					retries = append(retries, now)
				}
				waiting = waiting[1:]
			}
			if len(waiting) > 0 && rapid.Bool().Draw(t, "given up") {
				waiting[0].Release()
				waiting = waiting[1:]
			}
		}
		for _, end := range retries {
			from := end - limits.Window
			bound := limits.Ratio*float64(countBetween(requests, from-limits.Window/2, end)) + limits.Allowance
			require.LessOrEqual(t, float64(countBetween(retries, from, end)), bound)
		}
	})
}

// deployment plays daemons that send as many retries as their budgets allow, while they are killed and added.
type deployment struct {
	limits            Limits
	now               core.Micros
	budgets           []*Budget
	requests, retries []core.Micros
}

func (d *deployment) startBudget() *Budget {
	b := New(d.limits, func() core.Micros { return d.now })
	b.SetDaemons(len(d.budgets) + 1)
	return b
}

// request sends a request to a daemon, and as many retries as are allowed if the servers fail.
func (d *deployment) request(daemon int, fails bool) {
	b := d.budgets[daemon]
	b.CountRequest("s")
	d.requests = append(d.requests, d.now)
	for fails && take(b, "s") {
		d.retries = append(d.retries, d.now)
	}
}

// worstExcess returns by how much the retries of some window exceed the rule.
func (d *deployment) worstExcess() float64 {
	worst := math.Inf(-1)
	window := d.limits.Window
	for _, end := range d.retries {
		from := end - window
		requests := max(countBetween(d.requests, from, end), countBetween(d.requests, from-window/2, end-window/2),
			countBetween(d.requests, from-window, from))
		worst = max(worst, float64(countBetween(d.retries, from, end))-d.limits.Ratio*float64(requests)-d.limits.Allowance)
	}
	return worst
}

// Guards against starts that give the allowance, or retries that a predecessor has sent, out again: all daemons that are killed twice
// within a window, one after the other, and added ones.
func TestBoundHoldsWhateverStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &deployment{limits: Limits{Ratio: 0.2, Allowance: 40, Window: 10 * core.Second}}
		for range rapid.IntRange(1, 5).Draw(t, "daemons") {
			d.budgets = append(d.budgets, d.startBudget())
		}
		for _, b := range d.budgets {
			b.SetDaemons(len(d.budgets))
		}
		failsFrom := core.Micros(rapid.IntRange(0, 30_000).Draw(t, "fails from")) * core.Millisecond
		pause := core.Micros(rapid.IntRange(10, 60).Draw(t, "pause")) * core.Millisecond
		starts := rapid.SliceOfN(rapid.IntRange(14_000, 60_000), 0, 8).Draw(t, "starts")
		kinds := rapid.SliceOfN(rapid.IntRange(0, 2), len(starts), len(starts)).Draw(t, "kinds")
		known := map[core.Micros]int{} // when the others learn of an added daemon
		for n := 0; d.now < 60*core.Second; n++ {
			d.now += pause
			for i, at := range starts {
				if due := core.Micros(at) * core.Millisecond; due <= d.now-pause || due > d.now {
					continue
				}
				switch kinds[i] {
				case 0: // all are killed
					for j := range d.budgets {
						d.budgets[j] = New(d.limits, func() core.Micros { return d.now })
						d.budgets[j].SetDaemons(len(d.budgets))
					}
				case 1: // one is killed
					d.budgets[i%len(d.budgets)] = New(d.limits, func() core.Micros { return d.now })
					d.budgets[i%len(d.budgets)].SetDaemons(len(d.budgets))
				case 2: // one is added
					d.budgets = append(d.budgets, d.startBudget())
					known[d.now+2*core.Second] = len(d.budgets)
				}
			}
			for at, count := range known {
				if at <= d.now {
					for _, b := range d.budgets {
						b.SetDaemons(max(count, b.Usage("s").Daemons))
					}
					delete(known, at)
				}
			}
			d.request(n%len(d.budgets), d.now >= failsFrom)
		}
		require.LessOrEqual(t, d.worstExcess(), 0.0)
	})
}

// Guards against a process that uses the whole allowance because it doesn't know how many daemons share it.
func TestAllowanceNeedsTheNumberOfDaemons(t *testing.T) {
	now := core.Micros(0)
	b := New(Limits{Allowance: 10, Window: 10 * core.Second}, func() core.Micros { return now })
	now += core.Minute
	require.Nil(t, b.Reserve("s"))
	b.SetDaemons(2)
	require.NotNil(t, b.Reserve("s"))
}

// take sends one retry if the budget allows it.
func take(b *Budget, service string) bool {
	p := b.Reserve(service)
	return p != nil && p.Spend()
}

func countBetween(times []core.Micros, from, to core.Micros) int {
	n := 0
	for _, t := range times {
		if t > from && t <= to {
			n++
		}
	}
	return n
}

// Guards against a budget that stays exhausted after its window has passed.
func TestBudgetRecoversAfterWindow(t *testing.T) {
	now := core.Micros(0)
	b := New(Limits{Allowance: 10, Window: 10 * core.Second}, func() core.Micros { return now })
	b.SetDaemons(1)
	now += 13 * core.Second
	n := 0
	for take(b, "s") {
		n++
	}
	require.Equal(t, 8, n, "boundShare of the allowance")
	require.True(t, take(b, "other"))
	now += 12 * core.Second
	require.True(t, take(b, "s"))
}

// Guards against a retry that is counted when it is allowed and sent in a later window, which has fewer requests.
func TestPermitCountsWhenItIsSpent(t *testing.T) {
	now := core.Micros(0)
	b := New(Limits{Ratio: 0.2, Window: 10 * core.Second}, func() core.Micros { return now })
	for range 12 {
		b.CountRequest("s")
	}
	first, second := b.Reserve("s"), b.Reserve("s")
	require.NotNil(t, second)
	require.Nil(t, b.Reserve("s"), "permits that are held count")
	second.Release()
	second.Release()
	require.True(t, first.Spend())
	late := b.Reserve("s")
	require.NotNil(t, late, "a released permit is free again")
	now += 12 * core.Second
	require.False(t, late.Spend())
	require.Equal(t, Usage{Age: now}, b.Usage("s"))
}

// Guards against an attempt that was ended for a better one which can't be sent any more, since its credit has lapsed or the daemon's share of the
// allowance has become smaller; and against a place that is held for ever.
func TestHeldPermitStaysGood(t *testing.T) {
	limits := Limits{Ratio: 1, Allowance: 10, Window: 10 * core.Second}
	hold := limits.Window / holdsPerWindow
	for _, after := range []core.Micros{0, hold, hold + 1} {
		now := core.Micros(0)
		b := New(limits, func() core.Micros { return now })
		b.SetDaemons(1)
		b.CountRequest("credit")
		b.CountRequest("credit")
		credit, lapsing := b.ReserveHeld("credit"), b.Reserve("credit")
		require.NotNil(t, credit)
		require.Nil(t, lapsing, "two requests earn one credit")
		now += after
		require.Equal(t, after <= hold, credit.Spend(), "credit after %v", after)

		now = limits.Window + settleTime
		allowance := b.ReserveHeld("allowance")
		b.SetDaemons(100)
		now += after
		require.Equal(t, after <= hold, allowance.Spend(), "allowance after %v", after)
		require.Nil(t, b.ReserveHeld("allowance"))
	}
}
