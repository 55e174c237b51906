package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gatecore"
)

var outcomeToProto = map[gatecore.Outcome]pb.Outcome{
	gatecore.OutcomeComplete: pb.Outcome_OUTCOME_COMPLETE, gatecore.OutcomeCancelled: pb.Outcome_OUTCOME_CANCELLED,
	gatecore.OutcomeRefused: pb.Outcome_OUTCOME_REFUSED, gatecore.OutcomeLost: pb.Outcome_OUTCOME_LOST,
	gatecore.OutcomeFailed: pb.Outcome_OUTCOME_FAILED,
}

var refusalFromProto = map[pb.RefusalCode]gatecore.RefusalCode{
	pb.RefusalCode_REFUSAL_CODE_OVERLOADED:      gatecore.RefusalOverloaded,
	pb.RefusalCode_REFUSAL_CODE_NO_ENGINE:       gatecore.RefusalNoEngine,
	pb.RefusalCode_REFUSAL_CODE_NOT_ALLOCATOR:   gatecore.RefusalUnreachable,
	pb.RefusalCode_REFUSAL_CODE_TOO_LARGE:       gatecore.RefusalTooLarge,
	pb.RefusalCode_REFUSAL_CODE_CRASHES_SERVERS: gatecore.RefusalCrashesServers,
	pb.RefusalCode_REFUSAL_CODE_LEAVING:         gatecore.RefusalUnreachable,
}

// requestGrant performs gatecore.RequestGrant.
func (g *Gate) requestGrant(active *activeRequest, e gatecore.RequestGrant) {
	ctx, cancel := context.WithTimeout(active.ctx, (e.Deadline - g.now()).Duration())
	defer cancel()
	response, err := g.opts.Grants.Acquire(ctx, g.newGrantRequest(active, e))
	result := gatecore.GrantResult{Request: e.Request, Attempt: e.Attempt, Refusal: gatecore.RefusalUnreachable}
	granted := response.GetGranted()
	switch {
	case err != nil:
		g.opts.Log.Info("no allocator answered the grant request", evlog.KeyRequest, active.requestID,
			evlog.KeyAttempt, e.Attempt, "err", err)
	case granted != nil && granted.GrantId != "" && len(granted.Engines) > 0:
		result.Refusal = ""
		g.storeGrant(active, e.Attempt, granted)
		lead := granted.Engines[0]
		result.GrantID, result.Engine, result.Incarnation = granted.GrantId, lead.Name, lead.Incarnation
		if server, ok := active.identity.index.Server(lead.Name); ok {
			result.Trustworthy = server.TrustworthyRefusals
		}
	case granted != nil && granted.GrantId != "":
		g.opts.Grants.Release(granted.GrantId, pb.Outcome_OUTCOME_FAILED, 0) // the grant names no engine
	case response.GetRefused() != nil:
		if code, ok := refusalFromProto[response.GetRefused().Code]; ok {
			result.Refusal = code
		}
	}
	result.Now = g.now()
	g.step(result)
}

func (g *Gate) newGrantRequest(active *activeRequest, e gatecore.RequestGrant) GrantRequest {
	m, id := active.model, active.identity
	preferred := e.Preferred
	if e.Attempt == m.firstAttempt {
		preferred = m.preferred
	}
	return GrantRequest{
		Affinity: m.affinity, Preferred: preferred,
		Request: &pb.GrantRequest{
			RequestId: active.requestID, Attempt: uint32(e.Attempt), Fingerprint: m.fingerprint[:],
			Workspace: id.workspace.Name, Weight: uint32(max(id.workspace.Weight, 1)),
			Priority: uint32(id.caller.Priority), Model: m.model.Name, Adapter: m.adapter,
			PromptTokens: uint32(m.promptTokens), MaxOutputTokens: uint32(m.maxTokens),
			PrefixHashes: m.prefixHashes, PrefixBlockTokens: uint32(m.prefixBlockTokens),
			DeadlineMicros: int64(e.Deadline), MaxWaitMicros: int64(e.Deadline - g.now()),
			SuspectCount: uint32(e.Suspects), ExcludedEngines: e.Excluded,
		},
	}
}

