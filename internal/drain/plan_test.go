package drain

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// Guards against a stop whose steps come after the process was killed, whatever the grace period.
func TestPlanEndsBeforeTheGracePeriod(t *testing.T) {
	require.Equal(t, Plan{
		Began: core.Second, RefuseFrom: 3500 * core.Millisecond, CutOffAt: 8500 * core.Millisecond, CloseBy: 8800 * core.Millisecond,
	}, NewPlan(core.Second, 8*core.Second))
	rapid.Check(t, func(t *rapid.T) {
		began := core.Micros(rapid.Int64Range(0, 1<<40).Draw(t, "began"))
		grace := core.Micros(rapid.Int64Range(1000, int64(3600*core.Second)).Draw(t, "grace"))
		p := NewPlan(began, grace)
		require.Less(t, p.Began, p.RefuseFrom)
		require.Less(t, p.RefuseFrom, p.CutOffAt)
		require.Less(t, p.CutOffAt, p.CloseBy)
		require.Less(t, p.CloseBy, began+grace)
	})
}
