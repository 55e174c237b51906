package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// Outcomes of an Explanation.
const (
	OutcomeAssigned = "assigned"
	OutcomeWaits    = "waits"
	OutcomeRefused  = "refused"
)

// Reasons for which a server does not receive a request. SlotsFull and MemoryFull exclude it only as lead.
const (
	ExcludedEvacuated = "evacuated"
	ExcludedLeaving   = "leaving"
	ExcludedByRequest = "excluded"
	ExcludedPause     = "pause"
	ExcludedProbe     = "probe" // after a pause one request is sent first, and has not been answered yet
	ExcludedLimit     = "limit"
	ExcludedCold      = "cold"
	ExcludedSuspect   = "suspect"
	ExcludedSlotsFull = "slots"
	ExcludedMemory    = "memory"
)

// Explanation states where a request would run now, and why.
type Explanation struct {
	// Outcome is OutcomeAssigned, OutcomeWaits or OutcomeRefused.
	Outcome string `json:"outcome"`
	// Option is the one that is chosen, or the best one for a request that waits or is refused; nil if there is none.
	Option *ExplainedOption `json:"option,omitempty"`
	// Reason says why the request waits or is refused.
	Reason string `json:"reason,omitempty"`
	// RetryAfterMs is the time after which the caller of a refused request should return.
	RetryAfterMs float64 `json:"retryAfterMs,omitempty"`
	// Benefit is the estimated benefit of the request, and Limit the loss from which on it is not accepted, given the share of its
	// workspace; 0 for plain services.
	Benefit float64 `json:"benefit,omitempty"`
	Limit   float64 `json:"limit,omitempty"`
	// Engines is the number of engines among which the predictions for each server divide the prompt.
	Engines int `json:"engines"`
	// Servers are all servers of the service, by loss.
	Servers []ExplainedServer `json:"servers"`
}

// ExplainedOption is a way to run the request.
type ExplainedOption struct {
	Lead    string   `json:"lead"`
	Helpers []string `json:"helpers,omitempty"`
	// FirstMs is the time until the first event; 0 for plain services.
	FirstMs float64 `json:"firstMs"`
	Loss    float64 `json:"loss"`
	// ShardTokens is the memory that each of several engines needs for its part of the prompt; 0 if the lead holds all of it.
	ShardTokens int `json:"shardTokens,omitempty"`
}

// ExplainedServer is what is predicted for a server as lead of the request, with its part of the prompt.
type ExplainedServer struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// FirstMs is the time until the first event; 0 for plain services, as are the pauses.
	FirstMs float64 `json:"firstMs"`
	// PauseMs is the longest pause of the answers there (a pass and the pending prefill), PauseWithMs that with the request.
	PauseMs     float64 `json:"pauseMs"`
	PauseWithMs float64 `json:"pauseWithMs"`
	Loss        float64 `json:"loss"`
	Jobs        int     `json:"jobs"`
	Slots       int     `json:"slots"`
	// FreeMemory is in tokens; 0 for plain services.
	FreeMemory int `json:"freeMemory"`
	// Suspect is set after a failure. Suspect servers are used if there are no others.
	Suspect bool `json:"suspect,omitempty"`
	// ColdMs is how long the server stays cold.
	ColdMs   float64     `json:"coldMs,omitempty"`
	Excluded []Exclusion `json:"excluded,omitempty"`
}

// Exclusion is a reason for which a server does not receive the request. UntilMs is the time until it ends, 0 if unknown.
type Exclusion struct {
	Reason  string  `json:"reason"`
	UntilMs float64 `json:"untilMs,omitempty"`
}

