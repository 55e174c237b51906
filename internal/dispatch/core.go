package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// recheckInterval is how often waiting requests are evaluated again; a pass of an engine takes at least twice as
	// long.
	recheckInterval = 15 * core.Millisecond
	// A request waits for a better choice of engines while the predicted loss exceeds a share of its benefit. The share
	// is initialLossTolerance on arrival and grows by up to lossToleranceGrowth, with the square of the elapsed part of
	// the time that the request can wait.
	initialLossTolerance = 0.02
	lossToleranceGrowth  = 0.3
	// refuseAfterShare is the share of the caller's expected patience after which a request without a server is
	// refused. Prompts over longTokens wait for longRefuseAfterShare: they need a time at which many engines have little to do,
	// such times come every few seconds where there are more than fewEngines, and an answer that is late is worth more to their
	// callers than a refusal.
	refuseAfterShare     = 0.25
	longRefuseAfterShare = 0.5
	// retryAfter is the delay after which a refused caller should retry; a burst of long prompts drains in about a
	// second. retryAfterShortage replaces it for a prompt that all engines together cannot hold; engines take seconds to start.
	retryAfter         = core.Second
	retryAfterShortage = 10 * core.Second
	// peerJobGrace is how long a peer's job is kept past its deadline if the message about its end was lost.
	peerJobGrace = 500 * core.Millisecond
	// A request of a peer to a plain service counts for peerAnswerTimes times the usual time of an answer. The message about
	// its end is batched and can come later than several answers take, so that servers would seem full.
	peerAnswerTimes = 2
	// answerTimeWeight is the weight of the newest answer in the moving average of a service.
	answerTimeWeight = 0.1
	// maxOthersLossShare is the share of a late request's remaining benefit above which the loss of other requests
	// makes it wait, while it can.
	maxOthersLossShare = 0.1
)

// Core is the reducer that assigns the requests of one daemon to servers.
type Core struct {
	domain string
	// domainLossPerMB is the price of a megabyte between failure domains, in units of benefit.
	domainLossPerMB float64
	// weighsDomains is set if delays between failure domains or a price are known. Otherwise only crossDomainLoss is charged.
	weighsDomains bool
	servers       map[string]*server
	services      map[string]*service
	jobs          map[uint64]*job
	waiting       []*Work
	prefillLoads  prefillLoadList
	standings     standings
	// wideQueue holds the waiting wide prompts of all daemons of this cell.
	wideQueue map[uint64]*queuedPrompt
	// peersWaiting holds the waiting requests of the peers, announcedWaiting those of this daemon that the peers know.
	peersWaiting     map[uint64]*peerWaiting
	announcedWaiting map[uint64]bool
	// evacuationBound is the time after which callers return if all servers of a service are evacuated.
	evacuationBound core.Micros
	// peersAsking holds the requests of the peers that have waited and are not placed, as demand of their workspaces.
	peersAsking map[uint64]asking
	// daemons is the number of daemons of this cell, allDaemons that of all cells.
	daemons, allDaemons int
	// knownDaemons is the number of daemons of this cell including those that are away.
	knownDaemons int
	// cutOffAt is when the stop of this daemon ends its requests; 0 while it does not stop.
	cutOffAt core.Micros
	// seed distinguishes this daemon from others.
	seed uint64
	// ahead counts the waiting requests by service while they are evaluated.
	ahead   map[string]int
	timerAt core.Micros
	out     []Effect
}

// New returns the reducer of the daemon with the given name in the given failure domain.
func New(domain, name string) *Core {
	return &Core{
		domain: domain, seed: xxhash.Sum64String(name), servers: map[string]*server{}, services: map[string]*service{},
		jobs: map[uint64]*job{}, standings: standings{}, wideQueue: map[uint64]*queuedPrompt{}, daemons: 1, ahead: map[string]int{},
		peersWaiting: map[uint64]*peerWaiting{}, peersAsking: map[uint64]asking{}, announcedWaiting: map[uint64]bool{},
	}
}

