package gatecore

import (
	"fmt"

	"github.com/carobstile/carobstile/internal/core"
)

// Figures of section 6 of the design page.
const (
	// maxAttempts bounds the attempts of a request that do not end by an engine crash.
	maxAttempts = 3
	// silenceTimeout is the time without a byte from an engine after which its attempt ends.
	silenceTimeout = 2 * core.Second
	// maxTokenBytes bounds the text of one token; a longer one is not a token of any served model.
	maxTokenBytes = 4096
	// defaultCrashLimit applies when the shell passes none.
	defaultCrashLimit = 3
)

// Re-asking for a grant when an answer is already partly delivered: the pool's allocator may be moving, which takes
// about 5 s, and the work done so far is worth more than a quick refusal.
const (
	maxReasks     = 4
	reaskDelayMin = 500 * core.Millisecond
)

// MaxAttemptNumbers is the number of attempt numbers that one gate can use for a request: the attempts that count and
// one per crash up to the highest crash limit. A resumed request skips as many, so that its numbers are above all
// those of its former gate, also when that gate still runs.
const MaxAttemptNumbers = maxAttempts + 5

// stage is a state of the life cycle.
type stage int

const (
	stageClaiming   stage = iota // waiting for a claim
	stageWaiting                 // waiting for a grant, or for the time to ask again
	stageDispatched              // sent to a backend server that has not answered
	stageStreaming               // the backend server answers
	stageDraining                // complete, being written to the caller
	stageDetached                // the caller left a call that may not be cut off
	stageEnded                   // ended, a claim or a grant may still arrive
)

type request struct {
	arrived RequestArrived
	stage   stage
	// attempt is the number of the current attempt; tries counts the ended ones that count against maxAttempts.
	attempt int
	tries   int
	reasks  int
	// next is the offset of the next token.
	next     int
	suspects int

	grantID     string
	engine      string
	incarnation string
	trustworthy bool
	excluded    []string
	// held is the attempt whose stream the preferred engine may still hold for resumption; 0 when there is none.
	preferred string
	held      int

	claimPending bool
	claimHeld    bool
	askPending   bool
	validUntil   core.Micros

	// lastByte is when the engine last sent a byte; blocked is true while the caller's buffer is full.
	lastByte core.Micros
	blocked  bool
	// forwarded is true when a plain service's answer may have been sent to the caller in part.
	forwarded bool

	// run is the evidence of ended attempts, attemptRun that of the current one.
	run        Run
	attemptRun Run
}

// Core is the reducer of one gate. Use New.
type Core struct {
	requests     map[Handle]*request
	perWorkspace map[string]int
	budget       retryBudget
	shuttingDown bool
	open         int
	now          core.Micros
	effects      []Effect
}

// New returns a reducer without requests.
func New() *Core {
	return &Core{requests: map[Handle]*request{}, perWorkspace: map[string]int{}}
}

// Open returns the number of requests that have not ended.
func (c *Core) Open() int { return c.open }

// ShuttingDown is true after ShutdownStarted.
func (c *Core) ShuttingDown() bool { return c.shuttingDown }

