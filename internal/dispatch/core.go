package dispatch

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// lookAgain is how often waiting requests are looked at; a pass of an engine lasts at least twice as long.
	lookAgain = 15 * core.Millisecond
	// A request waits for a better choice of engines while the loss exceeds this share of its benefit: tolerableLoss when
	// it arrives, growing by patientLoss with the square of the time that it can wait.
	tolerableLoss = 0.02
	patientLoss   = 0.3
	// refuseAfter is the share of a caller's patience after which a request that found no server is refused.
	refuseAfter = 0.25
	// retryAfter is when a refused caller should come back; a burst of long prompts drains in about a second.
	retryAfter = core.Second
	// jobSlack is how long a commitment of a neighbour outlives its deadline in case its end was not heard.
	jobSlack = 500 * core.Millisecond
	// lateJobShare bounds how much of a late request's remaining benefit others may lose for it while it can wait.
	lateJobShare = 0.1
)

// Core is the reducer of a daemon's decisions.
type Core struct {
	domain   string
	servers  map[string]*server
	services map[string]*service
	jobs     map[uint64]*job
	waiting  []*Work
	readers  readLoads
	daemons  int
	timerAt  core.Micros
	out      []Effect
}

type service struct {
	Service
	servers []*server // ordered by id
}

// New returns the reducer of a daemon in a failure domain.
func New(domain string) *Core {
	return &Core{
		domain: domain, servers: map[string]*server{}, services: map[string]*service{}, jobs: map[uint64]*job{}, daemons: 1,
	}
}

// Step applies an event and returns what is to be done, in order.
func (c *Core) Step(ev Event) []Effect {
	c.out = nil
	switch e := ev.(type) {
	case ServersChanged:
		c.serversChanged(e)
		c.lookAtWaiting(e.Now)
	case Arrived:
		c.waiting = append(c.waiting, &e.Work)
		c.lookAtWaiting(e.Now)
	case Cancelled:
		c.cancelled(e)
	case FirstEvent:
		if j := c.jobs[e.ID]; j != nil {
			c.firstEvent(j, e.Now)
			c.emit(AnnounceFirst{ID: e.ID})
		}
	case Finished:
		c.finished(e)
	case ServerFailed:
		if s := c.servers[e.Server]; s != nil {
			s.failed(e.Now, e.Fault)
		}
	case ServerAlive:
		c.serverAlive(e)
	case DaemonsKnown:
		c.daemons = max(1, e.Count)
	case Tick:
		c.timerAt = 0
		c.expire(e.Now)
		c.lookAtWaiting(e.Now)
	default:
		c.stepPeer(ev)
	}
	return c.out
}

// Unreachable reports whether a server could not be reached and has not answered since, which says that what it runs is
// lost too. A connection that broke or a request that stalled says nothing of the others on the server: each has a
// connection of its own that breaks with the server. A server that is not listed any more still serves what it runs.
func (c *Core) Unreachable(now core.Micros, id string) bool {
	s := c.servers[id]
	return s != nil && s.unreachable && s.suspect(now)
}

func (c *Core) stepPeer(ev Event) {
	switch e := ev.(type) {
	case PeerPlaced:
		c.peerPlaced(e)
	case PeerFirst:
		if j := c.jobs[e.ID]; j != nil && j.peer != "" {
			c.firstEvent(j, e.Now)
		}
	case PeerEnded:
		if j := c.jobs[e.ID]; j != nil && j.peer != "" {
			c.endJob(j)
		}
	case PeerHolds:
		c.endPeerJobs(e.Peer, e.IDs)
	case PeerLost:
		c.endPeerJobs(e.Peer, nil)
	default:
		panic(fmt.Sprintf("dispatch: event of type %T", ev))
	}
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) serversChanged(e ServersChanged) {
	old := c.servers
	c.servers = make(map[string]*server, len(e.Servers))
	c.services = make(map[string]*service, len(e.Services))
	for _, s := range e.Services {
		c.services[s.Name] = &service{Service: s}
	}
	list := slices.Clone(e.Servers)
	slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range list {
		svc := c.services[s.Service]
		if svc == nil {
			continue
		}
		state := old[s.ID]
		if state == nil || state.Address != s.Address || state.Born != s.Born {
			state = newServer(s, svc.Model)
		}
		state.Server, state.model = s, svc.Model
		c.servers[s.ID] = state
		svc.servers = append(svc.servers, state)
	}
}

func (c *Core) serverAlive(e ServerAlive) {
	s := c.servers[e.Server]
	if s == nil {
		return
	}
	if e.Reached {
		s.suspectUntil, s.unreachable = 0, false
	}
	if e.Pace > 0 {
		s.pace = e.Pace
	}
}

