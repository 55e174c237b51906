// Package gatecore is the reducer of the life cycle of all requests at one gate: claims, grants, attempts, frames,
// retries, deadlines and shutdown. It follows the rules of package core.
package gatecore

import "github.com/carobstile/carobstile/internal/core"

// Handle identifies a request inside one gate. A resumed request keeps its request id but gets a new handle, so that
// the former stream and the resumed one can be open at once.
type Handle uint64

// Event is an input of the reducer.
type Event interface{ event() }

// Kind says what a request asks for.
type Kind string

// Kinds of requests.
const (
	KindModel   Kind = "model"   // an answer of a model engine, over a grant
	KindService Kind = "service" // a call of a plain service
)

// Server is a backend server that may take a plain service's call.
type Server struct {
	Name string
	// Trustworthy is true when a refusal of the server proves that nothing was run.
	Trustworthy bool `json:",omitempty"`
}

// RequestArrived admits or refuses a request that passed the shell's checks.
type RequestArrived struct {
	Now       core.Micros
	Request   Handle
	Kind      Kind
	Workspace string
	// MaxConcurrent bounds the workspace's open requests at this gate; 0 means no bound.
	MaxConcurrent int `json:",omitempty"`
	Deadline      core.Micros
	// Suspects is the number of engine incarnations that the request has crashed; at CrashLimit it is refused.
	Suspects   int `json:",omitempty"`
	CrashLimit int `json:",omitempty"`
	// FirstAttempt is the number of the first attempt; resumed requests continue the count of their former gate.
	FirstAttempt int
	// Delivered is the number of tokens that the caller has already; MaxTokens bounds the whole answer.
	Delivered int `json:",omitempty"`
	MaxTokens int `json:",omitempty"`
	// Idempotent and Servers (in order of preference) concern plain services.
	Idempotent bool     `json:",omitempty"`
	Servers    []Server `json:",omitempty"`
}

// ClaimStatus is the result of acquiring a claim.
type ClaimStatus string

// Results of acquiring a claim.
const (
	ClaimHeld        ClaimStatus = "held"        // ours, until ValidUntil
	ClaimReplay      ClaimStatus = "replay"      // a former call has an outcome, which the shell holds
	ClaimUnknown     ClaimStatus = "unknown"     // a former call has no outcome
	ClaimReused      ClaimStatus = "reused"      // the key was used with another body
	ClaimUnavailable ClaimStatus = "unavailable" // not acquired; the attempt id is never dispatched
)

// ClaimResult answers AcquireClaim, once.
type ClaimResult struct {
	Now     core.Micros
	Request Handle
	Status  ClaimStatus
	// ValidUntil ends the window in which a held claim may be dispatched.
	ValidUntil core.Micros `json:",omitempty"`
}

// RefusalCode says why no grant was given.
type RefusalCode string

// Refusals of grants.
const (
	RefusalOverloaded     RefusalCode = "overloaded"
	RefusalNoEngine       RefusalCode = "no_engine"
	RefusalTooLarge       RefusalCode = "too_large"
	RefusalCrashesServers RefusalCode = "crashes_servers"
	RefusalUnreachable    RefusalCode = "unreachable" // no allocator answered
)

// GrantResult answers AskGrant, once. GrantID is empty when the grant was refused.
type GrantResult struct {
	Now         core.Micros
	Request     Handle
	Attempt     int
	GrantID     string      `json:",omitempty"`
	Engine      string      `json:",omitempty"`
	Incarnation string      `json:",omitempty"`
	Trustworthy bool        `json:",omitempty"`
	Refusal     RefusalCode `json:",omitempty"`
}

// StreamOpened says that the backend server answered an attempt with a stream.
type StreamOpened struct {
	Now     core.Micros
	Request Handle
	Attempt int
}

