// Package confcore implements the state machine that distributes and adopts configurations. It decides which daemons
// watch the platform, from which source a newer configuration is fetched, when it is adopted and which peers are
// notified.
//
// Invariant: the active generation never decreases.
package confcore

import "github.com/carobstile/carobstile/internal/core"

// Platform is the source of reads from the platform; every other source is the address of a daemon.
const Platform = ""

// Peer is another running daemon that is not leaving.
type Peer struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
}

// Root identifies a configuration by its generation and the hex SHA-256 hashes of its chunks.
type Root struct {
	Generation uint64   `json:"generation"`
	Hashes     []string `json:"hashes"`
}

// Event is an input of the core.
type Event interface{ at() core.Micros }

// Events. In an event that reports the result of an effect, Attempt is the attempt number of that effect.
type (
	// Started is the first event.
	Started struct {
		Now core.Micros `json:"now"`
	}
	// PeersChanged carries the complete list of peers, sorted by name.
	PeersChanged struct {
		Now   core.Micros `json:"now"`
		Peers []Peer      `json:"peers"`
	}
	// Joined reports the first full membership exchange with another daemon.
	Joined struct {
		Now core.Micros `json:"now"`
	}
	// GenerationSeen reports the active generation of the daemon at address From.
	GenerationSeen struct {
		Now        core.Micros `json:"now"`
		Generation uint64      `json:"generation"`
		From       string      `json:"from"`
	}
	// RootObserved carries a root delivered by the watch or by the periodic read of the platform.
	RootObserved struct {
		Now  core.Micros `json:"now"`
		Root Root        `json:"root"`
	}
	// RootRead reports the root that ReadRoot returned.
	RootRead struct {
		Now     core.Micros `json:"now"`
		Attempt uint64      `json:"attempt"`
		Root    Root        `json:"root"`
	}
	// RootFailed reports that ReadRoot returned no valid root or timed out.
	RootFailed struct {
		Now     core.Micros `json:"now"`
		Attempt uint64      `json:"attempt"`
	}
	// ChunksRead reports the hashes of the chunks that ReadChunks received and whose content matches their hash.
	ChunksRead struct {
		Now     core.Micros `json:"now"`
		Attempt uint64      `json:"attempt"`
		Hashes  []string    `json:"hashes,omitempty"`
	}
	// Adopted reports that Adopt succeeded and the configuration is active.
	Adopted struct {
		Now        core.Micros `json:"now"`
		Generation uint64      `json:"generation"`
	}
	// AdoptFailed reports that Adopt failed, for example because this release does not support the document format. The
	// previous configuration stays active.
	AdoptFailed struct {
		Now        core.Micros `json:"now"`
		Generation uint64      `json:"generation"`
	}
	// TimerFired reports that the timer set by SetTimer has expired.
	TimerFired struct {
		Now core.Micros `json:"now"`
		Key string      `json:"key"`
	}
)

func (e Started) at() core.Micros        { return e.Now }
func (e PeersChanged) at() core.Micros   { return e.Now }
func (e Joined) at() core.Micros         { return e.Now }
func (e GenerationSeen) at() core.Micros { return e.Now }
func (e RootObserved) at() core.Micros   { return e.Now }
func (e RootRead) at() core.Micros       { return e.Now }
func (e RootFailed) at() core.Micros     { return e.Now }
func (e ChunksRead) at() core.Micros     { return e.Now }
func (e Adopted) at() core.Micros        { return e.Now }
func (e AdoptFailed) at() core.Micros    { return e.Now }
func (e TimerFired) at() core.Micros     { return e.Now }

// Effect is an output of the core.
type Effect interface{ effect() }

// Effects.
type (
	// SetWatch starts or stops the watch on the platform's root.
	SetWatch struct {
		On bool `json:"on"`
	}
	// PollRoot reads the platform's root. Success is reported by RootObserved; a failure is not reported.
	PollRoot struct{}
	// ReadRoot reads a root of at least MinGeneration from a source. RootRead or RootFailed always reports the result.
	ReadRoot struct {
		Attempt       uint64 `json:"attempt"`
		Source        string `json:"source"`
		MinGeneration uint64 `json:"minGeneration"`
	}
	// ReadChunks reads chunks of a generation from a source. ChunksRead always reports the result, also after a
	// failure.
	ReadChunks struct {
		Attempt    uint64   `json:"attempt"`
		Source     string   `json:"source"`
		Generation uint64   `json:"generation"`
		Hashes     []string `json:"hashes"`
	}
	// Adopt activates the configuration of a generation whose chunks have all been fetched.
	Adopt struct {
		Generation uint64 `json:"generation"`
	}
	// Announce publishes the active generation through membership and sends an immediate hint to the daemons in To.
	Announce struct {
		Generation uint64   `json:"generation"`
		To         []string `json:"to,omitempty"`
	}
	// Ready reports that the daemon may serve requests.
	Ready struct{}
	// SetTimer requests TimerFired at the given time. A later SetTimer with the same key replaces it.
	SetTimer struct {
		Key string      `json:"key"`
		At  core.Micros `json:"at"`
	}
)

func (SetWatch) effect()   {}
func (PollRoot) effect()   {}
func (ReadRoot) effect()   {}
func (ReadChunks) effect() {}
func (Adopt) effect()      {}
func (Announce) effect()   {}
func (Ready) effect()      {}
func (SetTimer) effect()   {}
