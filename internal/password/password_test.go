package password

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a hash that does not survive the settings file, or that accepts another password.
func TestHashRoundTrip(t *testing.T) {
	made, err := New("correct horse", MinIterations)
	require.NoError(t, err)
	got, err := Parse(made.String())
	require.NoError(t, err)
	require.True(t, got.Matches("correct horse"))
	require.False(t, got.Matches("correct horse "))
	require.False(t, got.Matches(""))
}

// Guards against weak or damaged hashes in settings.
func TestParseRefuses(t *testing.T) {
	made, err := New("x", MinIterations)
	require.NoError(t, err)
	good := made.String()
	for _, bad := range []string{"", "secret", strings.Replace(good, "100000", "1000", 1), good[:len(good)-4], "md5" + good} {
		_, err := Parse(bad)
		require.Error(t, err, bad)
	}
}
