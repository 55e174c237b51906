// Package forward serves requests that are forwarded unchanged to backend servers by configured host and path, beside
// the daemon's own caller API. It handles a request from end to end: authentication, the choice of a server, attempts
// and retries, validation of the server's response, and the answer to the caller.
//
// A caller gets status 408, 421, 429 or 503, which means that its request was not run, only if no byte of the request
// can have reached a server, or if every server that it reached reported that it did not run it.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/carobstile/carobstile/internal/dispatch"
)

// Call holds the parsed headers of a caller's request.
type Call struct {
	// ID identifies one request attempt of the caller; Key is the caller's credential.
	ID, Key string
	// Wait is how long the caller waits for the answer; 0 if the request does not state it.
	Wait time.Duration
	// Prompt is the number of prompt tokens, MaxAnswer the maximum and AnswerHint the caller's estimate of the number
	// of answer tokens; 0 if unknown.
	Prompt, MaxAnswer, AnswerHint int
	// LastEvent is the id of the last event that the caller received, "" for a new stream.
	LastEvent string
}

// Helper is an engine that processes a part of a prompt.
type Helper struct {
	Address string
	// Reservation identifies the memory reserved on the engine; "" if it only processes tokens and keeps none.
	Reservation string
}

// Send is what the daemon adds to the caller's headers for a server.
type Send struct {
	// ServerID is the server process that the request is meant for; any other process must refuse it.
	ServerID string
	// Left is how long the caller still waits.
	Left      time.Duration
	Workspace string
	Helpers   []Helper
	LastEvent string
	// Version is the version of the weights that a resumed stream requires; "" for any.
	Version string
}

// Answer holds the parsed header of a server's response.
type Answer struct {
	// NotRun is set if the server did not run the request, OtherServer if another process now has the address.
	NotRun, OtherServer bool
	// AtFault is the id or address of the server that caused the failure; "" for the one that responded.
	AtFault string
	// Stamped is set if the response comes from a server that accepted the request.
	Stamped bool
	Version string
}

// Dialect translates between the platform's headers and the types of this package.
type Dialect interface {
	// Call parses the headers of a caller's request.
	Call(h http.Header) Call
	// Outgoing returns the headers of the request to a server.
	Outgoing(h http.Header, s Send) http.Header
	// Answer parses the header of a server's response.
	Answer(status int, h http.Header) Answer
	// Echo adds the request id to the header of the daemon's own answer.
	Echo(h http.Header, id string)
	// Owns reports whether a response header belongs to the request with the given id.
	Owns(h http.Header, id string) bool
}

// Scheduler chooses servers and is notified of the results.
type Scheduler interface {
	// Place waits until servers are assigned to the request. It returns a *Refusal, or the error of ctx.
	Place(ctx context.Context, w dispatch.Work) (dispatch.Plan, error)
	First(id uint64)
	Finished(id uint64)
	Cancelled(id uint64)
	Failed(server string, f dispatch.Fault)
	// Unreachable reports whether a server could not be reached and has not responded since.
	Unreachable(server string) bool
}

// Refusal is the error of Place if no server is available for the request.
type Refusal struct {
	RetryAfter time.Duration
	Reason     string
}

func (r *Refusal) Error() string { return r.Reason }

// Memory reserves memory on helper engines.
type Memory interface {
	// Reserve reserves memory on all servers of list or on none, until release is called. It returns the reservations
	// by server.
	Reserve(
		ctx context.Context, id uint64, list []dispatch.Reservation,
	) (names map[string]string, release func(), err error)
}

// Budget limits how many requests are sent more than once.
type Budget interface {
	// CountRequest counts a caller's request to a service.
	CountRequest(service string)
	// Allow takes one retry out of the budget. It returns false if the budget is used up.
	Allow(service string) bool
}

// Suspects tracks requests that crash the servers that run them.
type Suspects interface {
	// Refused reports whether a request must not be run again.
	Refused(fingerprint string) bool
	// Crashed records that a server died while it ran the request.
	Crashed(fingerprint, server string)
}
