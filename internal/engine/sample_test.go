package engine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against grants with so many hashes of a long prompt that they exceed the control budget, and against samples of
// prompts with a common prefix that share no hash.
func TestSamplePrefixesIsBoundedAndAligned(t *testing.T) {
	const limit = 32
	hashes := make([]uint64, 3_906) // the full blocks of a million tokens
	for i := range hashes {
		hashes[i] = uint64(i + 1)
	}
	for _, n := range []int{0, 1, 31, 32, 33, 400, 3_906} {
		sampled, block := SamplePrefixes(hashes[:n], limit)
		require.LessOrEqual(t, len(sampled), limit)
		require.GreaterOrEqual(t, 2*len(sampled)+1, min(n, limit))
		for i, hash := range sampled {
			require.EqualValues(t, (i+1)*block, hash*PrefixBlockTokens, "hash %d covers its block", i)
		}
	}
	short, _ := SamplePrefixes(hashes[:300], limit)
	long, _ := SamplePrefixes(hashes[:3_906], limit)
	require.Contains(t, short, long[0])
}
