package allocator

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/config"
)

// Daemon is a live daemon that can be the allocator of pools.
type Daemon struct {
	Name          string
	Region        string
	FailureDomain string
}

// PoolLocation is a pool with the region and failure domain of its engines.
type PoolLocation struct {
	Name          string
	Region        string
	FailureDomain string
}

// PoolLocations returns the locations of all pools in a configuration, sorted by name.
func PoolLocations(index *config.Index) []PoolLocation {
	var out []PoolLocation
	for _, name := range index.PoolNames() {
		if p, ok := index.Pool(name); ok {
			out = append(out, PoolLocation{Name: name, Region: p.Region, FailureDomain: p.FailureDomain})
		}
	}
	return out
}

// Assign chooses the allocator of each pool by rendezvous hashing with bounded loads. The candidates are the daemons of
// the pool's failure domain, or those of its region if the domain has none. Each gets at most ceil(pools/daemons) pools
// of one failure domain; counting per domain ensures that the loss of one domain moves no pool of another. Pools of a
// region without a daemon are omitted. The result does not depend on the order of the pools or of the daemons.
func Assign(pools []PoolLocation, daemons []Daemon) map[string]string {
	out := make(map[string]string, len(pools))
	byDomain, byRegion := groupDaemons(daemons)
	for key, names := range groupPools(pools) {
		candidates := byDomain[key]
		if len(candidates) == 0 {
			candidates = byRegion[key.region]
		}
		assignBounded(names, candidates, out)
	}
	return out
}

// domainKey identifies a failure domain; domain names are unique only inside a region.
type domainKey struct{ region, domain string }

func groupDaemons(daemons []Daemon) (byDomain map[domainKey][]string, byRegion map[string][]string) {
	byDomain, byRegion = map[domainKey][]string{}, map[string][]string{}
	for _, d := range daemons {
		key := domainKey{d.Region, d.FailureDomain}
		byDomain[key] = append(byDomain[key], d.Name)
		byRegion[d.Region] = append(byRegion[d.Region], d.Name)
	}
	return byDomain, byRegion
}

func groupPools(pools []PoolLocation) map[domainKey][]string {
	out := map[domainKey][]string{}
	for _, p := range pools {
		key := domainKey{p.Region, p.FailureDomain}
		out[key] = append(out[key], p.Name)
	}
	return out
}

// scoredPair is a pool and a candidate daemon, as indexes into the sorted lists of names, with their rendezvous score.
type scoredPair struct {
	score        uint64
	pool, daemon int32
}

// assignBounded goes through the pairs in descending order of score and assigns each pool that is still unassigned to a
// daemon that is below its bound. The result is the stable matching of pools and daemons, so that adding or removing one
// daemon displaces only short chains of other pools.
func assignBounded(pools, daemons []string, out map[string]string) {
	if len(daemons) == 0 {
		return
	}
	slices.Sort(pools)
	slices.Sort(daemons)
	bound := (len(pools) + len(daemons) - 1) / len(daemons)
	load := make([]int, len(daemons))
	assigned := make([]bool, len(pools))
	for _, p := range rankedPairs(hashNames(pools), hashNames(daemons)) {
		if assigned[p.pool] || load[p.daemon] >= bound {
			continue
		}
		assigned[p.pool] = true
		load[p.daemon]++
		out[pools[p.pool]] = daemons[p.daemon]
	}
}

func hashNames(names []string) []uint64 {
	out := make([]uint64, 0, len(names))
	for _, name := range names {
		out = append(out, xxhash.Sum64String(name))
	}
	return out
}

// rankedPairs returns all pairs in descending order of score; ties are ordered by name.
func rankedPairs(pools, daemons []uint64) []scoredPair {
	pairs := make([]scoredPair, 0, len(pools)*len(daemons))
	var input [16]byte
	for i, pool := range pools {
		for j, daemon := range daemons {
			binary.LittleEndian.PutUint64(input[:8], pool)
			binary.LittleEndian.PutUint64(input[8:], daemon)
			pairs = append(pairs, scoredPair{xxhash.Sum64(input[:]), int32(i), int32(j)})
		}
	}
	slices.SortFunc(pairs, compareScore)
	return pairs
}

func compareScore(p, q scoredPair) int {
	if p.score != q.score {
		return cmp.Compare(q.score, p.score)
	}
	return cmp.Or(cmp.Compare(p.daemon, q.daemon), cmp.Compare(p.pool, q.pool))
}
