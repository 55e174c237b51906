package gatecore

import "github.com/carobstile/carobstile/internal/core"

// Effect is an output of the reducer that the shell carries out.
type Effect interface{ effect() }

// Code is an error code of the caller API (section 5.1 of the design page).
type Code string

// Error codes.
const (
	CodeInvalidRequest      Code = "invalid_request"
	CodeCursorInvalid       Code = "cursor_invalid"
	CodeUnauthorized        Code = "unauthorized"
	CodeModelNotFound       Code = "model_not_found"
	CodeRouteNotFound       Code = "route_not_found"
	CodeDeadlinePassed      Code = "deadline_passed"
	CodeTooLarge            Code = "too_large"
	CodeKeyReused           Code = "key_reused"
	CodeRequestCrashes      Code = "request_crashes_servers"
	CodeOverloaded          Code = "overloaded"
	CodeBackendFailed       Code = "backend_failed"
	CodeShuttingDown        Code = "shutting_down"
	CodePlatformUnavailable Code = "platform_unavailable"
	CodeNoBackendServer     Code = "no_backend_server"
	CodeOutcomeUnknown      Code = "outcome_unknown"
	CodeDeadlineExceeded    Code = "deadline_exceeded"
	statusOfUnknownCode          = 500
)

var statusOfCode = map[Code]int{
	CodeInvalidRequest: 400, CodeCursorInvalid: 400, CodeUnauthorized: 401, CodeModelNotFound: 404,
	CodeRouteNotFound: 404, CodeDeadlinePassed: 408, CodeTooLarge: 413, CodeKeyReused: 422, CodeRequestCrashes: 422,
	CodeOverloaded: 429, CodeBackendFailed: 502, CodeShuttingDown: 503, CodePlatformUnavailable: 503,
	CodeNoBackendServer: 503, CodeOutcomeUnknown: 504, CodeDeadlineExceeded: 504,
}

// Status returns the HTTP status of the code.
func (c Code) Status() int {
	if s, ok := statusOfCode[c]; ok {
		return s
	}
	return statusOfUnknownCode
}

// RunStatus says whether a backend server may have run a request.
type RunStatus string

// Values of RunStatus, in ascending order of certainty that a backend server ran the request.
const (
	RunStatusNotRun  RunStatus = "not_run"
	RunStatusUnknown RunStatus = "unknown"
	RunStatusRun     RunStatus = "run"
)

// Failure is the typed error that the caller receives.
type Failure struct {
	Code    Code
	Message string
	Run     RunStatus
}

// Refuse ends a request with an error. This gate has sent nothing to the caller, and no backend server has run the
// request for it.
type Refuse struct {
	Request RequestHandle
	Failure
}

// Fail ends an admitted request with an error.
type Fail struct {
	Request RequestHandle
	Failure
}

// Disconnect ends a request whose caller disconnected or reads too slowly; nothing more is sent to the caller.
type Disconnect struct {
	Request RequestHandle
}

// AcquireClaim requests the claim of a non-idempotent request.
type AcquireClaim struct {
	Request RequestHandle
}

// ReleaseClaim releases a held claim when no byte of its call can have reached a backend server.
type ReleaseClaim struct {
	Request RequestHandle
}

// RecordOutcome records the outcome of a non-idempotent call in its claim.
type RecordOutcome struct {
	Request RequestHandle
}

// ReplayOutcome sends the caller the recorded outcome of an earlier call with the same idempotency key.
type ReplayOutcome struct {
	Request RequestHandle
}

// RequestGrant requests a grant for an attempt.
type RequestGrant struct {
	Request  RequestHandle
	Attempt  int
	Deadline core.Micros
	Suspects int      `json:",omitempty"`
	Excluded []string `json:",omitempty"`
	// Preferred is the engine that may still hold the stream of an earlier attempt.
	Preferred string `json:",omitempty"`
}

// Outcome tells the allocator how an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	OutcomeComplete  Outcome = "complete"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeRefused   Outcome = "refused"
	OutcomeLost      Outcome = "lost"
	OutcomeFailed    Outcome = "failed"
)

// ReleaseGrant releases a grant to its allocator.
type ReleaseGrant struct {
	Request      RequestHandle
	GrantID      string
	Outcome      Outcome
	OutputTokens int `json:",omitempty"`
}

// OpenStream dispatches an attempt to the engines of its grant.
type OpenStream struct {
	Request    RequestHandle
	Attempt    int
	GrantID    string
	ResumeFrom int `json:",omitempty"`
}

// CancelStream closes the stream of an attempt, or stops opening it.
type CancelStream struct {
	Request RequestHandle
	Attempt int
	// AtEngine is true if a cancel request must be sent to the engine, because the engine may continue the attempt.
	AtEngine bool `json:",omitempty"`
}

// CallService sends a call to a plain service. If NonIdempotent is true, the shell sends the call at most once, to the
// first of Servers that accepts a connection. Otherwise Servers has one entry, and HasNext says whether the call may be
// retried on another server.
type CallService struct {
	Request       RequestHandle
	Attempt       int
	Servers       []string
	NonIdempotent bool `json:",omitempty"`
	HasNext       bool `json:",omitempty"`
	// ValidUntil is when the claim of a non-idempotent call expires; the call must not be sent after it.
	ValidUntil core.Micros `json:",omitempty"`
}

// ForwardAnswer copies the answer of a plain service to the caller.
type ForwardAnswer struct {
	Request RequestHandle
	Attempt int
}

// SendToken sends one token to the caller.
type SendToken struct {
	Request RequestHandle
	Attempt int
	Offset  int
	Text    string
}

// Finish ends a complete answer. For a model request, Tokens is the number of tokens in the whole answer.
type Finish struct {
	Request RequestHandle
	Attempt int    `json:",omitempty"`
	Reason  string `json:",omitempty"`
	Tokens  int    `json:",omitempty"`
}

// SetTimer requests a TimerFired event at the time At. It replaces the request's timer of the same kind.
type SetTimer struct {
	Request RequestHandle
	Kind    TimerKind
	At      core.Micros
}

// ReportCrash reports that an engine incarnation crashed while it ran the request.
type ReportCrash struct {
	Request     RequestHandle
	Engine      string
	Incarnation string
}

// Closed says that the request's state was deleted. Its handle is not reused.
type Closed struct {
	Request RequestHandle
}

func (Refuse) effect()        {}
func (Fail) effect()          {}
func (Disconnect) effect()    {}
func (AcquireClaim) effect()  {}
func (ReleaseClaim) effect()  {}
func (RecordOutcome) effect() {}
func (ReplayOutcome) effect() {}
func (RequestGrant) effect()  {}
func (ReleaseGrant) effect()  {}
func (OpenStream) effect()    {}
func (CancelStream) effect()  {}
func (CallService) effect()   {}
func (ForwardAnswer) effect() {}
func (SendToken) effect()     {}
func (Finish) effect()        {}
func (SetTimer) effect()      {}
func (ReportCrash) effect()   {}
func (Closed) effect()        {}
