package grants

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/config"
)

// maxPools is the maximum number of pools tried for one attempt.
const maxPools = 3

// Location is the region and failure domain of a gate.
type Location struct {
	Region        string
	FailureDomain string
}

// AffinityKey returns the key that determines the order of pools. It combines the workspace with prefix, the hash of the
// first 1,024 bytes of the prompt.
func AffinityKey(workspace string, prefix uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(workspace), prefix))
}

// hashedPool is the name of a pool and its hash, which is computed once per configuration.
type hashedPool struct {
	name string
	hash uint64
}

// Distances between a pool and the gate.
const (
	sameDomain = iota
	sameRegion
	otherRegion
	distanceCount
)

// PoolDirectory holds the pools of each model, grouped by their distance from the gate. It is immutable and built once
// per configuration, so that no names are hashed per request.
type PoolDirectory struct {
	byModel map[string]*[distanceCount][]hashedPool
}

// NewPoolDirectory builds the directory of a configuration for a gate at the given location.
func NewPoolDirectory(index *config.Index, location Location) *PoolDirectory {
	d := &PoolDirectory{byModel: map[string]*[distanceCount][]hashedPool{}}
	for i := range index.Doc.Models {
		m := &index.Doc.Models[i]
		tiers := &[distanceCount][]hashedPool{}
		for _, name := range index.PoolsOfModel(m) {
			pool, ok := index.Pool(name)
			if !ok {
				continue
			}
			tier := distance(pool, location)
			tiers[tier] = append(tiers[tier], hashedPool{name, xxhash.Sum64String(name)})
		}
		d.byModel[m.Name] = tiers
	}
	return d
}

func distance(pool *config.Pool, location Location) int {
	switch {
	case pool.Region != location.Region:
		return otherRegion
	case pool.FailureDomain != location.FailureDomain:
		return sameRegion
	default:
		return sameDomain
	}
}

// Order returns at most maxPools pools to try for a request, best first. They are ordered by distance, and by rendezvous
// score within one distance. If the gate's failure domain alone could fill the list, the last entry is the best pool
// outside it, so that an attempt can succeed when all engines of the failure domain are lost. Pools for which avoid
// returns true come after all others.
func (d *PoolDirectory) Order(model string, key uint64, avoid func(pool string) bool) []string {
	tiers := d.byModel[model]
	if tiers == nil {
		return nil
	}
	var usable, avoided []string
	for tier := range tiers {
		names := topPools(tiers[tier], key, maxPools, avoid)
		usable = append(usable, reserveLastEntry(names, tier, tiers)...)
		if len(usable) >= maxPools {
			return usable[:maxPools]
		}
	}
	for tier := range tiers {
		avoided = append(avoided, topPools(tiers[tier], key, maxPools, func(p string) bool { return !avoid(p) })...)
	}
	out := append(usable, avoided...)
	return out[:min(len(out), maxPools)]
}

// reserveLastEntry drops the last of the gate's own failure domain's pools if they would fill the list and the model has
// pools outside the domain.
func reserveLastEntry(names []string, tier int, tiers *[distanceCount][]hashedPool) []string {
	outsideDomain := len(tiers[sameRegion]) + len(tiers[otherRegion])
	if tier == sameDomain && len(names) == maxPools && outsideDomain > 0 {
		return names[:maxPools-1]
	}
	return names
}

// scoredPool is the name of a pool and its rendezvous score for one request.
type scoredPool struct {
	name  string
	score uint64
}

// topPools returns the names of the n pools with the highest rendezvous scores, best first. Ties are ordered by name.
// Pools for which avoid returns true are omitted.
func topPools(pools []hashedPool, key uint64, n int, avoid func(pool string) bool) []string {
	best := make([]scoredPool, 0, n+1)
	for _, p := range pools {
		s := scoredPool{p.name, mix(p.hash ^ key)}
		if len(best) == n && compareScored(best[n-1], s) < 0 || avoid(p.name) {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, s, compareScored)
		best = slices.Insert(best, i, s)
		best = best[:min(len(best), n)]
	}
	names := make([]string, 0, len(best))
	for _, s := range best {
		names = append(names, s.name)
	}
	return names
}

func compareScored(a, b scoredPool) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.name, b.name)
}

// mix is the finaliser of splitmix64. Every input bit affects every output bit, so that pools are ranked independently
// for different keys.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
