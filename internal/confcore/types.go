// Package confcore is the reducer of configuration adoption and dissemination: it decides who watches the platform,
// where a newer configuration is fetched from, when it is adopted and whom to tell.
//
// Invariant: the generation in force never decreases.
package confcore

import "github.com/carobstile/carobstile/internal/core"

// Platform is the source of reads that go to the platform; other sources are addresses of daemons.
const Platform = ""

// Peer is another daemon that runs and is not leaving.
type Peer struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
}

// Root names a configuration: its generation and the SHA-256 of its chunks in hex.
type Root struct {
	Generation uint64   `json:"generation"`
	Hashes     []string `json:"hashes"`
}

// Event is an input of the core.
type Event interface{ at() core.Micros }

// Events. Attempt is that of the effect which the event answers.
type (
	// Started is the first event.
	Started struct {
		Now core.Micros `json:"now"`
	}
	// PeersChanged states all peers, sorted by name.
	PeersChanged struct {
		Now   core.Micros `json:"now"`
		Peers []Peer      `json:"peers"`
	}
	// Joined reports the first full membership exchange with another daemon.
	Joined struct {
		Now core.Micros `json:"now"`
	}
	// GenerationSeen reports that the daemon at an address has a generation in force.
	GenerationSeen struct {
		Now        core.Micros `json:"now"`
		Generation uint64      `json:"generation"`
		From       string      `json:"from"`
	}
	// RootWatched is a root that the platform's watch or the regular read delivered.
	RootWatched struct {
		Now  core.Micros `json:"now"`
		Root Root        `json:"root"`
	}
	// RootRead answers ReadRoot.
	RootRead struct {
		Now     core.Micros `json:"now"`
		Attempt uint64      `json:"attempt"`
		Root    Root        `json:"root"`
	}
	// RootFailed answers ReadRoot: no root, or no answer in time.
	RootFailed struct {
		Now     core.Micros `json:"now"`
		Attempt uint64      `json:"attempt"`
	}
	// ChunksRead answers ReadChunks with the chunks that arrived and have the content their hash says.
	ChunksRead struct {
		Now     core.Micros `json:"now"`
		Attempt uint64      `json:"attempt"`
		Hashes  []string    `json:"hashes,omitempty"`
	}
	// Adopted answers Adopt: the configuration is in force.
	Adopted struct {
		Now        core.Micros `json:"now"`
		Generation uint64      `json:"generation"`
	}
	// AdoptFailed answers Adopt: this release cannot read the document. The earlier one stays in force.
	AdoptFailed struct {
		Now        core.Micros `json:"now"`
		Generation uint64      `json:"generation"`
	}
	// TimerFired answers SetTimer.
	TimerFired struct {
		Now core.Micros `json:"now"`
		Key string      `json:"key"`
	}
)

func (e Started) at() core.Micros        { return e.Now }
func (e PeersChanged) at() core.Micros   { return e.Now }
func (e Joined) at() core.Micros         { return e.Now }
func (e GenerationSeen) at() core.Micros { return e.Now }
func (e RootWatched) at() core.Micros    { return e.Now }
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
	// SetWatch starts or ends the watch on the platform's root.
	SetWatch struct {
		On bool `json:"on"`
	}
	// PollRoot reads the platform's root; RootWatched answers it, a failure needs no event.
	PollRoot struct{}
	// ReadRoot reads the root of at least MinGeneration from a source. It is always answered.
	ReadRoot struct {
		Attempt       uint64 `json:"attempt"`
		Source        string `json:"source"`
		MinGeneration uint64 `json:"minGeneration"`
	}
	// ReadChunks reads chunks of a generation from a source. It is always answered.
	ReadChunks struct {
		Attempt    uint64   `json:"attempt"`
		Source     string   `json:"source"`
		Generation uint64   `json:"generation"`
		Hashes     []string `json:"hashes"`
	}
	// Adopt puts the configuration of a generation, all of whose chunks are there, into force.
	Adopt struct {
		Generation uint64 `json:"generation"`
	}
	// Announce states the generation in force to membership and sends a hint to some daemons at once.
	Announce struct {
		Generation uint64   `json:"generation"`
		To         []string `json:"to,omitempty"`
	}
	// Ready reports that the daemon may serve.
	Ready struct{}
	// SetTimer asks for TimerFired at a time. A later SetTimer with the same key replaces it.
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
