package allocator

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/config"
)

// Daemon is a live daemon that may allocate pools.
type Daemon struct {
	Name          string
	Region        string
	FailureDomain string
}

// PoolPlace is a pool and where its engines are.
type PoolPlace struct {
	Name          string
	Region        string
	FailureDomain string
}

// Places returns the places of all pools of a configuration, sorted by name.
func Places(index *config.Index) []PoolPlace {
	var out []PoolPlace
	for _, name := range index.PoolNames() {
		if p, ok := index.Pool(name); ok {
			out = append(out, PoolPlace{Name: name, Region: p.Region, FailureDomain: p.FailureDomain})
		}
	}
	return out
}

// Assign chooses the allocator of each pool by bounded rendezvous hashing: over the daemons of the pool's failure
// domain, or over those of its region while the domain has none, with at most ceil(pools/daemons) pools a daemon. The
// bound counts the pools of one failure domain at a time, so that the loss of one domain moves no pool of another. Pools
// of a region without a daemon are left out. The result depends only on the sets given, not on their order.
func Assign(pools []PoolPlace, daemons []Daemon) map[string]string {
	out := make(map[string]string, len(pools))
	byDomain, byRegion := groupDaemons(daemons)
	for place, names := range groupPools(pools) {
		candidates := byDomain[place]
		if len(candidates) == 0 {
			candidates = byRegion[place.region]
		}
		assignBounded(names, candidates, out)
	}
	return out
}

// place is a failure domain; domain names are unique only inside a region.
type place struct{ region, domain string }

func groupDaemons(daemons []Daemon) (byDomain map[place][]string, byRegion map[string][]string) {
	byDomain, byRegion = map[place][]string{}, map[string][]string{}
	for _, d := range daemons {
		p := place{d.Region, d.FailureDomain}
		byDomain[p] = append(byDomain[p], d.Name)
		byRegion[d.Region] = append(byRegion[d.Region], d.Name)
	}
	return byDomain, byRegion
}

func groupPools(pools []PoolPlace) map[place][]string {
	out := map[place][]string{}
	for _, p := range pools {
		key := place{p.Region, p.FailureDomain}
		out[key] = append(out[key], p.Name)
	}
	return out
}

// pair is a pool with a candidate, by their places in the sorted lists of names, and its rendezvous score.
type pair struct {
	score        uint64
	pool, daemon int32
}

// assignBounded takes the pairs from the highest score down, wherever the pool is free and the daemon below its bound.
// This is the stable matching of pools and daemons, so that one daemon's change displaces only short chains of pools.
func assignBounded(pools, daemons []string, out map[string]string) {
	if len(daemons) == 0 {
		return
	}
	slices.Sort(pools)
	slices.Sort(daemons)
	bound := (len(pools) + len(daemons) - 1) / len(daemons)
	load := make([]int, len(daemons))
	taken := make([]bool, len(pools))
	for _, p := range rankedPairs(hashes(pools), hashes(daemons)) {
		if taken[p.pool] || load[p.daemon] >= bound {
			continue
		}
		taken[p.pool] = true
		load[p.daemon]++
		out[pools[p.pool]] = daemons[p.daemon]
	}
}

func hashes(names []string) []uint64 {
	out := make([]uint64, 0, len(names))
	for _, name := range names {
		out = append(out, xxhash.Sum64String(name))
	}
	return out
}

// rankedPairs returns all pairs from the highest score down, ties by name.
func rankedPairs(pools, daemons []uint64) []pair {
	pairs := make([]pair, 0, len(pools)*len(daemons))
	var both [16]byte
	for i, pool := range pools {
		for j, daemon := range daemons {
			binary.LittleEndian.PutUint64(both[:8], pool)
			binary.LittleEndian.PutUint64(both[8:], daemon)
			pairs = append(pairs, pair{xxhash.Sum64(both[:]), int32(i), int32(j)})
		}
	}
	slices.SortFunc(pairs, byScore)
	return pairs
}

func byScore(p, q pair) int {
	if p.score != q.score {
		return cmp.Compare(q.score, p.score)
	}
	return cmp.Or(cmp.Compare(p.daemon, q.daemon), cmp.Compare(p.pool, q.pool))
}
