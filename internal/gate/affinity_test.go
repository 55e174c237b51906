package gate

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/engine"
)

// Guards against an affinity that depends on more than the first 1,024 bytes of the prompt, which would route questions
// about one document to different pools, and against one that ignores some of these bytes.
func TestAffinityCoversPromptPrefix(t *testing.T) {
	affinity := func(prompt string) uint64 {
		m := &modelRequest{model: &config.Model{Name: "m1"}}
		id := identity{workspace: &config.Workspace{Name: "w"}}
		require.Nil(t, m.setPrompt(id, []engine.Message{{Role: "user", Content: engine.Content(prompt)}}))
		return m.affinity
	}
	start := strings.Repeat("a", affinityBytes)
	require.Equal(t, affinity(start+"x"), affinity(start+"y"))
	require.NotEqual(t, affinity(start), affinity("b"+start[1:]))
	require.NotEqual(t, affinity(start), affinity(start[1:]+"b"))
}
