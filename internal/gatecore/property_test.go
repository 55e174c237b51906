package gatecore

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// world is a random shell: it answers effects in any order, late, or wrongly, and checks each effect.
type world struct {
	t        *rapid.T
	c        *Core
	now      core.Micros
	requests map[Handle]*observed
	handles  []Handle
	pending  []Event // answers that are under way, Now unset
	timers   []SetTimer
	grants   map[string]int // releases by grant id
}

// observed is what a request's effects have shown.
type observed struct {
	arrived            RequestArrived
	next               int
	admitted, finished bool
	ended, closed      bool
	ran, inAttempt     bool // evidence of ended attempts and of the current one
	opened, crashed    int
	calls              int
	attempt            int
	trustworthy        bool
	claims, releases   int
	finishFrame        bool
}

func (w *world) step(ev Event) {
	for _, e := range append([]Effect(nil), w.c.Step(ev)...) {
		w.check(e)
	}
}

func (w *world) check(effect Effect) {
	switch e := effect.(type) {
	case SendToken:
		o := w.active(e.Request, effect)
		require.False(w.t, o.finished, "token after the finish")
		require.Equal(w.t, o.next, e.Offset, "gap or repeat")
		require.Equal(w.t, tokenText(e.Request, e.Offset), e.Text, "token of another answer")
		o.next++
	case Finish:
		o := w.active(e.Request, effect)
		require.False(w.t, o.finished, "second finish")
		require.True(w.t, o.finishFrame || o.arrived.Kind == KindService, "finish without a finish frame")
		o.finished = true
	case Refuse:
		w.end(e.Request, e.Failure, effect)
	case Fail:
		w.end(e.Request, e.Failure, effect)
	case Disconnect:
		w.active(e.Request, effect).ended = true
	case AskGrant:
		w.active(e.Request, effect)
		w.pending = append(w.pending, GrantResult{Request: e.Request, Attempt: e.Attempt})
	case OpenStream:
		w.open(w.active(e.Request, effect), e)
	case CallService:
		w.call(w.active(e.Request, effect), e)
	case AcquireClaim:
		w.active(e.Request, effect)
		w.pending = append(w.pending, ClaimResult{Request: e.Request})
	case ReleaseClaim:
		w.requests[e.Request].releases++
	case ReleaseGrant:
		w.grants[e.GrantID]++
		require.Equal(w.t, 1, w.grants[e.GrantID], "release of %s", e.GrantID)
	case ReportCrash:
		w.requests[e.Request].crashed++
	case SetTimer:
		w.timers = append(w.timers, e)
	case Closed:
		o := w.requests[e.Request]
		require.False(w.t, o.closed, "second close")
		o.closed = true
		o.ended = true
	}
}

// active returns a request that may still have effects towards its caller or backend servers.
func (w *world) active(h Handle, e Effect) *observed {
	o := w.requests[h]
	require.False(w.t, o.ended, "%T after the end", e)
	return o
}

func (w *world) end(h Handle, f Failure, e Effect) {
	o := w.active(h, e)
	o.ended = true
	require.False(w.t, f.Run == RunNot && o.reached(), "%s says not_run after dispatch", f.Code)
}

func (w *world) open(o *observed, e OpenStream) {
	require.Equal(w.t, o.next, e.ResumeFrom)
	require.Greater(w.t, e.Attempt, o.attempt)
	o.attempt = e.Attempt
	o.opened++
	require.LessOrEqual(w.t, o.opened-o.crashed, maxAttempts, "attempts that count")
	require.Less(w.t, o.arrived.Suspects+o.crashed, o.arrived.CrashLimit)
	o.ran = o.ran || o.inAttempt // the gate ended the former attempt itself
	o.inAttempt = true
}

func (w *world) call(o *observed, e CallService) {
	o.calls++
	o.attempt = e.Attempt
	if e.Once {
		require.Equal(w.t, 1, o.calls, "a call that runs at most once was dispatched again")
		require.Equal(w.t, 1, o.claims, "dispatch without a claim")
	}
	o.inAttempt = true
}

func (o *observed) reached() bool { return o.ran || o.inAttempt || o.arrived.Delivered > 0 }

func tokenText(h Handle, offset int) string { return fmt.Sprintf("%d/%d", h, offset) }

