package gatecore

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// randomShell simulates the shell. It checks each effect and answers it at random: out of order, late or with invalid
// events.
type randomShell struct {
	t              *rapid.T
	c              *Core
	now            core.Micros
	requests       map[RequestHandle]*requestState
	handles        []RequestHandle
	pendingResults []Event // results not yet delivered, with Now unset
	timers         []SetTimer
	grantReleases  map[string]int // number of releases by grant id
}

// requestState is the state of a request as derived from its events and effects.
type requestState struct {
	arrived            RequestArrived
	nextOffset         int
	admitted, finished bool
	ended, closed      bool
	ran, inAttempt     bool // whether an ended attempt or the current one may have run the request
	opened, crashed    int
	calls              int
	attempt            int
	trustworthy        bool
	claims, releases   int
	finishFrame        bool
}

func (s *randomShell) step(ev Event) {
	for _, e := range append([]Effect(nil), s.c.Step(ev)...) {
		s.checkEffect(e)
	}
}

func (s *randomShell) checkEffect(effect Effect) {
	switch e := effect.(type) {
	case SendToken:
		r := s.openRequest(e.Request, effect)
		require.False(s.t, r.finished, "token sent after Finish")
		require.Equal(s.t, r.nextOffset, e.Offset, "gap or repetition in the token offsets")
		require.Equal(s.t, tokenText(e.Request, e.Offset), e.Text, "token of another answer")
		r.nextOffset++
	case Finish:
		r := s.openRequest(e.Request, effect)
		require.False(s.t, r.finished, "Finish emitted twice")
		require.True(s.t, r.finishFrame || r.arrived.Kind == KindService, "Finish emitted without a finish frame")
		r.finished = true
	case Refuse:
		s.checkEnd(e.Request, e.Failure, effect)
	case Fail:
		s.checkEnd(e.Request, e.Failure, effect)
	case Disconnect:
		s.openRequest(e.Request, effect).ended = true
	case RequestGrant:
		s.openRequest(e.Request, effect)
		s.pendingResults = append(s.pendingResults, GrantResult{Request: e.Request, Attempt: e.Attempt})
	case OpenStream:
		s.checkOpenStream(s.openRequest(e.Request, effect), e)
	case CallService:
		s.checkCallService(s.openRequest(e.Request, effect), e)
	case AcquireClaim:
		s.openRequest(e.Request, effect)
		s.pendingResults = append(s.pendingResults, ClaimResult{Request: e.Request})
	case ReleaseClaim:
		s.requests[e.Request].releases++
	case ReleaseGrant:
		s.grantReleases[e.GrantID]++
		require.Equal(s.t, 1, s.grantReleases[e.GrantID], "number of releases of grant %s", e.GrantID)
	case ReportCrash:
		s.requests[e.Request].crashed++
	case SetTimer:
		s.timers = append(s.timers, e)
	case Closed:
		r := s.requests[e.Request]
		require.False(s.t, r.closed, "Closed emitted twice")
		r.closed = true
		r.ended = true
	}
}

// openRequest returns a request that has not ended. Effects on the caller or on backend servers are allowed only for
// open requests.
func (s *randomShell) openRequest(h RequestHandle, e Effect) *requestState {
	r := s.requests[h]
	require.False(s.t, r.ended, "%T emitted after the end of the request", e)
	return r
}

func (s *randomShell) checkEnd(h RequestHandle, f Failure, e Effect) {
	r := s.openRequest(h, e)
	r.ended = true
	require.False(s.t, f.Run == RunStatusNotRun && r.mayHaveRun(), "failure %s reports not_run although the request may have run", f.Code)
}

func (s *randomShell) checkOpenStream(r *requestState, e OpenStream) {
	require.Equal(s.t, r.nextOffset, e.ResumeFrom)
	require.Greater(s.t, e.Attempt, r.attempt)
	r.attempt = e.Attempt
	r.opened++
	require.LessOrEqual(s.t, r.opened-r.crashed, maxAttempts, "too many attempts that did not end by a crash")
	require.Less(s.t, r.arrived.Suspects+r.crashed, r.arrived.CrashLimit)
	r.ran = r.ran || r.inAttempt // the gate itself ended the previous attempt
	r.inAttempt = true
}

func (s *randomShell) checkCallService(r *requestState, e CallService) {
	r.calls++
	r.attempt = e.Attempt
	if e.NonIdempotent {
		require.Equal(s.t, 1, r.calls, "non-idempotent call dispatched more than once")
		require.Equal(s.t, 1, r.claims, "call dispatched without a claim")
	}
	r.inAttempt = true
}

func (r *requestState) mayHaveRun() bool { return r.ran || r.inAttempt || r.arrived.Delivered > 0 }

func tokenText(h RequestHandle, offset int) string { return fmt.Sprintf("%d/%d", h, offset) }

