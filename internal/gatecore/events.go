// Package gatecore implements the reducer for the life cycle of all requests at one gate: claims, grants, attempts,
// frames, retries, deadlines and shutdown. It follows the rules of package core.
package gatecore

import "github.com/carobstile/carobstile/internal/core"

// RequestHandle identifies a request inside one gate. A resumed request keeps its request id but gets a new handle,
// because its former stream and the resumed one may be open at the same time.
type RequestHandle uint64

// Event is an input of the reducer.
type Event interface{ event() }

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	KindModel   Kind = "model"   // an answer from a model engine; needs a grant
	KindService Kind = "service" // a call to a plain service
)

// Server is a backend server to which a call to a plain service may be sent.
type Server struct {
	Name string
	// Trustworthy is true if a refusal by the server proves that it ran nothing.
	Trustworthy bool `json:",omitempty"`
}

// RequestArrived is a new request that passed the shell's checks; the reducer admits or refuses it.
type RequestArrived struct {
	Now       core.Micros
	Request   RequestHandle
	Kind      Kind
	Workspace string
	// MaxConcurrent is the maximum number of open requests of the workspace at this gate; 0 means no limit.
	MaxConcurrent int `json:",omitempty"`
	Deadline      core.Micros
	// Suspects is the number of engine incarnations that crashed while they ran the request. At CrashLimit it is refused.
	Suspects   int `json:",omitempty"`
	CrashLimit int `json:",omitempty"`
	// FirstAttempt is the number of the first attempt. For a resumed request it is above the numbers of its former gate.
	FirstAttempt int
	// Delivered is the number of tokens that the caller has already received. MaxTokens is the maximum number of tokens
	// of the whole answer; 0 means no limit.
	Delivered int `json:",omitempty"`
	MaxTokens int `json:",omitempty"`
	// Idempotent and Servers, in order of preference, are set for plain services only.
	Idempotent bool     `json:",omitempty"`
	Servers    []Server `json:",omitempty"`
}

// ClaimStatus is the result of acquiring a claim.
type ClaimStatus string

// Results of acquiring a claim.
const (
	ClaimHeld        ClaimStatus = "held"        // this request holds the claim until ValidUntil
	ClaimReplay      ClaimStatus = "replay"      // an earlier call has a recorded outcome, which the shell holds
	ClaimUnknown     ClaimStatus = "unknown"     // an earlier call has no recorded outcome
	ClaimReused      ClaimStatus = "reused"      // the idempotency key was used with another body
	ClaimUnavailable ClaimStatus = "unavailable" // the claim could not be acquired; the attempt is never dispatched
)

// ClaimResult is the result of an AcquireClaim. Each AcquireClaim has exactly one.
type ClaimResult struct {
	Now     core.Micros
	Request RequestHandle
	Status  ClaimStatus
	// ValidUntil is when a held claim expires; its call must not be sent after it.
	ValidUntil core.Micros `json:",omitempty"`
}

// RefusalCode says why a grant was refused.
type RefusalCode string

// Refusal codes.
const (
	RefusalOverloaded     RefusalCode = "overloaded"
	RefusalNoEngine       RefusalCode = "no_engine"
	RefusalTooLarge       RefusalCode = "too_large"
	RefusalCrashesServers RefusalCode = "crashes_servers"
	RefusalUnreachable    RefusalCode = "unreachable" // no allocator answered
)

// GrantResult is the result of a RequestGrant. Each RequestGrant has exactly one. GrantID is empty if the grant was
// refused.
type GrantResult struct {
	Now         core.Micros
	Request     RequestHandle
	Attempt     int
	GrantID     string      `json:",omitempty"`
	Engine      string      `json:",omitempty"`
	Incarnation string      `json:",omitempty"`
	Trustworthy bool        `json:",omitempty"`
	Refusal     RefusalCode `json:",omitempty"`
}

// StreamOpened says that the engine accepted an attempt and opened its stream.
type StreamOpened struct {
	Now     core.Micros
	Request RequestHandle
	Attempt int
}

// Frame is one token, the finish of an answer, or both. A frame with Finish and without Text contains no token; its
// Offset is the number of tokens in the whole answer.
type Frame struct {
	Now     core.Micros
	Request RequestHandle
	Attempt int
	Offset  int
	Text    string `json:",omitempty"`
	Finish  string `json:",omitempty"`
}

