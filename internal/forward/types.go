// Package forward serves requests that are forwarded unchanged to backend servers by configured host and path, beside
// the daemon's own caller API. It handles a request from end to end: authentication, the choice of a server, attempts
// and retries, validation of the server's response, and the answer to the caller.
//
// A caller gets status 408, 421, 429 or 503, which means that its request was not run, only if no byte of the request
// can have reached a server, or if every server that it reached reported that it did not run it. Such a report counts
// only if it echoes the request's ID, or has none and is the only response on a connection that carried nothing else.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/quarantine"
	"github.com/carobstile/carobstile/internal/retrybudget"
)

// CallerHeaders holds the parsed headers of a caller's request.
type CallerHeaders struct {
	// ID identifies one request attempt of the caller; Key is the caller's credential.
	ID, Key string
	// Timeout is how long the caller waits for the answer; 0 if the request does not state it.
	Timeout time.Duration
	// PromptTokens is the number of prompt tokens, MaxAnswerTokens the maximum number of answer tokens and
	// AnswerTokensHint the caller's estimate of it; 0 if unknown.
	PromptTokens, MaxAnswerTokens, AnswerTokensHint int
	// LastEventID is the id of the last event that the caller received, "" for a new stream.
	LastEventID string
	// SharedParts holds the ids of the parts of the prompt that other requests may share, in order.
	SharedParts []string
}

// Helper is an engine that processes a part of a prompt.
type Helper struct {
	Address string
	// Reservation identifies the memory reserved on the engine; "" if it only processes tokens and keeps none.
	Reservation string
}

// ServerHeaders is what the daemon adds to the caller's headers for a server.
type ServerHeaders struct {
	// ServerID is the server process that the request is meant for; any other process must refuse it.
	ServerID string
	// Remaining is how long the caller still waits.
	Remaining   time.Duration
	Workspace   string
	Helpers     []Helper
	LastEventID string
	// Version is the version of the weights that a resumed stream requires; "" for any.
	Version string
}

// ServerResponse holds the parsed header of a server's response.
type ServerResponse struct {
	// NotRun is set if the server did not run the request, OtherServer if another process now has the address.
	NotRun, OtherServer bool
	// FailedServer is the id or address of the server that caused the failure; "" for the one that responded.
	FailedServer string
	// Accepted is set if the response comes from a server that accepted the request.
	Accepted bool
	Version  string
}

// HeaderCodec translates between the platform's headers and the types of this package.
type HeaderCodec interface {
	// Call parses the headers of a caller's request.
	Call(h http.Header) CallerHeaders
	// Outgoing returns the headers of the request to a server.
	Outgoing(h http.Header, s ServerHeaders) http.Header
	// Relayed returns the headers of a request that is passed on to another daemon: those of the caller, with the remaining time and the last
	// event of s.
	Relayed(h http.Header, s ServerHeaders) http.Header
	// Answer parses the header of a server's response.
	Answer(status int, h http.Header) ServerResponse
	// Notice parses what a server says about itself in the header of any response.
	Notice(status int, h http.Header) dispatch.Notice
	// SetRequestID adds the request id to the header of the daemon's own answer.
	SetRequestID(h http.Header, id string)
	// Matches reports whether a response header belongs to the request with the given id. sole is set if nothing else was
	// sent or received on the connection.
	Matches(h http.Header, id string, sole bool) bool
}

// Scheduler chooses servers and is notified of the results.
type Scheduler interface {
	// Place waits until servers are assigned to the request. It returns a *Refusal, or the error of ctx.
	Place(ctx context.Context, w dispatch.Work) (dispatch.Plan, error)
	RecordFirstEvent(id uint64)
	RecordFinish(id uint64)
	RecordCancellation(id uint64)
	RecordFailure(server string, f dispatch.Fault)
	// RecordNotice records what a server said about itself. It returns false if the server must not receive further
	// requests for now.
	RecordNotice(server dispatch.Process, n dispatch.Notice) bool
	// Accepts reports whether a server may receive something new now.
	Accepts(server dispatch.Process) bool
	// RecordAnswer records what a server said about itself in the answer to a request that was sent at a time.
	RecordAnswer(server dispatch.Process, sent core.Micros, n dispatch.Notice)
	// Accepting reports whether a server of a service takes most of what it gets.
	Accepting(service string) bool
	// Unreachable reports whether a server could not be reached and has not responded since.
	Unreachable(server string) bool
}

// Refusal is the error of Place if no server is available for the request.
type Refusal struct {
	RetryAfter time.Duration
	Reason     string
	// Elsewhere is set if only this daemon cannot serve the request.
	Elsewhere bool
}

func (r *Refusal) Error() string { return r.Reason }

// MemoryReserver reserves memory on helper engines.
type MemoryReserver interface {
	// Reserve reserves memory on all servers of list or on none, until release is called. It returns the reservations
	// by server.
	Reserve(
		ctx context.Context, id uint64, list []dispatch.Reservation,
	) (names map[string]string, release func(), err error)
}

// RetryBudget limits how many requests are sent more than once.
type RetryBudget interface {
	// CountRequest counts a caller's request to a service.
	CountRequest(service string)
	// Reserve returns a permit to send a request once more, or nil if the budget is used up.
	Reserve(service string) *retrybudget.Permit
	// ReserveHeld is Reserve for a request whose running attempt is ended for the next one: the permit stays good while that is prepared.
	ReserveHeld(service string) *retrybudget.Permit
	// Usage returns the state of the budget, for the log.
	Usage(service string) retrybudget.Usage
}

// CrashTracker tracks requests that crash the servers that run them.
type CrashTracker interface {
	// Blocked returns the verdict by which a request with the given traits must not run, and for how long. It returns false if
	// there is none.
	Blocked(traits []quarantine.Trait) (v quarantine.Verdict, left time.Duration, blocked bool)
	// RecordBreak records that a server's connection broke before the answer to a request was complete.
	RecordBreak(b Break)
	// RecordAnswer records that a server began to answer a request, took after it was sent.
	RecordAnswer(traits []quarantine.Trait, took core.Micros)
	// RecordCompletion records that a server answered a request completely, took after it was sent.
	RecordCompletion(traits []quarantine.Trait, took core.Micros)
}

// Break is a connection that broke before the answer to a request was complete.
type Break struct {
	Traits []quarantine.Trait
	Server dispatch.Process
	// Helpers are the ids of engines that processed parts of the prompt.
	Helpers []string
	// Begun is set if the server had begun to answer.
	Begun bool
}
