package alloccore

import (
	"testing"

	"github.com/carobstile/carobstile/internal/golden"
)

func codec() *golden.Codec {
	return golden.NewCodec(
		PoolConfigured{}, EngineReported{}, EngineUnreachable{}, GrantRequested{}, GrantRequestAbandoned{}, GrantsRenewed{},
		GrantReleased{}, GrantingStopped{}, TimerFired{}, Granted{}, Refused{}, Renewed{}, SetTimer{},
	)
}

// Guards against unintended changes of the allocator's effects in the recorded sessions.
func TestSessions(t *testing.T) {
	golden.Check(t, "testdata/*.session", codec(), func(string) func(any) []any {
		c := New(Options{Instance: "g", Policy: DefaultPolicy()})
		return func(event any) []any {
			var out []any
			for _, effect := range c.Step(event.(Event)) {
				out = append(out, effect)
			}
			return out
		}
	})
}