func (s *randomShell) arrive() {
	h := RequestHandle(len(s.requests) + 1)
	kind := rapid.IntRange(0, 2).Draw(s.t, "kind")
	e := RequestArrived{
		Now: s.now, Request: h, Kind: KindModel, Workspace: rapid.SampledFrom([]string{"w1", "w2"}).Draw(s.t, "workspace"),
		MaxConcurrent: rapid.IntRange(0, 3).Draw(s.t, "bound"), MaxTokens: 6, FirstAttempt: 1,
		Deadline:   s.now + core.Micros(rapid.IntRange(0, 20_000).Draw(s.t, "deadline"))*core.Millisecond,
		CrashLimit: rapid.IntRange(1, 5).Draw(s.t, "limit"), Suspects: rapid.IntRange(0, 1).Draw(s.t, "suspects"),
		Delivered: rapid.IntRange(0, 1).Draw(s.t, "delivered"),
	}
	if kind > 0 {
		e.Kind, e.Idempotent, e.Delivered = KindService, kind == 1, 0
		e.Servers = []Server{{Name: "s1", Trustworthy: true}, {Name: "s2"}, {Name: "s3"}}
	}
	s.requests[h] = &requestState{arrived: e, nextOffset: e.Delivered}
	s.handles = append(s.handles, h)
	s.step(e)
	s.requests[h].admitted = !s.requests[h].closed
}

// deliverResult delivers one of the pending results, chosen at random.
func (s *randomShell) deliverResult() {
	if len(s.pendingResults) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.pendingResults)-1).Draw(s.t, "which")
	ev := s.pendingResults[i]
	s.pendingResults = append(s.pendingResults[:i], s.pendingResults[i+1:]...)
	switch e := ev.(type) {
	case GrantResult:
		s.step(s.randomGrantResult(e))
	case ClaimResult:
		e.Now, e.ValidUntil = s.now, s.now+10*core.Second
		e.Status = rapid.SampledFrom([]ClaimStatus{
			ClaimHeld, ClaimHeld, ClaimReplay, ClaimUnknown, ClaimReused, ClaimUnavailable,
		}).Draw(s.t, "claim")
		if e.Status == ClaimHeld {
			s.requests[e.Request].claims++
		}
		s.step(e)
	}
}

func (s *randomShell) randomGrantResult(e GrantResult) GrantResult {
	e.Now = s.now
	e.Refusal = rapid.SampledFrom([]RefusalCode{
		"", "", "", "", RefusalOverloaded, RefusalNoEngine, RefusalTooLarge, RefusalUnreachable,
	}).Draw(s.t, "refusal")
	if e.Refusal == "" {
		e.GrantID = fmt.Sprintf("g%d", len(s.grantReleases)+1)
		s.grantReleases[e.GrantID] = 0
		e.Engine = rapid.SampledFrom([]string{"e1", "e2"}).Draw(s.t, "engine")
		e.Trustworthy = rapid.Bool().Draw(s.t, "trustworthy")
		s.requests[e.Request].trustworthy = e.Trustworthy
	}
	return e
}

var causes = []Cause{
	CauseRefused, CauseConnectFailed, CauseLost, CauseCrashed, CauseFailed, CauseRejected, CauseProtocol,
}

// backendEvent sends a random event of a backend server, for the current attempt or the one before it.
func (s *randomShell) backendEvent() {
	h := s.anyRequest()
	r := s.requests[h]
	if r == nil || r.attempt == 0 {
		return
	}
	attempt := rapid.IntRange(max(1, r.attempt-1), r.attempt).Draw(s.t, "attempt")
	if r.arrived.Kind == KindService {
		s.serviceEvent(h, r, attempt)
		return
	}
	switch rapid.IntRange(0, 7).Draw(s.t, "act") {
	case 0:
		cause := rapid.SampledFrom(causes).Draw(s.t, "cause")
		s.recordAttemptEnd(r, attempt, cause, r.trustworthy)
		s.step(StreamEnded{Now: s.now, Request: h, Attempt: attempt, Cause: cause})
	case 1:
		s.step(Heartbeat{Now: s.now, Request: h, Attempt: attempt})
	case 2:
		r.finishFrame = r.finishFrame || attempt == r.attempt
		s.step(Frame{Now: s.now, Request: h, Attempt: attempt, Offset: r.nextOffset, Finish: "stop"})
	case 3: // invalid offset: a gap or a repeat
		offset := r.nextOffset + rapid.SampledFrom([]int{-1, 1, 7}).Draw(s.t, "shift")
		s.step(Frame{Now: s.now, Request: h, Attempt: attempt, Offset: offset, Text: tokenText(h, offset)})
	default:
		s.step(Frame{Now: s.now, Request: h, Attempt: attempt, Offset: r.nextOffset, Text: tokenText(h, r.nextOffset)})
	}
}

