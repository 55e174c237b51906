package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gatecore"
)

var outcomes = map[gatecore.Outcome]pb.Outcome{
	gatecore.OutcomeComplete: pb.Outcome_OUTCOME_COMPLETE, gatecore.OutcomeCancelled: pb.Outcome_OUTCOME_CANCELLED,
	gatecore.OutcomeRefused: pb.Outcome_OUTCOME_REFUSED, gatecore.OutcomeLost: pb.Outcome_OUTCOME_LOST,
	gatecore.OutcomeFailed: pb.Outcome_OUTCOME_FAILED,
}

var refusals = map[pb.RefusalCode]gatecore.RefusalCode{
	pb.RefusalCode_REFUSAL_CODE_OVERLOADED:      gatecore.RefusalOverloaded,
	pb.RefusalCode_REFUSAL_CODE_NO_ENGINE:       gatecore.RefusalNoEngine,
	pb.RefusalCode_REFUSAL_CODE_NOT_ALLOCATOR:   gatecore.RefusalUnreachable,
	pb.RefusalCode_REFUSAL_CODE_TOO_LARGE:       gatecore.RefusalTooLarge,
	pb.RefusalCode_REFUSAL_CODE_CRASHES_SERVERS: gatecore.RefusalCrashesServers,
	pb.RefusalCode_REFUSAL_CODE_LEAVING:         gatecore.RefusalUnreachable,
}

// askGrant performs gatecore.AskGrant.
func (g *Gate) askGrant(f *flight, e gatecore.AskGrant) {
	ctx, cancel := context.WithTimeout(f.ctx, (e.Deadline - g.now()).Duration())
	defer cancel()
	answer, err := g.opts.Grants.Ask(ctx, g.grantAsk(f, e))
	result := gatecore.GrantResult{Request: e.Request, Attempt: e.Attempt, Refusal: gatecore.RefusalUnreachable}
	granted := answer.GetGranted()
	switch {
	case err != nil:
		g.opts.Log.Info("no allocator answered", evlog.KeyRequest, f.requestID, evlog.KeyAttempt, e.Attempt, "err", err)
	case granted != nil && granted.GrantId != "" && len(granted.Engines) > 0:
		result.Refusal = ""
		g.noteGrant(f, e.Attempt, granted)
		lead := granted.Engines[0]
		result.GrantID, result.Engine, result.Incarnation = granted.GrantId, lead.Name, lead.Incarnation
		if server, ok := f.identity.index.Server(lead.Name); ok {
			result.Trustworthy = server.TrustworthyRefusals
		}
	case granted != nil && granted.GrantId != "":
		g.opts.Grants.Release(granted.GrantId, pb.Outcome_OUTCOME_FAILED, 0) // names no engine
	case answer.GetRefused() != nil:
		if code, ok := refusals[answer.GetRefused().Code]; ok {
			result.Refusal = code
		}
	}
	result.Now = g.now()
	g.step(result)
}

func (g *Gate) grantAsk(f *flight, e gatecore.AskGrant) GrantAsk {
	m, id := f.model, f.identity
	preferred := e.Preferred
	if e.Attempt == m.firstAttempt {
		preferred = m.preferred
	}
	return GrantAsk{
		Affinity: m.affinity, Preferred: preferred,
		Request: &pb.GrantRequest{
			RequestId: f.requestID, Attempt: uint32(e.Attempt), Fingerprint: m.fingerprint[:],
			Workspace: id.workspace.Name, Weight: uint32(max(id.workspace.Weight, 1)),
			Priority: uint32(id.caller.Priority), Model: m.model.Name, Adapter: m.adapter,
			PromptTokens: uint32(m.promptTokens), MaxOutputTokens: uint32(m.maxTokens),
			PrefixHashes: m.prefixHashes, PrefixBlockTokens: uint32(m.prefixTokens),
			DeadlineMicros: int64(e.Deadline), MaxWaitMicros: int64(e.Deadline - g.now()),
			SuspectCount: uint32(e.Suspects), ExcludedEngines: e.Excluded,
		},
	}
}