// Step applies an event and returns the resulting effects, in order.
func (c *Core) Step(ev Event) []Effect {
	c.out = nil
	switch e := ev.(type) {
	case ServersChanged:
		c.serversChanged(e)
		c.processWaiting(e.Now)
	case Arrived:
		c.waiting = append(c.waiting, &e.Work)
		c.processWaiting(e.Now)
	case Cancelled:
		c.cancelled(e)
	case FirstEvent:
		if j := c.jobs[e.ID]; j != nil {
			j.answered()
			c.firstEvent(j, e.Now, e.Now > j.firstEventDue)
			c.emit(AnnounceFirst{ID: e.ID, Late: j.late})
		}
	case Finished:
		c.finished(e)
	case ServerFailed:
		if s := c.servers[e.Server]; s != nil {
			s.failed(e.Now, e.Fault)
			if e.Fault == FaultRefused {
				c.serverRefused(e.Now, s)
			}
		}
	case ServerAlive:
		c.serverAlive(e)
	case ServerNotice:
		c.serverNotice(e)
	case ServerAnswered:
		c.serverAnswered(e)
	case DaemonCountChanged:
		c.daemons, c.allDaemons, c.knownDaemons = max(1, e.Count), e.Total, e.Known
	case Stopping:
		c.stopping(e)
	case Tick:
		c.timerAt = 0
		c.refreshCold(e.Now)
		c.expirePeerJobs(e.Now)
		c.refreshRefusals(e.Now)
		c.processWaiting(e.Now)
	default:
		c.stepPeer(ev)
	}
	return c.out
}

// Unreachable reports whether a server is suspect because no connection to it could be established and it has not
// answered since, so that the requests it runs are lost too. A broken connection or a stalled request says nothing about
// the other requests on the server, as each has its own connection, which breaks if the server fails. It returns false
// for servers that are no longer listed, since these still complete their running requests.
func (c *Core) Unreachable(now core.Micros, id string) bool {
	s := c.servers[id]
	return s != nil && s.unreachable && s.suspect(now)
}

// Lead returns the server that leads a job of this daemon or a peer, "" if the job is unknown.
func (c *Core) Lead(id uint64) string {
	if j := c.jobs[id]; j != nil {
		return j.lead.ID
	}
	return ""
}

func (c *Core) stepPeer(ev Event) {
	switch e := ev.(type) {
	case PeerSawLeaving:
		c.peerSawLeaving(e)
	case PeerSawLimit:
		c.peerSawLimit(e)
	case PeerSawCold:
		c.peerSawCold(e)
	case PeerPlaced:
		c.peerPlaced(e)
	case PeerFirst:
		if j := c.jobs[e.ID]; j != nil && j.peer != "" {
			c.firstEvent(j, e.Now, e.Late)
		}
	case PeerWaiting:
		c.peerWaits(e)
	case PeerQueued:
		c.peerQueued(e)
	case PeerEnded:
		c.endPeerWait(e.Now, e.ID)
		if j := c.jobs[e.ID]; j != nil && j.peer != "" {
			c.endJob(j)
		}
	case PeerJobs:
		c.endPeerJobs(e.Peer, e.IDs)
		c.dropQueued(e.Peer, e.IDs)
	case PeerRestarted:
		c.endPeerJobs(e.Peer, nil)
		c.dropQueued(e.Peer, nil)
		c.dropWaiting(e.Peer)
	default:
		panic(fmt.Sprintf("dispatch: event of type %T", ev))
	}
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) serversChanged(e ServersChanged) {
	old, oldServices := c.servers, c.services
	c.domainLossPerMB = e.DomainLossPerMB
	c.weighsDomains = e.DomainLossPerMB > 0 || slices.ContainsFunc(e.Services, func(s Service) bool { return len(s.Delays) > 0 })
	c.servers = make(map[string]*server, len(e.Servers))
	c.services = make(map[string]*service, len(e.Services))
	for _, s := range e.Services {
		c.services[s.Name] = &service{Service: s, shares: nextLedger(oldServices[s.Name], e)}
		if before := oldServices[s.Name]; before != nil {
			c.services[s.Name].answerTime, c.services[s.Name].shortestPause = before.answerTime, before.shortestPause
			c.services[s.Name].coldSlowdown = before.coldSlowdown
		}
	}
	list := slices.Clone(e.Servers)
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range list {
		svc := c.services[s.Service]
		if svc == nil {
			continue
		}
		state := old[s.ID]
		if state == nil || state.Address != s.Address || state.StartedAt != s.StartedAt {
			state = newServer(s, svc.Model)
		}
		evacuationEnded := state.Evacuated && !s.Evacuated
		state.Server, state.model, state.standing = s, svc.Model, c.standings[s.Process()]
		state.listedCold(e.Now, svc, evacuationEnded)
		c.servers[s.ID] = state
		svc.all = append(svc.all, state)
		if !s.Evacuated {
			svc.servers = append(svc.servers, state)
		}
	}
	c.refreshCold(e.Now)
	c.evacuationBound = e.EvacuationBound
	for name, svc := range c.services {
		c.domainsChanged(svc, oldServices[name])
	}
	c.standings.prune(e.Now, func(p Process) bool {
		s := c.servers[p.ID]
		return s != nil && s.Process() == p
	})
}