// recordAttemptEnd records whether a backend server may have run the request in an attempt that ended with this cause.
func (s *randomShell) recordAttemptEnd(r *requestState, attempt int, cause Cause, trustworthy bool) {
	if attempt != r.attempt || !r.inAttempt {
		return
	}
	r.inAttempt = false
	if cause != CauseConnectFailed && cause != CauseClaimExpired && (cause != CauseRefused || !trustworthy) {
		r.ran = true
	}
}

func (s *randomShell) serviceEvent(h RequestHandle, r *requestState, attempt int) {
	server := rapid.SampledFrom([]string{"s1", "s2"}).Draw(s.t, "server")
	switch rapid.IntRange(0, 2).Draw(s.t, "act") {
	case 0:
		s.step(ServiceAnswered{Now: s.now, Request: h, Attempt: attempt})
	case 1:
		s.step(ServiceEnded{Now: s.now, Request: h, Attempt: attempt, Server: server})
	default:
		cause := rapid.SampledFrom([]Cause{CauseRefused, CauseConnectFailed, CauseClaimExpired, CauseLost}).Draw(s.t, "cause")
		s.recordAttemptEnd(r, attempt, cause, server == "s1")
		s.step(ServiceEnded{
			Now: s.now, Request: h, Attempt: attempt, Server: server, Cause: cause,
			Replayable: rapid.Bool().Draw(s.t, "replayable"),
		})
	}
}

func (s *randomShell) anyRequest() RequestHandle {
	if len(s.handles) == 0 {
		return 0
	}
	return rapid.SampledFrom(s.handles).Draw(s.t, "request")
}

func (s *randomShell) callerEvent() {
	h := s.anyRequest()
	if h == 0 {
		return
	}
	switch rapid.IntRange(0, 5).Draw(s.t, "caller") {
	case 5:
		s.step(ShutdownEnded{Now: s.now, Request: h})
	case 0:
		s.step(CallerDisconnected{Now: s.now, Request: h})
	case 1:
		s.step(CallerWriteTimeout{Now: s.now, Request: h})
	case 2:
		s.step(CallerBlocked{Now: s.now, Request: h})
	case 3:
		s.step(CallerReady{Now: s.now, Request: h})
	default:
		s.step(AnswerWritten{Now: s.now, Request: h})
	}
}

// advance moves the clock and fires the timers that are due. Replaced timers fire too, because a stale timer may fire.
func (s *randomShell) advance(by core.Micros) {
	s.now += by
	for fired := true; fired; {
		fired = false
		for i, timer := range s.timers {
			if timer.At <= s.now {
				s.timers = append(s.timers[:i:i], s.timers[i+1:]...)
				s.step(TimerFired{Now: s.now, Request: timer.Request, Kind: timer.Kind})
				fired = true
				break
			}
		}
	}
	for _, h := range s.handles {
		r := s.requests[h]
		require.True(s.t, r.ended || s.now < r.arrived.Deadline, "request %d is still open after its deadline", h)
	}
}

// Tests the guarantees of section 1.2 of the design page over random orders of events: every admitted request ends by
// its deadline, every grant is released exactly once, the tokens sent are a prefix of one answer without gaps, nothing
// is sent after the end, not_run is reported only if it is true, and a non-idempotent call is dispatched at most once.
func TestGuaranteesOverRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &randomShell{t: t, c: New(), requests: map[RequestHandle]*requestState{}, grantReleases: map[string]int{}}
		actions := []func(){
			s.arrive, s.deliverResult, s.deliverResult, s.deliverResult,
			s.backendEvent, s.backendEvent, s.backendEvent, s.backendEvent, s.callerEvent,
			func() { s.advance(core.Micros(rapid.IntRange(0, 3_000).Draw(t, "ms")) * core.Millisecond) },
		}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			rapid.SampledFrom(actions).Draw(t, "act")()
		}
		if rapid.Bool().Draw(t, "shutdown") {
			s.step(ShutdownStarted{Now: s.now})
			s.arrive()
			require.False(t, s.requests[s.handles[len(s.handles)-1]].admitted, "request admitted during shutdown")
		}
		s.advance(core.Hour)
		for len(s.pendingResults) > 0 {
			s.deliverResult()
		}
		for id, releases := range s.grantReleases {
			require.Equal(t, 1, releases, "number of releases of grant %s", id)
		}
		for h, r := range s.requests {
			require.True(t, r.closed, "request %d is not closed", h)
			require.LessOrEqual(t, r.releases, r.claims, "more claims released than acquired")
			require.False(t, r.releases > 0 && r.mayHaveRun(), "claim of a dispatched call was released")
		}
		require.Zero(t, s.c.Open())
		require.Empty(t, s.c.requests)
		require.Empty(t, s.c.perWorkspace)
	})
}
