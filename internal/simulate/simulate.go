// Package simulate plays a load of prompts on dispatch.Core without a network: several daemons that hear of each other's
// choices a few milliseconds late, and engines that follow the published cost model. It shows what callers get from a
// policy, by kind and size of request, and repeats exactly for a seed.
package simulate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/enginecost"
)

// service is the name of the simulated service.
const service = "engines"

// bytesPerToken is the size of prompts and answers.
const bytesPerToken = 4

// Kind is a kind of request.
type Kind struct {
	Name      string
	PerSecond float64
	// Prompt is the mean length in tokens, PromptSpread its standard deviation relative to the mean, PromptMax its limit.
	Prompt, PromptSpread, PromptMax float64
	// Events is the mean number of events of an answer.
	Events                                    float64
	FirstTarget, MaxPause, Patience, Deadline core.Micros
	// Benefit is the mean benefit of an answer on time, LateBenefit that of a late one. Within the kind, the benefit grows
	// with the length of the prompt.
	Benefit, LateBenefit float64
	// Retries is how often a caller returns after a refusal.
	Retries int
	// Rank is the priority of the kind's route; 0 is the highest.
	Rank int
}

// Burst multiplies the rate of a kind for some time.
type Burst struct {
	Kind     string
	From, To core.Micros
	Factor   float64
}

// Scenario is a load and the deployment that serves it.
type Scenario struct {
	Engines, Daemons int
	Model            enginecost.Model
	Kinds            []Kind
	Bursts           []Burst
	Length           core.Micros
	// HintDelay is the time after which a daemon hears of a choice of another one. BatchDelay is added for first events and ends
	// of requests, which daemons report in batches.
	HintDelay, BatchDelay core.Micros
	// Domains is the number of failure domains, over which engines and daemons are spread evenly; 0 means one. DomainDelay is the
	// time that a message takes from one to another, and DomainDemand the part of the load that each gets, if it is set.
	Domains      int
	DomainDelay  core.Micros
	DomainDemand []float64
	// LostAt and EvacuatedAt are when the engines of the first failure domain are lost or evacuated, if they are set.
	LostAt, EvacuatedAt core.Micros
	// LossPerMB is the price of a megabyte between failure domains.
	LossPerMB float64
	// Chunk is the number of prompt tokens that an engine reads in a decode step. Parts of prompts that several engines read
	// then go before whole prompts. 0 means that an engine reads all that waits in one pass.
	Chunk int
	// HintSpread is the standard deviation of the logarithm of the estimated length of an answer relative to its length.
	HintSpread float64
	// QueuePlaces is the number of requests that wait on an engine at most; it rejects others. 0 means that there is no limit.
	QueuePlaces int
	// Workspaces own the requests; without them requests have none.
	Workspaces []Workspace
	// FairShares enables shares of the workspaces.
	FairShares bool
	// HideWorkspaces keeps the workspaces of requests from the daemons.
	HideWorkspaces bool
	Seed           uint64
}

// Workspace is an owner of requests.
type Workspace struct {
	Name string
	// Demand is the part of the requests that it sends, relative to those of the other workspaces.
	Demand float64
	// Weight is its weight under competition; 0 means 1.
	Weight float64
	// Surplus is what it sends from From to To beyond its usual part, as a multiple of it. The usual requests of all workspaces are
	// the same with and without it.
	Surplus  float64
	From, To core.Micros
	// EagerRetries is how often its callers return at once after a refusal, whatever time they were told.
	EagerRetries int
}

// eagerRetryAfter is the time after which a caller returns that ignores the time that it was told.
const eagerRetryAfter = 10 * core.Millisecond

// outcome is how a request ended.
type outcome int

const (
	refused outcome = iota
	onTime
	late
	abandoned
)

// request is one request of a caller, over all of its attempts.
type request struct {
	number        uint64 // the same for all attempts
	kind          *Kind
	workspace     int // index; -1 for none
	prompt        int
	events        int
	benefit       float64
	started       core.Micros
	attempts      int
	id            uint64 // of the current attempt
	daemon        int
	arrived       core.Micros // of the current attempt
	excluded      []string    // engines that rejected the current attempt
	parts         int         // parts of the prompt that are still to be read
	lead          *engine
	memory        int
	firstAt       core.Micros
	lastEventAt   core.Micros
	longestGap    core.Micros
	eventsLeft    int
	hint          int // estimated length of the answer, in tokens
	outcome       outcome
	refusedBefore bool
}

