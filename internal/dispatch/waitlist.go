package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// waitLease is how long a peer's waiting request counts after it was announced.
const waitLease = 600 * core.Millisecond

// firstEventPasses is the usual time from the placement of a short prompt until its first event, in passes of a full engine: the rest
// of a pass, the one that reads the prompt, and what else is read in both.
const firstEventPasses = 3.5

// When engines are short, requests wait at many daemons, and all of these see the same engine become free. Daemons therefore announce
// the requests that they could not place at once. They are ordered alike by all daemons, and a request leaves as many of the best
// engines to others as there are requests before it. Without this, up to twenty requests were sent to one free place within five
// milliseconds, while other engines had places. The list is a hint: a request that is missing from it, or that stays on it for too
// long, makes choices worse, and no request waits for it beyond its usual time.

// Waiting is a request that has not been placed yet, as announced between daemons.
type Waiting struct {
	ID      uint64
	Service string
	Rank    int
	// MaxPause is the longest pause between events that meets the request's target.
	MaxPause core.Micros
	// DueIn is the remaining time until the first event is due.
	DueIn     core.Micros
	Workspace uint64 `json:",omitempty"`
	// Prompt and Answer are lengths in tokens, by which peers count what the workspace asks for; 0 for requests without one.
	Prompt int `json:",omitempty"`
	Answer int `json:",omitempty"`
	// Fingerprint is that of the request, by which peers count it once if it is refused several times.
	Fingerprint uint64 `json:",omitempty"`
}

// peerWaiting is a waiting request of a peer.
type peerWaiting struct {
	peer      string
	service   string
	id        uint64
	rank      int
	maxPause  core.Micros
	due       core.Micros
	lapses    core.Micros
	workspace uint64
}

// askingLease is how long a peer's waiting request counts as demand of its workspace if nothing is heard of it; no request waits
// longer.
const askingLease = 15 * core.Second

// announceWaiting informs the peers, once, that a request of this daemon waits for an engine.
func (c *Core) announceWaiting(now core.Micros, w *Work, svc *service) {
	svc.withdrawRefusal(now, w.Workspace, w.Fingerprint)
	if svc.Model == nil || c.daemons < 2 || c.announcedWaiting[w.ID] {
		return
	}
	c.announcedWaiting[w.ID] = true
	waiting := Waiting{
		ID: w.ID, Service: w.Service, Rank: w.Rank, MaxPause: w.MaxPause, DueIn: w.FirstEventDue - now, Workspace: w.Workspace,
	}
	if w.Workspace != 0 {
		waiting.Prompt, waiting.Answer, waiting.Fingerprint = w.Prompt, w.Answer, w.Fingerprint
	}
	c.emit(AnnounceWaiting{Waiting: waiting})
}

// stopWaiting removes a request of this daemon from the lists of the peers, unless the announcement of its job does.
func (c *Core) stopWaiting(id uint64, placed bool) {
	if !c.announcedWaiting[id] {
		return
	}
	delete(c.announcedWaiting, id)
	if !placed {
		c.emit(AnnounceEnd{ID: id})
	}
}

func (c *Core) peerWaits(e PeerWaiting) {
	if c.services[e.Waiting.Service] == nil || c.jobs[e.Waiting.ID] != nil {
		return
	}
	c.services[e.Waiting.Service].recordWait(e.Now)
	c.services[e.Waiting.Service].withdrawRefusal(e.Now, e.Waiting.Workspace, e.Waiting.Fingerprint)
	c.peersAsking[e.Waiting.ID] = asking{
		peer: e.Peer, service: e.Waiting.Service, workspace: e.Waiting.Workspace, prompt: e.Waiting.Prompt, answer: e.Waiting.Answer,
		fingerprint: e.Waiting.Fingerprint, lapses: e.Now + askingLease,
	}
	c.peersWaiting[e.Waiting.ID] = &peerWaiting{
		peer: e.Peer, service: e.Waiting.Service, id: e.Waiting.ID, rank: e.Waiting.Rank, maxPause: e.Waiting.MaxPause,
		due: e.Now + e.Waiting.DueIn, lapses: e.Now + waitLease,
		workspace: e.Waiting.Workspace,
	}
}

