package gatecore

import (
	"testing"

	"github.com/carobstile/carobstile/internal/golden"
)

// Guards against changes of behaviour: replays recorded sessions and compares all effects. The comment at the head of
// each session file names the rule that it tests.
func TestSessions(t *testing.T) {
	golden.Check(t, "testdata/*.session", golden.NewCodec(CodecTypes()...), func(string) func(any) []any {
		c := New()
		return func(event any) []any {
			var out []any
			for _, e := range c.Step(event.(Event)) {
				out = append(out, e)
			}
			return out
		}
	})
}