func (w *world) arrive() {
	h := Handle(len(w.requests) + 1)
	pick := rapid.IntRange(0, 2).Draw(w.t, "kind")
	e := RequestArrived{
		Now: w.now, Request: h, Kind: KindModel, Workspace: rapid.SampledFrom([]string{"w1", "w2"}).Draw(w.t, "workspace"),
		MaxConcurrent: rapid.IntRange(0, 3).Draw(w.t, "bound"), MaxTokens: 6, FirstAttempt: 1,
		Deadline:   w.now + core.Micros(rapid.IntRange(0, 20_000).Draw(w.t, "deadline"))*core.Millisecond,
		CrashLimit: rapid.IntRange(1, 5).Draw(w.t, "limit"), Suspects: rapid.IntRange(0, 1).Draw(w.t, "suspects"),
		Delivered: rapid.IntRange(0, 1).Draw(w.t, "delivered"),
	}
	if pick > 0 {
		e.Kind, e.Idempotent, e.Delivered = KindService, pick == 1, 0
		e.Servers = []Server{{Name: "s1", Trustworthy: true}, {Name: "s2"}, {Name: "s3"}}
	}
	w.requests[h] = &observed{arrived: e, next: e.Delivered}
	w.handles = append(w.handles, h)
	w.step(e)
	w.requests[h].admitted = !w.requests[h].closed
}

// answer delivers one of the answers under way.
func (w *world) answer() {
	if len(w.pending) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.pending)-1).Draw(w.t, "which")
	ev := w.pending[i]
	w.pending = append(w.pending[:i], w.pending[i+1:]...)
	switch e := ev.(type) {
	case GrantResult:
		w.step(w.grant(e))
	case ClaimResult:
		e.Now, e.ValidUntil = w.now, w.now+10*core.Second
		e.Status = rapid.SampledFrom([]ClaimStatus{
			ClaimHeld, ClaimHeld, ClaimReplay, ClaimUnknown, ClaimReused, ClaimUnavailable,
		}).Draw(w.t, "claim")
		if e.Status == ClaimHeld {
			w.requests[e.Request].claims++
		}
		w.step(e)
	}
}

func (w *world) grant(e GrantResult) GrantResult {
	e.Now = w.now
	e.Refusal = rapid.SampledFrom([]RefusalCode{
		"", "", "", "", RefusalOverloaded, RefusalNoEngine, RefusalTooLarge, RefusalUnreachable,
	}).Draw(w.t, "refusal")
	if e.Refusal == "" {
		e.GrantID = fmt.Sprintf("g%d", len(w.grants)+1)
		w.grants[e.GrantID] = 0
		e.Engine = rapid.SampledFrom([]string{"e1", "e2"}).Draw(w.t, "engine")
		e.Trustworthy = rapid.Bool().Draw(w.t, "trustworthy")
		w.requests[e.Request].trustworthy = e.Trustworthy
	}
	return e
}

var causes = []Cause{
	CauseRefused, CauseConnectFailed, CauseLost, CauseCrashed, CauseFailed, CauseRejected, CauseProtocol,
}

// backend lets a backend server act, for the current attempt or a former one.
func (w *world) backend() {
	h := w.anyRequest()
	o := w.requests[h]
	if o == nil || o.attempt == 0 {
		return
	}
	attempt := rapid.IntRange(max(1, o.attempt-1), o.attempt).Draw(w.t, "attempt")
	if o.arrived.Kind == KindService {
		w.service(h, o, attempt)
		return
	}
	switch rapid.IntRange(0, 7).Draw(w.t, "act") {
	case 0:
		cause := rapid.SampledFrom(causes).Draw(w.t, "cause")
		w.noteEnd(o, attempt, cause, o.trustworthy)
		w.step(StreamEnded{Now: w.now, Request: h, Attempt: attempt, Cause: cause})
	case 1:
		w.step(Heartbeat{Now: w.now, Request: h, Attempt: attempt})
	case 2:
		o.finishFrame = o.finishFrame || attempt == o.attempt
		w.step(Frame{Now: w.now, Request: h, Attempt: attempt, Offset: o.next, Finish: "stop"})
	case 3: // nonsense: a gap or a repeat
		offset := o.next + rapid.SampledFrom([]int{-1, 1, 7}).Draw(w.t, "shift")
		w.step(Frame{Now: w.now, Request: h, Attempt: attempt, Offset: offset, Text: tokenText(h, offset)})
	default:
		w.step(Frame{Now: w.now, Request: h, Attempt: attempt, Offset: o.next, Text: tokenText(h, o.next)})
	}
}

