package gatecore

import (
	"testing"

	"github.com/carobstile/carobstile/internal/golden"
)

// Guards against any change of behaviour over whole sessions; each file says which rule it shows.
func TestSessions(t *testing.T) {
	golden.Check(t, "testdata/*.session", golden.NewCodec(Types()...), func(string) func(any) []any {
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
