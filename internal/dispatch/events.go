package dispatch

import "github.com/carobstile/carobstile/internal/core"

// Event is an input of Core. Now is the current time on the process's monotonic clock in all events.
type Event interface{ event() }

type (
	// ServersChanged carries the complete list of servers and services.
	ServersChanged struct {
		Now      core.Micros
		Servers  []Server
		Services []Service
		// EvacuationBound is the time after which callers return if all servers of a service are evacuated.
		EvacuationBound core.Micros `json:",omitempty"`
		// DomainLossPerMB is the price of a megabyte between failure domains, in units of benefit.
		DomainLossPerMB float64 `json:",omitempty"`
		// FairShares enables shares of workspaces (internal/fairshare).
		FairShares bool `json:",omitempty"`
		// WorkspaceWeights are the weights of workspaces by the hash of the name; 1 if missing.
		WorkspaceWeights map[uint64]float64 `json:",omitempty"`
	}
	// Arrived adds a request that needs a server.
	Arrived struct {
		Now  core.Micros
		Work Work
	}
	// Cancelled ends a waiting or running request without an outcome for its servers.
	Cancelled struct {
		Now core.Micros
		ID  uint64
	}
	// FirstEvent reports that the prompt of a request has been prefilled.
	FirstEvent struct {
		Now core.Micros
		ID  uint64
	}
	// Finished reports that a request completed successfully on its server.
	Finished struct {
		Now core.Micros
		ID  uint64
	}
	// ServerFailed reports that a server failed a request of this daemon or of a peer.
	ServerFailed struct {
		Now    core.Micros
		Server string
		Fault  Fault
	}
	// ServerAlive reports that a server answered a status query. Slowdown is relative to the cost model; 0 means
	// unknown. Direct is set if the server answered this daemon rather than a peer.
	ServerAlive struct {
		Now      core.Micros
		Server   string
		Slowdown float64
		Direct   bool
	}
	// ServerNotice reports what a process said about itself in a response to this daemon.
	ServerNotice struct {
		Now     core.Micros
		Process Process
		Notice  Notice
	}
	// ServerAnswered reports what a process said about itself in the answer to a request that this daemon sent at Sent.
	ServerAnswered struct {
		Now     core.Micros
		Process Process
		Sent    core.Micros
		Notice  Notice
	}
	// PeerSawLeaving reports that a process told a peer that it is leaving.
	PeerSawLeaving struct {
		Now     core.Micros
		Process Process
	}
	// PeerSawLimit reports that a process named a limit of requests a second to a peer, or none any more, Age ago.
	PeerSawLimit struct {
		Now       core.Micros
		Process   Process
		Named     bool
		PerSecond float64
		Age       core.Micros
	}
	// PeerSawCold reports that a process told a peer, Age ago, that it stays cold for Left; 0 if it is not cold any more.
	PeerSawCold struct {
		Now     core.Micros
		Process Process
		Left    core.Micros
		Age     core.Micros
	}
	// PeerPlaced announces a job of a peer.
	PeerPlaced struct {
		Now  core.Micros
		Peer string
		Job  Job
	}
	// PeerQueued announces a wide prompt of a peer that waits.
	PeerQueued struct {
		Now    core.Micros
		Peer   string
		Queued Queued
	}
	// PeerWaiting announces a request of a peer that waits for an engine.
	PeerWaiting struct {
		Now     core.Micros
		Peer    string
		Waiting Waiting
	}
	// PeerFirst reports that the prompt of a peer's job has been prefilled. Late is set if the first event came after it was
	// due; the report itself can come later than that.
	PeerFirst struct {
		Now  core.Micros
		ID   uint64
		Late bool
	}
	// PeerEnded ends a peer's job, or the wait of its wide prompt.
	PeerEnded struct {
		Now core.Micros
		ID  uint64
	}
	// PeerJobs lists all jobs that a peer still runs and its wide prompts that wait; its others have ended.
	PeerJobs struct {
		Now  core.Micros
		Peer string
		IDs  []uint64
	}
	// PeerRestarted ends all jobs of a peer that has restarted.
	PeerRestarted struct {
		Now  core.Micros
		Peer string
	}
	// Stopping reports that this daemon stops and ends its requests at CutOffAt.
	Stopping struct {
		Now, CutOffAt core.Micros
	}
	// DaemonCountChanged sets the number of daemons of this cell that were heard recently, that of all cells, and that of the known
	// ones of this cell.
	DaemonCountChanged struct {
		Count, Total int
		Known        int `json:",omitempty"`
	}
	// Tick makes Core evaluate the waiting requests again and expire jobs of peers.
	Tick struct {
		Now core.Micros
	}
)

