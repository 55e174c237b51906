package gatecore

import "github.com/carobstile/carobstile/internal/core"

// ask asks for a grant for the current attempt.
func (c *Core) ask(r *request) {
	r.stage = stageWaiting
	r.askPending = true
	c.emit(AskGrant{
		Request: r.arrived.Request, Attempt: r.attempt, Deadline: r.arrived.Deadline, Suspects: r.suspects,
		Excluded: append([]string(nil), r.excluded...), Preferred: r.preferred,
	})
}

func (c *Core) grantResult(e GrantResult) {
	r := c.requests[e.Request]
	if r == nil || !r.askPending || r.attempt != e.Attempt {
		c.releaseUnused(e)
		return
	}
	r.askPending = false
	if r.stage == stageEnded {
		c.releaseUnused(e)
		c.closeIfSettled(r)
		return
	}
	r.grantID, r.engine, r.incarnation, r.trustworthy = e.GrantID, e.Engine, e.Incarnation, e.Trustworthy
	if c.live(e.Now, e.Request) == nil {
		return
	}
	if e.GrantID == "" {
		c.grantRefused(r, e.Refusal)
		return
	}
	c.dispatch(r)
}

// releaseUnused gives back a grant that came too late.
func (c *Core) releaseUnused(e GrantResult) {
	if e.GrantID != "" {
		c.emit(ReleaseGrant{Request: e.Request, GrantID: e.GrantID, Outcome: OutcomeCancelled})
	}
}

func (c *Core) dispatch(r *request) {
	r.stage = stageDispatched
	r.attemptRun = RunUnknown
	r.lastByte = c.now
	r.blocked = false
	if r.engine != r.preferred {
		c.cancelHeld(r)
	}
	r.held = 0 // an attempt at the same engine replaces the former one there
	h := r.arrived.Request
	c.emit(OpenStream{Request: h, Attempt: r.attempt, GrantID: r.grantID, ResumeFrom: r.next})
	c.emit(SetTimer{Request: h, Kind: TimerSilence, At: c.now + silenceTimeout})
}

func (c *Core) grantRefused(r *request, refusal RefusalCode) {
	if c.askLater(r, refusal) {
		return
	}
	code, message := CodeOverloaded, "the queues of the model's pools are full or too long for the deadline"
	switch refusal {
	case RefusalNoEngine:
		code, message = CodeNoBackendServer, "no backend server serves the model now"
	case RefusalUnreachable:
		code, message = CodeNoBackendServer, "no allocator of the model's pools answers"
	case RefusalTooLarge:
		code, message = CodeTooLarge, "the prompt does not fit the backend servers of the model"
	case RefusalCrashesServers:
		code, message = CodeRequestCrashes, "the request has crashed backend servers"
	case RefusalOverloaded:
	}
	if r.run == RunNot {
		c.refuse(r, code, message)
		return
	}
	c.fail(r, code, message)
}

// askLater asks again after a pause when an earlier attempt may have run and the refusal can pass.
func (c *Core) askLater(r *request, refusal RefusalCode) bool {
	if refusal == RefusalTooLarge || refusal == RefusalCrashesServers {
		return false
	}
	if r.run == RunNot || r.reasks >= maxReasks {
		return false
	}
	at := c.now + reaskDelayMin<<r.reasks
	r.reasks++
	r.excluded = nil // an excluded engine is better than none
	c.emit(SetTimer{Request: r.arrived.Request, Kind: TimerAskAgain, At: at})
	return true
}

func (c *Core) streamOpened(e StreamOpened) {
	if r := c.current(e.Now, e.Request, e.Attempt); r != nil {
		c.sawBytes(r)
	}
}

func (c *Core) heartbeat(e Heartbeat) {
	if r := c.current(e.Now, e.Request, e.Attempt); r != nil {
		c.sawBytes(r)
	}
}