// Frame is one token, the finish of an answer, or both. A frame with Finish and without Text holds no token; its Offset
// is the number of tokens of the whole answer.
type Frame struct {
	Now     core.Micros
	Request Handle
	Attempt int
	Offset  int
	Text    string `json:",omitempty"`
	Finish  string `json:",omitempty"`
}

// Heartbeat says that an engine sent bytes without a token.
type Heartbeat struct {
	Now     core.Micros
	Request Handle
	Attempt int
}

// Cause is why an attempt ended without a complete answer.
type Cause string

// Causes of an attempt's end.
const (
	CauseRefused       Cause = "refused"        // typed refusal before any work
	CauseConnectFailed Cause = "connect_failed" // no byte of the request was sent
	CauseClaimLapsed   Cause = "claim_lapsed"   // the claim's window passed before a byte was sent
	CauseLost          Cause = "lost"           // the connection broke, the backend server still runs or may run
	CauseCrashed       Cause = "crashed"        // the engine incarnation is gone
	CauseSilent        Cause = "silent"         // no byte for silenceTimeout
	CauseFailed        Cause = "failed"         // the backend server reported an error of its own
	CauseRejected      Cause = "rejected"       // the backend server reported a fault of the request
	CauseProtocol      Cause = "protocol"       // the answer breaks the protocol
	CauseBody          Cause = "body"           // the caller's body broke off or is over its bound
)

// StreamEnded says that an engine's stream ended without a finish frame, or could not be opened.
type StreamEnded struct {
	Now     core.Micros
	Request Handle
	Attempt int
	Cause   Cause
}

// ServiceAnswered says that a plain service has sent the head of its answer.
type ServiceAnswered struct {
	Now     core.Micros
	Request Handle
	Attempt int
}

// ServiceEnded says that a plain service's call ended; an empty Cause means that the answer is complete.
type ServiceEnded struct {
	Now     core.Micros
	Request Handle
	Attempt int
	Cause   Cause `json:",omitempty"`
	// Server that was called.
	Server string `json:",omitempty"`
	// Replayable is true when the request's body can be sent again.
	Replayable bool `json:",omitempty"`
}

// CallerBlocked says that the caller's outgoing buffer is full; reading from the engine pauses.
type CallerBlocked struct {
	Now     core.Micros
	Request Handle
}

// CallerReady says that the caller's outgoing buffer has room again.
type CallerReady struct {
	Now     core.Micros
	Request Handle
}

// CallerGone says that the caller closed its connection.
type CallerGone struct {
	Now     core.Micros
	Request Handle
}

// CallerSlow says that the caller did not read for the write timeout.
type CallerSlow struct {
	Now     core.Micros
	Request Handle
}

// AnswerWritten says that the whole answer, with its end, has been written to the caller.
type AnswerWritten struct {
	Now     core.Micros
	Request Handle
}

// TimerKind distinguishes the timers of a request.
type TimerKind string

// Timers of a request.
const (
	TimerDeadline TimerKind = "deadline"
	TimerSilence  TimerKind = "silence"
	TimerAskAgain TimerKind = "ask_again"
)

// TimerFired answers SetTimer.
type TimerFired struct {
	Now     core.Micros
	Request Handle
	Kind    TimerKind
}

// ShutdownStarted makes the gate refuse new requests; open ones finish.
type ShutdownStarted struct {
	Now core.Micros
}

func (RequestArrived) event()  {}
func (ClaimResult) event()     {}
func (GrantResult) event()     {}
func (StreamOpened) event()    {}
func (Frame) event()           {}
func (Heartbeat) event()       {}
func (StreamEnded) event()     {}
func (ServiceAnswered) event() {}
func (ServiceEnded) event()    {}
func (CallerBlocked) event()   {}
func (CallerReady) event()     {}
func (CallerGone) event()      {}
func (CallerSlow) event()      {}
func (AnswerWritten) event()   {}
func (TimerFired) event()      {}
func (ShutdownStarted) event() {}
