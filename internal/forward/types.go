// Package forward serves requests that pass unchanged to a backend server on a configured host and path, beside the
// daemon's own caller API. It owns the life of one request: authentication, the choice of a server, sends and repeats,
// the check of what the server answers, and the answer to the caller.
//
// A caller is told "not run" (408, 421, 429 or 503) only if no byte of its request can have reached a server, or if
// every server that it reached said that it did not run it.
package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/carobstile/carobstile/internal/dispatch"
)

// Call is what the headers of a caller's request say.
type Call struct {
	// ID names one request attempt of the caller; Key is its credential.
	ID, Key string
	// Wait is how long the caller waits; 0 if it does not say.
	Wait time.Duration
	// Prompt and MaxAnswer are tokens, AnswerHint the caller's estimate of the answer; 0 if unknown.
	Prompt, MaxAnswer, AnswerHint int
	// LastEvent is the id of the last event that the caller has, "" for a new stream.
	LastEvent string
}

// Helper is an engine that reads a part of a prompt.
type Helper struct {
	Address string
	// Reservation names the memory that it has set aside; "" if it only reads.
	Reservation string
}

// Send is what a server is told beside the caller's own headers.
type Send struct {
	// ServerID is the process that the request is meant for; another one must refuse it.
	ServerID string
	// Left is how long the caller still waits.
	Left      time.Duration
	Workspace string
	Helpers   []Helper
	LastEvent string
	// Version is the version of the weights that a continued stream needs; "" if any will do.
	Version string
}

// Answer is what the header of a server's response says.
type Answer struct {
	// NotRun says that the server did not run the request; OtherServer that the address has another process now.
	NotRun, OtherServer bool
	// AtFault is the id or address of the server that the answer blames; "" for the one that answered.
	AtFault string
	// Stamped answers come from a server that took the request up.
	Stamped bool
	Version string
}

// Dialect translates the headers of the platform.
type Dialect interface {
	// Call reads the headers of a caller's request.
	Call(h http.Header) Call
	// Outgoing returns the headers for a server.
	Outgoing(h http.Header, s Send) http.Header
	// Answer reads the header of a server's response to the request with the given id.
	Answer(status int, h http.Header) Answer
	// Echo names the request with the given id in the header of the daemon's own answer.
	Echo(h http.Header, id string)
	// Owns reports whether a response header belongs to the request with the given id.
	Owns(h http.Header, id string) bool
}

// Scheduler chooses servers and is told how they did.
type Scheduler interface {
	// Place waits until the request has servers. It returns a *Refusal, or the error of ctx.
	Place(ctx context.Context, w dispatch.Work) (dispatch.Plan, error)
	First(id uint64)
	Finished(id uint64)
	Cancelled(id uint64)
	Failed(server string, f dispatch.Fault)
	// Unreachable reports whether a server could not be reached and has not answered since.
	Unreachable(server string) bool
}

// Refusal is the error of a request for which no server was found.
type Refusal struct {
	RetryAfter time.Duration
	Reason     string
}

func (r *Refusal) Error() string { return r.Reason }

// Memory reserves memory on helping engines.
type Memory interface {
	// Reserve sets memory aside on all the servers of holds or on none, and keeps it until release is called.
	Reserve(ctx context.Context, id uint64, holds []dispatch.Hold) (names map[string]string, release func(), err error)
}

// Budget bounds requests that are sent more than once.
type Budget interface {
	// Counted adds a caller's request for a service.
	Counted(service string)
	// Allow takes one repeat out of the budget, or returns false.
	Allow(service string) bool
}

// Suspects recognises requests that crash the servers that run them.
type Suspects interface {
	// Refused reports whether a request is not run any more.
	Refused(fingerprint string) bool
	// Crashed records that a server died while it ran the request.
	Crashed(fingerprint, server string)
}
