package fakeengine

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/engine"
)

// Guards against blocks that are lost or counted twice, and against events that do not match the content of the cache.
func TestPoolAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := map[uint64]bool{}
		p := newPool(20*engine.PrefixBlockTokens, func(op engine.CacheOp, hash uint64) {
			known[hash] = op == engine.CacheStored
		})
		pinned := map[owner][]uint64{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			o := owner{ownerRequest, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner")}
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				want, room := rapid.IntRange(0, 24).Draw(t, "blocks"), p.available()+p.private[o]
				require.Equal(t, want <= room, p.resize(o, want))
			case 1:
				hash := rapid.Uint64Range(1, 9).Draw(t, "hash")
				if p.private[o] > 0 {
					p.store(o, hash, hash-1)
					pinned[o] = append(pinned[o], hash)
				}
			case 2:
				p.unpin(pinned[o])
				pinned[o] = nil
			case 3:
				p.flush()
			}
			requireConsistentPool(t, p, pinned, known)
		}
	})
}

func requireConsistentPool(t *rapid.T, p *pool, pinned map[owner][]uint64, known map[uint64]bool) {
	held, refs := 0, map[uint64]int{}
	for _, n := range p.private {
		held += n
	}
	for _, hashes := range pinned {
		for _, h := range hashes {
			refs[h]++
		}
	}
	require.Equal(t, held, p.privateTotal)
	require.GreaterOrEqual(t, p.free(), 0)
	idle := 0
	for hash, b := range p.cache {
		require.Equal(t, refs[hash], b.refs)
		require.True(t, known[hash])
		if b.refs == 0 {
			idle++
		}
	}
	require.Equal(t, idle, p.idle.Len())
}

// Guards against evicting the start of a chain before its end, which would make the remaining blocks unusable.
func TestChainIsEvictedFromItsEnd(t *testing.T) {
	var evicted []uint64
	p := newPool(4*engine.PrefixBlockTokens, func(op engine.CacheOp, hash uint64) {
		if op == engine.CacheEvicted {
			evicted = append(evicted, hash)
		}
	})
	o, chain := owner{ownerRequest, "a"}, []uint64{11, 12, 13}
	require.True(t, p.resize(o, 3))
	for i, h := range chain {
		p.store(o, h, parentOf(chain, i))
	}
	p.unpin(chain)
	require.Equal(t, chain, p.chain(13))
	require.True(t, p.resize(o, 3))
	require.Equal(t, []uint64{13, 12}, evicted)
}