// Step takes one event. The returned slice is valid until the next call.
func (c *Core) Step(ev Event) []Effect {
	c.effects = c.effects[:0]
	switch e := ev.(type) {
	case Frame:
		c.frame(e)
	case Heartbeat:
		c.heartbeat(e)
	case RequestArrived:
		c.arrive(e)
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
	case CallerGone:
		c.callerLeft(e.Now, e.Request)
	case CallerSlow:
		c.callerLeft(e.Now, e.Request)
	case AnswerWritten:
		c.answerWritten(e)
	case TimerFired:
		c.timerFired(e)
	case ShutdownStarted:
		c.shuttingDown = true
	}
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// live returns the request unless it ended or ends now because its deadline has passed. A gate that was paused handles
// its timers late, so every event checks the deadline.
func (c *Core) live(now core.Micros, h Handle) *request {
	r := c.requests[h]
	if r == nil || r.stage == stageEnded {
		return nil
	}
	c.now = now
	if now >= r.arrived.Deadline {
		c.deadline(r)
		return nil
	}
	return r
}

// current is live for an event of the attempt that is dispatched or streaming; events of others are late.
func (c *Core) current(now core.Micros, h Handle, attempt int) *request {
	r := c.live(now, h)
	if r == nil || r.attempt != attempt || !r.attempting() {
		return nil
	}
	return r
}

// attempting is true while an attempt is at a backend server.
func (r *request) attempting() bool {
	return r.stage == stageDispatched || r.stage == stageStreaming || r.stage == stageDetached
}

func (c *Core) arrive(e RequestArrived) {
	c.now = e.Now
	if e.CrashLimit <= 0 {
		e.CrashLimit = defaultCrashLimit
	}
	r := &request{
		arrived: e, attempt: e.FirstAttempt, next: e.Delivered, suspects: e.Suspects, run: RunNot, attemptRun: RunNot,
	}
	if e.FirstAttempt > 1 || e.Delivered > 0 {
		r.run = RunDone // a former gate ran it
	}
	if code, message := c.admission(e); code != "" {
		c.emit(Refuse{Request: e.Request, Failure: Failure{Code: code, Message: message, Run: r.run}})
		c.emit(Closed{Request: e.Request})
		return
	}
	c.requests[e.Request] = r
	c.perWorkspace[e.Workspace]++
	c.open++
	c.budget.countRequest(e.Now)
	c.emit(SetTimer{Request: e.Request, Kind: TimerDeadline, At: e.Deadline})
	c.begin(r)
}

func (c *Core) admission(e RequestArrived) (Code, string) {
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

func (c *Core) begin(r *request) {
	switch {
	case r.arrived.Kind == KindModel:
		c.ask(r)
	case r.arrived.Idempotent:
		c.callService(r)
	default:
		r.stage = stageClaiming
		r.claimPending = true
		c.emit(AcquireClaim{Request: r.arrived.Request})
	}
}

// refuse ends a request of which the caller has received nothing, fail any other.
func (c *Core) refuse(r *request, code Code, message string) {
	c.emit(Refuse{Request: r.arrived.Request, Failure: r.failure(code, message)})
	c.end(r)
}

func (c *Core) fail(r *request, code Code, message string) {
	c.emit(Fail{Request: r.arrived.Request, Failure: r.failure(code, message)})
	c.end(r)
}

func (r *request) failure(code Code, message string) Failure {
	run := maxRun(r.run, r.attemptRun)
	if code == CodeOutcomeUnknown {
		run = RunUnknown
	}
	return Failure{Code: code, Message: message, Run: run}
}

func maxRun(a, b Run) Run {
	if a == RunDone || b == RunDone {
		return RunDone
	}
	if a == RunUnknown || b == RunUnknown {
		return RunUnknown
	}
	return RunNot
}

// end closes the request for the caller and gives back what it holds.
func (c *Core) end(r *request) {
	if r.attempting() {
		c.cancelAttempt(r)
	}
	c.cancelHeld(r)
	c.releaseGrant(r, OutcomeCancelled)
	c.releaseClaim(r)
	r.stage = stageEnded
	c.open--
	c.perWorkspace[r.arrived.Workspace]--
	if c.perWorkspace[r.arrived.Workspace] == 0 {
		delete(c.perWorkspace, r.arrived.Workspace)
	}
	c.closeIfSettled(r)
}

// closeIfSettled forgets an ended request unless a claim or a grant may still arrive for it.
func (c *Core) closeIfSettled(r *request) {
	if r.stage != stageEnded || r.claimPending || r.askPending {
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

// cancelHeld ends the former attempt that an engine may still hold, once no attempt can resume it there.
func (c *Core) cancelHeld(r *request) {
	if r.held == 0 {
		return
	}
	c.emit(CancelStream{Request: r.arrived.Request, Attempt: r.held, AtEngine: true})
	r.held = 0
}

func (c *Core) releaseGrant(r *request, outcome Outcome) {
	if r.grantID == "" {
		return
	}
	c.emit(ReleaseGrant{Request: r.arrived.Request, GrantID: r.grantID, Outcome: outcome, OutputTokens: r.next})
	r.grantID = ""
}

// releaseClaim gives the claim back if no byte of the call can have reached a backend server.
func (c *Core) releaseClaim(r *request) {
	if !r.claimHeld || maxRun(r.run, r.attemptRun) != RunNot {
		return
	}
	r.claimHeld = false
	c.emit(ReleaseClaim{Request: r.arrived.Request})
}

func (c *Core) deadline(r *request) {
	if r.stage == stageDetached {
		c.end(r)
		return
	}
	c.fail(r, CodeDeadlineExceeded, "the deadline passed after admission")
}

// callerLeft ends a request whose caller is gone. A dispatched call that runs at most once goes on without its caller,
// so that its outcome is recorded.
func (c *Core) callerLeft(now core.Micros, h Handle) {
	r := c.live(now, h)
	if r == nil || r.stage == stageDetached {
		return
	}
	c.emit(Disconnect{Request: h})
	if r.attempting() && r.claimHeld {
		r.stage = stageDetached
		return
	}
	c.end(r)
}

func (c *Core) answerWritten(e AnswerWritten) {
	r := c.live(e.Now, e.Request)
	if r == nil || r.stage != stageDraining {
		return
	}
	c.end(r)
}

func (c *Core) timerFired(e TimerFired) {
	r := c.live(e.Now, e.Request)
	if r == nil {
		return
	}
	switch e.Kind {
	case TimerSilence:
		c.checkSilence(r)
	case TimerAskAgain:
		if r.stage == stageWaiting && !r.askPending {
			c.ask(r)
		}
	case TimerDeadline: // live has dealt with it
	}
}
