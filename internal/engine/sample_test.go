package engine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against grants whose hashes of a long prompt exceed the control budget, and against samples of prompts with
// the same start that have no hash in common.
func TestSamplePrefixesIsBoundedAndAligned(t *testing.T) {
	const most = 32
	hashes := make([]uint64, 3_906) // a million tokens
	for i := range hashes {
		hashes[i] = uint64(i + 1)
	}
	for _, n := range []int{0, 1, 31, 32, 33, 400, 3_906} {
		sampled, block := SamplePrefixes(hashes[:n], most)
		require.LessOrEqual(t, len(sampled), most)
		require.GreaterOrEqual(t, 2*len(sampled)+1, min(n, most))
		for i, hash := range sampled {
			require.EqualValues(t, (i+1)*block, hash*PrefixBlockTokens, "hash %d covers its block", i)
		}
	}
	short, _ := SamplePrefixes(hashes[:300], most)
	long, _ := SamplePrefixes(hashes[:3_906], most)
	require.Contains(t, short, long[0])
}
