// Package dispatch selects the backend servers that run a request: one server, or for a long prompt a lead engine and
// helpers that prefill parts of it. Each daemon decides for its own requests, based on its own commitments and those
// announced by its peers, and minimises the loss of benefit that the engine cost model predicts.
//
// Core is a reducer: it has no clock, goroutine or I/O. Invariants:
//
//   - A waiting request is assigned at most once; after that it finishes or is cancelled.
//   - The memory and slots counted on a server are exactly those of its jobs.
//   - A server that is leaving or unknown is never assigned, whether its entry or the process itself says that it is
//     leaving.
//   - A server that asked this daemon for a pause is not assigned before its end.
//   - On a stopping daemon, nothing is assigned whose answer is expected to end after the cut-off.
//   - An evacuated server is never assigned, as lead or as helper.
//   - A server that named a limit is not assigned beyond it, as far as the requests of all daemons are known.
//   - A server that is cold is not assigned, as lead or helper, beyond this daemon's share of the rate of cold servers.
package dispatch

import (
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/enginecost"
)

// Server is a backend server as listed by the platform.
type Server struct {
	// ID identifies the server; Address is its IP address and port, Domain its failure domain.
	ID, Service, Address, Domain string
	Slots                        int
	// StartedAt is the start time of the process. It distinguishes two processes with the same ID.
	StartedAt int64
	// Leaving servers are draining and receive no new requests.
	Leaving bool
	// Foreign is set if the server belongs to another cell of daemons.
	Foreign bool `json:",omitempty"`
	// Evacuated is set while the operator has asked that nothing new is sent to the servers of the failure domain.
	Evacuated bool `json:",omitempty"`
	// ColdFor is how long the server stays cold, as of the event that carries it; 0 if it is not.
	ColdFor core.Micros `json:",omitempty"`
}

// Service is a set of interchangeable servers; Model is nil for plain services.
type Service struct {
	Name  string
	Model *enginecost.Model
	// Shared is set if daemons of several cells use the servers, Undivided if those of all cells do at any time.
	Shared    bool `json:",omitempty"`
	Undivided bool `json:",omitempty"`
	// Delays are the one-way times of a message between failure domains, as far as they are known.
	Delays map[DomainPair]core.Micros `json:"-"`
	// ColdStart is how long a server is cold after its start, and ColdPerSecond the requests a second that it takes from all daemons
	// together meanwhile. 0 means that servers are never cold.
	ColdStart     core.Micros `json:",omitempty"`
	ColdPerSecond float64     `json:",omitempty"`
}

// DomainPair names two failure domains.
type DomainPair struct{ From, To string }

// Work is a request that needs a server.
type Work struct {
	// ID is unique across all daemons.
	ID      uint64
	Service string
	// Prompt and Answer are lengths in tokens; Answer is an estimate. Both are 0 for plain services.
	Prompt, Answer int
	// Arrived is the arrival time of the request. FirstEventDue is when its answer or first event is due, AbandonAt when
	// the caller is expected to disconnect, and Deadline when the request is ended in any case.
	Arrived, FirstEventDue, AbandonAt, Deadline core.Micros
	// MaxPause is the longest pause between events that meets the latency target; 0 for answers without events.
	MaxPause core.Micros
	Rank     int
	// Workspace is a hash of the name of the request's workspace; 0 if it has none.
	Workspace uint64 `json:",omitempty"`
	// Fingerprint is a hash of the request that is the same if its caller sends it again; 0 if it is unknown.
	Fingerprint uint64 `json:",omitempty"`
	// Bytes is the size of the request and of its expected answer.
	Bytes int `json:",omitempty"`
	// Retried is set if a server has worked on the request already. Its caller may have a part of the answer, which would be lost.
	Retried bool `json:",omitempty"`
	// Exclude lists the IDs of servers that must not receive this request again.
	Exclude []string
}

// Reservation is KV cache memory to be reserved on a helper.
type Reservation struct {
	Server string
	Tokens int
}

// Plan states where a request runs.
type Plan struct {
	// Lead is the server that receives the request.
	Lead Server
	// Helpers prefill parts of the prompt. Reservations lists those helpers that also keep a part of its KV cache, in
	// the order in which they are filled.
	Helpers      []Server
	Reservations []Reservation
	// FirstEventAt is when the first event is expected.
	FirstEventAt core.Micros
	// Loss is the predicted loss of benefit, for logging.
	Loss float64
}

// Job is a commitment as announced between daemons.
type Job struct {
	ID           uint64
	Service      string
	Lead         string
	Helpers      []string
	Reservations []Reservation
	// Prompt and Answer are lengths in tokens.
	Prompt, Answer int
	MaxPause       core.Micros
	// FirstIn and EndIn are the remaining times until the first event is due and until the request ends at the latest.
	FirstIn, EndIn core.Micros
	// Decoding is set once the first event has arrived, Late if it was late.
	Decoding bool
	Late     bool `json:",omitempty"`
	// Workspace is a hash of the name of the request's workspace; 0 if it has none.
	Workspace uint64 `json:",omitempty"`
	// Fingerprint is that of the request if it was refused before, so that peers take back what that counted; otherwise 0.
	Fingerprint uint64 `json:",omitempty"`
}

// Fault is the way in which a server failed a request.
type Fault int

const (
	// FaultUnreachable means that no connection to the server could be established.
	FaultUnreachable Fault = iota + 1
	// FaultStalled means that a request made no progress.
	FaultStalled
	// FaultBroken means that the connection closed before the answer was complete.
	FaultBroken
	// FaultRefused means that the server rejected the request without running it.
	FaultRefused
	// FaultErrored means that the server reported an error of its own.
	FaultErrored
	// FaultReplaced means that another server now uses the address.
	FaultReplaced
)

// String returns the name used in logs and metrics.
func (f Fault) String() string {
	names := map[Fault]string{
		FaultUnreachable: "unreachable", FaultStalled: "silent", FaultBroken: "broken", FaultRefused: "refused",
		FaultErrored: "errored", FaultReplaced: "replaced",
	}
	if name, ok := names[f]; ok {
		return name
	}
	return "unknown"
}
