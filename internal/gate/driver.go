package gate

import (
	"context"
	"time"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// Codes of ends without an error, in metrics and logs.
const (
	codeComplete     gatecore.Code = "complete"
	codeDisconnected gatecore.Code = "disconnected"
)

// flight is the shell's side of one open request.
type flight struct {
	handle    gatecore.Handle
	requestID string
	identity  identity
	arrived   core.Micros
	deadline  core.Micros
	// heldBytes of the body count among the bodies held until the request is closed.
	heldBytes int64
	out       *outbox
	// ctx ends with the request; claims and grants are asked for under it.
	ctx    context.Context
	cancel context.CancelFunc
	// Exactly one of model and call is set.
	model *modelRequest
	call  *serviceCall

	// The fields below are guarded by Gate.mu.
	timers   map[gatecore.TimerKind]Timer
	attempts map[int]*attempt
	// code and failure are how the request ended.
	code gatecore.Code
	// begun is true once a token was sent.
	begun   bool
	failure gatecore.Failure
}

// attempt is the shell's side of one attempt.
type attempt struct {
	number int
	ctx    context.Context
	cancel context.CancelFunc
	// forward is closed when the answer of a plain service may be copied to the caller.
	forward chan struct{}
	// finished is true once the finish frame has arrived; the reader then ends the attempt. It is set by the reader
	// under Gate.mu.
	finished bool
	// silence cancels a call on a pooled connection that gets no answer.
	silence Timer

	engine      string
	address     string
	incarnation string
	helpers     []Helper
	reserve     int
}

// admit starts a request and returns its flight. The reducer's answer is in the flight's outbox.
func (g *Gate) admit(f *flight, e gatecore.RequestArrived) {
	f.out = newOutbox()
	f.timers = map[gatecore.TimerKind]Timer{}
	f.attempts = map[int]*attempt{}
	f.ctx, f.cancel = context.WithCancel(g.parent)
	f.deadline = e.Deadline
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last++
	f.handle, e.Request = g.last, g.last
	g.flights[f.handle] = f
	g.stepLocked(e)
}

// step feeds one event to the reducer and applies the effects.
func (g *Gate) step(ev gatecore.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepLocked(ev)
}

func (g *Gate) stepLocked(ev gatecore.Event) {
	effects := g.core.Step(ev)
	if g.opts.Observe != nil {
		g.opts.Observe(ev, effects)
	}
	for _, e := range effects {
		g.apply(e)
	}
	if g.core.ShuttingDown() && len(g.flights) == 0 {
		select {
		case <-g.idle:
		default:
			close(g.idle)
		}
	}
}

// apply performs one effect under mu. It starts goroutines for everything that can wait.
func (g *Gate) apply(effect gatecore.Effect) {
	switch e := effect.(type) {
	case gatecore.SendToken:
		f := g.flights[e.Request]
		f.out.push(e)
		g.countToken(f)
	case gatecore.SetTimer:
		g.setTimer(g.flights[e.Request], e)
	case gatecore.Refuse:
		g.endWith(e.Request, e.Code, ending{kind: endFail, failure: e.Failure})
	case gatecore.Fail:
		g.endWith(e.Request, e.Code, ending{kind: endFail, failure: e.Failure})
	case gatecore.Disconnect:
		g.endWith(e.Request, codeDisconnected, ending{kind: endDrop})
	case gatecore.Finish:
		g.endWith(e.Request, codeComplete, ending{kind: endFinish, finish: e})
	case gatecore.ReplayOutcome:
		g.endWith(e.Request, codeComplete, ending{kind: endReplay})
	case gatecore.Closed:
		g.closeFlight(g.flights[e.Request])
	case gatecore.CancelStream:
		g.cancelAttempt(g.flights[e.Request], e)
	default:
		g.applyWork(effect)
	}
	g.tally.open.Update(float64(g.core.Open()))
}

// applyWork starts the effects that call other parts.
func (g *Gate) applyWork(effect gatecore.Effect) {
	switch e := effect.(type) {
	case gatecore.AskGrant:
		f := g.flights[e.Request]
		g.goWork(func() { g.askGrant(f, e) })
	case gatecore.ReleaseGrant:
		// In order with the next ask, which may need the memory that this grant holds.
		g.opts.Grants.Release(e.GrantID, outcomes[e.Outcome], uint32(e.OutputTokens))
	case gatecore.OpenStream:
		f := g.flights[e.Request]
		a := g.newAttempt(f, e.Attempt)
		g.goWork(func() { g.runAttempt(f, a, e) })
	case gatecore.ReportCrash:
		f := g.flights[e.Request]
		g.opts.Log.Warn("engine crashed", evlog.KeyRequest, f.requestID, "engine", e.Engine)
		g.opts.Crashes.Report(f.model.fingerprint, e.Engine, e.Incarnation)
	case gatecore.AcquireClaim:
		f := g.flights[e.Request]
		g.goWork(func() { g.acquireClaim(f) })
	case gatecore.ReleaseClaim:
		f := g.flights[e.Request]
		g.goWork(func() { g.releaseClaim(f) })
	case gatecore.RecordOutcome:
		f := g.flights[e.Request]
		g.goWork(func() { g.recordOutcome(f) })
	case gatecore.CallService:
		f := g.flights[e.Request]
		a := g.newAttempt(f, e.Attempt)
		g.goWork(func() { g.runCall(f, a, e) })
	case gatecore.ForwardAnswer:
		close(g.flights[e.Request].attempts[e.Attempt].forward)
	}
}

func (g *Gate) countToken(f *flight) {
	g.tally.tokens.Inc(1)
	if !f.begun && f.model.delivered == 0 { // an answer that another gate began has had its first token
		g.tally.firstToken(f.model.promptTokens, (g.now() - f.arrived).Duration())
	}
	f.begun = true
}

func (g *Gate) goWork(f func()) {
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		f()
	}()
}

