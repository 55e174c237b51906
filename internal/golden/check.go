package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// updateEnv is the environment variable that makes Check rewrite the session files with the reducers' current effects.
const updateEnv = "CAROBSTILE_UPDATE_GOLDEN"

// Check replays every session file that matches pattern and fails if a reducer's effects differ from the recorded ones.
// newStep returns the Step function of a new reducer for each session. With CAROBSTILE_UPDATE_GOLDEN=1 the files are
// rewritten, so that a new session can be written as events only.
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
