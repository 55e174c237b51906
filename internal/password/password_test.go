package password

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a hash that cannot be parsed from its own text form, and against one that matches other passwords.
func TestHashRoundTrip(t *testing.T) {
	hash, err := New("correct horse", MinIterations)
	require.NoError(t, err)
	parsed, err := Parse(hash.String())
	require.NoError(t, err)
	require.True(t, parsed.Matches("correct horse"))
	require.False(t, parsed.Matches("correct horse "))
	require.False(t, parsed.Matches(""))
}

// Guards against accepting hashes with too few iterations, a truncated hash or an unknown scheme.
func TestParseRejectsInvalidHashes(t *testing.T) {
	hash, err := New("x", MinIterations)
	require.NoError(t, err)
	valid := hash.String()
	for _, invalid := range []string{"", "secret", strings.Replace(valid, "100000", "1000", 1), valid[:len(valid)-4], "md5" + valid} {
		_, err := Parse(invalid)
		require.Error(t, err, invalid)
	}
}