// noteGrant keeps the engines of a grant for the attempt that follows.
func (g *Gate) noteGrant(f *flight, number int, granted *pb.Granted) {
	a := &attempt{number: number, forward: make(chan struct{})}
	lead := granted.Engines[0]
	a.engine, a.address, a.incarnation = lead.Name, lead.Address, lead.Incarnation
	a.reserve = int(lead.ReservedTokens)
	for _, helper := range granted.Engines[1:] {
		a.helpers = append(a.helpers, Helper{Address: helper.Address, Reserve: int(helper.ReservedTokens)})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	f.attempts[number] = a
}

// runAttempt performs gatecore.OpenStream and reads the stream to its end.
func (g *Gate) runAttempt(f *flight, a *attempt, e gatecore.OpenStream) {
	g.tally.attempt(gatecore.KindModel)
	g.opts.Log.Info("attempt dispatched", evlog.KeyRequest, f.requestID, evlog.KeyAttempt, e.Attempt, "engine", a.engine,
		"resume_from", e.ResumeFrom)
	stream, err := g.opts.Engines.Open(a.ctx, EngineCall{
		Address: a.address, RequestID: f.requestID, Attempt: e.Attempt, ResumeFrom: e.ResumeFrom, Seed: f.model.seed,
		HeldAttempt: heldAttempt(f.model, a),
		Version:     g.servedVersion(f, ""),
		Priority:    f.identity.caller.Priority, Helpers: a.helpers, Deadline: (f.deadline - g.now()).Duration(),
		Reserve: a.reserve, Body: f.model.body,
	})
	if err != nil {
		g.attemptEnded(f, a, e.Attempt, err)
		return
	}
	g.step(gatecore.StreamOpened{Now: g.now(), Request: f.handle, Attempt: e.Attempt})
	// Opening a stream takes a deep stack, which a goroutine keeps; a waiting stream needs less.
	g.goWork(func() {
		defer func() { _ = stream.Close() }() // the stream has ended either way
		g.attemptEnded(f, a, e.Attempt, g.readStream(f, a, stream))
	})
}

// attemptEnded tells the reducer that an attempt ended with an error, unless the reducer has ended it.
func (g *Gate) attemptEnded(f *flight, a *attempt, number int, err error) {
	if err == nil || a.ctx.Err() != nil {
		return // finished, or the reducer has ended the attempt
	}
	cause := g.causeOf(a, err)
	g.opts.Log.Info("attempt ended", evlog.KeyRequest, f.requestID, evlog.KeyAttempt, number, "engine", a.engine,
		"cause", cause, "err", err)
	g.step(gatecore.StreamEnded{Now: g.now(), Request: f.handle, Attempt: number, Cause: cause})
}

// heldAttempt returns the attempt that the cursor names when a resumed request comes to the cursor's engine first.
func heldAttempt(m *modelRequest, a *attempt) int {
	if a.number != m.firstAttempt || m.preferred == "" || a.engine != m.preferred {
		return 0
	}
	return m.firstAttempt - gatecore.MaxAttemptNumbers
}

// readStream reads events until the finish (nil) or an error.
func (g *Gate) readStream(f *flight, a *attempt, stream EngineStream) error {
	for {
		ev, err := stream.Recv()
		if err != nil {
			return err
		}
		if ev.Heartbeat {
			g.step(gatecore.Heartbeat{Now: g.now(), Request: f.handle, Attempt: a.number})
			continue
		}
		if ev.Version != "" {
			g.servedVersion(f, ev.Version)
		}
		if ev.Finish != "" {
			g.keepOpen(a)
		}
		g.step(gatecore.Frame{
			Now: g.now(), Request: f.handle, Attempt: ev.Attempt, Offset: ev.Offset, Text: ev.Text, Finish: ev.Finish,
		})
		if a.finished {
			drain(a, stream)
			return nil
		}
		if a.ctx.Err() != nil {
			return nil // the frame ended the attempt
		}
		if f.out.full() {
			g.waitForRoom(f, a)
		}
	}
}

// drainTimeout bounds the wait for the end of a stream whose finish frame has arrived.
const drainTimeout = 100 * time.Millisecond

// keepOpen lets an attempt outlast the end of its request, so that the end of the stream can be read and the connection
// used again. Cancelling it made every request open a connection.
func (g *Gate) keepOpen(a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.finished = true
}

// drain reads the end of a finished stream.
func drain(a *attempt, stream EngineStream) {
	defer a.cancel()
	timer := time.AfterFunc(drainTimeout, a.cancel)
	defer timer.Stop()
	_, _ = stream.Recv() // whatever follows, the answer is complete
}

// servedVersion returns the model version of the answer, and sets it if it is not known yet.
func (g *Gate) servedVersion(f *flight, version string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.model.served == "" {
		f.model.served = version
	}
	return f.model.served
}

// waitForRoom waits until the caller has read, so that no more than outboxTokens wait for it.
func (g *Gate) waitForRoom(f *flight, a *attempt) {
	g.step(gatecore.CallerBlocked{Now: g.now(), Request: f.handle})
	for f.out.full() {
		select {
		case <-f.out.room:
		case <-a.ctx.Done():
			return
		}
	}
	g.step(gatecore.CallerReady{Now: g.now(), Request: f.handle})
}

// probeTimeout bounds the question whether an engine is still the one that an attempt was sent to; probePause is the
// time between two tries.
const (
	probeTimeout = 300 * time.Millisecond
	probePause   = 20 * time.Millisecond
)

// causeOf types the end of an attempt. A broken connection alone does not tell a dead engine from a dead connection,
// so the engine is asked for its incarnation. A process that is ending can still accept a connection and then break it,
// so that a broken question proves nothing and is asked again.
func (g *Gate) causeOf(a *attempt, err error) gatecore.Cause {
	var typed *EngineError
	if errors.As(err, &typed) && typed.Cause != gatecore.CauseLost {
		return typed.Cause
	}
	ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
	defer cancel()
	for {
		incarnation, err := g.opts.Engines.Incarnation(ctx, a.address)
		switch {
		case err == nil && a.incarnation != "" && incarnation != a.incarnation:
			return gatecore.CauseCrashed
		case err == nil:
			return gatecore.CauseLost
		case errors.As(err, &typed) && typed.Cause == gatecore.CauseConnectFailed:
			return gatecore.CauseCrashed
		}
		select {
		case <-time.After(probePause):
		case <-ctx.Done():
			return gatecore.CauseLost
		}
	}
}