type simulation struct {
	Scenario
	// load draws the requests, choices the daemons that they reach, so that the load does not depend on the policy.
	load, choices *rand.Rand
	// placed counts the placements, left those in another failure domain than the daemon's, and bytesLeft their bytes.
	placed, left, bytesLeft int
	// owners draws the workspaces of requests, surplus the requests that workspaces send beyond their usual part.
	owners, surplus *rand.Rand
	now             core.Micros
	queue           eventQueue
	sequence        uint64
	daemons         []*dispatch.Core
	engines         map[string]*engine
	requests        []*request
	running         map[uint64]*request
	nextID          uint64
}

// Run plays a scenario.
func Run(s Scenario) Result {
	sim := &simulation{
		Scenario: s, load: rand.New(rand.NewPCG(s.Seed, 0)), choices: rand.New(rand.NewPCG(s.Seed, 1)),
		owners: rand.New(rand.NewPCG(s.Seed, 2)), surplus: rand.New(rand.NewPCG(s.Seed, 3)),
		engines: map[string]*engine{}, running: map[uint64]*request{},
	}
	sim.deploy()
	for i := range sim.Kinds {
		k := &sim.Kinds[i]
		sim.scheduleArrival(arrivals{kind: k, rng: sim.load, perSecond: k.PerSecond, to: sim.Length, owner: sim.drawWorkspace})
		for n, w := range sim.Workspaces {
			if w.Surplus > 0 {
				sim.scheduleArrival(arrivals{
					kind: k, rng: sim.surplus, perSecond: k.PerSecond * w.Surplus * sim.demandShare(n), from: w.From, to: w.To,
					owner: func() int { return n },
				})
			}
		}
	}
	for sim.queue.Len() > 0 {
		ev := heap.Pop(&sim.queue).(event)
		sim.now = ev.at
		ev.run()
	}
	out := newResult(&sim.Scenario, sim.requests)
	out.Left, out.BytesLeft = float64(sim.left)/float64(max(1, sim.placed)), sim.bytesLeft
	return out
}

func (s *simulation) deploy() {
	model := s.Model
	weights := map[uint64]float64{}
	for i, w := range s.Workspaces {
		if w.Weight > 0 {
			weights[s.workspaceHash(i)] = w.Weight
		}
	}
	changed := dispatch.ServersChanged{
		FairShares: s.FairShares, WorkspaceWeights: weights, DomainLossPerMB: s.LossPerMB,
		Services: []dispatch.Service{{Name: service, Model: &model, Delays: s.delays()}},
	}
	for i := range s.Engines {
		id := fmt.Sprintf("e%03d", i)
		s.engines[id] = &engine{sim: s, id: id, index: i, free: model.KVTokens}
		changed.Servers = append(changed.Servers, dispatch.Server{
			ID: id, Service: service, Address: id + ":1", Domain: s.domain(i), Slots: model.Slots,
		})
	}
	for i := range s.Daemons {
		c := dispatch.New(s.domain(i), fmt.Sprint("d", i))
		c.Step(changed)
		c.Step(dispatch.DaemonCountChanged{Count: s.Daemons})
		s.daemons = append(s.daemons, c)
	}
	if s.LostAt > 0 {
		s.at(s.LostAt, func() { s.loseDomain(changed) })
	}
	if s.EvacuatedAt > 0 {
		s.at(s.EvacuatedAt, func() { s.evacuateDomain(changed) })
	}
}

// chooseDaemon draws the daemon that a request reaches.
func (s *simulation) chooseDaemon() int {
	if len(s.DomainDemand) == 0 {
		return s.choices.IntN(s.Daemons)
	}
	total := 0.0
	for _, demand := range s.DomainDemand {
		total += demand
	}
	point, domain := s.choices.Float64()*total, 0
	for domain < len(s.DomainDemand)-1 && point >= s.DomainDemand[domain] {
		point -= s.DomainDemand[domain]
		domain++
	}
	daemons := (s.Daemons - domain + s.Domains - 1) / s.Domains
	return domain + s.Domains*s.choices.IntN(daemons)
}

// at schedules a call.
func (s *simulation) at(when core.Micros, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: when, sequence: s.sequence, run: run})
}

func (s *simulation) rate(k *Kind) float64 {
	rate := k.PerSecond
	for _, b := range s.Bursts {
		if b.Kind == k.Name && s.now >= b.From && s.now < b.To {
			rate *= b.Factor
		}
	}
	return rate
}

