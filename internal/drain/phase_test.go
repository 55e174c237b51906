package drain

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

func TestPhases(t *testing.T) {
	p := NewPlan(0, 8*core.Second)
	for _, c := range []struct {
		name string
		at   core.Micros
		load Load
		want Phase
	}{
		{"nothing to do, but callers still come", 2400 * core.Millisecond, Load{Withdrawn: true}, Accepting},
		{"a request is open", 3 * core.Second, Load{Exchanges: 1, Connections: 1, Withdrawn: true}, Refusing},
		{"the store has not answered", 3 * core.Second, Load{Connections: 1}, Refusing},
		{"only idle connections", 3 * core.Second, Load{Connections: 1, Withdrawn: true}, Settling},
		{"nothing to do", 3 * core.Second, Load{Withdrawn: true}, Over},
		{"a request is open at the end", 7500 * core.Millisecond, Load{Exchanges: 1, Connections: 1, Withdrawn: true}, CuttingOff},
		{"idle connections at the end", 7500 * core.Millisecond, Load{Connections: 1}, Over},
		{"an answer that its caller does not read", 7800 * core.Millisecond, Load{Exchanges: 1, Connections: 1}, Over},
	} {
		require.Equal(t, c.want, p.Phase(c.at, c.load), c.name)
	}
}

// Guards against a process that closes connections with open exchanges before it has to.
func TestOpenExchangesAreWaitedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlan(core.Micros(rapid.Int64Range(0, 1<<40).Draw(t, "began")), core.Micros(rapid.Int64Range(1000, int64(60*core.Second)).Draw(t, "grace")))
		now := p.Began + core.Micros(rapid.Int64Range(0, int64(61*core.Second)).Draw(t, "since"))
		load := Load{
			Exchanges: rapid.IntRange(0, 2).Draw(t, "exchanges"), Connections: rapid.IntRange(0, 2).Draw(t, "connections"),
			Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
		}
		phase := p.Phase(now, load)
		if load.Exchanges > 0 && now < p.CloseBy {
			require.NotContains(t, []Phase{Settling, Over}, phase)
		}
		if phase == CuttingOff {
			require.GreaterOrEqual(t, now, p.CutOffAt)
		}
		if now >= p.CloseBy {
			require.Equal(t, Over, phase)
		}
	})
}