func (c *Core) serverAlive(e ServerAlive) {
	s := c.servers[e.Server]
	if s == nil {
		return
	}
	if e.Direct {
		s.suspectUntil, s.unreachable = 0, false
	}
	if e.Slowdown > 0 {
		c.reportedSlowdown(e.Now, s, e.Slowdown)
	}
}

func (c *Core) cancelled(e Cancelled) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Work) bool {
		if w.ID == e.ID {
			c.services[w.Service].recordUnserved(e.Now, w.Workspace, w.Fingerprint, w.Prompt, w.Answer)
		}
		return w.ID == e.ID
	})
	c.leaveWideQueue(e.ID)
	c.stopWaiting(e.ID, false)
	if j := c.jobs[e.ID]; j != nil {
		c.endJob(j)
		c.emit(AnnounceEnd{ID: e.ID, Urgent: c.someoneWaits(j.service)})
	}
	c.processWaiting(e.Now)
}

func (c *Core) finished(e Finished) {
	j := c.jobs[e.ID]
	if j == nil {
		return
	}
	j.lead.succeeded()
	j.answered()
	if svc := c.services[j.service]; svc != nil && svc.Model == nil {
		svc.observeAnswer(e.Now - j.placed)
	}
	c.endJob(j)
	c.emit(AnnounceEnd{ID: e.ID, Urgent: c.someoneWaits(j.service)})
	c.processWaiting(e.Now)
}

// firstEvent marks a job as decoding and removes its pending prefill from the servers.
func (c *Core) firstEvent(j *job, now core.Micros, late bool) {
	if j.decoding {
		return
	}
	j.decoding, j.late = true, late
	c.dropPrefills(j, now)
}

func (c *Core) dropPrefills(j *job, now core.Micros) {
	svc := c.services[j.service]
	if svc == nil {
		return
	}
	for _, s := range svc.all {
		s.dropPrefills(j, now)
	}
}

func (c *Core) endJob(j *job) {
	delete(c.jobs, j.id)
	j.ended()
	j.lead.removeJob(j)
	c.dropPrefills(j, 0)
}

func (c *Core) endPeerJobs(peer string, except []uint64) {
	var ended []*job
	for _, j := range c.jobs {
		if j.peer == peer && !slices.Contains(except, j.id) {
			ended = append(ended, j)
		}
	}
	for _, j := range ended {
		c.endJob(j)
	}
}

