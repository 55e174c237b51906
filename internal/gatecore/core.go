package gatecore

import (
	"fmt"

	"github.com/carobstile/carobstile/internal/core"
)

// Limits from section 6 of the design page.
const (
	// maxAttempts is the maximum number of attempts per request, not counting those that end by an engine crash.
	maxAttempts = 3
	// silenceTimeout ends an attempt when its engine has sent no byte for this long.
	silenceTimeout = 2 * core.Second
	// maxTokenBytes is the maximum size of one token's text. No served model has longer tokens.
	maxTokenBytes = 4096
	// defaultCrashLimit applies when RequestArrived.CrashLimit is not positive.
	defaultCrashLimit = 3
)

// Retries of refused grant requests for a request that may have run already. The pool may be moving to another
// allocator, which takes about 5 s, and waiting for it is cheaper than losing the work done so far.
const (
	maxGrantRetries    = 4
	minGrantRetryDelay = 500 * core.Millisecond
)

// MaxAttemptNumbers is the number of attempt numbers that one gate can use for a request: maxAttempts, and one for each
// crash up to the highest crash limit. A resumed request skips this many numbers, so that its attempt numbers are above
// all those of its former gate, even if that gate is still running.
const MaxAttemptNumbers = maxAttempts + 5

// stage is the state of a request in its life cycle.
type stage int

const (
	stageClaiming   stage = iota // waiting for a claim
	stageWaiting                 // waiting for a grant, or for the delay before requesting it again
	stageDispatched              // sent to a backend server that has not answered yet
	stageStreaming               // the backend server is sending its answer
	stageDraining                // the answer is complete and is being written to the caller
	stageDetached                // the caller disconnected, or was told that the gate shuts down; the call continues so that its outcome is recorded
	stageEnded                   // ended; a ClaimResult or GrantResult may still be pending
)

type request struct {
	arrived RequestArrived
	stage   stage
	// attempt is the number of the current attempt; countedAttempts is the number of ended attempts that count against
	// maxAttempts.
	attempt         int
	countedAttempts int
	grantRetries    int
	// nextOffset is the offset of the next token in the whole answer.
	nextOffset int
	suspects   int

	grantID            string
	engine             string
	incarnation        string
	refusalTrustworthy bool
	excludedEngines    []string
	// heldAttempt is the attempt whose stream preferredEngine may still hold for resumption; 0 if there is none.
	preferredEngine string
	heldAttempt     int

	claimPending    bool
	claimHeld       bool
	grantPending    bool
	claimValidUntil core.Micros

	// lastByteAt is when the engine last sent a byte; callerBlocked is true while the caller's buffer is full.
	lastByteAt    core.Micros
	callerBlocked bool
	// answerForwarded is true once a part of a plain service's answer may have been sent to the caller.
	answerForwarded bool

	// run says whether an ended attempt may have run the request; attemptRun says it of the current attempt.
	run        RunStatus
	attemptRun RunStatus
}

// Core is the reducer of one gate. Create it with New.
type Core struct {
	requests     map[RequestHandle]*request
	perWorkspace map[string]int
	budget       retryBudget
	shuttingDown bool
	open         int
	now          core.Micros
	effects      []Effect
}

// New returns a reducer without requests.
func New() *Core {
	return &Core{requests: map[RequestHandle]*request{}, perWorkspace: map[string]int{}}
}

// Open returns the number of requests that have not ended.
func (c *Core) Open() int { return c.open }

// ShuttingDown reports whether ShutdownStarted has been received.
func (c *Core) ShuttingDown() bool { return c.shuttingDown }

