package gate

import (
	"bytes"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// firstAttemptFails returns a script in which the first attempt delivers n tokens and then the step end. Later attempts
// answer in full.
func firstAttemptFails(n int, end FakeStep) func(EngineCall) ([]FakeStep, error) {
	return func(call EngineCall) ([]FakeStep, error) {
		steps := FakeAnswer(call, 5)
		if call.Attempt == 1 {
			steps = append(steps[:n:n], end)
		}
		return steps, nil
	}
}

// Guards against lost or repeated tokens when an attempt ends in mid-stream, for every kind of end.
func TestStreamContinuesAfterFailedAttempt(t *testing.T) {
	cases := map[string]struct {
		end     FakeStep
		outcome pb.Outcome
	}{
		"connection ends": {FakeStep{Err: &EngineError{Cause: gatecore.CauseLost}}, pb.Outcome_OUTCOME_LOST},
		"engine error":    {FakeStep{Err: &EngineError{Cause: gatecore.CauseFailed}}, pb.Outcome_OUTCOME_FAILED},
		"engine silent":   {FakeStep{Hang: true}, pb.Outcome_OUTCOME_LOST},
		"offset repeated": {FakeStep{Event: EngineEvent{Attempt: 1, Offset: 0, Text: "0 "}}, pb.Outcome_OUTCOME_FAILED},
		"offset skipped":  {FakeStep{Event: EngineEvent{Attempt: 1, Offset: 9, Text: "9 "}}, pb.Outcome_OUTCOME_FAILED},
		"token far too long": {
			FakeStep{Event: EngineEvent{Attempt: 1, Offset: 2, Text: strings.Repeat("x", 1<<16)}}, pb.Outcome_OUTCOME_FAILED,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, func(f *fixture) { f.engines.Script = firstAttemptFails(2, c.end) })
			_, body := f.chat(streamedBody)
			require.Equal(t, "0 1 2 3 4 ", textOf(parseSSE(bytes.NewReader(body))))
			require.Contains(t, string(body), "[DONE]")
			calls, _ := f.engines.Calls()
			require.Len(t, calls, 2)
			require.Equal(t, 2, calls[1].ResumeFrom)
			require.Equal(t, calls[0].Seed, calls[1].Seed)
			require.Equal(t, calls[0].RequestID, calls[1].RequestID)
			require.Equal(t, 2, calls[1].Attempt)
			outcomes, _, _ := f.grants.Released()
			require.Equal(t, []pb.Outcome{c.outcome, pb.Outcome_OUTCOME_COMPLETE}, outcomes)
		})
	}
}

// Guards against missing crash records, and against broken connections that are recorded as crashes.
func TestCrashedEnginesAreReported(t *testing.T) {
	for incarnation, crashes := range map[string]int{"1": 0, "2": 1} {
		f := newFixture(t, func(f *fixture) {
			f.engines.Script = firstAttemptFails(2, FakeStep{Err: &EngineError{Cause: gatecore.CauseLost}})
			f.engines.IncarnationOf = func(string) (string, error) { return incarnation, nil }
		})
		resp, _ := f.chat(nonStreamedBody)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.EqualValues(t, crashes, f.grants.Requests()[1].Request.SuspectCount)
		require.Eventually(t, func() bool {
			return f.crashes.Count(fingerprintOf("trust", []byte(nonStreamedBody))) == crashes
		}, time.Second, time.Millisecond)
	}
}

// Guards against a crash that is classified as a broken connection because the exiting process also breaks the query
// for its incarnation. The crash record was then missing, and a request crashed more engines than the limit allows.
func TestBrokenIncarnationQueryIsRetried(t *testing.T) {
	var asked atomic.Int64
	f := newFixture(t, func(f *fixture) {
		f.engines.Script = firstAttemptFails(2, FakeStep{Err: &EngineError{Cause: gatecore.CauseLost}})
		f.engines.IncarnationOf = func(string) (string, error) {
			if asked.Add(1) == 1 {
				return "", &EngineError{Cause: gatecore.CauseLost}
			}
			return "", &EngineError{Cause: gatecore.CauseConnectFailed}
		}
	})
	resp, _ := f.chat(nonStreamedBody)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.EqualValues(t, 1, f.grants.Requests()[1].Request.SuspectCount)
}

// Guards against a request that crashes more engines than the limit allows, in one call or when the caller repeats it.
func TestCrashingRequestIsRefused(t *testing.T) {
	f := newFixture(t, func(f *fixture) {
		f.engines.Script = func(EngineCall) ([]FakeStep, error) {
			return nil, &EngineError{Cause: gatecore.CauseCrashed, Message: "gone"}
		}
		for i := range f.grants.Engines {
			f.grants.Engines[i].Incarnation = string(rune('a' + i))
		}
		f.grants.Engines = append(f.grants.Engines, &pb.GrantedEngine{Name: "e3", Address: "127.0.0.1:3", Incarnation: "c"})
	})
	resp, body := f.chat(nonStreamedBody)
	requireError(t, resp, body, 422, "request_crashes_servers", "run")
	calls, _ := f.engines.Calls()
	require.Len(t, calls, 3)
	require.Eventually(t, func() bool {
		return f.crashes.Count(fingerprintOf("trust", []byte(nonStreamedBody))) == 3
	}, time.Second, time.Millisecond)
	resp, body = f.chat(nonStreamedBody)
	requireError(t, resp, body, 422, "request_crashes_servers", "not_run")
}