// Explain returns where a request would run if it arrived now, and why. It changes no state: it decides on copies, by the same rules
// as for requests.
func (c *Core) Explain(now core.Micros, w Work) Explanation {
	view := c.Copy(w.Service)
	view.placeBefore(now, &w)
	svc := view.services[w.Service]
	out := Explanation{Outcome: OutcomeWaits, Engines: 1}
	if svc != nil && len(svc.servers) > 0 {
		view.explainOption(now, &w, svc, &out)
	}
	for _, effect := range c.Copy(w.Service).Step(Arrived{Now: now, Work: w}) {
		switch e := effect.(type) {
		case Assign:
			if e.ID == w.ID {
				out.Outcome, out.Reason = OutcomeAssigned, ""
				out.Option = &ExplainedOption{Lead: e.Plan.Lead.ID, FirstMs: ms(e.Plan.FirstEventAt - now), Loss: e.Plan.Loss}
				for _, h := range e.Plan.Helpers {
					out.Option.Helpers = append(out.Option.Helpers, h.ID)
				}
				for _, r := range e.Plan.Reservations {
					out.Option.ShardTokens = r.Tokens
				}
			}
		case Refuse:
			if e.ID == w.ID {
				out.Outcome, out.Reason, out.RetryAfterMs = OutcomeRefused, e.Reason, ms(e.RetryAfter)
			}
		}
	}
	if out.Option != nil {
		out.Engines = 1 + len(out.Option.Helpers)
	}
	if svc != nil {
		out.Servers = view.explainServers(now, &w, svc, &out)
	}
	return out
}

// placeBefore places or refuses the waiting requests that come before one that arrives, as its arrival would. c is a copy, which no
// longer has those that come later.
func (c *Core) placeBefore(now core.Micros, w *Work) {
	for _, svc := range c.services {
		svc.usualTime = svc.usualFirstEvent()
	}
	key := c.waitKey(now, w)
	c.waiting = slices.DeleteFunc(c.waiting, func(other *Work) bool { return key.compare(c.waitKey(now, other)) < 0 })
	c.processWaiting(now)
}

// explainOption sets the best option without regard to waiting, and why the request would wait. c is a copy.
func (c *Core) explainOption(now core.Micros, w *Work, svc *service, out *Explanation) {
	o := c.bestOption(now, w, svc)
	if svc.Model != nil {
		out.Benefit, out.Limit = estimateBenefit(w.Prompt, w.Answer), c.shareLimit(now, svc, w)
	}
	if o != nil {
		out.Option = &ExplainedOption{Lead: o.lead.ID, FirstMs: o.firstMs, Loss: o.loss}
		for _, h := range o.helpers {
			out.Option.Helpers = append(out.Option.Helpers, h.ID)
		}
		for _, r := range o.reservations {
			out.Option.ShardTokens = r.tokens
		}
	}
	out.Reason = c.waitReason(now, w, svc, o, out.Limit)
}

// waitReason returns why a request would wait whose best option is o, nil if there is none. c is a copy.
func (c *Core) waitReason(now core.Micros, w *Work, svc *service, o *option, limit float64) string {
	refusal := fmt.Sprintf("it is refused after %.0f ms", ms(svc.longestWait(w)))
	switch {
	case svc.isWide(w):
		_, count := c.aheadOf(now, c.enqueueWide(now, w, svc))
		return fmt.Sprintf("waits in the queue of prompts that need many free engines, %d before it", count)
	case o == nil:
		if short, found := c.shortageOf(now, w, svc); found {
			return fmt.Sprintf("all servers asked for a pause or have used up their limits, the first one takes requests again in %.0f ms; "+
				"if none can lead it before, %s", ms(short.until-now), refusal)
		}
		return "no server can lead the request now; if none can lead it before, " + refusal
	case svc.Model != nil && o.loss-o.refusalLoss >= limit && !w.Retried:
		return "other requests would lose more than this one can earn; unless that changes, " + refusal
	case now+micros(o.firstMs) > c.lastStart(w, svc):
		return "the first event would come too late; unless that changes, " + refusal
	}
	return "an option with less loss is expected in time"
}

