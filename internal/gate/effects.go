package gate

import (
	"context"
	"time"

	"github.com/carobstile/carobstile/internal/bodybudget"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// Codes of requests that ended without an error, for metrics and logs.
const (
	codeComplete     gatecore.Code = "complete"
	codeDisconnected gatecore.Code = "disconnected"
)

// activeRequest is the gate's state of one open request; the reducer holds the rest.
type activeRequest struct {
	handle    gatecore.RequestHandle
	requestID string
	identity  identity
	arrived   core.Micros
	deadline  core.Micros
	// body is counted until the request is closed.
	body   *bodybudget.Body
	output *outputBuffer
	// ctx ends with the request; claims and grants are acquired under it.
	ctx    context.Context
	cancel context.CancelFunc
	// Exactly one of model and call is set.
	model *modelRequest
	call  *serviceCall

	// The fields below are guarded by Gate.mu.
	timers   map[gatecore.TimerKind]Timer
	attempts map[int]*attempt
	// code and failure describe how the request ended.
	code gatecore.Code
	// tokenSent is true once a token was queued for the caller.
	tokenSent bool
	failure   gatecore.Failure
}

// attempt is the gate's state of one attempt.
type attempt struct {
	number int
	ctx    context.Context
	cancel context.CancelFunc
	// forwardAllowed is closed when the response of a plain service may be copied to the caller.
	forwardAllowed chan struct{}
	// finishReceived is true once the finish frame has arrived; the reader of the stream then ends the attempt. The reader
	// sets it under Gate.mu.
	finishReceived bool
	// headerTimer cancels a call on a pooled connection that gets no response header.
	headerTimer Timer

	engine         string
	address        string
	incarnation    string
	helpers        []Helper
	reservedTokens int
}

// admit registers a request and passes it to the reducer. The reducer's decision is placed in the request's output
// buffer.
func (g *Gate) admit(active *activeRequest, e gatecore.RequestArrived) {
	active.output = newOutputBuffer()
	active.timers = map[gatecore.TimerKind]Timer{}
	active.attempts = map[int]*attempt{}
	active.ctx, active.cancel = context.WithCancel(g.baseCtx)
	active.deadline = e.Deadline
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastHandle++
	active.handle, e.Request = g.lastHandle, g.lastHandle
	g.activeRequests[active.handle] = active
	g.stepLocked(e)
}

// step passes one event to the reducer and applies the effects.
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
	if g.core.ShuttingDown() && len(g.activeRequests) == 0 {
		select {
		case <-g.allClosed:
		default:
			close(g.allClosed)
		}
	}
}

// apply performs one effect under mu. Whatever may block runs in a goroutine of its own.
func (g *Gate) apply(effect gatecore.Effect) {
	switch e := effect.(type) {
	case gatecore.SendToken:
		active := g.activeRequests[e.Request]
		active.output.push(e)
		g.countToken(active)
	case gatecore.SetTimer:
		g.setTimer(g.activeRequests[e.Request], e)
	case gatecore.Refuse:
		g.endRequest(e.Request, e.Code, endState{kind: endFail, failure: e.Failure})
	case gatecore.Fail:
		g.endRequest(e.Request, e.Code, endState{kind: endFail, failure: e.Failure})
	case gatecore.Disconnect:
		g.endRequest(e.Request, codeDisconnected, endState{kind: endDisconnect})
	case gatecore.Finish:
		g.endRequest(e.Request, codeComplete, endState{kind: endFinish, finish: e})
	case gatecore.ReplayOutcome:
		g.endRequest(e.Request, codeComplete, endState{kind: endReplay})
	case gatecore.Closed:
		g.closeRequest(g.activeRequests[e.Request])
	case gatecore.CancelStream:
		g.cancelAttempt(g.activeRequests[e.Request], e)
	default:
		g.applyExternal(effect)
	}
	g.metrics.open.Update(float64(g.core.Open()))
}