// usesCommonOrder reports whether a request compares engines like those of other daemons that wait, so that each can leave the best
// ones to those before it.
func (c *Core) usesCommonOrder(w *Work) bool {
	return c.announcedWaiting[w.ID] && w.MaxPause <= c.services[w.Service].shortestPause
}

// dropWaiting removes the waiting requests of a peer that has restarted.
func (c *Core) dropWaiting(peer string) {
	maps.DeleteFunc(c.peersWaiting, func(_ uint64, p *peerWaiting) bool { return p.peer == peer })
	maps.DeleteFunc(c.peersAsking, func(_ uint64, a asking) bool { return a.peer == peer })
}

// peersBefore returns the number of waiting requests of peers that come before a request with the shortest pauses, and have the same
// target. Requests with longer pauses wait for engines with less to do; each of them looks at other engines.
func (c *Core) peersBefore(now core.Micros, w *Work) int {
	svc := c.services[w.Service]
	if len(c.peersWaiting) == 0 || w.MaxPause > svc.shortestPause {
		return 0
	}
	own := newWaitKey(now, svc, w.Rank, w.Workspace, w.FirstEventDue, w.ID)
	count := 0
	for id, p := range c.peersWaiting {
		if p.lapses <= now {
			delete(c.peersWaiting, id)
			continue
		}
		if p.service == w.Service && p.maxPause == w.MaxPause && newWaitKey(now, svc, p.rank, p.workspace, p.due, p.id).compare(own) < 0 {
			count++
		}
	}
	return count
}

// waitKey orders waiting requests, alike on all daemons.
type waitKey struct {
	rank int
	// tooLate is set if the first event will be late on whatever engine.
	tooLate bool
	// due is later for a workspace above its share, and earlier for one below it.
	due core.Micros
	id  uint64
}

// newWaitKey returns the key of a request for a service. Requests that can still be on time go first: if there are more requests
// than engines can serve, an order by due time alone makes all of them late. Among these, and among the others, the share of the
// workspace shifts the due time: requests of the same urgency are ordered by it, and a long prompt that is due in seconds does not go
// before a short one.
func newWaitKey(now core.Micros, svc *service, rank int, workspace uint64, due core.Micros, id uint64) waitKey {
	return waitKey{
		rank: rank, tooLate: due-now < svc.firstEventTime(), due: due + core.Micros(svc.shareClass(now, workspace))*shareShift, id: id,
	}
}

func (c *Core) waitKey(now core.Micros, w *Work) waitKey {
	return newWaitKey(now, c.services[w.Service], w.Rank, w.Workspace, w.FirstEventDue, w.ID)
}

func (k waitKey) compare(other waitKey) int {
	late := 0
	switch {
	case k.tooLate && !other.tooLate:
		late = 1
	case other.tooLate && !k.tooLate:
		late = -1
	}
	return cmp.Or(cmp.Compare(k.rank, other.rank), late, cmp.Compare(k.due, other.due), cmp.Compare(k.id, other.id))
}

// firstEventTime returns usualFirstEvent as of the last evaluation of the waiting requests.
func (s *service) firstEventTime() core.Micros {
	if s == nil {
		return 0
	}
	return s.usualTime
}

// usualFirstEvent returns the usual time from the placement of a short prompt on an engine until its first event; 0 for services
// without a cost model, and for those whose servers name limits: there requests come in the order of their due times, as the
// times to return say.
func (s *service) usualFirstEvent() core.Micros {
	if s.Model == nil || slices.ContainsFunc(s.servers, (*server).limited) {
		return 0
	}
	return micros(firstEventPasses * s.Model.PassMs(s.Model.Slots, 0))
}

// someoneWaits reports whether a request of any daemon waits for an engine of a service.
func (c *Core) someoneWaits(service string) bool {
	for _, p := range c.peersWaiting {
		if p.service == service {
			return true
		}
	}
	for _, w := range c.waiting {
		if w.Service == service {
			return true
		}
	}
	return false
}
