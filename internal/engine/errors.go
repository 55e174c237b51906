package engine

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind says what is known about a failed call.
type Kind string

// Kinds of failures.
const (
	// KindRefused: the engine answered that it did not run the request.
	KindRefused Kind = "refused"
	// KindUnreachable: no connection could be made, so no byte of the request reached the engine.
	KindUnreachable Kind = "unreachable"
	// KindLost: the connection broke after bytes of the request may have reached the engine.
	KindLost Kind = "lost"
	// KindSilent: the engine sent no byte, heartbeats included, for the silence limit.
	KindSilent Kind = "silent"
	// KindProtocol: the engine's answer does not follow the protocol.
	KindProtocol Kind = "protocol"
	// KindFailed: the engine reported that a request it had begun failed.
	KindFailed Kind = "failed"
	// KindCancelled: the caller's context ended.
	KindCancelled Kind = "cancelled"
)

// Codes of refusals and failures by engines.
const (
	CodeOutOfMemory      = "out_of_memory"     // KV memory is short at this moment
	CodeTooLarge         = "too_large"         // the prompt can never fit
	CodeQueueFull        = "queue_full"        // too many requests wait
	CodeModelNotLoaded   = "model_not_loaded"  // model, version or adapter is not ready
	CodeLeaving          = "leaving"           // the engine takes no new work
	CodeWrongRole        = "wrong_role"        // the engine's role excludes the work
	CodeInvalidRequest   = "invalid_request"   // the request is malformed
	CodeOldFence         = "old_fence"         // the order has a lower fence than one seen before
	CodeNotFound         = "not_found"         // no such request, reservation or block
	CodeOldAttempt       = "old_attempt"       // a later attempt of the request was seen
	CodeDeadlineExceeded = "deadline_exceeded" // X-Deadline-Ms passed
	CodeCancelled        = "cancelled"         // the request was cancelled or superseded
	CodeOtherOwner       = "other_owner"       // the reservation or import belongs to another owner
	CodeUnavailable      = "unavailable"       // refused by a fault command
	CodeHelperLost       = "helper_lost"       // a helping engine no longer holds its share
)

// Values of ErrorBody.Run.
const (
	RunNot     = "not_run"
	RunYes     = "run"
	RunUnknown = "unknown"
)

// ErrorBody is the body of a refusal and of an "error" event.
type ErrorBody struct {
	Error ErrorInfo `json:"error"`
}

// ErrorInfo is the content of ErrorBody.
type ErrorInfo struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
	Run     string `json:"run"`
}

// Error is a failed call of an engine.
type Error struct {
	Kind    Kind
	Address string
	// Code and Status are set when the engine answered.
	Code   string
	Status int
	// Err is the cause; may be nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("engine %s: %s", e.Address, e.Kind)
	if e.Code != "" {
		text += fmt.Sprintf(" (%s, status %d)", e.Code, e.Status)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the failure shows that the engine ran nothing. Whether the engine's word counts is for the
// configuration to say (trustworthyRefusals).
func (e *Error) NotRun() bool { return e.Kind == KindRefused || e.Kind == KindUnreachable }

// KindOf returns the kind of err, or "" when it does not come from this package.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// CodeOf returns the engine's code in err, or "".
func CodeOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