// storeGrant creates an attempt with the engines of a grant.
func (g *Gate) storeGrant(active *activeRequest, number int, granted *pb.Granted) {
	a := &attempt{number: number, forwardAllowed: make(chan struct{})}
	lead := granted.Engines[0]
	a.engine, a.address, a.incarnation = lead.Name, lead.Address, lead.Incarnation
	a.reservedTokens = int(lead.ReservedTokens)
	for _, helper := range granted.Engines[1:] {
		a.helpers = append(a.helpers, Helper{Address: helper.Address, ReservedTokens: int(helper.ReservedTokens)})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	active.attempts[number] = a
}

// runAttempt performs gatecore.OpenStream and reads the stream to its end.
func (g *Gate) runAttempt(active *activeRequest, a *attempt, e gatecore.OpenStream) {
	g.metrics.countAttempt(gatecore.KindModel)
	g.opts.Log.Info("attempt dispatched", evlog.KeyRequest, active.requestID, evlog.KeyAttempt, e.Attempt,
		"engine", a.engine, "resume_from", e.ResumeFrom)
	stream, err := g.opts.Engines.Open(a.ctx, EngineCall{
		Address: a.address, RequestID: active.requestID, Attempt: e.Attempt, ResumeFrom: e.ResumeFrom,
		Seed:        active.model.seed,
		HeldAttempt: heldAttempt(active.model, a),
		Version:     g.recordServedVersion(active, ""),
		Priority:    active.identity.caller.Priority, Helpers: a.helpers, Deadline: (active.deadline - g.now()).Duration(),
		ReservedTokens: a.reservedTokens, Body: active.model.body,
	})
	if err != nil {
		g.reportAttemptEnd(active, a, e.Attempt, err)
		return
	}
	g.step(gatecore.StreamOpened{Now: g.now(), Request: active.handle, Attempt: e.Attempt})
	// The stream is read in a new goroutine: opening it grows the stack, and a waiting stream would keep the large stack.
	g.runBackground(func() {
		defer func() { _ = stream.Close() }() // the stream has ended in any case
		g.reportAttemptEnd(active, a, e.Attempt, g.readStream(active, a, stream))
	})
}

// reportAttemptEnd notifies the reducer that an attempt ended with an error, unless the reducer itself ended it.
func (g *Gate) reportAttemptEnd(active *activeRequest, a *attempt, number int, err error) {
	if err == nil || a.ctx.Err() != nil {
		return // finished, or ended by the reducer
	}
	cause := g.classifyStreamError(a, err)
	g.opts.Log.Info("attempt ended", evlog.KeyRequest, active.requestID, evlog.KeyAttempt, number, "engine", a.engine,
		"cause", cause, "err", err)
	g.step(gatecore.StreamEnded{Now: g.now(), Request: active.handle, Attempt: number, Cause: cause})
}

// heldAttempt returns the attempt number of the cursor if the first attempt of a resumed request uses the engine of the
// cursor, else 0.
func heldAttempt(m *modelRequest, a *attempt) int {
	if a.number != m.firstAttempt || m.preferred == "" || a.engine != m.preferred {
		return 0
	}
	return m.firstAttempt - gatecore.MaxAttemptNumbers
}

// readStream reads events until an error. It returns nil if the answer is finished or the reducer has ended the
// attempt.
func (g *Gate) readStream(active *activeRequest, a *attempt, stream EngineStream) error {
	for {
		ev, err := stream.Recv()
		if err != nil {
			return err
		}
		if ev.Heartbeat {
			g.step(gatecore.Heartbeat{Now: g.now(), Request: active.handle, Attempt: a.number})
			continue
		}
		if ev.Version != "" {
			g.recordServedVersion(active, ev.Version)
		}
		if ev.Finish != "" {
			g.markFinishReceived(a)
		}
		g.step(gatecore.Frame{
			Now: g.now(), Request: active.handle, Attempt: ev.Attempt, Offset: ev.Offset, Text: ev.Text, Finish: ev.Finish,
		})
		if a.finishReceived {
			drainStream(a, stream)
			return nil
		}
		if a.ctx.Err() != nil {
			return nil // the frame ended the attempt
		}
		if active.output.full() {
			g.waitForSpace(active, a)
		}
	}
}

// drainTimeout limits the wait for the end of a stream whose finish frame has arrived.
const drainTimeout = 100 * time.Millisecond

// markFinishReceived lets an attempt outlive its request, so that the stream is read to its end and the connection can
// be reused. Cancelling it made every request open a new connection.
func (g *Gate) markFinishReceived(a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.finishReceived = true
}

// drainStream waits for the end of a finished stream and cancels the attempt.
func drainStream(a *attempt, stream EngineStream) {
	defer a.cancel()
	timer := time.AfterFunc(drainTimeout, a.cancel)
	defer timer.Stop()
	_, _ = stream.Recv() // ignored: the answer is already complete
}

// recordServedVersion sets the model version of the answer if it is not known yet, and returns the known one.
func (g *Gate) recordServedVersion(active *activeRequest, version string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if active.model.servedVersion == "" {
		active.model.servedVersion = version
	}
	return active.model.servedVersion
}

// waitForSpace waits until the caller has read, so that no more than maxBufferedTokens are buffered.
func (g *Gate) waitForSpace(active *activeRequest, a *attempt) {
	g.step(gatecore.CallerBlocked{Now: g.now(), Request: active.handle})
	for active.output.full() {
		select {
		case <-active.output.spaceFreed:
		case <-a.ctx.Done():
			return
		}
	}
	g.step(gatecore.CallerReady{Now: g.now(), Request: active.handle})
}

// probeTimeout limits the check whether an engine still has the incarnation that the attempt was sent to; probeInterval
// is the pause between two queries.
const (
	probeTimeout  = 300 * time.Millisecond
	probeInterval = 20 * time.Millisecond
)

// classifyStreamError returns the cause of a stream error. A broken connection alone does not distinguish a crashed
// engine from a failed connection, so the engine's incarnation is queried. A process that is exiting can accept a
// connection and then break it, so a broken query proves nothing and is repeated.
func (g *Gate) classifyStreamError(a *attempt, err error) gatecore.Cause {
	var engineErr *EngineError
	if errors.As(err, &engineErr) && engineErr.Cause != gatecore.CauseLost {
		return engineErr.Cause
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
		case errors.As(err, &engineErr) && engineErr.Cause == gatecore.CauseConnectFailed:
			return gatecore.CauseCrashed
		}
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
			return gatecore.CauseLost
		}
	}
}
