package gatecore

import (
	"testing"

	"github.com/carobstile/carobstile/internal/golden"
)

func testCodec() *golden.Codec {
	return golden.NewCodec(
		RequestArrived{}, ClaimResult{}, GrantResult{}, StreamOpened{}, Frame{}, Heartbeat{}, StreamEnded{},
		ServiceAnswered{}, ServiceEnded{}, CallerBlocked{}, CallerReady{}, CallerGone{}, CallerSlow{}, AnswerWritten{},
		TimerFired{}, ShutdownStarted{},
		Refuse{}, Fail{}, Disconnect{}, AcquireClaim{}, ReleaseClaim{}, RecordOutcome{}, ReplayOutcome{}, AskGrant{},
		ReleaseGrant{}, OpenStream{}, CancelStream{}, CallService{}, ForwardAnswer{}, SendToken{}, Finish{}, SetTimer{},
		ReportCrash{}, Closed{},
	)
}

// Guards against any change of behaviour over whole sessions; each file says which rule it shows.
func TestSessions(t *testing.T) {
	golden.Check(t, "testdata/*.session", testCodec(), func(string) func(any) []any {
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