func (s *simulation) newRequest(a arrivals) *request {
	k := a.kind
	const eventSpread = 0.7
	const minSizeShare, maxSizeFactor = 0.3, 4 // share of the benefit that does not depend on the size, largest benefit
	prompt := min(logNormal(a.rng, k.Prompt, k.PromptSpread), k.PromptMax)
	r := &request{
		number: uint64(len(s.requests) + 1),
		kind:   k, workspace: a.owner(), prompt: int(prompt), events: max(1, int(logNormal(a.rng, k.Events, eventSpread))), started: s.now,
		benefit: min(maxSizeFactor, minSizeShare+(1-minSizeShare)*prompt/k.Prompt),
	}
	r.hint = r.events * s.Model.Stride
	if s.HintSpread > 0 {
		r.hint = max(1, int(float64(r.hint)*math.Exp(s.HintSpread*a.rng.NormFloat64())))
	}
	s.requests = append(s.requests, r)
	return r
}

func (s *simulation) arrive(r *request) {
	r.daemon, r.arrived, r.excluded = s.chooseDaemon(), s.now, nil
	r.attempts++
	s.place(r)
}

// place passes a request to its daemon, which chooses engines for it.
func (s *simulation) place(r *request) {
	s.nextID++
	r.id = s.nextID
	s.running[r.id] = r
	w := dispatch.Work{
		ID: r.id, Service: service, Prompt: r.prompt, Answer: r.hint, Arrived: r.arrived,
		FirstEventDue: r.arrived + r.kind.FirstTarget, AbandonAt: r.arrived + r.kind.Patience, MaxPause: r.kind.MaxPause,
		Rank: r.kind.Rank, Bytes: bytesPerToken * (r.prompt + r.hint), Deadline: r.started + r.kind.Deadline, Exclude: r.excluded,
		Workspace: s.workspaceHash(r.workspace), Fingerprint: r.number,
	}
	id := r.id
	s.at(min(w.AbandonAt, w.Deadline), func() {
		if r.id == id && r.firstAt == 0 && s.running[id] == r {
			r.outcome = abandoned
			s.end(r, dispatch.Cancelled{Now: s.now, ID: id})
		}
	})
	s.at(w.Deadline, func() {
		if r.id == id && s.running[id] == r {
			r.outcome = abandoned
			s.end(r, dispatch.Cancelled{Now: s.now, ID: id})
		}
	})
	s.step(r.daemon, dispatch.Arrived{Now: s.now, Work: w})
}

// step passes an event to a daemon and performs the effects.
func (s *simulation) step(daemon int, ev dispatch.Event) {
	for _, effect := range s.daemons[daemon].Step(ev) {
		switch e := effect.(type) {
		case dispatch.Assign:
			s.start(e)
		case dispatch.Refuse:
			s.refuse(e)
		case dispatch.SetTimer:
			s.at(e.At, func() { s.step(daemon, dispatch.Tick{Now: s.now}) })
		case dispatch.Announce:
			s.tellOthers(daemon, 0, func() dispatch.Event {
				return dispatch.PeerPlaced{Now: s.now, Peer: fmt.Sprint(daemon), Job: e.Job}
			})
		case dispatch.AnnounceQueued:
			s.tellOthers(daemon, 0, func() dispatch.Event {
				return dispatch.PeerQueued{Now: s.now, Peer: fmt.Sprint(daemon), Queued: e.Queued}
			})
		case dispatch.AnnounceWaiting:
			s.tellOthers(daemon, 0, func() dispatch.Event {
				return dispatch.PeerWaiting{Now: s.now, Peer: fmt.Sprint(daemon), Waiting: e.Waiting}
			})
		case dispatch.AnnounceFirst:
			s.tellOthers(daemon, s.BatchDelay, func() dispatch.Event { return dispatch.PeerFirst{Now: s.now, ID: e.ID, Late: e.Late} })
		case dispatch.AnnounceEnd:
			after := s.BatchDelay
			if e.Urgent {
				after = 0
			}
			s.tellOthers(daemon, after, func() dispatch.Event { return dispatch.PeerEnded{Now: s.now, ID: e.ID} })
		}
	}
}

// tellOthers passes an event to all other daemons, some time later.
func (s *simulation) tellOthers(from int, after core.Micros, ev func() dispatch.Event) {
	for to := range max(1, s.Domains) { // the daemons of a domain hear of it at the same time
		s.at(s.now+s.HintDelay+after+s.delay(from, to), func() {
			for i := to; i < len(s.daemons); i += max(1, s.Domains) {
				if i != from {
					s.step(i, ev())
				}
			}
		})
	}
}