// expirePeerJobs ends jobs of peers that have passed their deadline and grace period without a message about their end, and
// removes lapsed waiting requests of peers.
func (c *Core) expirePeerJobs(now core.Micros) {
	for id, q := range c.wideQueue {
		if q.peer != "" && q.lapses <= now {
			delete(c.wideQueue, id)
		}
	}
	maps.DeleteFunc(c.peersWaiting, func(_ uint64, p *peerWaiting) bool { return p.lapses <= now })
	maps.DeleteFunc(c.peersAsking, func(_ uint64, a asking) bool { return a.lapses <= now })
	var ended []*job
	for _, j := range c.jobs {
		if j.peer != "" && j.expires <= now {
			ended = append(ended, j)
		}
	}
	for _, j := range ended {
		c.endJob(j)
	}
}

func (c *Core) peerPlaced(e PeerPlaced) {
	delete(c.wideQueue, e.Job.ID)
	delete(c.peersWaiting, e.Job.ID)
	delete(c.peersAsking, e.Job.ID)
	if c.jobs[e.Job.ID] == nil {
		c.services[e.Job.Service].withdrawRefusal(e.Now, e.Job.Workspace, e.Job.Fingerprint)
	}
	lead := c.servers[e.Job.Lead]
	if lead == nil || c.jobs[e.Job.ID] != nil {
		return
	}
	j := &job{
		id: e.Job.ID, peer: e.Peer, service: e.Job.Service, lead: lead, prompt: e.Job.Prompt, answer: e.Job.Answer,
		maxPause: e.Job.MaxPause, firstEventDue: e.Now + e.Job.FirstIn, expires: e.Now + e.Job.EndIn + peerJobGrace,
		benefit: estimateBenefit(e.Job.Prompt, e.Job.Answer), decoding: e.Job.Decoding, late: e.Job.Late, placed: e.Now,
		workspace: e.Job.Workspace,
	}
	if svc := c.services[j.service]; svc != nil && svc.Model == nil && svc.answerTime > 0 {
		j.expires = min(j.expires, e.Now+peerAnswerTimes*svc.answerTime)
	}
	for _, r := range e.Job.Reservations {
		if s := c.servers[r.Server]; s != nil {
			j.reservations = append(j.reservations, reservation{server: s, tokens: r.Tokens})
		}
	}
	engines := []*server{lead}
	for _, id := range e.Job.Helpers {
		if s := c.servers[id]; s != nil {
			engines = append(engines, s)
		}
	}
	lead.countSent(e.Now)
	lead.refusals.countSent(e.Now)
	c.countColdSent(e.Now, engines, false)
	c.addJob(e.Now, j, engines)
}

// addJob counts the memory, slot and pending prefill of a job on its servers.
func (c *Core) addJob(now core.Micros, j *job, engines []*server) {
	j.leadMemory = j.prompt + j.answer
	for _, r := range j.reservations {
		j.leadMemory -= r.tokens
	}
	j.leadMemory = max(j.leadMemory, j.answer)
	c.jobs[j.id] = j
	c.services[j.service].observePause(j.maxPause)
	c.services[j.service].recordUse(now, j)
	if j.lead.model != nil && !j.decoding {
		total := j.lead.model.PrefillMs(j.prompt)
		c.prefillLoads.add(now, j.service, j.maxPause, total)
		cost := total / float64(len(engines))
		for _, s := range engines {
			s.dropPrefills(nil, now)
			cand := candidate{server: s, pass: s.passMs(), pending: s.pendingPrefillMs(now)}
			part := cost * s.slowdown
			s.prefills = append(s.prefills, prefill{job: j, cost: part, end: now + micros(cand.finishMs(part))})
		}
	}
	j.lead.addJob(j)
}

func (c *Core) bestOption(now core.Micros, w *Work, svc *service) *option {
	list := c.candidates(now, w, svc)
	if len(list) == 0 {
		return nil
	}
	if svc.Model == nil {
		c.expirePeerJobs(now)
		return c.plainOption(list)
	}
	svc.observePause(w.MaxPause)
	if o := c.engineOption(now, w, list); o != nil {
		return o
	}
	if w.Prompt+w.Answer > int(float64(svc.Model.KVTokens)*usableMemoryShare)/2 {
		return c.shardedOption(now, w, list)
	}
	return nil
}