func (c *Core) cancelled(e Cancelled) {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Work) bool { return w.ID == e.ID })
	if j := c.jobs[e.ID]; j != nil {
		c.endJob(j)
		c.emit(AnnounceEnd{ID: e.ID})
	}
	c.lookAtWaiting(e.Now)
}

func (c *Core) finished(e Finished) {
	j := c.jobs[e.ID]
	if j == nil {
		return
	}
	j.lead.succeeded()
	c.endJob(j)
	c.emit(AnnounceEnd{ID: e.ID})
	c.lookAtWaiting(e.Now)
}

// firstEvent turns a reader into a writer.
func (c *Core) firstEvent(j *job, now core.Micros) {
	if j.writing {
		return
	}
	j.writing = true
	j.late = now > j.firstBy
	c.dropReads(j, now)
}

func (c *Core) dropReads(j *job, now core.Micros) {
	for _, s := range c.services[j.service].list() {
		s.dropReads(j, now)
	}
}

func (s *service) list() []*server {
	if s == nil {
		return nil
	}
	return s.servers
}

func (c *Core) endJob(j *job) {
	delete(c.jobs, j.id)
	j.lead.removeJob(j)
	c.dropReads(j, 0)
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

// expire ends commitments of neighbours whose end was not heard.
func (c *Core) expire(now core.Micros) {
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
	lead := c.servers[e.Job.Lead]
	if lead == nil || c.jobs[e.Job.ID] != nil {
		return
	}
	j := &job{
		id: e.Job.ID, peer: e.Peer, service: e.Job.Service, lead: lead, prompt: e.Job.Prompt, answer: e.Job.Answer,
		pause: e.Job.Pause, firstBy: e.Now + e.Job.FirstIn, expires: e.Now + e.Job.EndIn + jobSlack,
		worth: worth(e.Job.Prompt, e.Job.Answer), writing: e.Job.Writing,
	}
	for _, h := range e.Job.Holds {
		if s := c.servers[h.Server]; s != nil {
			j.holds = append(j.holds, heldMemory{server: s, tokens: h.Tokens})
		}
	}
	readers := []*server{lead}
	for _, id := range e.Job.Helpers {
		if s := c.servers[id]; s != nil {
			readers = append(readers, s)
		}
	}
	c.addJob(e.Now, j, readers)
}

// addJob counts a commitment on its servers.
func (c *Core) addJob(now core.Micros, j *job, readers []*server) {
	j.leadMemory = j.prompt + j.answer
	for _, h := range j.holds {
		j.leadMemory -= h.tokens
	}
	j.leadMemory = max(j.leadMemory, j.answer)
	c.jobs[j.id] = j
	if j.lead.model != nil && !j.writing {
		whole := j.lead.model.ReadMs(j.prompt)
		c.readers.add(now, j.service, j.pause, whole)
		cost := whole / float64(len(readers))
		for _, s := range readers {
			s.dropReads(nil, now)
			view := candidate{server: s, pass: s.passMs(), pending: s.pendingMs(now)}
			part := cost * s.pace
			s.reads = append(s.reads, read{job: j, cost: part, end: now + micros(view.finishMs(part))})
		}
	}
	j.lead.addJob(j)
}

// lookAtWaiting assigns or refuses waiting requests, the most urgent first.
func (c *Core) lookAtWaiting(now core.Micros) {
	if len(c.waiting) == 0 {
		return
	}
	slices.SortStableFunc(c.waiting, func(a, b *Work) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.FirstBy, b.FirstBy), cmp.Compare(a.ID, b.ID))
	})
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Work) bool { return c.settle(now, w) })
	if len(c.waiting) > 0 && c.timerAt <= now {
		c.timerAt = now + lookAgain
		c.emit(SetTimer{At: c.timerAt})
	}
}

// settle reports whether the request was assigned or refused.
func (c *Core) settle(now core.Micros, w *Work) bool {
	svc := c.services[w.Service]
	if svc == nil {
		c.emit(Refuse{ID: w.ID, RetryAfter: retryAfter, Reason: "no server of the service is known"})
		return true
	}
	o := c.bestOption(now, w, svc)
	reason := "all servers of the service are full or away"
	if o != nil && svc.Model != nil && o.loss >= worth(w.Prompt, w.Answer) {
		reason = fmt.Sprintf("other requests would lose more than this one can earn: %.1f of %.1f, %d engines, first event in %.0f ms",
			o.loss, worth(w.Prompt, w.Answer), 1+len(o.helpers), o.firstMs)
		o = nil
	}
	if o != nil && (svc.Model == nil || !c.shouldWait(now, w, o)) {
		c.assign(now, w, o)
		return true
	}
	patience := min(w.GiveUp, w.Deadline) - w.Arrived
	if o == nil && now-w.Arrived > core.Micros(float64(patience)*refuseAfter) {
		c.emit(Refuse{ID: w.ID, RetryAfter: retryAfter, Reason: reason})
		return true
	}
	return false
}