// noteEnd settles what an attempt's end proves about whether a backend server can have run the request.
func (w *world) noteEnd(o *observed, attempt int, cause Cause, trustworthy bool) {
	if attempt != o.attempt || !o.inAttempt {
		return
	}
	o.inAttempt = false
	if cause != CauseConnectFailed && cause != CauseClaimLapsed && (cause != CauseRefused || !trustworthy) {
		o.ran = true
	}
}

func (w *world) service(h Handle, o *observed, attempt int) {
	server := rapid.SampledFrom([]string{"s1", "s2"}).Draw(w.t, "server")
	switch rapid.IntRange(0, 2).Draw(w.t, "act") {
	case 0:
		w.step(ServiceAnswered{Now: w.now, Request: h, Attempt: attempt})
	case 1:
		w.step(ServiceEnded{Now: w.now, Request: h, Attempt: attempt, Server: server})
	default:
		cause := rapid.SampledFrom([]Cause{CauseRefused, CauseConnectFailed, CauseClaimLapsed, CauseLost}).Draw(w.t, "cause")
		w.noteEnd(o, attempt, cause, server == "s1")
		w.step(ServiceEnded{
			Now: w.now, Request: h, Attempt: attempt, Server: server, Cause: cause,
			Replayable: rapid.Bool().Draw(w.t, "replayable"),
		})
	}
}

func (w *world) anyRequest() Handle {
	if len(w.handles) == 0 {
		return 0
	}
	return rapid.SampledFrom(w.handles).Draw(w.t, "request")
}

func (w *world) caller() {
	h := w.anyRequest()
	if h == 0 {
		return
	}
	switch rapid.IntRange(0, 4).Draw(w.t, "caller") {
	case 0:
		w.step(CallerGone{Now: w.now, Request: h})
	case 1:
		w.step(CallerSlow{Now: w.now, Request: h})
	case 2:
		w.step(CallerBlocked{Now: w.now, Request: h})
	case 3:
		w.step(CallerReady{Now: w.now, Request: h})
	default:
		w.step(AnswerWritten{Now: w.now, Request: h})
	}
}

// advance moves the clock and fires the timers that are due; replaced ones fire too, as a stale timer may.
func (w *world) advance(by core.Micros) {
	w.now += by
	for fired := true; fired; {
		fired = false
		for i, timer := range w.timers {
			if timer.At <= w.now {
				w.timers = append(w.timers[:i:i], w.timers[i+1:]...)
				w.step(TimerFired{Now: w.now, Request: timer.Request, Kind: timer.Kind})
				fired = true
				break
			}
		}
	}
	for _, h := range w.handles {
		o := w.requests[h]
		require.True(w.t, o.ended || w.now < o.arrived.Deadline, "request %d is open after its deadline", h)
	}
}

// Guards the guarantees of section 1.2 over random orders of events: every admitted request ends by its deadline, every
// grant is released exactly once, tokens are a gapless prefix of one answer, nothing follows an end, not_run is said
// only when it is true, and a call that runs at most once is dispatched at most once.
func TestGuaranteesOverRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, c: New(), requests: map[Handle]*observed{}, grants: map[string]int{}}
		acts := []func(){
			w.arrive, w.answer, w.answer, w.answer, w.backend, w.backend, w.backend, w.backend, w.caller,
			func() { w.advance(core.Micros(rapid.IntRange(0, 3_000).Draw(t, "ms")) * core.Millisecond) },
		}
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			rapid.SampledFrom(acts).Draw(t, "act")()
		}
		if rapid.Bool().Draw(t, "shutdown") {
			w.step(ShutdownStarted{Now: w.now})
			w.arrive()
			require.False(t, w.requests[w.handles[len(w.handles)-1]].admitted, "admitted while shutting down")
		}
		w.advance(core.Hour)
		for len(w.pending) > 0 {
			w.answer()
		}
		for id, releases := range w.grants {
			require.Equal(t, 1, releases, "releases of %s", id)
		}
		for h, o := range w.requests {
			require.True(t, o.closed, "request %d is not closed", h)
			require.LessOrEqual(t, o.releases, o.claims, "claims released")
			require.False(t, o.releases > 0 && o.reached(), "claim of a dispatched call was released")
		}
		require.Zero(t, w.c.Open())
		require.Empty(t, w.c.requests)
		require.Empty(t, w.c.perWorkspace)
	})
}