// explainServers returns the predictions for all servers of a service, each with its part of a prompt that is divided as the option of
// the explanation says. c is a copy.
func (c *Core) explainServers(now core.Micros, w *Work, svc *service, e *Explanation) []ExplainedServer {
	engines, need := e.Engines, w.Prompt+w.Answer
	if e.Option != nil && e.Option.ShardTokens > 0 {
		need = e.Option.ShardTokens
	}
	lossRate, demand := 0.0, 0.0
	var usable []*candidate
	if len(svc.servers) > 0 {
		usable = c.candidates(now, w, svc)
		lossRate = queueLossRate(svc)
	}
	if svc.Model != nil {
		demand = c.freeEngineDemand(now, w, usable)
	}
	onlySuspects := !slices.ContainsFunc(usable, func(s *candidate) bool { return !s.suspect(now) })
	out := make([]ExplainedServer, 0, len(svc.all))
	for _, s := range svc.all {
		e := ExplainedServer{
			ID: s.ID, Address: s.Address, Domain: s.Domain, Jobs: len(s.jobs), Slots: s.Slots, Suspect: s.suspect(now),
			ColdMs: ms(max(0, s.coldEnd(now)-now)), Excluded: c.exclusions(now, w, s, need, onlySuspects),
		}
		cand := c.newCandidate(now, w, svc, s, lossRate)
		if svc.Model == nil {
			e.Loss = cand.plainLoss()
			out = append(out, e)
			continue
		}
		benefit, cost := estimateBenefit(w.Prompt, w.Answer), svc.Model.PrefillMs(w.Prompt)/float64(engines)*s.slowdown
		cand.predictLoss(now, cost, benefit)
		e.FirstMs, e.FreeMemory = cand.finishMs(cost), s.freeMemory()
		e.PauseMs, e.PauseWithMs = cand.pass+cand.pending, cand.pass+cand.pending+cost
		e.Loss = cand.loss + cand.freeEngineLoss(w.MaxPause, benefit, demand) + cand.domainLoss + cand.refusalRate*benefit +
			benefit*ownLatenessLossShare(now, w, e.FirstMs)
		out = append(out, e)
	}
	slices.SortStableFunc(out, func(a, b ExplainedServer) int { return cmp.Compare(a.Loss, b.Loss) })
	return out
}

// exclusions returns why a server does not receive a request. need is the memory that its lead needs, onlySuspects is set if all servers
// that could receive it are suspect. c is a copy.
func (c *Core) exclusions(now core.Micros, w *Work, s *server, need int, onlySuspects bool) []Exclusion {
	var out []Exclusion
	add := func(applies bool, reason string, until core.Micros) {
		if applies {
			out = append(out, Exclusion{Reason: reason, UntilMs: ms(max(0, until-now))})
		}
	}
	add(s.Evacuated, ExcludedEvacuated, 0)
	add(s.Leaving || s.standing != nil && s.standing.leaving, ExcludedLeaving, 0)
	add(slices.Contains(w.Exclude, s.ID), ExcludedByRequest, 0)
	if s.standing != nil {
		p := s.standing.pause
		add(p.active(now), ExcludedPause, p.until)
		add(!p.active(now) && !p.admits(now), ExcludedProbe, 0)
	}
	limited := c.limitedAt(now, s)
	add(limited > now, ExcludedLimit, limited)
	if !c.coldAdmits(now, s, w) {
		add(true, ExcludedCold, c.coldAdmitsAt(now, s, w))
	}
	add(s.suspect(now) && !onlySuspects, ExcludedSuspect, s.suspectUntil)
	add(s.freeSlots() <= 0, ExcludedSlotsFull, 0)
	add(s.model != nil && s.freeMemory() < need, ExcludedMemory, 0)
	return out
}

