package grants

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/config"
)

// maxPools is the number of pools asked for one attempt.
const maxPools = 3

// Place is where the gate runs.
type Place struct {
	Region        string
	FailureDomain string
}

// AffinityKey is what the order of pools depends on: the workspace and the hash of the first 1,024 bytes of the prompt.
func AffinityKey(workspace string, prefix uint64) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(workspace), prefix))
}

// candidate is a pool with the hash of its name, computed once per configuration.
type candidate struct {
	name string
	hash uint64
}

// Distances of a pool from the gate.
const (
	ownDomain = iota
	ownRegion
	otherRegion
	distances
)

// Directory knows the pools of each model by their distance from one gate. It is immutable and built once per
// configuration, so that ordering the pools of a request hashes no names.
type Directory struct {
	byModel map[string]*[distances][]candidate
}

// NewDirectory builds the directory of a configuration for a gate at place.
func NewDirectory(index *config.Index, place Place) *Directory {
	d := &Directory{byModel: map[string]*[distances][]candidate{}}
	for i := range index.Doc.Models {
		m := &index.Doc.Models[i]
		tiers := &[distances][]candidate{}
		for _, name := range index.PoolsOfModel(m) {
			pool, ok := index.Pool(name)
			if !ok {
				continue
			}
			at := distance(pool, place)
			tiers[at] = append(tiers[at], candidate{name, xxhash.Sum64String(name)})
		}
		d.byModel[m.Name] = tiers
	}
	return d
}

func distance(pool *config.Pool, place Place) int {
	switch {
	case pool.Region != place.Region:
		return otherRegion
	case pool.FailureDomain != place.FailureDomain:
		return ownRegion
	default:
		return ownDomain
	}
}

// Order returns the pools to ask for a request, best first, at most three: by distance, and by rendezvous score within
// one distance. When the own failure domain alone could fill the list, the last entry is the best pool outside of it, so
// that one attempt survives the loss of the engines of the whole failure domain. Pools for which avoid is true come
// after all others.
func (d *Directory) Order(model string, key uint64, avoid func(pool string) bool) []string {
	tiers := d.byModel[model]
	if tiers == nil {
		return nil
	}
	var good, avoided []string
	for at := range tiers {
		tops := topPools(tiers[at], key, maxPools, avoid)
		good = append(good, takeTier(tops, at, tiers)...)
		if len(good) >= maxPools {
			return good[:maxPools]
		}
	}
	for at := range tiers {
		avoided = append(avoided, topPools(tiers[at], key, maxPools, func(p string) bool { return !avoid(p) })...)
	}
	out := append(good, avoided...)
	return out[:min(len(out), maxPools)]
}

// takeTier leaves the last place of the list to the next distance where there is one.
func takeTier(tops []string, at int, tiers *[distances][]candidate) []string {
	elsewhere := len(tiers[ownRegion]) + len(tiers[otherRegion])
	if at == ownDomain && len(tops) == maxPools && elsewhere > 0 {
		return tops[:maxPools-1]
	}
	return tops
}

// scored is a pool with its rendezvous score for one request.
type scored struct {
	name  string
	score uint64
}

// topPools returns the n pools with the highest rendezvous scores, best first, ties by name.
func topPools(pools []candidate, key uint64, n int, avoid func(pool string) bool) []string {
	best := make([]scored, 0, n+1)
	for _, p := range pools {
		s := scored{p.name, mix(p.hash ^ key)}
		if len(best) == n && before(best[n-1], s) < 0 || avoid(p.name) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, before)
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	names := make([]string, 0, len(best))
	for _, s := range best {
		names = append(names, s.name)
	}
	return names
}

func before(a, b scored) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.name, b.name)
}

// mix spreads all input bits over all output bits (the finaliser of splitmix64), so that pools are ranked independently
// for different keys.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
