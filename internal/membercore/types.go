// Package membercore is the deterministic state machine of cluster membership: SWIM-style failure detection with
// suspicion and refutation, updates piggybacked on probe packets, and full exchanges of the membership table that
// deliver updates lost in packets.
//
// Invariants: a member record is replaced only by one with a higher incarnation, or with the same incarnation and a
// later state in the order alive, suspect, leaving, dead. Only a daemon itself raises its incarnation. If several
// members have the same address, it belongs to the one with the highest incarnation.
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

// rank returns the precedence of the state among records with the same incarnation; the higher rank wins.
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

// Member is the record that a daemon keeps of a daemon in the cluster.
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

// Live reports whether the member is not known to be dead.
func (m Member) Live() bool { return m.State != Dead }

// TakesWork reports whether the member may be given new work: it is neither dead nor leaving.
func (m Member) TakesWork() bool { return m.State == Alive || m.State == Suspect }

// CrashRecord says that an engine incarnation crashed while it ran a request with the fingerprint. Membership only
// disseminates it; package internal/crashes interprets it.
type CrashRecord struct {
	Fingerprint       []byte      `json:"fingerprint"`
	EngineIncarnation string      `json:"engine"`
	CreatedAt         core.Micros `json:"made"`
}

func (r CrashRecord) key() string { return string(r.Fingerprint) + "/" + r.EngineIncarnation }

// Kind is the type of a packet.
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
	// Sequence is the sequence number of a probe. The ack repeats it.
	Sequence uint64 `json:"sequence,omitempty"`
	// Target is the member to probe in an indirect probe, the record to refute in a probe, and the member that answered in
	// a relayed ack.
	Target     *Member       `json:"target,omitempty"`
	Updates    []Member      `json:"updates,omitempty"`
	Records    []CrashRecord `json:"records,omitempty"`
	Generation uint64        `json:"generation,omitempty"`
}

// Table is the payload of a full exchange. The first member is the sender. A reply omits the records that the
// requesting daemon already has.
type Table struct {
	Members    []Member      `json:"members"`
	Records    []CrashRecord `json:"records,omitempty"`
	Generation uint64        `json:"generation,omitempty"`
}

// Event is an input of the core.
type Event interface{ at() core.Micros }

// Events of the core.
type (
	// Started is the first event.
	Started struct {
		Now   core.Micros `json:"now"`
		Seeds []string    `json:"seeds,omitempty"`
	}
	// SeedsChanged replaces the seed addresses. A seed is contacted while no live member is known at its address.
	SeedsChanged struct {
		Now   core.Micros `json:"now"`
		Seeds []string    `json:"seeds"`
	}
	// PacketReceived is a packet that was authenticated with a cluster key.
	PacketReceived struct {
		Now    core.Micros `json:"now"`
		Packet Packet      `json:"packet"`
	}
	// TimerFired reports that a timer set by SetTimer has expired.
	TimerFired struct {
		Now core.Micros `json:"now"`
		Key string      `json:"key"`
	}
	// GenerationSet reports the generation of this daemon's active configuration.
	GenerationSet struct {
		Now        core.Micros `json:"now"`
		Generation uint64      `json:"generation"`
	}
	// HintRequested sends a hint to the given addresses.
	HintRequested struct {
		Now core.Micros `json:"now"`
		To  []string    `json:"to"`
	}
	// RecordsAdded disseminates crash records created by this daemon.
	RecordsAdded struct {
		Now     core.Micros   `json:"now"`
		Records []CrashRecord `json:"records"`
		// Urgent is set if the request is close to its crash limit. The records are then sent at once, even if the limit of
		// hints per interval is used up.
		Urgent bool `json:"urgent,omitempty"`
	}
	// LeaveRequested changes the state of this daemon to leaving.
	LeaveRequested struct {
		Now core.Micros `json:"now"`
	}
	// SyncRequested is a full exchange started by another daemon. The core answers with ReplySync.
	SyncRequested struct {
		Now   core.Micros `json:"now"`
		Table Table       `json:"table"`
	}
	// SyncAnswered is the reply to the request sent by StartSync.
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

// Effects of the core.
type (
	// SendPacket sends a packet to an address.
	SendPacket struct {
		To     string `json:"to"`
		Packet Packet `json:"packet"`
	}
	// SetTimer schedules a TimerFired event. A later SetTimer with the same key replaces it.
	SetTimer struct {
		Key string      `json:"key"`
		At  core.Micros `json:"at"`
	}
	// StartSync starts a full exchange with a daemon. A failure is not reported to the core.
	StartSync struct {
		To    string `json:"to"`
		Table Table  `json:"table"`
	}
	// ReplySync is the reply to SyncRequested.
	ReplySync struct {
		Table Table `json:"table"`
	}
	// MemberChanged reports a new member, or a change of a known member or of this daemon. Previous is empty for a new
	// one.
	MemberChanged struct {
		Member   Member `json:"member"`
		Previous State  `json:"previous,omitempty"`
	}
	// MemberRemoved reports that a dead member was removed after its retention time.
	MemberRemoved struct {
		Name string `json:"name"`
	}
	// GenerationSeen reports a daemon that has a configuration with a higher generation than this daemon's.
	GenerationSeen struct {
		Generation uint64 `json:"generation"`
		From       string `json:"from"`
	}
	// RecordsLearned reports crash records of other daemons that were not known before.
	RecordsLearned struct {
		Records []CrashRecord `json:"records"`
	}
	// Joined reports the first full exchange with another daemon.
	Joined struct{}
	// NameConflict reports another running daemon with the name of this one, which is a configuration error.
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