// Heartbeat says that an engine sent bytes that contain no token.
type Heartbeat struct {
	Now     core.Micros
	Request RequestHandle
	Attempt int
}

// Cause says why an attempt ended without a complete answer.
type Cause string

// Causes of an attempt's end.
const (
	CauseRefused       Cause = "refused"        // the backend server sent a typed refusal before doing any work
	CauseConnectFailed Cause = "connect_failed" // no byte of the request was sent
	CauseClaimExpired  Cause = "claim_lapsed"   // the claim expired before a byte was sent
	CauseLost          Cause = "lost"           // the connection broke; the backend server may still be running
	CauseCrashed       Cause = "crashed"        // the engine incarnation no longer runs
	CauseSilent        Cause = "silent"         // no byte arrived for silenceTimeout
	CauseFailed        Cause = "failed"         // the backend server reported an internal error
	CauseRejected      Cause = "rejected"       // the backend server reported that the request is invalid
	CauseProtocol      Cause = "protocol"       // the answer violates the protocol
	CauseBody          Cause = "body"           // the caller's request body was truncated or exceeds its size limit
)

// StreamEnded says that an engine's stream ended without a finish frame, or could not be opened.
type StreamEnded struct {
	Now     core.Micros
	Request RequestHandle
	Attempt int
	Cause   Cause
}

// ServiceAnswered says that a plain service has sent the response headers.
type ServiceAnswered struct {
	Now     core.Micros
	Request RequestHandle
	Attempt int
}

// ServiceEnded says that a call to a plain service ended. An empty Cause means that the answer is complete.
type ServiceEnded struct {
	Now     core.Micros
	Request RequestHandle
	Attempt int
	Cause   Cause `json:",omitempty"`
	// Server is the name of the server that was called.
	Server string `json:",omitempty"`
	// Replayable is true if the request body can be sent again.
	Replayable bool `json:",omitempty"`
}

// CallerBlocked says that the caller's outgoing buffer is full. The shell pauses reading from the engine.
type CallerBlocked struct {
	Now     core.Micros
	Request RequestHandle
}

// CallerReady says that the caller's outgoing buffer has room again.
type CallerReady struct {
	Now     core.Micros
	Request RequestHandle
}

// CallerDisconnected says that the caller closed its connection.
type CallerDisconnected struct {
	Now     core.Micros
	Request RequestHandle
}

// CallerWriteTimeout says that the caller read nothing for the duration of the write timeout.
type CallerWriteTimeout struct {
	Now     core.Micros
	Request RequestHandle
}

// AnswerWritten says that the whole answer, including its end marker, has been written to the caller.
type AnswerWritten struct {
	Now     core.Micros
	Request RequestHandle
}

// TimerKind is the kind of a timer. Each request has at most one timer of each kind.
type TimerKind string

// Timers of a request.
const (
	TimerDeadline   TimerKind = "deadline"
	TimerSilence    TimerKind = "silence"
	TimerGrantRetry TimerKind = "ask_again"
)

// TimerFired says that a timer set by SetTimer has fired.
type TimerFired struct {
	Now     core.Micros
	Request RequestHandle
	Kind    TimerKind
}

// ShutdownStarted makes the gate refuse new requests. Open requests continue.
type ShutdownStarted struct {
	Now core.Micros
}

// ShutdownEnded says that the time of a shutdown is over for a request that is still open.
type ShutdownEnded struct {
	Now     core.Micros
	Request RequestHandle
}

func (RequestArrived) event()     {}
func (ClaimResult) event()        {}
func (GrantResult) event()        {}
func (StreamOpened) event()       {}
func (Frame) event()              {}
func (Heartbeat) event()          {}
func (StreamEnded) event()        {}
func (ServiceAnswered) event()    {}
func (ServiceEnded) event()       {}
func (CallerBlocked) event()      {}
func (CallerReady) event()        {}
func (CallerDisconnected) event() {}
func (CallerWriteTimeout) event() {}
func (AnswerWritten) event()      {}
func (TimerFired) event()         {}
func (ShutdownStarted) event()    {}
func (ShutdownEnded) event()      {}