func (c *Core) sawBytes(r *request) {
	r.lastByte = c.now
	r.attemptRun = RunDone
	if r.stage == stageDispatched {
		r.stage = stageStreaming
	}
}

func (c *Core) frame(e Frame) {
	r := c.current(e.Now, e.Request, e.Attempt)
	if r == nil || r.arrived.Kind != KindModel {
		return
	}
	c.sawBytes(r)
	isToken := e.Text != "" || e.Finish == ""
	if e.Offset != r.next || len(e.Text) > maxTokenBytes || isToken && r.full() {
		c.cancelAttempt(r)
		c.attemptEnded(r, CauseProtocol)
		return
	}
	if isToken {
		r.next++
		c.emit(SendToken{Request: e.Request, Attempt: e.Attempt, Offset: e.Offset, Text: e.Text})
	}
	if e.Finish != "" {
		c.finish(r, e.Finish)
	}
}

// full is true when the answer has as many tokens as the request allows.
func (r *request) full() bool { return r.arrived.MaxTokens > 0 && r.next >= r.arrived.MaxTokens }

func (c *Core) finish(r *request, reason string) {
	h := r.arrived.Request
	c.emit(CancelStream{Request: h, Attempt: r.attempt})
	c.emit(Finish{Request: h, Attempt: r.attempt, Reason: reason, Tokens: r.next})
	c.releaseGrant(r, OutcomeComplete)
	r.stage = stageDraining
}

func (c *Core) streamEnded(e StreamEnded) {
	if r := c.current(e.Now, e.Request, e.Attempt); r != nil {
		c.attemptEnded(r, e.Cause)
	}
}

func (c *Core) checkSilence(r *request) {
	if r.arrived.Kind != KindModel || !r.attempting() || r.blocked {
		return
	}
	if at := r.lastByte + silenceTimeout; c.now < at {
		c.emit(SetTimer{Request: r.arrived.Request, Kind: TimerSilence, At: at})
		return
	}
	c.emit(CancelStream{Request: r.arrived.Request, Attempt: r.attempt})
	c.attemptEnded(r, CauseSilent)
}

// callerBlocked suspends the silence check, because the shell does not read from the engine meanwhile.
func (c *Core) callerBlocked(e CallerBlocked) {
	if r := c.live(e.Now, e.Request); r != nil {
		r.blocked = true
	}
}

func (c *Core) callerReady(e CallerReady) {
	r := c.live(e.Now, e.Request)
	if r == nil || !r.blocked {
		return
	}
	r.blocked = false
	if r.arrived.Kind == KindModel && r.attempting() {
		r.lastByte = e.Now
		c.emit(SetTimer{Request: e.Request, Kind: TimerSilence, At: e.Now + silenceTimeout})
	}
}

var outcomeOfCause = map[Cause]Outcome{
	CauseRefused: OutcomeRefused, CauseConnectFailed: OutcomeLost, CauseLost: OutcomeLost, CauseCrashed: OutcomeLost,
	CauseSilent: OutcomeLost, CauseFailed: OutcomeFailed, CauseRejected: OutcomeFailed, CauseProtocol: OutcomeFailed,
}

// attemptEnded settles an attempt of a model request that did not finish and starts the next one where the rules of
// retries allow it.
func (c *Core) attemptEnded(r *request, cause Cause) {
	r.stage = stageWaiting
	c.releaseGrant(r, outcomeOfCause[cause])
	r.avoid(cause)
	c.settleEvidence(r, cause, r.trustworthy)
	if cause == CauseCrashed {
		r.suspects++
		c.emit(ReportCrash{Request: r.arrived.Request, Engine: r.engine, Incarnation: r.incarnation})
	}
	if code, message := c.mayRetry(r, cause); code != "" {
		c.failAttempts(r, code, message)
		return
	}
	r.attempt++
	c.ask(r)
}

