package confcore

import (
	"testing"

	"github.com/carobstile/carobstile/internal/golden"
)

func newCodec() *golden.Codec {
	return golden.NewCodec(
		Started{}, PeersChanged{}, Joined{}, GenerationSeen{}, RootObserved{}, RootRead{}, RootFailed{}, ChunksRead{}, Adopted{},
		AdoptFailed{}, TimerFired{},
		SetWatch{}, PollRoot{}, ReadRoot{}, ReadChunks{}, Adopt{}, Announce{}, Ready{}, SetTimer{},
	)
}

// Guards against changes of behaviour in the recorded sessions: adoption, stale reads, peers with an old generation, a
// lost chunk, a platform outage, starts during an outage, the choice of watchers and a document that cannot be read.
func TestSessions(t *testing.T) {
	golden.Check(t, "testdata/*.txt", newCodec(), func(string) func(any) []any {
		c := New(Peer{Name: "a", Address: "10.0.0.1:7400", FailureDomain: "w1"}, 7)
		return func(event any) []any {
			var out []any
			for _, effect := range c.Step(event.(Event)) {
				out = append(out, effect)
			}
			return out
		}
	})
}