func (ServersChanged) event()     {}
func (Arrived) event()            {}
func (Cancelled) event()          {}
func (FirstEvent) event()         {}
func (Finished) event()           {}
func (ServerFailed) event()       {}
func (ServerAlive) event()        {}
func (ServerNotice) event()       {}
func (ServerAnswered) event()     {}
func (PeerSawLeaving) event()     {}
func (PeerSawLimit) event()       {}
func (PeerSawCold) event()        {}
func (PeerPlaced) event()         {}
func (PeerQueued) event()         {}
func (PeerWaiting) event()        {}
func (PeerFirst) event()          {}
func (PeerEnded) event()          {}
func (PeerJobs) event()           {}
func (PeerRestarted) event()      {}
func (Tick) event()               {}
func (Stopping) event()           {}
func (DaemonCountChanged) event() {}

// Effect is an action that Core requests from its caller.
type Effect interface{ effect() }

type (
	// Assign starts a waiting request on its servers.
	Assign struct {
		ID   uint64
		Plan Plan
	}
	// Refuse ends a waiting request that was not assigned.
	Refuse struct {
		ID         uint64
		RetryAfter core.Micros
		Reason     string
		// Elsewhere is set if only this daemon cannot serve the request.
		Elsewhere bool `json:",omitempty"`
	}
	// Announce sends a new job to the peers, and if ToAll is set to the daemons of all cells.
	Announce struct {
		Job   Job
		ToAll bool `json:",omitempty"`
	}
	// AnnounceQueued informs the peers that a wide prompt waits.
	AnnounceQueued struct {
		Queued Queued
	}
	// AnnounceWaiting informs the peers that a request waits for an engine.
	AnnounceWaiting struct {
		Waiting Waiting
	}
	// AnnounceFirst informs the peers that the prompt of a job has been prefilled, and whether the first event was late.
	AnnounceFirst struct {
		ID   uint64
		Late bool `json:",omitempty"`
	}
	// AnnounceEnd informs the peers that a job has ended, or that a request no longer waits. Urgent is set if requests wait for what
	// the job has used.
	AnnounceEnd struct {
		ID     uint64
		Urgent bool `json:",omitempty"`
	}
	// AnnounceLeaving informs the peers that a process is leaving.
	AnnounceLeaving struct {
		Process Process
	}
	// PauseStarted reports for the log that a process asked for a pause; Text is the length as sent.
	PauseStarted struct {
		Process Process
		Text    string
	}
	// LimitChanged reports that a process has named a limit of requests a second, or names none any more.
	LimitChanged struct {
		Process   Process
		Named     bool
		PerSecond float64
	}
	// AnnounceCold informs the daemons of all cells of what a process said about how long it stays cold.
	AnnounceCold struct {
		Process Process
		Left    core.Micros
	}
	// ColdChanged reports for the log that a server is cold, and for how long, or no longer cold.
	ColdChanged struct {
		Process Process
		Cold    bool
		Left    core.Micros
	}
	// RefusalsChanged reports for the log that a server refuses most of the requests of all daemons, or no longer does.
	RefusalsChanged struct {
		Process  Process
		Refusing bool
		Share    float64
	}
	// SetTimer requests a Tick at the given time; a later SetTimer replaces it.
	SetTimer struct {
		At core.Micros
	}
)

func (Assign) effect()          {}
func (Refuse) effect()          {}
func (Announce) effect()        {}
func (AnnounceQueued) effect()  {}
func (AnnounceWaiting) effect() {}
func (AnnounceFirst) effect()   {}
func (AnnounceEnd) effect()     {}
func (AnnounceLeaving) effect() {}
func (PauseStarted) effect()    {}
func (LimitChanged) effect()    {}
func (AnnounceCold) effect()    {}
func (ColdChanged) effect()     {}
func (RefusalsChanged) effect() {}
func (SetTimer) effect()        {}