// Copy returns a copy of the state that concerns a service. Steps of the copy do not change c. It has no standings of processes that
// are not listed, so that it serves only to decide about requests that arrive now. A new map, slice or pointer in Core or in what it
// holds must be copied here.
func (c *Core) Copy(name string) *Core {
	k := copier{
		servers: make(map[*server]*server, len(c.servers)), jobs: make(map[*job]*job, len(c.jobs)), standings: map[*standing]*standing{},
		spareJobs: make([]job, 0, len(c.jobs)),
	}
	out := *c
	out.out, out.ahead = nil, map[string]int{}
	out.servers, out.services, out.jobs, out.standings = map[string]*server{}, map[string]*service{}, make(map[uint64]*job, len(c.jobs)), standings{}
	for id, s := range c.servers {
		if s.Service == name {
			out.servers[id] = k.server(s)
		}
	}
	for id, j := range c.jobs {
		if j.service == name || j.lead.Service == name {
			out.jobs[id] = k.job(j)
		}
	}
	if svc := c.services[name]; svc != nil {
		copied := *svc
		copied.servers, copied.all = copyList(svc.servers, k.server), copyList(svc.all, k.server)
		copied.domains, copied.loads, copied.balancer = slices.Clone(svc.domains), slices.Clone(svc.loads), svc.balancer.Clone()
		copied.shares = svc.shares.Clone()
		out.services[name] = &copied
	}
	for _, st := range k.standings {
		out.standings[st.process] = st
	}
	out.waiting, out.prefillLoads = nil, nil
	for _, w := range c.waiting {
		if w.Service == name {
			out.waiting = append(out.waiting, copyOf(w))
		}
	}
	for _, l := range c.prefillLoads {
		if l.service == name {
			out.prefillLoads = append(out.prefillLoads, copyOf(l))
		}
	}
	out.wideQueue, out.peersWaiting = map[uint64]*queuedPrompt{}, map[uint64]*peerWaiting{}
	for id, q := range c.wideQueue {
		if q.service == name {
			out.wideQueue[id] = copyOf(q)
		}
	}
	for id, p := range c.peersWaiting {
		if p.service == name {
			out.peersWaiting[id] = copyOf(p)
		}
	}
	out.announcedWaiting, out.peersAsking = maps.Clone(c.announcedWaiting), maps.Clone(c.peersAsking)
	return &out
}

func copyOf[T any](p *T) *T {
	v := *p
	return &v
}

func copyList[T any](list []T, each func(T) T) []T {
	if len(list) == 0 {
		return nil
	}
	out := make([]T, len(list))
	for i, v := range list {
		out[i] = each(v)
	}
	return out
}

// copier copies servers and jobs, which refer to each other.
type copier struct {
	servers   map[*server]*server
	jobs      map[*job]*job
	standings map[*standing]*standing
	// spareJobs is memory for most of the jobs. Requests wait during a copy, and allocations take a part of it.
	spareJobs []job
}

func (k *copier) server(s *server) *server {
	if s == nil || k.servers[s] != nil {
		return k.servers[s]
	}
	out := copyOf(s)
	k.servers[s] = out
	out.jobs = copyList(s.jobs, k.job)
	out.prefills = copyList(s.prefills, func(p prefill) prefill {
		p.job = k.job(p.job)
		return p
	})
	if s.standing != nil {
		if k.standings[s.standing] == nil {
			k.standings[s.standing] = copyOf(s.standing)
		}
		out.standing = k.standings[s.standing]
	}
	return out
}

func (k *copier) job(j *job) *job {
	if j == nil || k.jobs[j] != nil {
		return k.jobs[j]
	}
	if len(k.spareJobs) == cap(k.spareJobs) {
		k.spareJobs = make([]job, 0, 64)
	}
	k.spareJobs = append(k.spareJobs, *j)
	out := &k.spareJobs[len(k.spareJobs)-1]
	k.jobs[j] = out
	out.lead = k.server(j.lead)
	out.reservations = copyList(j.reservations, func(r reservation) reservation {
		r.server = k.server(r.server)
		return r
	})
	return out
}
