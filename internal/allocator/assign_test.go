package allocator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// poolsAndDaemons returns pools and daemons distributed evenly over six failure domains in two regions.
func poolsAndDaemons(pools, daemons int) ([]PoolLocation, []Daemon) {
	p := make([]PoolLocation, 0, pools)
	for i := range pools {
		p = append(p, PoolLocation{fmt.Sprintf("pool-%d", i), fmt.Sprint("r", i%6%2), fmt.Sprint("d", i%6)})
	}
	d := make([]Daemon, 0, daemons)
	for i := range daemons {
		d = append(d, Daemon{fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), fmt.Sprint("r", i%6%2), fmt.Sprint("d", i%6)})
	}
	return p, d
}

// Guards against daemons that compute different assignments because they list pools or daemons in a different order, and
// against assignments that exceed the bound of a daemon or omit a pool although its region has a daemon.
func TestAssignIsBoundedAndIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pools, daemons := poolsAndDaemons(rapid.IntRange(0, 60).Draw(t, "pools"), rapid.IntRange(0, 80).Draw(t, "daemons"))
		lost := fmt.Sprint("d", rapid.IntRange(0, 6).Draw(t, "lost domain"))
		daemons = slices.DeleteFunc(daemons, func(d Daemon) bool { return d.FailureDomain == lost })
		got := Assign(pools, daemons)
		require.Equal(t, got, Assign(rapid.Permutation(pools).Draw(t, "p"), rapid.Permutation(daemons).Draw(t, "d")))
		checkAssignment(t, pools, daemons, got)
	})
}

func checkAssignment(t require.TestingT, pools []PoolLocation, daemons []Daemon, got map[string]string) {
	byDomain, byRegion := groupDaemons(daemons)
	for key, names := range groupPools(pools) {
		candidates := byDomain[key]
		if len(candidates) == 0 {
			candidates = byRegion[key.region]
		}
		load := map[string]int{}
		for _, name := range names {
			if len(candidates) == 0 {
				require.NotContains(t, got, name)
				continue
			}
			require.Contains(t, candidates, got[name])
			load[got[name]]++
		}
		for _, n := range load {
			require.LessOrEqual(t, n, (len(names)+len(candidates)-1)/len(candidates))
		}
	}
}

// countMoved counts the pools that changed their allocator although the old one is still alive.
func countMoved(before, after map[string]string, lost string) int {
	n := 0
	for pool, daemon := range before {
		if daemon != lost && after[pool] != daemon {
			n++
		}
	}
	return n
}

// Guards against an assignment that moves many pools when one daemon is lost, or added (the reverse change). While the
// bound of ceil(pools/daemons) stays the same, only the few pools move that the lost daemon's pools displace. In the last
// case each domain has as many daemons as pools or one less, so that each loss raises the bound from one to two. Pools
// then also move to daemons that were full before, but at most half of the pools of the failure domain.
func TestLostDaemonMovesFewPools(t *testing.T) {
	for _, c := range []struct {
		pools, daemons int
		mean           float64
		worst          int
	}{{6, 9, 0.1, 1}, {200, 360, 0.3, 4}, {200, 230, 1, 8}, {200, 198, 10, 17}} {
		pools, daemons := poolsAndDaemons(c.pools, c.daemons)
		before := Assign(pools, daemons)
		total, worst := 0, 0
		for i, d := range daemons {
			n := countMoved(before, Assign(pools, slices.Delete(slices.Clone(daemons), i, i+1)), d.Name)
			total, worst = total+n, max(worst, n)
		}
		mean := float64(total) / float64(len(daemons))
		t.Logf("%d pools, %d daemons: a lost daemon moves %.2f other pools on average, %d at worst",
			c.pools, c.daemons, mean, worst)
		require.LessOrEqual(t, mean, c.mean)
		require.LessOrEqual(t, worst, c.worst)
	}
}

func BenchmarkAssign(b *testing.B) {
	for _, servers := range []int{10, 100, 400, 1_200} {
		pools, daemons := poolsAndDaemons(max(1, servers/6), max(3, servers*360/1_200))
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Assign(pools, daemons)
			}
		})
	}
}
