package enginecost

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against predictions that deviate from the figures that the users published.
func TestPublishedFigures(t *testing.T) {
	m := Model{Stride: 51, StepMs: 0.85, PerSequenceMs: 0.00425, ContextMsPerK: 0.00285, PrefillTokensPerMs: 177, AttentionMsPerMPairs: 0.184}
	require.InDelta(t, 30, m.PrefillMs(4_960), 1)
	require.InDelta(t, 440, m.PrefillMs(45_000), 2)
	require.InDelta(t, 3_052, m.PrefillMs(154_000), 2)
	require.InDelta(t, 49_035, m.PrefillMs(700_000), 5)
	require.InDelta(t, 43, m.PassMs(0, 0), 1)
	require.InDelta(t, 61, m.PassMs(16, 16*6_000), 1)
}

// Guards against infinite predictions for a configuration without engine parameters.
func TestSetDefaults(t *testing.T) {
	var m Model
	m.SetDefaults()
	require.Positive(t, m.PassMs(1, 100))
	require.Zero(t, m.PrefillMs(1_000))
	require.Positive(t, m.Slots)
	require.Positive(t, m.KVTokens)
}
