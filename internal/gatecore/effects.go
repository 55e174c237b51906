package gatecore

import "github.com/carobstile/carobstile/internal/core"

// Effect is an order to the shell.
type Effect interface{ effect() }

// Code is the error code of the caller API (section 5.1 of the design page).
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

// Run says whether a backend server may have run a request.
type Run string

// Values of Run, from the least to the most that a backend server can have done.
const (
	RunNot     Run = "not_run"
	RunUnknown Run = "unknown"
	RunDone    Run = "run"
)

// Failure is the typed error that a caller gets.
type Failure struct {
	Code    Code
	Message string
	Run     Run
}

// Refuse ends a request of which nothing was sent to the caller and nothing was run.
type Refuse struct {
	Request Handle
	Failure
}

// Fail ends an admitted request with an error.
type Fail struct {
	Request Handle
	Failure
}

// Disconnect ends a request whose caller left or reads too slowly; nothing more is sent.
type Disconnect struct {
	Request Handle
}

// AcquireClaim asks for the claim of a non-idempotent request.
type AcquireClaim struct {
	Request Handle
}

// ReleaseClaim gives back a held claim whose request was surely not dispatched.
type ReleaseClaim struct {
	Request Handle
}

// RecordOutcome stores the answer of a non-idempotent call in its claim.
type RecordOutcome struct {
	Request Handle
}

// ReplayOutcome answers the caller with the outcome of a former call.
type ReplayOutcome struct {
	Request Handle
}

// AskGrant asks for a grant for an attempt.
type AskGrant struct {
	Request  Handle
	Attempt  int
	Deadline core.Micros
	Suspects int      `json:",omitempty"`
	Excluded []string `json:",omitempty"`
	// Preferred is the engine that may still hold the stream of the former attempt.
	Preferred string `json:",omitempty"`
}

// Outcome is how an attempt ended, for the allocator.
type Outcome string

// Outcomes of attempts.
const (
	OutcomeComplete  Outcome = "complete"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeRefused   Outcome = "refused"
	OutcomeLost      Outcome = "lost"
	OutcomeFailed    Outcome = "failed"
)

// ReleaseGrant gives a grant back.
type ReleaseGrant struct {
	Request      Handle
	GrantID      string
	Outcome      Outcome
	OutputTokens int `json:",omitempty"`
}

// OpenStream dispatches an attempt to the engines of its grant.
type OpenStream struct {
	Request    Handle
	Attempt    int
	GrantID    string
	ResumeFrom int `json:",omitempty"`
}

// CancelStream ends an attempt whose stream is open or being opened.
type CancelStream struct {
	Request Handle
	Attempt int
	// AtEngine is true when the engine must be told, because it may go on working.
	AtEngine bool `json:",omitempty"`
}

// CallService sends a plain service's call. With Once, the shell connects to the first of Servers that accepts a
// connection and sends the call there once; otherwise there is one server, and HasNext says that another one follows.
type CallService struct {
	Request Handle
	Attempt int
	Servers []string
	Once    bool `json:",omitempty"`
	HasNext bool `json:",omitempty"`
	// ValidUntil ends the window of the claim of a call that is sent once.
	ValidUntil core.Micros `json:",omitempty"`
}

// ForwardAnswer lets the shell copy the answer of a plain service to the caller.
type ForwardAnswer struct {
	Request Handle
	Attempt int
}

// SendToken sends one token to the caller.
type SendToken struct {
	Request Handle
	Attempt int
	Offset  int
	Text    string
}

// Finish ends a complete answer of Tokens tokens.
type Finish struct {
	Request Handle
	Attempt int    `json:",omitempty"`
	Reason  string `json:",omitempty"`
	Tokens  int    `json:",omitempty"`
}

// SetTimer asks for a TimerFired at a point in time. It replaces the request's timer of the same kind.
type SetTimer struct {
	Request Handle
	Kind    TimerKind
	At      core.Micros
}

// ReportCrash records that an engine incarnation died while it ran the request.
type ReportCrash struct {
	Request     Handle
	Engine      string
	Incarnation string
}

// Closed says that the request's state is gone and its handle is not used again.
type Closed struct {
	Request Handle
}

func (Refuse) effect()        {}
func (Fail) effect()          {}
func (Disconnect) effect()    {}
func (AcquireClaim) effect()  {}
func (ReleaseClaim) effect()  {}
func (RecordOutcome) effect() {}
func (ReplayOutcome) effect() {}
func (AskGrant) effect()      {}
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
