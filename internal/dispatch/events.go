package dispatch

import "github.com/carobstile/carobstile/internal/core"

// Event is anything that Core reacts to. Now is monotonic time of the process in all events.
type Event interface{ event() }

type (
	// ServersChanged carries the whole list of servers and services.
	ServersChanged struct {
		Now      core.Micros
		Servers  []Server
		Services []Service
	}
	// Arrived is a request that needs a server.
	Arrived struct {
		Now  core.Micros
		Work Work
	}
	// Cancelled ends a request that waits or runs, without saying anything about its servers.
	Cancelled struct {
		Now core.Micros
		ID  uint64
	}
	// FirstEvent says that the prompt of a request has been read.
	FirstEvent struct {
		Now core.Micros
		ID  uint64
	}
	// Finished says that a request ended well at its server.
	Finished struct {
		Now core.Micros
		ID  uint64
	}
	// ServerFailed says that a server failed a request of this daemon or of a neighbour.
	ServerFailed struct {
		Now    core.Micros
		Server string
		Fault  Fault
	}
	// ServerAlive says that a server answered a report. Pace is how many times slower than its model it works; 0 means
	// unknown. Reached is set if it answered this daemon, not a neighbour.
	ServerAlive struct {
		Now     core.Micros
		Server  string
		Pace    float64
		Reached bool
	}
	// PeerPlaced is a commitment of a neighbour.
	PeerPlaced struct {
		Now  core.Micros
		Peer string
		Job  Job
	}
	// PeerFirst says that the prompt of a neighbour's job has been read.
	PeerFirst struct {
		Now core.Micros
		ID  uint64
	}
	// PeerEnded ends a neighbour's job.
	PeerEnded struct {
		Now core.Micros
		ID  uint64
	}
	// PeerHolds lists all jobs that a neighbour still runs; others of that neighbour have ended.
	PeerHolds struct {
		Now  core.Micros
		Peer string
		IDs  []uint64
	}
	// PeerLost ends all jobs of a neighbour that has restarted.
	PeerLost struct {
		Now  core.Micros
		Peer string
	}
	// DaemonsKnown says how many daemons decide about the same servers.
	DaemonsKnown struct {
		Count int
	}
	// Tick asks Core to look at the waiting requests again.
	Tick struct {
		Now core.Micros
	}
)

func (ServersChanged) event() {}
func (Arrived) event()        {}
func (Cancelled) event()      {}
func (FirstEvent) event()     {}
func (Finished) event()       {}
func (ServerFailed) event()   {}
func (ServerAlive) event()    {}
func (PeerPlaced) event()     {}
func (PeerFirst) event()      {}
func (PeerEnded) event()      {}
func (PeerHolds) event()      {}
func (PeerLost) event()       {}
func (Tick) event()           {}
func (DaemonsKnown) event()   {}

// Effect is anything that Core asks its shell to do.
type Effect interface{ effect() }

type (
	// Assign sends a waiting request to its servers.
	Assign struct {
		ID   uint64
		Plan Plan
	}
	// Refuse ends a waiting request that was not assigned.
	Refuse struct {
		ID         uint64
		RetryAfter core.Micros
		Reason     string
	}
	// Announce tells the neighbours of a commitment.
	Announce struct {
		Job Job
	}
	// AnnounceFirst tells them that its prompt has been read.
	AnnounceFirst struct {
		ID uint64
	}
	// AnnounceEnd tells them that it ended.
	AnnounceEnd struct {
		ID uint64
	}
	// SetTimer asks for a Tick; a later one replaces it.
	SetTimer struct {
		At core.Micros
	}
)

func (Assign) effect()        {}
func (Refuse) effect()        {}
func (Announce) effect()      {}
func (AnnounceFirst) effect() {}
func (AnnounceEnd) effect()   {}
func (SetTimer) effect()      {}
