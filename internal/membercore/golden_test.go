package membercore

import (
	"testing"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/golden"
)

func newCodec() *golden.Codec {
	return golden.NewCodec(
		Started{}, SeedsChanged{}, PacketReceived{}, TimerFired{}, GenerationSet{}, HintRequested{}, RecordsAdded{},
		LeaveRequested{}, SyncRequested{}, SyncAnswered{},
		SendPacket{}, SetTimer{}, StartSync{}, ReplySync{}, MemberChanged{}, MemberRemoved{}, GenerationSeen{},
		RecordsLearned{}, Joined{}, NameConflict{},
	)
}

// Guards against unintended changes of behaviour in the recorded sessions: join, failure, refutation, relayed probes,
// pause, network partition, leaving, restart, replacement and crash records.
func TestSessions(t *testing.T) {
	golden.Check(t, "testdata/*.txt", newCodec(), func(string) func(any) []any {
		self := Member{
			Name: "a", Address: "10.0.0.1:7400", Region: "w", FailureDomain: "w1", Incarnation: uint64(100 * core.Second),
		}
		c := New(self, 7)
		return func(event any) []any {
			var out []any
			for _, effect := range c.Step(event.(Event)) {
				out = append(out, effect)
			}
			return out
		}
	})
}