// settleEvidence adds what the ended attempt says about whether the request ran.
func (c *Core) settleEvidence(r *request, cause Cause, trustworthy bool) {
	switch {
	case cause == CauseConnectFailed, cause == CauseClaimLapsed, cause == CauseRefused && trustworthy:
		r.attemptRun = RunNot
	case cause == CauseFailed, cause == CauseRejected, cause == CauseProtocol, cause == CauseCrashed:
		r.attemptRun = RunDone
	}
	r.run = maxRun(r.run, r.attemptRun)
	r.attemptRun = RunNot
}

// mayRetry returns an empty code when another attempt is allowed.
func (c *Core) mayRetry(r *request, cause Cause) (Code, string) {
	switch cause {
	case CauseCrashed:
		if r.suspects >= r.arrived.CrashLimit {
			return CodeRequestCrashes, "the request has crashed backend servers up to the limit"
		}
		return "", ""
	case CauseRejected:
		return CodeBackendFailed, "the backend server rejected the request"
	}
	r.tries++
	if r.tries >= maxAttempts {
		return codeOfCause(cause), "all attempts failed, the last one: " + describeCause[cause]
	}
	if !c.budget.takeRetry(c.now) {
		return codeOfCause(cause), "the gate's retry budget is used up, the last attempt: " + describeCause[cause]
	}
	return "", ""
}

func (c *Core) failAttempts(r *request, code Code, message string) {
	if r.run == RunNot {
		c.refuse(r, code, message)
		return
	}
	c.fail(r, code, message)
}

func codeOfCause(cause Cause) Code {
	switch cause {
	case CauseRefused:
		return CodeOverloaded
	case CauseConnectFailed:
		return CodeNoBackendServer
	default:
		return CodeBackendFailed
	}
}

var describeCause = map[Cause]string{
	CauseRefused:       "the backend server refused the request",
	CauseConnectFailed: "the backend server did not accept a connection",
	CauseLost:          "the connection to the backend server broke",
	CauseCrashed:       "the backend server crashed",
	CauseSilent:        "the backend server was silent",
	CauseFailed:        "the backend server reported an error",
	CauseProtocol:      "the backend server's answer breaks the protocol",
}

// avoid chooses what the next attempt says about engines. After a lost or silent connection the engine may still hold
// the stream; after a crash its name may stand for a new incarnation, and the allocator keeps suspects apart.
func (r *request) avoid(cause Cause) {
	r.preferred = ""
	switch cause {
	case CauseLost, CauseSilent:
		r.preferred, r.held = r.engine, r.attempt
	case CauseRefused, CauseConnectFailed, CauseFailed, CauseProtocol:
		r.excluded = append(r.excluded, r.engine)
	}
}

// budgetSeconds is the window of the retry budget; the share is retries per request.
const (
	budgetSeconds    = 10
	budgetMinRetries = 3
	budgetDivisor    = 10 // one retry per 10 requests
)

// retryBudget counts requests and retries over the last budgetSeconds, so that retries of one gate stay a small share
// of its requests in an outage.
type retryBudget struct {
	seconds [budgetSeconds]struct {
		second            int64
		requests, retries int
	}
}

func (b *retryBudget) slot(now core.Micros) (requests, retries *int) {
	second := int64(now / core.Second)
	s := &b.seconds[second%budgetSeconds]
	if s.second != second {
		s.second, s.requests, s.retries = second, 0, 0
	}
	return &s.requests, &s.retries
}

func (b *retryBudget) countRequest(now core.Micros) {
	requests, _ := b.slot(now)
	*requests++
}

// takeRetry counts a retry and returns true when the budget allows it.
func (b *retryBudget) takeRetry(now core.Micros) bool {
	_, retries := b.slot(now)
	oldest := int64(now/core.Second) - budgetSeconds
	requests, used := 0, 0
	for _, s := range b.seconds {
		if s.second > oldest {
			requests += s.requests
			used += s.retries
		}
	}
	if used >= max(budgetMinRetries, requests/budgetDivisor) {
		return false
	}
	*retries++
	return true
}
