package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/enginecost"
)

const (
	// suspicion is how long a server that failed gets no work, doubled with each further failure up to maxSuspicion. A
	// crashed engine is back after some seconds, and a wrong suspicion costs an engine for half a second.
	suspicion    = 500 * core.Millisecond
	maxSuspicion = 4 * core.Second
	// failureWeight is the weight of the newest outcome in the failure rate of a server; ten outcomes settle it.
	failureWeight = 0.15
	// memoryMargin is the share of an engine's memory that is planned with. The rest absorbs answers that are longer
	// than estimated, since an engine that runs out preempts a stream.
	memoryMargin = 0.95
)

// read is a part of a prompt that a server has still to read.
type read struct {
	job  *job
	cost float64 // ms
	end  core.Micros
}

// job is a commitment of this daemon (peer "") or of a neighbour.
type job struct {
	id             uint64
	peer           string
	service        string
	lead           *server
	prompt, answer int
	leadMemory     int // tokens
	holds          []heldMemory
	pause          core.Micros
	firstBy        core.Micros
	expires        core.Micros
	worth          float64
	writing        bool
	// late is set once the request can no longer be on time, so that nothing more is lost by slowing it.
	late bool
}

type heldMemory struct {
	server *server
	tokens int
}

// server is the state of one backend server.
type server struct {
	Server
	model *enginecost.Model
	hash  uint64 // of the id
	// jobs are those that the server leads; their sums are kept beside them.
	jobs          []*job
	contextTokens int
	memoryTokens  int
	stake         float64 // benefit of the jobs
	reads         []read
	pace          float64
	suspectUntil  core.Micros
	// unreachable is set while the last thing known of the server is that no connection to it was made.
	unreachable bool
	strikes     int
	failureRate float64
}

func newServer(s Server, model *enginecost.Model) *server {
	return &server{Server: s, model: model, hash: xxhash.Sum64String(s.ID), pace: 1}
}

func (s *server) addJob(j *job) {
	s.jobs = append(s.jobs, j)
	s.contextTokens += j.leadMemory
	s.memoryTokens += j.leadMemory
	s.stake += j.worth
	for _, h := range j.holds {
		h.server.memoryTokens += h.tokens
	}
}

func (s *server) removeJob(j *job) {
	i := slices.Index(s.jobs, j)
	if i < 0 {
		return
	}
	s.jobs = slices.Delete(s.jobs, i, i+1)
	s.contextTokens -= j.leadMemory
	s.memoryTokens -= j.leadMemory
	s.stake -= j.worth
	for _, h := range j.holds {
		h.server.memoryTokens -= h.tokens
	}
}

// dropReads forgets the reads of a job, or those that have ended by now if j is nil.
func (s *server) dropReads(j *job, now core.Micros) {
	s.reads = slices.DeleteFunc(s.reads, func(r read) bool { return r.job == j || r.end <= now })
}

// pendingMs returns what is still to be read.
func (s *server) pendingMs(now core.Micros) float64 {
	sum := 0.0
	for i := range s.reads {
		if s.reads[i].end > now {
			sum += s.reads[i].cost
		}
	}
	return sum
}

// passMs returns the predicted length of a pass without reading.
func (s *server) passMs() float64 {
	if len(s.jobs) == 0 {
		return 0
	}
	return s.model.PassMs(len(s.jobs), s.contextTokens) * s.pace
}

func (s *server) freeSlots() int { return s.Slots - len(s.jobs) }

// freeMemory returns the tokens that a new request may take.
func (s *server) freeMemory() int {
	return int(float64(s.model.KVTokens)*memoryMargin) - s.memoryTokens
}

func (s *server) suspect(now core.Micros) bool { return now < s.suspectUntil }

func (s *server) failed(now core.Micros, f Fault) {
	s.failureRate += failureWeight * (1 - s.failureRate)
	s.unreachable = f == FaultUnreachable
	switch f {
	case FaultErrored, FaultRefused:
		return
	case FaultUnreachable, FaultSilent, FaultBroken, FaultReplaced:
	}
	if s.suspect(now) {
		return
	}
	s.suspectUntil = now + min(maxSuspicion, suspicion<<min(s.strikes, 4))
	s.strikes++
}

func (s *server) succeeded() {
	s.failureRate -= failureWeight * s.failureRate
	s.strikes, s.unreachable = 0, false
}