// Step processes one event and returns its effects. The slice is valid until the next call.
func (c *Core) Step(ev Event) []Effect {
	c.effects = c.effects[:0]
	switch e := ev.(type) {
	case Frame:
		c.frame(e)
	case Heartbeat:
		c.heartbeat(e)
	case RequestArrived:
		c.requestArrived(e)
	case ClaimResult:
		c.claimResult(e)
	case GrantResult:
		c.grantResult(e)
	case StreamOpened:
		c.streamOpened(e)
	case StreamEnded:
		c.streamEnded(e)
	case ServiceAnswered:
		c.serviceAnswered(e)
	case ServiceEnded:
		c.serviceEnded(e)
	case CallerBlocked:
		c.callerBlocked(e)
	case CallerReady:
		c.callerReady(e)
	case CallerDisconnected:
		c.callerLeft(e.Now, e.Request)
	case CallerWriteTimeout:
		c.callerLeft(e.Now, e.Request)
	case AnswerWritten:
		c.answerWritten(e)
	case TimerFired:
		c.timerFired(e)
	case ShutdownEnded:
		c.shutdownEnded(e)
	case ShutdownStarted:
		c.shuttingDown = true
	}
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// activeRequest returns the request, or nil if it has ended. It ends the request if the deadline has passed: a gate that
// was paused handles its timers late, so every event checks the deadline.
func (c *Core) activeRequest(now core.Micros, h RequestHandle) *request {
	r := c.requests[h]
	if r == nil || r.stage == stageEnded {
		return nil
	}
	c.now = now
	if now >= r.arrived.Deadline {
		c.deadlineExceeded(r)
		return nil
	}
	return r
}

// activeAttempt returns the active request if the given attempt is its current one and is at a backend server, and nil
// for a late event of another attempt.
func (c *Core) activeAttempt(now core.Micros, h RequestHandle, attempt int) *request {
	r := c.activeRequest(now, h)
	if r == nil || r.attempt != attempt || !r.attemptInProgress() {
		return nil
	}
	return r
}

// attemptInProgress reports whether the current attempt is at a backend server.
func (r *request) attemptInProgress() bool {
	return r.stage == stageDispatched || r.stage == stageStreaming || r.stage == stageDetached
}

func (c *Core) requestArrived(e RequestArrived) {
	c.now = e.Now
	if e.CrashLimit <= 0 {
		e.CrashLimit = defaultCrashLimit
	}
	r := &request{
		arrived: e, attempt: e.FirstAttempt, nextOffset: e.Delivered, suspects: e.Suspects,
		run: RunStatusNotRun, attemptRun: RunStatusNotRun,
	}
	if e.FirstAttempt > 1 || e.Delivered > 0 {
		r.run = RunStatusRun // the former gate ran it
	}
	if code, message := c.checkAdmission(e); code != "" {
		c.emit(Refuse{Request: e.Request, Failure: Failure{Code: code, Message: message, Run: r.run}})
		c.emit(Closed{Request: e.Request})
		return
	}
	c.requests[e.Request] = r
	c.perWorkspace[e.Workspace]++
	c.open++
	c.budget.countRequest(e.Now)
	c.emit(SetTimer{Request: e.Request, Kind: TimerDeadline, At: e.Deadline})
	c.start(r)
}

func (c *Core) checkAdmission(e RequestArrived) (Code, string) {
	switch {
	case c.shuttingDown:
		return CodeShuttingDown, "the gate is shutting down"
	case e.Now >= e.Deadline:
		return CodeDeadlinePassed, "the deadline had passed on arrival"
	case e.Suspects >= e.CrashLimit && e.Kind == KindModel:
		return CodeRequestCrashes, fmt.Sprintf("the request has crashed %d backend servers", e.Suspects)
	case e.MaxConcurrent > 0 && c.perWorkspace[e.Workspace] >= e.MaxConcurrent:
		return CodeOverloaded, fmt.Sprintf("the workspace has %d open requests at this gate, its bound", e.MaxConcurrent)
	case e.Kind == KindService && len(e.Servers) == 0:
		return CodeNoBackendServer, "no backend server of the route takes new work"
	}
	return "", ""
}

func (c *Core) start(r *request) {
	switch {
	case r.arrived.Kind == KindModel:
		c.requestGrant(r)
	case r.arrived.Idempotent:
		c.callService(r)
	default:
		r.stage = stageClaiming
		r.claimPending = true
		c.emit(AcquireClaim{Request: r.arrived.Request})
	}
}

// refuse ends a request that no backend server has run and whose caller has received nothing. fail ends an admitted
// request in all other cases, also when its deadline has passed.
func (c *Core) refuse(r *request, code Code, message string) {
	c.emit(Refuse{Request: r.arrived.Request, Failure: r.failure(code, message)})
	c.end(r)
}

func (c *Core) fail(r *request, code Code, message string) {
	c.emit(Fail{Request: r.arrived.Request, Failure: r.failure(code, message)})
	c.end(r)
}

func (r *request) failure(code Code, message string) Failure {
	run := strongerRun(r.run, r.attemptRun)
	if code == CodeOutcomeUnknown {
		run = RunStatusUnknown
	}
	return Failure{Code: code, Message: message, Run: run}
}

func strongerRun(a, b RunStatus) RunStatus {
	if a == RunStatusRun || b == RunStatusRun {
		return RunStatusRun
	}
	if a == RunStatusUnknown || b == RunStatusUnknown {
		return RunStatusUnknown
	}
	return RunStatusNotRun
}

// end ends the request: it cancels its attempts and releases its grant and, if the call was not sent, its claim.
func (c *Core) end(r *request) {
	if r.attemptInProgress() {
		c.cancelAttempt(r)
	}
	c.cancelHeldAttempt(r)
	c.releaseGrant(r, OutcomeCancelled)
	c.releaseClaim(r)
	r.stage = stageEnded
	c.open--
	c.perWorkspace[r.arrived.Workspace]--
	if c.perWorkspace[r.arrived.Workspace] == 0 {
		delete(c.perWorkspace, r.arrived.Workspace)
	}
	c.closeIfNothingPending(r)
}

// closeIfNothingPending removes an ended request unless a ClaimResult or GrantResult for it is still pending.
func (c *Core) closeIfNothingPending(r *request) {
	if r.stage != stageEnded || r.claimPending || r.grantPending {
		return
	}
	delete(c.requests, r.arrived.Request)
	c.emit(Closed{Request: r.arrived.Request})
}

func (c *Core) cancelAttempt(r *request) {
	c.emit(CancelStream{
		Request: r.arrived.Request, Attempt: r.attempt, AtEngine: r.arrived.Kind == KindModel,
	})
}

// cancelHeldAttempt cancels the earlier attempt that an engine may still hold. It is called once no later attempt can
// resume that attempt's stream.
func (c *Core) cancelHeldAttempt(r *request) {
	if r.heldAttempt == 0 {
		return
	}
	c.emit(CancelStream{Request: r.arrived.Request, Attempt: r.heldAttempt, AtEngine: true})
	r.heldAttempt = 0
}

func (c *Core) releaseGrant(r *request, outcome Outcome) {
	if r.grantID == "" {
		return
	}
	c.emit(ReleaseGrant{Request: r.arrived.Request, GrantID: r.grantID, Outcome: outcome, OutputTokens: r.nextOffset})
	r.grantID = ""
}

// releaseClaim releases the claim if no byte of the call can have reached a backend server.
func (c *Core) releaseClaim(r *request) {
	if !r.claimHeld || strongerRun(r.run, r.attemptRun) != RunStatusNotRun {
		return
	}
	r.claimHeld = false
	c.emit(ReleaseClaim{Request: r.arrived.Request})
}

func (c *Core) deadlineExceeded(r *request) {
	if r.stage == stageDetached {
		c.end(r)
		return
	}
	c.fail(r, CodeDeadlineExceeded, "the deadline passed after admission")
}

// callerLeft ends a request whose caller disconnected or reads too slowly. A dispatched non-idempotent call continues
// without its caller, so that its outcome is recorded.
func (c *Core) callerLeft(now core.Micros, h RequestHandle) {
	r := c.activeRequest(now, h)
	if r == nil || r.stage == stageDetached {
		return
	}
	c.emit(Disconnect{Request: h})
	if r.attemptInProgress() && r.claimHeld {
		r.stage = stageDetached
		return
	}
	c.end(r)
}

// shutdownEnded fails a request that is open when the time of the shutdown is over. An answer that is complete goes on being written, and a dispatched
// non-idempotent call continues without its caller as after a disconnect.
func (c *Core) shutdownEnded(e ShutdownEnded) {
	r := c.activeRequest(e.Now, e.Request)
	if r == nil || r.stage == stageDetached || r.stage == stageDraining {
		return
	}
	const message = "the gate shut down before the answer was complete"
	if r.attemptInProgress() && r.claimHeld {
		c.emit(Fail{Request: e.Request, Failure: r.failure(CodeOutcomeUnknown, message)})
		r.stage = stageDetached
		return
	}
	c.fail(r, CodeShuttingDown, message)
}

func (c *Core) answerWritten(e AnswerWritten) {
	r := c.activeRequest(e.Now, e.Request)
	if r == nil || r.stage != stageDraining {
		return
	}
	c.end(r)
}

func (c *Core) timerFired(e TimerFired) {
	r := c.activeRequest(e.Now, e.Request)
	if r == nil {
		return
	}
	switch e.Kind {
	case TimerSilence:
		c.checkSilence(r)
	case TimerGrantRetry:
		if r.stage == stageWaiting && !r.grantPending {
			c.requestGrant(r)
		}
	case TimerDeadline: // handled by activeRequest
	}
}
