package gatecore

import "github.com/carobstile/carobstile/internal/core"

// requestGrant requests a grant for the current attempt.
func (c *Core) requestGrant(r *request) {
	r.stage = stageWaiting
	r.grantPending = true
	c.emit(RequestGrant{
		Request: r.arrived.Request, Attempt: r.attempt, Deadline: r.arrived.Deadline, Suspects: r.suspects,
		Excluded: append([]string(nil), r.excludedEngines...), Preferred: r.preferredEngine,
	})
}

func (c *Core) grantResult(e GrantResult) {
	r := c.requests[e.Request]
	if r == nil || !r.grantPending || r.attempt != e.Attempt {
		c.releaseLateGrant(e)
		return
	}
	r.grantPending = false
	if r.stage == stageEnded {
		c.releaseLateGrant(e)
		c.closeIfNothingPending(r)
		return
	}
	r.grantID, r.engine, r.incarnation, r.refusalTrustworthy = e.GrantID, e.Engine, e.Incarnation, e.Trustworthy
	if c.activeRequest(e.Now, e.Request) == nil {
		return
	}
	if e.GrantID == "" {
		c.grantRefused(r, e.Refusal)
		return
	}
	c.dispatch(r)
}

// releaseLateGrant releases a grant that arrived after its attempt or request had ended.
func (c *Core) releaseLateGrant(e GrantResult) {
	if e.GrantID != "" {
		c.emit(ReleaseGrant{Request: e.Request, GrantID: e.GrantID, Outcome: OutcomeCancelled})
	}
}

func (c *Core) dispatch(r *request) {
	r.stage = stageDispatched
	r.attemptRun = RunStatusUnknown
	r.lastByteAt = c.now
	r.callerBlocked = false
	if r.engine != r.preferredEngine {
		c.cancelHeldAttempt(r)
	}
	r.heldAttempt = 0 // at the same engine, the new attempt replaces the earlier one
	h := r.arrived.Request
	c.emit(OpenStream{Request: h, Attempt: r.attempt, GrantID: r.grantID, ResumeFrom: r.nextOffset})
	c.emit(SetTimer{Request: h, Kind: TimerSilence, At: c.now + silenceTimeout})
}

