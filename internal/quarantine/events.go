package quarantine

import (
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
)

// Event is an input of Core. Now is the current time on the process's monotonic clock in all events.
type Event interface{ event() }

type (
	// ServerBroke reports that a server's connection broke before the Core's stage of the answer to a request of this daemon.
	ServerBroke struct {
		Now     core.Micros
		Process dispatch.Process
		// Helpers are the ids of engines that processed parts of the prompt. If one of them crashes, the connection breaks too.
		Helpers []string
		Traits  []Trait
	}
	// PeerSawBreak is ServerBroke of another daemon, Age ago.
	PeerSawBreak struct {
		Now     core.Micros
		Process dispatch.Process
		Helpers []string
		Traits  []Trait
		Age     core.Micros
	}
	// Answered reports that the answer to a request of this daemon reached the Core's stage.
	Answered struct {
		Now    core.Micros
		Traits []Trait
		// Took is the time from the sending of the request.
		Took core.Micros
	}
	// PeerSawAnswer reports that another daemon saw an answer to a request with each of the traits reach the Core's stage.
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
func (Answered) event()      {}
func (PeerSawAnswer) event() {}
func (VerdictHeard) event()  {}

// Effect is an action that Core requests from its caller.
type Effect interface{ effect() }

type (
	// AnnounceSuspect informs the other daemons of a ServerBroke.
	AnnounceSuspect struct {
		Process dispatch.Process
		Helpers []string
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
