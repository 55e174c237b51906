package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/forward"
	"github.com/carobstile/carobstile/internal/reach"
	"github.com/carobstile/carobstile/internal/shell"
	"github.com/carobstile/carobstile/internal/upstream"
)

// reachInterval is how often a daemon decides whether it is cut off from the servers.
const reachInterval = 100 * time.Millisecond

// serverObserver is told of the way to servers.
type serverObserver interface {
	answered(server string)
	failed(server string, f dispatch.Fault)
	// CutOff reports whether the failures are those of the daemon's own links.
	CutOff() bool
}

// nobody is a serverObserver without effect.
type nobody struct{}

func (nobody) answered(string)               {}
func (nobody) failed(string, dispatch.Fault) {}
func (nobody) CutOff() bool                  { return false }

// relays decides whether this daemon is cut off from the servers, and chooses the neighbours that take its requests meanwhile
// (docs/design/cut-off-from-servers.md).
type relays struct {
	d *Daemon

	mu   sync.Mutex
	view *reach.View
	// open counts the requests that each neighbour has, by name. peers holds what each has last said.
	open  map[string]int
	peers map[string]relayPeer
	// answeredProbes holds when servers that this daemon does not use itself answered a probe for another daemon.
	answeredProbes map[string]core.Micros
	// probedForOthersAt is when servers were last probed for another daemon.
	probedForOthersAt core.Micros
}

type relayPeer struct {
	cutOff bool
	config int64
	// answeredAt is when the neighbour last answered a question; 0 if it has not.
	answeredAt core.Micros
}

var _ forward.Relays = (*relays)(nil)

func newRelays(d *Daemon) *relays {
	return &relays{
		d: d, view: reach.New(), open: map[string]int{}, peers: map[string]relayPeer{}, answeredProbes: map[string]core.Micros{},
	}
}

// Pick implements forward.Relays: of two random neighbours, the one that has fewer requests of this daemon.
func (r *relays) Pick(version int64, exclude []string) (forward.Neighbour, bool) {
	if !r.CutOff() {
		return forward.Neighbour{}, false
	}
	live := r.d.link.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	var own, others []forward.Neighbour
	for _, m := range r.d.link.Members() {
		p, known := r.peers[m.GetName()]
		heard := slices.Contains(live, m.GetName()) || p.answeredAt > 0 && r.d.now()-p.answeredAt <= answerTTL
		if !known || p.cutOff || p.config < version || !heard || slices.Contains(exclude, m.GetName()) {
			continue
		}
		n := forward.Neighbour{Name: m.GetName(), Address: m.GetServiceAddress(), Domain: m.GetFailureDomain()}
		if n.Domain == r.d.settings.FailureDomain {
			own = append(own, n)
		} else {
			others = append(others, n)
		}
	}
	if len(own) == 0 {
		own = others
	}
	if len(own) == 0 {
		return forward.Neighbour{}, false
	}
	n, other := own[rand.IntN(len(own))], own[rand.IntN(len(own))]
	if r.open[other.Name] < r.open[n.Name] {
		n = other
	}
	r.open[n.Name]++
	return n, true
}

// Done implements forward.Relays.
func (r *relays) Done(n forward.Neighbour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open[n.Name]--; r.open[n.Name] <= 0 {
		delete(r.open, n.Name)
	}
}

// CutOff implements forward.Relays.
func (r *relays) CutOff() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.CutOff()
}

// with calls f with the view of the servers.
func (r *relays) with(f func(now core.Micros, v *reach.View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.d.now(), r.view)
}

func (r *relays) opened(t upstream.Target) {
	r.with(func(now core.Micros, v *reach.View) { v.Opened(now, t.ID) })
}

func (r *relays) answered(server string) {
	r.with(func(now core.Micros, v *reach.View) { v.Answered(now, server) })
}

func (r *relays) failed(server string, f dispatch.Fault) {
	switch f {
	case dispatch.FaultUnreachable, dispatch.FaultStalled, dispatch.FaultBroken:
		r.with(func(now core.Micros, v *reach.View) { v.Failed(now, server, f != dispatch.FaultUnreachable) })
	case dispatch.FaultRefused, dispatch.FaultErrored, dispatch.FaultReplaced: // the server has answered
	}
}

// setServers sets the servers that are usable. Those that may get nothing new show nothing about the way to them.
func (r *relays) setServers(list []dispatch.Server) {
	ids := make([]string, 0, len(list))
	for _, s := range list {
		if !s.Leaving && !s.Evacuated {
			ids = append(ids, s.ID)
		}
	}
	known := map[string]bool{}
	for _, m := range r.d.link.Members() {
		known[m.GetName()] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.SetServers(ids)
	maps.DeleteFunc(r.peers, func(name string, _ relayPeer) bool { return !known[name] })
}

// heard applies what a neighbour says: whether it reaches the servers, and which have answered it.
func (r *relays) heard(p *carobstilev1.EdgePacket) {
	var reached []string
	for _, id := range p.GetFirst() {
		reached = append(reached, r.d.scheduler.lead(id))
	}
	for _, report := range p.GetReports() {
		reached = append(reached, report.GetServer())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, server := range reached {
		r.view.PeerReached(r.d.now(), server)
	}
	if p.GetCutOff() && p.GetSender().GetFailureDomain() == r.d.settings.FailureDomain {
		r.view.Hint(r.d.now())
	}
	if p.CutOff != nil {
		r.peers[p.GetSender().GetName()] = relayPeer{
			cutOff: p.GetCutOff(), config: p.GetConfigVersion(), answeredAt: r.peers[p.GetSender().GetName()].answeredAt,
		}
	}
}

// believes reports whether a neighbour's failures at servers say something about these: it reaches others.
func (r *relays) believes(peer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.peers[peer].cutOff
}

// fillSummary says whether this daemon is cut off.
func (r *relays) fillSummary(p *carobstilev1.EdgePacket) { p.CutOff = proto.Bool(r.CutOff()) }

// run decides periodically whether this daemon is cut off, and probes servers while it is.
func (r *relays) run(ctx context.Context) {
	shell.Every(ctx, reachInterval, func(ctx context.Context) {
		var change reach.Change
		var changed bool
		var probes, asks []string
		r.with(func(now core.Micros, v *reach.View) {
			change, changed = v.Update(now)
			probes, asks = v.Probes(now), v.Asks(now)
		})
		if changed {
			r.announce(change)
		}
		for _, id := range probes {
			go r.probe(ctx, id)
		}
		if len(asks) > 0 {
			r.ask(ctx, asks)
		}
	})
}

func (r *relays) announce(c reach.Change) {
	message := "servers are reached again"
	if c.CutOff {
		message = "cut off from the servers, requests are passed on"
	}
	r.d.log.Warn(message, "lost", c.Lost, "reached", c.Reached, "opened", c.Opened)
	r.d.link.Broadcast(true, func(p *carobstilev1.EdgePacket) {
		r.d.fillVersions(p)
		p.CutOff = proto.Bool(c.CutOff)
	})
}

// state returns whether this daemon is cut off and how many requests neighbours have of it.
func (r *relays) state() (cutOff bool, open int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.open {
		open += n
	}
	return r.view.CutOff(), open
}
