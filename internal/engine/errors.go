package engine

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies a failed call.
type Kind string

const (
	// KindRefused: the engine responded that it did not run the request.
	KindRefused Kind = "refused"
	// KindUnreachable: no connection was established, so the engine received no byte of the request.
	KindUnreachable Kind = "unreachable"
	// KindLost: the connection failed after the engine may have received bytes of the request.
	KindLost Kind = "lost"
	// KindSilent: the engine sent no bytes, not even a heartbeat, within the silence timeout.
	KindSilent Kind = "silent"
	// KindProtocol: the engine's response violates the protocol.
	KindProtocol Kind = "protocol"
	// KindFailed: the engine reported a failure of a request that it may have run.
	KindFailed Kind = "failed"
	// KindCancelled: the caller's context ended.
	KindCancelled Kind = "cancelled"
)

// Codes of refusals and failures by engines.
const (
	CodeOutOfMemory      = "out_of_memory"     // not enough free KV memory at present
	CodeTooLarge         = "too_large"         // the prompt can never fit into the engine's KV memory
	CodeQueueFull        = "queue_full"        // too many requests are queued
	CodeModelNotLoaded   = "model_not_loaded"  // the model, version or adapter is not loaded
	CodeLeaving          = "leaving"           // the engine accepts no new work
	CodeWrongRole        = "wrong_role"        // the engine's role does not allow the work
	CodeInvalidRequest   = "invalid_request"   // the request is malformed
	CodeOldFence         = "old_fence"         // the order's fence is lower than one already received
	CodeNotFound         = "not_found"         // no such request, reservation or block
	CodeOldAttempt       = "old_attempt"       // a later attempt of the request was already received
	CodeDeadlineExceeded = "deadline_exceeded" // the deadline set by X-Deadline-Ms has passed
	CodeCancelled        = "cancelled"         // the request was cancelled or superseded
	CodeOtherOwner       = "other_owner"       // the reservation or import belongs to another owner
	CodeUnavailable      = "unavailable"       // refused because of an injected fault
	CodeHelperLost       = "helper_lost"       // a helper engine no longer holds its part of the prompt
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

// ErrorInfo describes the error in an ErrorBody.
type ErrorInfo struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
	Run     string `json:"run"`
}

// Error is the error of a failed call to an engine.
type Error struct {
	Kind    Kind
	Address string
	// Code is the engine's error code and Status the HTTP status, if the engine responded.
	Code   string
	Status int
	// Err is the cause and may be nil.
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

// NotRun reports whether the engine did not run the request according to this error. The setting trustworthyRefusals
// decides whether an engine's refusal is trusted.
func (e *Error) NotRun() bool { return e.Kind == KindRefused || e.Kind == KindUnreachable }

// KindOf returns the kind of err, or "" if err is not an *Error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// CodeOf returns the engine's error code in err, or "".
func CodeOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}