func (g *Gate) newAttempt(f *flight, number int) *attempt {
	a := f.attempts[number]
	if a == nil {
		a = &attempt{number: number, forward: make(chan struct{})}
		f.attempts[number] = a
	}
	a.ctx, a.cancel = context.WithCancel(g.parent)
	return a
}

// cancelTimeout bounds the call that tells an engine to end an attempt.
const cancelTimeout = 2 * time.Second

func (g *Gate) cancelAttempt(f *flight, e gatecore.CancelStream) {
	a := f.attempts[e.Attempt]
	if !a.finished || e.AtEngine {
		a.cancel()
	}
	if !e.AtEngine {
		return
	}
	g.goWork(func() {
		ctx, cancel := context.WithTimeout(g.parent, cancelTimeout)
		defer cancel()
		if err := g.opts.Engines.Cancel(ctx, a.address, f.requestID, a.number); err != nil {
			g.opts.Log.Debug("engine did not take a cancel", evlog.KeyRequest, f.requestID, "engine", a.engine, "err", err)
		}
	})
}

func (g *Gate) endWith(h gatecore.Handle, code gatecore.Code, e ending) {
	f := g.flights[h]
	f.out.finish(e, g.opts.Clock.Now())
	f.code, f.failure = code, e.failure
	if e.kind == endFail || e.kind == endDrop {
		f.cancel()
	}
}

func (g *Gate) closeFlight(f *flight) {
	for _, t := range f.timers {
		t.Stop()
	}
	for _, a := range f.attempts {
		if a.cancel != nil && !a.finished {
			a.cancel()
		}
	}
	f.cancel()
	delete(g.flights, f.handle)
	g.bodies.give(f.heldBytes)
	g.tally.ended(f.code)
	g.opts.Log.Info(evlog.MessageEnded, evlog.KeyRequest, f.requestID, "code", f.code, "run", f.failure.Run,
		"reason", f.failure.Message, "workspace", f.identity.workspace.Name)
}

func (g *Gate) setTimer(f *flight, e gatecore.SetTimer) {
	if t := f.timers[e.Kind]; t != nil {
		t.Stop()
	}
	wait := (e.At - g.now()).Duration()
	f.timers[e.Kind] = g.opts.Clock.AfterFunc(wait, func() {
		g.step(gatecore.TimerFired{Now: g.now(), Request: e.Request, Kind: e.Kind})
	})
}

// lockedReader serialises reads of the random source, which sealers of many streams share.
type lockedReader struct{ g *Gate }

// Read implements io.Reader.
func (l lockedReader) Read(p []byte) (int, error) {
	l.g.randomMu.Lock()
	defer l.g.randomMu.Unlock()
	return l.g.opts.Random.Read(p)
}
