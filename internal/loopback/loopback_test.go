package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an address that is allocated twice or is already in use.
func TestAddressesAreFreeAndDistinct(t *testing.T) {
	r := newRange(19_000, 19_100)
	first, err := r.Addresses(1)
	require.NoError(t, err)
	inUse, err := net.Listen("tcp", first[0])
	require.NoError(t, err)
	defer inUse.Close()
	rest, err := r.Addresses(50)
	require.NoError(t, err)
	require.NotContains(t, rest, first[0])
	seen := map[string]bool{}
	for _, a := range rest {
		require.False(t, seen[a], a)
		seen[a] = true
	}
	_, err = newRange(19_000, 19_005).Addresses(6)
	require.ErrorContains(t, err, "no 6 free ports")
}

// Guards against blocks that overlap or contain a port in use.
func TestBlocks(t *testing.T) {
	r := newRange(19_200, 19_300)
	a, err := r.Block(20)
	require.NoError(t, err)
	inUse, err := net.Listen("tcp", address(a+5))
	require.NoError(t, err)
	defer inUse.Close()
	for range 8 {
		b, err := r.Block(20)
		require.NoError(t, err)
		require.NotEqual(t, a, b)
		require.Zero(t, (b-19_200)%20)
	}
}

// Guards against overlapping ranges, in which packages that are tested in parallel would compete for ports.
func TestRangesDoNotOverlap(t *testing.T) {
	ranges := []*Range{EndToEnd, Platform, Soak}
	for i, a := range ranges {
		for _, b := range ranges[i+1:] {
			require.True(t, a.end <= b.first || b.end <= a.first)
		}
	}
}
