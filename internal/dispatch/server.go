package dispatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/enginecost"
)

const (
	// suspectPeriod is how long a failed server receives no requests. It doubles with each later failure up to
	// maxSuspectPeriod, not counting failures during the period. A crashed engine takes some seconds to restart, while
	// a false suspicion costs half a second of an engine's capacity.
	suspectPeriod    = 500 * core.Millisecond
	maxSuspectPeriod = 4 * core.Second
	// failureRateWeight is the weight of the newest outcome in a server's moving average of failures, which adapts
	// within about ten outcomes.
	failureRateWeight = 0.15
	// usableMemoryShare is the share of an engine's memory used for planning. The rest absorbs answers that exceed
	// their estimated length, since an engine that runs out of memory preempts a stream.
	usableMemoryShare = 0.95
)

// prefill is a part of a prompt that a server has yet to process.
type prefill struct {
	job  *job
	cost float64     // ms
	end  core.Micros // predicted
}

// job is a commitment of this daemon (empty peer) or of a peer.
type job struct {
	id             uint64
	peer           string
	service        string
	workspace      uint64
	lead           *server
	prompt, answer int
	leadMemory     int // tokens
	reservations   []reservation
	maxPause       core.Micros
	placed         core.Micros
	firstEventDue  core.Micros
	expires        core.Micros
	benefit        float64
	decoding       bool
	// late is set if the first event came late, so that delaying the request further loses no more benefit.
	late bool
}

// answered records that the servers to which the job was sent serve it.
func (j *job) answered() {
	j.lead.standing.answered(j.id)
	for _, r := range j.reservations {
		r.server.standing.answered(j.id)
	}
}

// ended records that the job has ended on the servers to which it was sent.
func (j *job) ended() {
	j.lead.standing.ended(j.id)
	for _, r := range j.reservations {
		r.server.standing.ended(j.id)
	}
}

// reservation is KV cache memory that a job reserves on a helper.
type reservation struct {
	server *server
	tokens int
}

// server is the state of one backend server.
type server struct {
	Server
	model  *enginecost.Model
	idHash uint64 // seeds preference
	domain int    // index in domains of the service
	// jobs are those led by this server. The token counts and jobsBenefit are running totals.
	jobs          []*job
	contextTokens int
	memoryTokens  int
	jobsBenefit   float64 // sum of the benefit of the jobs
	prefills      []prefill
	// slowdown is the one to plan with, reported the one last reported for the server itself.
	slowdown, reported float64
	suspectUntil       core.Micros
	// unreachable is set while the newest outcome of the server is a failure to connect.
	unreachable bool
	// suspectStreak counts the suspect periods since the last success.
	suspectStreak int
	failureRate   float64
	refusals      refusals
	// standing is what the process has said about itself; nil if nothing.
	standing *standing
	coldness coldness
}

func newServer(s Server, model *enginecost.Model) *server {
	return &server{Server: s, model: model, idHash: xxhash.Sum64String(s.ID), slowdown: 1, reported: 1}
}

func (s *server) addJob(j *job) {
	s.jobs = append(s.jobs, j)
	s.contextTokens += j.leadMemory
	s.memoryTokens += j.leadMemory
	s.jobsBenefit += j.benefit
	for _, r := range j.reservations {
		r.server.memoryTokens += r.tokens
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
	s.jobsBenefit -= j.benefit
	for _, r := range j.reservations {
		r.server.memoryTokens -= r.tokens
	}
}

// dropPrefills removes the prefill parts of a job and those that have ended by now.
func (s *server) dropPrefills(j *job, now core.Micros) {
	s.prefills = slices.DeleteFunc(s.prefills, func(p prefill) bool { return p.job == j || p.end <= now })
}

// hasPrefill reports whether the server has yet to process a prefill part of a job. Parts that have ended must have been
// dropped.
func (s *server) hasPrefill(j *job) bool {
	return slices.ContainsFunc(s.prefills, func(p prefill) bool { return p.job == j })
}

// pendingPrefillMs returns the predicted time to process the pending prefill parts.
func (s *server) pendingPrefillMs(now core.Micros) float64 {
	sum := 0.0
	for i := range s.prefills {
		if s.prefills[i].end > now {
			sum += s.prefills[i].cost
		}
	}
	return sum
}

// passMs returns the predicted length of a pass that only decodes.
func (s *server) passMs() float64 {
	if len(s.jobs) == 0 {
		return 0
	}
	return s.model.PassMs(len(s.jobs), s.contextTokens) * s.slowdown
}

func (s *server) freeSlots() int { return s.Slots - len(s.jobs) }

// freeMemory returns the number of tokens available to new requests.
func (s *server) freeMemory() int {
	return int(float64(s.model.KVTokens)*usableMemoryShare) - s.memoryTokens
}

func (s *server) suspect(now core.Micros) bool { return now < s.suspectUntil }

func (s *server) failed(now core.Micros, f Fault) {
	s.unreachable = f == FaultUnreachable
	if f == FaultRefused {
		return
	}
	s.failureRate += failureRateWeight * (1 - s.failureRate)
	if f == FaultErrored {
		return
	}
	if s.suspect(now) {
		return
	}
	s.suspectUntil = now + min(maxSuspectPeriod, suspectPeriod<<min(s.suspectStreak, 4))
	s.suspectStreak++
}

func (s *server) succeeded() {
	s.failureRate -= failureRateWeight * s.failureRate
	s.suspectStreak, s.unreachable = 0, false
}
