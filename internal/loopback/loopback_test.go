package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an address that is handed out twice or that something listens at.
func TestAddressesAreFreeAndDistinct(t *testing.T) {
	r := newRange(19_000, 19_100)
	first, err := r.Addresses(1)
	require.NoError(t, err)
	taken, err := net.Listen("tcp", first[0])
	require.NoError(t, err)
	defer taken.Close()
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

// Guards against blocks that overlap or hold a taken port.
func TestBlocks(t *testing.T) {
	r := newRange(19_200, 19_300)
	a, err := r.Block(20)
	require.NoError(t, err)
	taken, err := net.Listen("tcp", address(a+5))
	require.NoError(t, err)
	defer taken.Close()
	for range 8 {
		b, err := r.Block(20)
		require.NoError(t, err)
		require.NotEqual(t, a, b)
		require.Zero(t, (b-19_200)%20)
	}
}

// Guards against ranges that overlap, so that packages tested side by side take each other's ports.
func TestRangesDoNotOverlap(t *testing.T) {
	ranges := []*Range{EndToEnd, Platform, Soak}
	for i, a := range ranges {
		for _, b := range ranges[i+1:] {
			require.True(t, a.last <= b.first || b.last <= a.first)
		}
	}
}