func (s *simulation) start(a dispatch.Assign) {
	r := s.running[a.ID]
	lead := s.engines[a.Plan.Lead.ID]
	s.placed++
	if s.delay(r.daemon, lead.index) > 0 {
		s.left++
		s.bytesLeft += bytesPerToken * (r.prompt + r.events*s.Model.Stride)
	}
	r.lead, r.parts = lead, 1+len(a.Plan.Helpers)
	r.memory = r.prompt + r.events*s.Model.Stride
	for _, held := range a.Plan.Reservations {
		r.memory -= held.Tokens
	}
	p := part{
		request: r, id: a.ID, cost: s.Model.PrefillMs(r.prompt) / float64(r.parts),
		tokens: float64(r.prompt) / float64(r.parts), split: r.parts > 1,
	}
	s.at(s.now+s.delay(r.daemon, lead.index), func() {
		if s.running[a.ID] != r {
			return
		}
		if s.QueuePlaces > 0 && len(lead.queue) >= s.QueuePlaces {
			s.reject(r)
			return
		}
		for _, h := range a.Plan.Helpers {
			s.engines[h.ID].read(p)
		}
		lead.admit(p)
	})
}

// reject tells the daemon of a request that its engine is full, and places the request again.
func (s *simulation) reject(r *request) {
	id, engine := r.id, r.lead.id
	s.at(s.now+s.delay(r.daemon, r.lead.index), func() {
		if s.running[id] != r {
			return
		}
		delete(s.running, id)
		r.lead, r.excluded = nil, append(r.excluded, engine)
		s.step(r.daemon, dispatch.Cancelled{Now: s.now, ID: id})
		s.step(r.daemon, dispatch.ServerFailed{Now: s.now, Server: engine, Fault: dispatch.FaultRefused})
		s.place(r)
	})
}

func (s *simulation) refuse(e dispatch.Refuse) {
	r := s.running[e.ID]
	delete(s.running, e.ID)
	left := r.started + r.kind.Deadline - s.now
	const maxReturnShare = 3 // callers return after at most a third of the time that they have left
	if r.workspace >= 0 && s.Workspaces[r.workspace].EagerRetries > 0 {
		if r.attempts <= s.Workspaces[r.workspace].EagerRetries && left > eagerRetryAfter {
			r.refusedBefore = true
			s.at(s.now+eagerRetryAfter, func() { s.arrive(r) })
		}
		return
	}
	if r.attempts > r.kind.Retries || e.RetryAfter > left/maxReturnShare {
		return
	}
	r.refusedBefore = true
	s.at(s.now+e.RetryAfter, func() { s.arrive(r) })
}

// end ends the current attempt of a request.
func (s *simulation) end(r *request, ev dispatch.Event) {
	delete(s.running, r.id)
	if r.lead != nil {
		r.lead.remove(r)
	}
	s.step(r.daemon, ev)
}

func (s *simulation) firstEvent(r *request) {
	// The way back delays the first event. Later ones have the same way, so that pauses are those of the engine.
	way, id := s.delay(r.daemon, r.lead.index), r.id
	r.firstAt, r.lastEventAt, r.eventsLeft = s.now+way, s.now, r.events
	s.later(way, r.daemon, func() dispatch.Event { return dispatch.FirstEvent{Now: s.now, ID: id} })
}

// emit counts one event of a request and ends it after the last one.
func (s *simulation) emit(r *request) {
	r.longestGap = max(r.longestGap, s.now-r.lastEventAt)
	r.lastEventAt = s.now
	r.eventsLeft--
	if r.eventsLeft > 0 {
		return
	}
	r.outcome = late
	if r.firstAt-r.started <= r.kind.FirstTarget && r.longestGap <= r.kind.MaxPause {
		r.outcome = onTime
	}
	way, id := s.delay(r.daemon, r.lead.index), r.id
	delete(s.running, id)
	r.lead.remove(r)
	s.later(way, r.daemon, func() dispatch.Event { return dispatch.Finished{Now: s.now, ID: id} })
}

// later passes an event to a daemon after some time.
func (s *simulation) later(after core.Micros, daemon int, ev func() dispatch.Event) {
	if after == 0 {
		s.step(daemon, ev())
		return
	}
	s.at(s.now+after, func() { s.step(daemon, ev()) })
}

// without returns a list without one element.
func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return x == y })
}
