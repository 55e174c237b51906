// Package membercore is the reducer of membership: SWIM-style failure detection with suspicion and refutation,
// dissemination of updates on probe packets, and full exchanges that repair what packets missed.
//
// Invariants: a daemon takes only a record with a higher incarnation, or with the same incarnation and a state further
// down the order alive, suspect, leaving, dead. Only a daemon itself raises its incarnation. An address belongs to the
// member with the highest incarnation that claims it.
package membercore

import "github.com/carobstile/carobstile/internal/core"

// State is the liveness of a member.
type State string

// States of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	// Leaving members run but take no new work.
	Leaving State = "leaving"
	Dead    State = "dead"
)

// rank orders the states that members may claim at one incarnation.
func (s State) rank() int {
	switch s {
	case Suspect:
		return 1
	case Leaving:
		return 2
	case Dead:
		return 3
	default:
		return 0
	}
}

// Member is one daemon as known to another.
type Member struct {
	Name string `json:"name"`
	// Address is the IP address and port of the daemon's UDP and TCP peer address.
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	// Incarnation starts at the daemon's start time in microseconds, so that a restarted daemon has a higher one.
	Incarnation uint64 `json:"incarnation"`
	State       State  `json:"state"`
}

// Live reports whether the daemon runs, as far as is known.
func (m Member) Live() bool { return m.State != Dead }

// TakesWork reports whether the daemon runs and is not leaving.
func (m Member) TakesWork() bool { return m.State == Alive || m.State == Suspect }

// Record is a crash record. Membership only carries it; internal/crashes gives it its meaning.
type Record struct {
	Fingerprint []byte      `json:"fingerprint"`
	Engine      string      `json:"engine"`
	Made        core.Micros `json:"made"`
}

func (r Record) key() string { return string(r.Fingerprint) + "/" + r.Engine }

// Kind is the purpose of a packet.
type Kind string

// Kinds of packets.
const (
	Probe Kind = "probe"
	Ack   Kind = "ack"
	// IndirectProbe asks the receiver to probe Target.
	IndirectProbe Kind = "indirectProbe"
	// Hint carries only updates, records and the generation.
	Hint Kind = "hint"
)

// Packet is one UDP packet.
type Packet struct {
	Kind   Kind   `json:"kind"`
	Sender Member `json:"sender"`
	// Sequence of a probe; its ack carries the same.
	Sequence uint64 `json:"sequence,omitempty"`
	// Target is the member to probe, and in a relayed ack the member that answered.
	Target     *Member  `json:"target,omitempty"`
	Updates    []Member `json:"updates,omitempty"`
	Records    []Record `json:"records,omitempty"`
	Generation uint64   `json:"generation,omitempty"`
}

// Table is a full exchange. The first member is the sender. An answer leaves out members that the asking daemon knows as
// well as the answering one.
type Table struct {
	Members    []Member `json:"members"`
	Records    []Record `json:"records,omitempty"`
	Generation uint64   `json:"generation,omitempty"`
}

// Event is an input of the core.
type Event interface{ at() core.Micros }

// Events.
type (
	// Started is the first event.
	Started struct {
		Now   core.Micros `json:"now"`
		Seeds []string    `json:"seeds,omitempty"`
	}
	// SeedsChanged replaces the addresses that are tried while no member answers there.
	SeedsChanged struct {
		Now   core.Micros `json:"now"`
		Seeds []string    `json:"seeds"`
	}
	// PacketReceived is a packet of a daemon with a cluster key.
	PacketReceived struct {
		Now    core.Micros `json:"now"`
		Packet Packet      `json:"packet"`
	}
	// TimerFired answers SetTimer.
	TimerFired struct {
		Now core.Micros `json:"now"`
		Key string      `json:"key"`
	}
	// GenerationSet states the generation of the configuration in force at this daemon.
	GenerationSet struct {
		Now        core.Micros `json:"now"`
		Generation uint64      `json:"generation"`
	}
	// HintRequested sends a hint to the given addresses.
	HintRequested struct {
		Now core.Micros `json:"now"`
		To  []string    `json:"to"`
	}
	// RecordsAdded disseminates crash records made by this daemon.
	RecordsAdded struct {
		Now     core.Micros `json:"now"`
		Records []Record    `json:"records"`
		// Urgent records are those of a request that is close to its crash limit. They do not wait for the interval in
		// which further hints may be sent.
		Urgent bool `json:"urgent,omitempty"`
	}
	// LeaveRequested puts this daemon into the state leaving.
	LeaveRequested struct {
		Now core.Micros `json:"now"`
	}
	// SyncRequested is a full exchange started by another daemon; ReplySync answers it.
	SyncRequested struct {
		Now   core.Micros `json:"now"`
		Table Table       `json:"table"`
	}
	// SyncAnswered is the answer to StartSync.
	SyncAnswered struct {
		Now   core.Micros `json:"now"`
		Table Table       `json:"table"`
	}
)

func (e Started) at() core.Micros        { return e.Now }
func (e SeedsChanged) at() core.Micros   { return e.Now }
func (e PacketReceived) at() core.Micros { return e.Now }
func (e TimerFired) at() core.Micros     { return e.Now }
func (e GenerationSet) at() core.Micros  { return e.Now }
func (e HintRequested) at() core.Micros  { return e.Now }
func (e RecordsAdded) at() core.Micros   { return e.Now }
func (e LeaveRequested) at() core.Micros { return e.Now }
func (e SyncRequested) at() core.Micros  { return e.Now }
func (e SyncAnswered) at() core.Micros   { return e.Now }

// Effect is an output of the core.
type Effect interface{ effect() }

// Effects.
type (
	// SendPacket sends a packet to an address.
	SendPacket struct {
		To     string `json:"to"`
		Packet Packet `json:"packet"`
	}
	// SetTimer asks for TimerFired at a time. A later SetTimer with the same key replaces it.
	SetTimer struct {
		Key string      `json:"key"`
		At  core.Micros `json:"at"`
	}
	// StartSync starts a full exchange. A failure needs no event.
	StartSync struct {
		To    string `json:"to"`
		Table Table  `json:"table"`
	}
	// ReplySync answers SyncRequested.
	ReplySync struct {
		Table Table `json:"table"`
	}
	// MemberChanged reports a new member or a change of a known one or of this daemon; Previous is empty for a new one.
	MemberChanged struct {
		Member   Member `json:"member"`
		Previous State  `json:"previous,omitempty"`
	}
	// MemberRemoved reports that a dead member is no longer listed.
	MemberRemoved struct {
		Name string `json:"name"`
	}
	// GenerationSeen reports a daemon with a higher generation of the configuration than this one.
	GenerationSeen struct {
		Generation uint64 `json:"generation"`
		From       string `json:"from"`
	}
	// RecordsLearned reports crash records that were not known before.
	RecordsLearned struct {
		Records []Record `json:"records"`
	}
	// Joined reports the first full exchange with another daemon.
	Joined struct{}
	// NameConflict reports another running daemon with the name of this one, an error in the settings.
	NameConflict struct {
		Other Member `json:"other"`
	}
)

func (SendPacket) effect()     {}
func (SetTimer) effect()       {}
func (StartSync) effect()      {}
func (ReplySync) effect()      {}
func (MemberChanged) effect()  {}
func (MemberRemoved) effect()  {}
func (GenerationSeen) effect() {}
func (RecordsLearned) effect() {}
func (Joined) effect()         {}
func (NameConflict) effect()   {}