// applyExternal starts the effects that use other components, such as grants, engines and claims.
func (g *Gate) applyExternal(effect gatecore.Effect) {
	switch e := effect.(type) {
	case gatecore.RequestGrant:
		active := g.activeRequests[e.Request]
		g.runBackground(func() { g.requestGrant(active, e) })
	case gatecore.ReleaseGrant:
		// Released synchronously, before the next grant request, which may need the memory that this grant holds.
		g.opts.Grants.Release(e.GrantID, outcomeToProto[e.Outcome], uint32(e.OutputTokens))
	case gatecore.OpenStream:
		active := g.activeRequests[e.Request]
		a := g.startAttempt(active, e.Attempt)
		g.runBackground(func() { g.runAttempt(active, a, e) })
	case gatecore.ReportCrash:
		active := g.activeRequests[e.Request]
		g.opts.Log.Warn("engine crashed", evlog.KeyRequest, active.requestID, "engine", e.Engine)
		g.opts.Crashes.Report(active.model.fingerprint, e.Engine, e.Incarnation)
	case gatecore.AcquireClaim:
		active := g.activeRequests[e.Request]
		g.runBackground(func() { g.acquireClaim(active) })
	case gatecore.ReleaseClaim:
		active := g.activeRequests[e.Request]
		g.runBackground(func() { g.releaseClaim(active) })
	case gatecore.RecordOutcome:
		active := g.activeRequests[e.Request]
		g.runBackground(func() { g.recordOutcome(active) })
	case gatecore.CallService:
		active := g.activeRequests[e.Request]
		a := g.startAttempt(active, e.Attempt)
		g.runBackground(func() { g.runCall(active, a, e) })
	case gatecore.ForwardAnswer:
		close(g.activeRequests[e.Request].attempts[e.Attempt].forwardAllowed)
	}
}

func (g *Gate) countToken(active *activeRequest) {
	g.metrics.tokens.Inc(1)
	if !active.tokenSent && active.model.delivered == 0 { // for a resumed answer, another gate sent the first token
		g.metrics.observeFirstToken(active.model.promptTokens, (g.now() - active.arrived).Duration())
	}
	active.tokenSent = true
}

func (g *Gate) runBackground(f func()) {
	g.background.Add(1)
	go func() {
		defer g.background.Done()
		f()
	}()
}

func (g *Gate) startAttempt(active *activeRequest, number int) *attempt {
	a := active.attempts[number]
	if a == nil {
		a = &attempt{number: number, forwardAllowed: make(chan struct{})}
		active.attempts[number] = a
	}
	a.ctx, a.cancel = context.WithCancel(g.baseCtx)
	return a
}

// cancelTimeout limits the call that cancels an attempt at an engine.
const cancelTimeout = 2 * time.Second

func (g *Gate) cancelAttempt(active *activeRequest, e gatecore.CancelStream) {
	a := active.attempts[e.Attempt]
	if !a.finishReceived || e.AtEngine {
		a.cancel()
	}
	if !e.AtEngine {
		return
	}
	g.runBackground(func() {
		ctx, cancel := context.WithTimeout(g.baseCtx, cancelTimeout)
		defer cancel()
		if err := g.opts.Engines.Cancel(ctx, a.address, active.requestID, a.number); err != nil {
			g.opts.Log.Debug("engine did not take a cancel", evlog.KeyRequest, active.requestID, "engine", a.engine, "err", err)
		}
	})
}

func (g *Gate) endRequest(h gatecore.RequestHandle, code gatecore.Code, e endState) {
	active := g.activeRequests[h]
	active.output.setEnd(e, g.opts.Clock.Now())
	active.code, active.failure = code, e.failure
	if e.kind == endFail || e.kind == endDisconnect {
		active.cancel()
	}
}

func (g *Gate) closeRequest(active *activeRequest) {
	for _, t := range active.timers {
		t.Stop()
	}
	for _, a := range active.attempts {
		if a.cancel != nil && !a.finishReceived {
			a.cancel()
		}
	}
	active.cancel()
	delete(g.activeRequests, active.handle)
	active.body.Release()
	g.metrics.countEnded(active.code)
	g.opts.Log.Info(evlog.MessageEnded, evlog.KeyRequest, active.requestID, "code", active.code, "run", active.failure.Run,
		"reason", active.failure.Message, "workspace", active.identity.workspace.Name)
}

func (g *Gate) setTimer(active *activeRequest, e gatecore.SetTimer) {
	if t := active.timers[e.Kind]; t != nil {
		t.Stop()
	}
	wait := (e.At - g.now()).Duration()
	active.timers[e.Kind] = g.opts.Clock.AfterFunc(wait, func() {
		g.step(gatecore.TimerFired{Now: g.now(), Request: e.Request, Kind: e.Kind})
	})
}

// lockedReader serialises reads of the random source, which the sealers of many streams share.
type lockedReader struct{ g *Gate }

// Read implements io.Reader.
func (l lockedReader) Read(p []byte) (int, error) {
	l.g.randomMu.Lock()
	defer l.g.randomMu.Unlock()
	return l.g.opts.Random.Read(p)
}
