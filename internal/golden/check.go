package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// updateEnv names the environment variable that makes Check rewrite the files with what the reducers do now.
const updateEnv = "CAROBSTILE_UPDATE_GOLDEN"

// Check replays every session that matches pattern and fails where a reducer behaves otherwise than recorded. newStep
// returns the Step of a fresh reducer for each session. With CAROBSTILE_UPDATE_GOLDEN=1 the files are rewritten, so
// that a session can be started from its events alone.
func Check(t *testing.T, pattern string, codec *Codec, newStep func(name string) func(event any) []any) {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	require.NoError(t, err)
	require.NotEmpty(t, paths, "no session matches %s", pattern)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			got, err := Replay(want, codec, newStep(filepath.Base(path)))
			require.NoError(t, err)
			if os.Getenv(updateEnv) == "1" {
				require.NoError(t, os.WriteFile(path, got, 0o644))
				return
			}
			require.Equal(t, string(want), string(got))
		})
	}
}
