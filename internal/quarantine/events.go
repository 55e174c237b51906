package quarantine

import (
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
)

// Event is an input of Core. Now is the current time on the process's monotonic clock in all events.
type Event interface{ event() }

type (
	// ServerBroke reports that a server's connection broke before it began to answer a request of this daemon.
	ServerBroke struct {
		Now     core.Micros
		Process dispatch.Process
		Traits  []Trait
	}
	// PeerSawBreak is ServerBroke of another daemon, Age ago.
	PeerSawBreak struct {
		Now     core.Micros
		Process dispatch.Process
		Traits  []Trait
		Age     core.Micros
	}
	// AnswerBegan reports that a server began to answer a request of this daemon.
	AnswerBegan struct {
		Now    core.Micros
		Traits []Trait
	}
	// PeerSawAnswer reports that another daemon saw the beginning of an answer to a request with each of the traits.
	PeerSawAnswer struct {
		Now    core.Micros
		Traits []Trait
	}
	// VerdictHeard carries a verdict of another daemon or of the store.
	VerdictHeard struct {
		Now     core.Micros
		Verdict Verdict
	}
)

func (ServerBroke) event()   {}
func (PeerSawBreak) event()  {}
func (AnswerBegan) event()   {}
func (PeerSawAnswer) event() {}
func (VerdictHeard) event()  {}

// Effect is an action that Core requests from its caller.
type Effect interface{ effect() }

type (
	// AnnounceSuspect informs the other daemons of a ServerBroke.
	AnnounceSuspect struct {
		Process dispatch.Process
		Traits  []Trait
	}
	// AnnounceSound informs the other daemons that requests with the traits were answered.
	AnnounceSound struct {
		Traits []Trait
	}
	// VerdictReached reports that a verdict of this daemon is in force from now on: a new one, a renewed one or one with
	// fewer traits. Crashes and Suspects are the evidence for a new one.
	VerdictReached struct {
		Verdict           Verdict
		Crashes, Suspects int
	}
	// VerdictAdopted reports that a verdict of another daemon or of the store is in force from now on.
	VerdictAdopted struct {
		Verdict Verdict
	}
	// VerdictLifted reports that a verdict is no longer in force, because a request with some of its traits was answered.
	VerdictLifted struct {
		Verdict Verdict
	}
)

func (AnnounceSuspect) effect() {}
func (AnnounceSound) effect()   {}
func (VerdictReached) effect()  {}
func (VerdictAdopted) effect()  {}
func (VerdictLifted) effect()   {}
