package grants

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/config"
)

var gateLocation = Location{Region: "r0", FailureDomain: "d0"}

// testIndex returns a configuration with pools of six engines each, in two regions with three failure domains each.
func testIndex(servers int) *config.Index {
	doc := &config.Document{Models: []config.Model{{Name: "m"}, {Name: "other", Pools: []string{"pool-1"}}}}
	for i := range servers {
		pool := i / 6
		doc.BackendServers = append(doc.BackendServers, config.BackendServer{
			Name: fmt.Sprint("e", i), Kind: config.KindEngine, Pool: fmt.Sprint("pool-", pool),
			Region: fmt.Sprint("r", pool%2), FailureDomain: fmt.Sprint("d", pool%6),
		})
	}
	return config.NewIndex(1, doc)
}

func avoidNone(string) bool { return false }

// Guards against an order that ignores the distance, contains a pool twice or one that does not serve the model, or
// depends on anything other than the key.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index := testIndex(rapid.IntRange(6, 300).Draw(t, "servers"))
		d := NewPoolDirectory(index, gateLocation)
		key := AffinityKey("w", rapid.Uint64().Draw(t, "prefix"))
		avoided := rapid.SampledFrom(index.PoolNames()).Draw(t, "avoided")
		order := d.Order("m", key, func(p string) bool { return p == avoided })
		require.Len(t, order, min(maxPools, len(index.PoolNames())))
		seen := map[string]bool{}
		last := 0
		for _, name := range order {
			require.False(t, seen[name])
			seen[name] = true
			if name == avoided {
				require.LessOrEqual(t, len(index.PoolNames()), maxPools, "an avoided pool is listed although others are left")
				continue
			}
			pool, _ := index.Pool(name)
			require.GreaterOrEqual(t, distance(pool, gateLocation), last)
			last = distance(pool, gateLocation)
		}
		require.Equal(t, order, NewPoolDirectory(index, gateLocation).Order("m", key, func(p string) bool { return p == avoided }))
	})
	require.Equal(t, []string{"pool-1"}, NewPoolDirectory(testIndex(60), gateLocation).Order("other", 1, avoidNone))
	require.Empty(t, NewPoolDirectory(testIndex(60), gateLocation).Order("unknown", 1, avoidNone))
}

// Guards against an attempt that tries only pools of the gate's own failure domain, so that it fails when all engines of
// the domain are lost.
func TestOrderEndsOutsideOwnDomain(t *testing.T) {
	index := testIndex(300)
	order := NewPoolDirectory(index, gateLocation).Order("m", 7, avoidNone)
	domains := make([]string, 0, maxPools)
	for _, name := range order {
		pool, _ := index.Pool(name)
		domains = append(domains, pool.FailureDomain)
	}
	require.Equal(t, []string{"d0", "d0"}, domains[:2])
	require.NotEqual(t, "d0", domains[2])
}

// Guards against a key that ignores the workspace or the prompt, and against pools that get many more than their share
// of the keys. Package gate hashes the prompt and tests that only its first 1,024 bytes count.
func TestAffinityKey(t *testing.T) {
	key := AffinityKey("w", 1)
	require.Equal(t, key, AffinityKey("w", 1))
	require.NotEqual(t, key, AffinityKey("w", 2))
	require.NotEqual(t, key, AffinityKey("v", 1))
	d := NewPoolDirectory(testIndex(360), gateLocation)
	keysPerPool := map[string]int{}
	for i := range 10_000 {
		keysPerPool[d.Order("m", AffinityKey(fmt.Sprint(i), 0), avoidNone)[0]]++
	}
	require.Len(t, keysPerPool, 10)
	for _, n := range keysPerPool {
		require.InDelta(t, 1_000, n, 150)
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, servers := range []int{10, 100, 400, 1_200} {
		d := NewPoolDirectory(testIndex(servers), gateLocation)
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.Order("m", AffinityKey("workspace", 1), avoidNone)
			}
		})
	}
}