func (c *Core) grantRefused(r *request, refusal RefusalCode) {
	if c.scheduleGrantRetry(r, refusal) {
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
	if r.run == RunStatusNotRun {
		c.refuse(r, code, message)
		return
	}
	c.fail(r, code, message)
}

// scheduleGrantRetry sets a timer to request the grant again if an earlier attempt may have run and the refusal may be
// temporary. It returns false if the grant is not retried.
func (c *Core) scheduleGrantRetry(r *request, refusal RefusalCode) bool {
	if refusal == RefusalTooLarge || refusal == RefusalCrashesServers {
		return false
	}
	if r.run == RunStatusNotRun || r.grantRetries >= maxGrantRetries {
		return false
	}
	at := c.now + minGrantRetryDelay<<r.grantRetries
	r.grantRetries++
	r.excludedEngines = nil // an engine that failed or refused before is better than no engine
	c.emit(SetTimer{Request: r.arrived.Request, Kind: TimerGrantRetry, At: at})
	return true
}

func (c *Core) streamOpened(e StreamOpened) {
	if r := c.activeAttempt(e.Now, e.Request, e.Attempt); r != nil {
		c.recordEngineActivity(r)
	}
}

func (c *Core) heartbeat(e Heartbeat) {
	if r := c.activeAttempt(e.Now, e.Request, e.Attempt); r != nil {
		c.recordEngineActivity(r)
	}
}

func (c *Core) recordEngineActivity(r *request) {
	r.lastByteAt = c.now
	r.attemptRun = RunStatusRun
	if r.stage == stageDispatched {
		r.stage = stageStreaming
	}
}

func (c *Core) frame(e Frame) {
	r := c.activeAttempt(e.Now, e.Request, e.Attempt)
	if r == nil || r.arrived.Kind != KindModel {
		return
	}
	c.recordEngineActivity(r)
	isToken := e.Text != "" || e.Finish == ""
	if e.Offset != r.nextOffset || len(e.Text) > maxTokenBytes || isToken && r.tokenLimitReached() {
		c.cancelAttempt(r)
		c.attemptEnded(r, CauseProtocol)
		return
	}
	if isToken {
		r.nextOffset++
		c.emit(SendToken{Request: e.Request, Attempt: e.Attempt, Offset: e.Offset, Text: e.Text})
	}
	if e.Finish != "" {
		c.finish(r, e.Finish)
	}
}

// tokenLimitReached reports whether the answer has as many tokens as the request allows.
func (r *request) tokenLimitReached() bool {
	return r.arrived.MaxTokens > 0 && r.nextOffset >= r.arrived.MaxTokens
}

func (c *Core) finish(r *request, reason string) {
	h := r.arrived.Request
	c.emit(CancelStream{Request: h, Attempt: r.attempt})
	c.emit(Finish{Request: h, Attempt: r.attempt, Reason: reason, Tokens: r.nextOffset})
	c.releaseGrant(r, OutcomeComplete)
	r.stage = stageDraining
}

func (c *Core) streamEnded(e StreamEnded) {
	if r := c.activeAttempt(e.Now, e.Request, e.Attempt); r != nil {
		c.attemptEnded(r, e.Cause)
	}
}

func (c *Core) checkSilence(r *request) {
	if r.arrived.Kind != KindModel || !r.attemptInProgress() || r.callerBlocked {
		return
	}
	if at := r.lastByteAt + silenceTimeout; c.now < at {
		c.emit(SetTimer{Request: r.arrived.Request, Kind: TimerSilence, At: at})
		return
	}
	c.emit(CancelStream{Request: r.arrived.Request, Attempt: r.attempt})
	c.attemptEnded(r, CauseSilent)
}

// callerBlocked suspends the silence check, because the shell reads nothing from the engine while the caller's buffer is
// full.
func (c *Core) callerBlocked(e CallerBlocked) {
	if r := c.activeRequest(e.Now, e.Request); r != nil {
		r.callerBlocked = true
	}
}

func (c *Core) callerReady(e CallerReady) {
	r := c.activeRequest(e.Now, e.Request)
	if r == nil || !r.callerBlocked {
		return
	}
	r.callerBlocked = false
	if r.arrived.Kind == KindModel && r.attemptInProgress() {
		r.lastByteAt = e.Now
		c.emit(SetTimer{Request: e.Request, Kind: TimerSilence, At: e.Now + silenceTimeout})
	}
}

var outcomeOfCause = map[Cause]Outcome{
	CauseRefused: OutcomeRefused, CauseConnectFailed: OutcomeLost, CauseLost: OutcomeLost, CauseCrashed: OutcomeLost,
	CauseSilent: OutcomeLost, CauseFailed: OutcomeFailed, CauseRejected: OutcomeFailed, CauseProtocol: OutcomeFailed,
}

// attemptEnded handles the end of a model request's attempt without a complete answer: it releases the grant and starts
// the next attempt if a retry is allowed.
func (c *Core) attemptEnded(r *request, cause Cause) {
	r.stage = stageWaiting
	c.releaseGrant(r, outcomeOfCause[cause])
	r.setEngineHints(cause)
	c.updateRun(r, cause, r.refusalTrustworthy)
	if cause == CauseCrashed {
		r.suspects++
		c.emit(ReportCrash{Request: r.arrived.Request, Engine: r.engine, Incarnation: r.incarnation})
	}
	if code, message := c.checkRetry(r, cause); code != "" {
		c.refuseOrFail(r, code, message)
		return
	}
	r.attempt++
	c.requestGrant(r)
}

// updateRun records in r.run whether the ended attempt may have run the request.
func (c *Core) updateRun(r *request, cause Cause, trustworthy bool) {
	switch {
	case cause == CauseConnectFailed, cause == CauseClaimExpired, cause == CauseRefused && trustworthy:
		r.attemptRun = RunStatusNotRun
	case cause == CauseFailed, cause == CauseRejected, cause == CauseProtocol, cause == CauseCrashed:
		r.attemptRun = RunStatusRun
	}
	r.run = strongerRun(r.run, r.attemptRun)
	r.attemptRun = RunStatusNotRun
}

// checkRetry returns an empty code if another attempt is allowed, and otherwise the failure to report.
func (c *Core) checkRetry(r *request, cause Cause) (Code, string) {
	switch cause {
	case CauseCrashed:
		if r.suspects >= r.arrived.CrashLimit {
			return CodeRequestCrashes, "the request has crashed backend servers up to the limit"
		}
		return "", ""
	case CauseRejected:
		return CodeBackendFailed, "the backend server rejected the request"
	}
	r.countedAttempts++
	if r.countedAttempts >= maxAttempts {
		return codeOfCause(cause), "all attempts failed, the last one: " + messageOfCause[cause]
	}
	if !c.budget.takeRetry(c.now) {
		return codeOfCause(cause), "the gate's retry budget is used up, the last attempt: " + messageOfCause[cause]
	}
	return "", ""
}

func (c *Core) refuseOrFail(r *request, code Code, message string) {
	if r.run == RunStatusNotRun {
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

var messageOfCause = map[Cause]string{
	CauseRefused:       "the backend server refused the request",
	CauseConnectFailed: "the backend server did not accept a connection",
	CauseLost:          "the connection to the backend server broke",
	CauseCrashed:       "the backend server crashed",
	CauseSilent:        "the backend server was silent",
	CauseFailed:        "the backend server reported an error",
	CauseProtocol:      "the backend server's answer breaks the protocol",
}

// setEngineHints sets the preferred and excluded engines of the next attempt. After a lost or silent connection the
// engine may still hold the stream, so it is preferred. After a crash the engine is not excluded, because a new
// incarnation may run under its name, and the allocator places requests suspected of crashes apart from each other.
func (r *request) setEngineHints(cause Cause) {
	r.preferredEngine = ""
	switch cause {
	case CauseLost, CauseSilent:
		r.preferredEngine, r.heldAttempt = r.engine, r.attempt
	case CauseRefused, CauseConnectFailed, CauseFailed, CauseProtocol:
		r.excludedEngines = append(r.excludedEngines, r.engine)
	}
}

// The retry budget allows one retry per budgetRequestsPerRetry requests within its window, but at least
// budgetMinRetries.
const (
	budgetWindowSeconds    = 10
	budgetMinRetries       = 3
	budgetRequestsPerRetry = 10
)

// retryBudget counts requests and retries over the last budgetWindowSeconds. It keeps the retries of one gate a small
// share of its requests during an outage.
type retryBudget struct {
	seconds [budgetWindowSeconds]struct {
		second            int64
		requests, retries int
	}
}

func (b *retryBudget) counters(now core.Micros) (requests, retries *int) {
	second := int64(now / core.Second)
	s := &b.seconds[second%budgetWindowSeconds]
	if s.second != second {
		s.second, s.requests, s.retries = second, 0, 0
	}
	return &s.requests, &s.retries
}

func (b *retryBudget) countRequest(now core.Micros) {
	requests, _ := b.counters(now)
	*requests++
}

// takeRetry counts a retry and returns true if the budget allows it.
func (b *retryBudget) takeRetry(now core.Micros) bool {
	_, retries := b.counters(now)
	oldest := int64(now/core.Second) - budgetWindowSeconds
	requests, used := 0, 0
	for _, s := range b.seconds {
		if s.second > oldest {
			requests += s.requests
			used += s.retries
		}
	}
	if used >= max(budgetMinRetries, requests/budgetRequestsPerRetry) {
		return false
	}
	*retries++
	return true
}
