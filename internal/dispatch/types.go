// Package dispatch decides which backend servers run a request: one server, or for a long prompt a leading engine and
// others that read parts of it. Each daemon decides for its own requests, knowing what it and its neighbours have
// committed; decisions minimise the predicted loss of benefit by the engines' cost model.
//
// Core is a reducer: it has no clock, goroutine or I/O. Invariants:
//
//   - A request that waits is assigned at most once, and then either ends or is cancelled.
//   - The memory and slots counted on a server are those of the jobs listed on it, no more and no less.
//   - A server that is leaving or unknown is never assigned.
package dispatch

import (
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/enginecost"
)

// Server is a backend server as the platform's list describes it.
type Server struct {
	// ID names one server process; Address is its IP address and port.
	ID, Service, Address, Domain string
	Slots                        int
	// Born tells two processes with one ID apart.
	Born int64
	// Leaving servers get no new work.
	Leaving bool
}

// Service is a service as dispatch sees it; Model is nil for plain services.
type Service struct {
	Name  string
	Model *enginecost.Model
}

// Work is one request that needs a server.
type Work struct {
	// ID is unique over all daemons.
	ID      uint64
	Service string
	// Prompt and Answer are tokens; Answer is an estimate. Both are 0 for plain services.
	Prompt, Answer int
	// Arrived is when the request came; FirstBy when its answer or first event is due; GiveUp when the caller is expected
	// to leave; Deadline when the request ends in any case.
	Arrived, FirstBy, GiveUp, Deadline core.Micros
	// Pause is the longest pause between events that is on time; 0 without events.
	Pause core.Micros
	Rank  int
	// Exclude lists servers that this request must not use again.
	Exclude []string
}

// Hold is memory to be reserved on a helping engine.
type Hold struct {
	Server string
	Tokens int
}

// Plan says where a request runs.
type Plan struct {
	// Lead receives the request.
	Lead Server
	// Helpers read parts of the prompt; Holds name those of them that also keep a part of its memory, in the order in
	// which they are filled.
	Helpers []Server
	Holds   []Hold
	// First is when the first event is expected.
	First core.Micros
	// Loss is the predicted loss of benefit, for the log.
	Loss float64
}

// Job is a commitment as daemons tell it to one another.
type Job struct {
	ID      uint64
	Service string
	Lead    string
	Helpers []string
	Holds   []Hold
	// Prompt and Answer are tokens.
	Prompt, Answer int
	Pause          core.Micros
	// FirstIn and EndIn are spans from now until the first event is due and until the request ends at the latest.
	FirstIn, EndIn core.Micros
	// Writing is set once the first event has come.
	Writing bool
}

// Fault is a way in which a server failed a request.
type Fault int

const (
	// FaultUnreachable means that no connection was made.
	FaultUnreachable Fault = iota + 1
	// FaultSilent means that a request stalled.
	FaultSilent
	// FaultBroken means that a connection ended before the answer did.
	FaultBroken
	// FaultRefused means that the server refused the request without running it.
	FaultRefused
	// FaultErrored means that the server answered with a failure of its own.
	FaultErrored
	// FaultReplaced means that another server has the address.
	FaultReplaced
)

// String returns the name in logs and metrics.
func (f Fault) String() string {
	names := map[Fault]string{
		FaultUnreachable: "unreachable", FaultSilent: "silent", FaultBroken: "broken", FaultRefused: "refused",
		FaultErrored: "errored", FaultReplaced: "replaced",
	}
	if name, ok := names[f]; ok {
		return name
	}
	return "unknown"
}