// Guards against a partial answer when the caller requested a non-streamed one, and against a failed stream that ends
// as if it were complete.
func TestFailedRequestReturnsError(t *testing.T) {
	alwaysFails := func(f *fixture) {
		f.engines.Script = func(call EngineCall) ([]FakeStep, error) {
			return append(FakeAnswer(call, call.ResumeFrom+1)[:1], FakeStep{Err: &EngineError{Cause: gatecore.CauseFailed}}), nil
		}
		f.grants.Engines = append(f.grants.Engines, &pb.GrantedEngine{Name: "e3", Address: "127.0.0.1:3"})
	}
	f := newFixture(t, alwaysFails)
	resp, body := f.chat(nonStreamedBody)
	requireError(t, resp, body, 502, "backend_failed", "run")

	f = newFixture(t, alwaysFails)
	_, body = f.chat(streamedBody)
	events := parseSSE(bytes.NewReader(body))
	require.Equal(t, "0 1 2 ", textOf(events))
	last := events[len(events)-1]
	require.Equal(t, "error", last.event)
	requireErrorBody(t, []byte(last.data), "backend_failed", "run")
	require.NotContains(t, string(body), "[DONE]")
}

// Guards against a wrong status, code or run field for a refused grant.
func TestRefusedGrants(t *testing.T) {
	for code, want := range map[pb.RefusalCode]struct {
		status int
		code   string
	}{
		pb.RefusalCode_REFUSAL_CODE_OVERLOADED:      {429, "overloaded"},
		pb.RefusalCode_REFUSAL_CODE_NO_ENGINE:       {503, "no_backend_server"},
		pb.RefusalCode_REFUSAL_CODE_TOO_LARGE:       {413, "too_large"},
		pb.RefusalCode_REFUSAL_CODE_CRASHES_SERVERS: {422, "request_crashes_servers"},
		pb.RefusalCode_REFUSAL_CODE_LEAVING:         {503, "no_backend_server"},
	} {
		f := newFixture(t, func(f *fixture) {
			f.grants.Refuse = func(GrantRequest) *pb.Refused { return &pb.Refused{Code: code} }
		})
		resp, body := f.chat(streamedBody)
		requireError(t, resp, body, want.status, want.code, "not_run")
	}
}

// cursorAfter returns the cursor of the nth token of an answer, and the first engine call, as if the gate had then
// failed.
func cursorAfter(t *testing.T, n int) (id string, first EngineCall) {
	f := newFixture(t, nil)
	_, body := f.chat(streamedBody)
	calls, _ := f.engines.Calls()
	return parseSSE(bytes.NewReader(body))[n-1].id, calls[0]
}

// Guards against an answer that another gate continues with missing or repeated tokens, another seed or an old attempt
// number.
func TestResumeAtAnotherGate(t *testing.T) {
	id, first := cursorAfter(t, 3)
	// The other gate is configured with a newer model version. The answer must continue with the version that began it.
	f := newFixture(t, func(f *fixture) { f.doc.Models[0].Version = "2" })
	_, body := f.chat(streamedBody, headerLastEventID, id)
	events := parseSSE(bytes.NewReader(body))
	require.Equal(t, "3 4 ", textOf(events))
	require.Equal(t, "[DONE]", events[len(events)-1].data)
	calls, _ := f.engines.Calls()
	require.Equal(t, first.RequestID, calls[0].RequestID)
	require.Equal(t, first.Seed, calls[0].Seed)
	require.Equal(t, 3, calls[0].ResumeFrom)
	require.Empty(t, first.Version, "the first attempt must not require a version")
	require.Equal(t, FakeVersion, calls[0].Version)
	require.Greater(t, calls[0].Attempt, first.Attempt)
	require.Equal(t, "e1", f.grants.Requests()[0].Preferred)
}

// Guards against resuming with a cursor that is forged, expired or belongs to another body or caller.
func TestInvalidCursors(t *testing.T) {
	id, _ := cursorAfter(t, 3)
	f := newFixture(t, nil)
	resp, body := f.chat(streamedBody, headerLastEventID, "x"+id[1:])
	requireError(t, resp, body, 400, "cursor_invalid", "unknown")
	resp, body = f.chat(nonStreamedBody, headerLastEventID, id)
	requireError(t, resp, body, 400, "cursor_invalid", "unknown")

	other := newFixture(t, func(f *fixture) {
		f.doc.Callers[0].Name, f.doc.Workspaces[0].Caller = "norrvik", "norrvik"
	})
	resp, body = other.chat(streamedBody, headerLastEventID, id)
	requireError(t, resp, body, 400, "cursor_invalid", "unknown")

	resp, body = f.chat(streamedBody, headerLastEventID, id, "Authorization", "Bearer wrong")
	requireError(t, resp, body, 401, "unauthorized", "unknown")

	short := newFixture(t, nil)
	_, answer := short.chat(streamedBody, headerDeadline, "200")
	time.Sleep(250 * time.Millisecond)
	resp, body = short.chat(streamedBody, headerLastEventID, parseSSE(bytes.NewReader(answer))[0].id)
	requireError(t, resp, body, 400, "cursor_invalid", "unknown")
}