// candidates returns the servers that may receive the request. Suspect servers are returned only if there are no
// others.
func (c *Core) candidates(now core.Micros, w *Work, svc *service) []*candidate {
	var healthy, suspects []*candidate
	lossRate := queueLossRate(svc)
	c.chargeDomains(now, w, svc)
	for _, s := range svc.servers {
		if s.Leaving || !s.standing.admits(now) || slices.Contains(w.Exclude, s.ID) || c.limitedAt(now, s) > now || !c.coldAdmits(now, s, w) {
			continue
		}
		cand := c.newCandidate(now, w, svc, s, lossRate)
		if s.suspect(now) {
			suspects = append(suspects, cand)
			continue
		}
		healthy = append(healthy, cand)
	}
	if len(healthy) == 0 {
		healthy = suspects
	}
	compareRefusals(now, healthy)
	return healthy
}

func (c *Core) newCandidate(now core.Micros, w *Work, svc *service, s *server, lossRate float64) *candidate {
	cand := &candidate{
		server: s, queueLossPerMs: lossRate, preference: preferenceLossPerDaemon * float64(c.daemons) * preference(w, s),
		roundTripMs: svc.domains[s.domain].roundTripMs, domainLoss: svc.domains[s.domain].loss,
	}
	if svc.Model != nil {
		s.dropPrefills(nil, now)
		cand.pass, cand.pending = s.passMs(), s.pendingPrefillMs(now)
	}
	return cand
}

// queueLossRate returns the loss for each millisecond by which the queue of an engine exceeds queueThresholdMs.
func queueLossRate(svc *service) float64 {
	benefit := 0.0
	for _, s := range svc.servers {
		benefit += s.jobsBenefit
	}
	return queueLossPerMs * min(1, benefit/float64(len(svc.servers))/fullLoadBenefit)
}

func (c *Core) assign(now core.Micros, w *Work, o *option) {
	delete(c.wideQueue, w.ID) // the announcement of the job ends the place
	c.stopWaiting(w.ID, true)
	j := &job{
		id: w.ID, service: w.Service, lead: o.lead.server, prompt: w.Prompt, answer: w.Answer, maxPause: w.MaxPause,
		firstEventDue: w.FirstEventDue, expires: w.Deadline, benefit: estimateBenefit(w.Prompt, w.Answer), placed: now,
		reservations: o.reservations, workspace: w.Workspace,
	}
	plan := Plan{Lead: o.lead.Server, FirstEventAt: now + micros(o.firstMs), Loss: o.loss}
	engines := []*server{o.lead.server}
	announced := Job{
		ID: w.ID, Service: w.Service, Lead: o.lead.ID, Prompt: w.Prompt, Answer: w.Answer, MaxPause: w.MaxPause,
		FirstIn: w.FirstEventDue - now, EndIn: w.Deadline - now, Workspace: w.Workspace,
	}
	for _, h := range o.helpers {
		engines = append(engines, h.server)
		plan.Helpers = append(plan.Helpers, h.Server)
		announced.Helpers = append(announced.Helpers, h.ID)
	}
	o.lead.standing.sent(w.ID)
	o.lead.countSent(now)
	o.lead.refusals.countSent(now)
	cold := c.countColdSent(now, engines, true)
	for _, r := range o.reservations {
		r.server.standing.sent(w.ID)
	}
	for _, r := range o.reservations {
		plan.Reservations = append(plan.Reservations, Reservation{Server: r.server.ID, Tokens: r.tokens})
	}
	announced.Reservations = plan.Reservations
	svc := c.services[w.Service]
	if svc.withdrawRefusal(now, w.Workspace, w.Fingerprint) {
		announced.Fingerprint = w.Fingerprint
	}
	c.addJob(now, j, engines)
	c.emit(Assign{ID: w.ID, Plan: plan})
	svc.domains[o.lead.domain].placed++
	c.emit(Announce{Job: announced, ToAll: svc.Shared && (o.lead.limited() || cold)})
}