func (c *Core) bestOption(now core.Micros, w *Work, svc *service) *option {
	list := c.candidates(now, w, svc)
	if len(list) == 0 {
		return nil
	}
	if svc.Model == nil {
		return c.plainOption(list)
	}
	if o := c.engineOption(now, w, list); o != nil {
		return o
	}
	if w.Prompt+w.Answer > int(float64(svc.Model.KVTokens)*memoryMargin)/2 {
		return c.spreadOption(now, w, list)
	}
	return nil
}

// candidates lists the servers that may get the request; suspects only if there is no other.
func (c *Core) candidates(now core.Micros, w *Work, svc *service) []*candidate {
	var good, suspects []*candidate
	charge := queueCharge(svc)
	for _, s := range svc.servers {
		if s.Leaving || slices.Contains(w.Exclude, s.ID) {
			continue
		}
		view := &candidate{server: s, queueLoss: charge}
		if svc.Model != nil {
			s.dropReads(nil, now)
			view.pass, view.pending = s.passMs(), s.pendingMs(now)
			view.preference = spreadLoss * float64(c.daemons) * preference(w, s)
		}
		if s.suspect(now) {
			suspects = append(suspects, view)
			continue
		}
		good = append(good, view)
	}
	if len(good) > 0 {
		return good
	}
	return suspects
}

// queueCharge returns the loss for each millisecond that the queue of an engine is too long.
func queueCharge(svc *service) float64 {
	stake := 0.0
	for _, s := range svc.servers {
		stake += s.stake
	}
	return queueLoss * min(1, stake/float64(len(svc.servers))/fullStake)
}

// shouldWait reports whether a request should wait for a better option.
func (c *Core) shouldWait(now core.Micros, w *Work, o *option) bool {
	value := worth(w.Prompt, w.Answer)
	next := micros(o.firstMs/surelyOnTime) + lookAgain
	if o.passing <= acceptable(now-w.Arrived, w.FirstBy-next-w.Arrived)*value {
		return false
	}
	if now+next < w.FirstBy {
		return true
	}
	late := now+micros(o.firstMs) > w.FirstBy
	others := o.passing - value*ownLateness(now, w, o.firstMs)
	canStay := now+next < w.Arrived+core.Micros(float64(w.GiveUp-w.Arrived)*surelyOnTime)
	return late && canStay && others > lateJobShare*(1-lateLoss)*value
}

// acceptable returns the share of its benefit that a request may cost after it has waited, when it could wait for slack.
func acceptable(waited, slack core.Micros) float64 {
	if slack <= waited {
		return tolerableLoss + patientLoss
	}
	x := float64(waited) / float64(slack)
	return tolerableLoss + patientLoss*x*x
}

func (c *Core) assign(now core.Micros, w *Work, o *option) {
	j := &job{
		id: w.ID, service: w.Service, lead: o.lead.server, prompt: w.Prompt, answer: w.Answer, pause: w.Pause,
		firstBy: w.FirstBy, expires: w.Deadline, worth: worth(w.Prompt, w.Answer), holds: o.holds,
	}
	plan := Plan{Lead: o.lead.Server, First: now + micros(o.firstMs), Loss: o.loss}
	readers := []*server{o.lead.server}
	told := Job{
		ID: w.ID, Service: w.Service, Lead: o.lead.ID, Prompt: w.Prompt, Answer: w.Answer, Pause: w.Pause,
		FirstIn: w.FirstBy - now, EndIn: w.Deadline - now,
	}
	for _, h := range o.helpers {
		readers = append(readers, h.server)
		plan.Helpers = append(plan.Helpers, h.Server)
		told.Helpers = append(told.Helpers, h.ID)
	}
	for _, h := range o.holds {
		plan.Holds = append(plan.Holds, Hold{Server: h.server.ID, Tokens: h.tokens})
	}
	told.Holds = plan.Holds
	c.addJob(now, j, readers)
	c.emit(Assign{ID: w.ID, Plan: plan})
	c.emit(Announce{Job: told})
}
