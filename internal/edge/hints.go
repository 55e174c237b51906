package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/neighbors"
)

// fetchDelay is how long a neighbour may be ahead before its copy is fetched. The store normally tells every daemon
// within a few milliseconds.
const fetchDelay = 200 * time.Millisecond

const (
	// meetAgain is when a daemon that starts asks a seed for the second time; daemons that started together have asked
	// one by then.
	meetAgain = time.Second
	// startQuiet is how long a daemon that starts and knows no other one yet leaves it to others to watch the servers'
	// entries. While a deployment starts all of them change, and every daemon would hear of each.
	startQuiet = 2 * time.Second
	// listedWithin is how long a daemon that starts waits for the store's lists, which take some milliseconds, before it
	// asks others for copies. A call to a store that is silent ends only after its timeout.
	listedWithin = 600 * time.Millisecond
)

var _ neighbors.Handler = (*Daemon)(nil)

// HandlePacket implements neighbors.Handler.
func (d *Daemon) HandlePacket(p *carobstilev1.EdgePacket, restarted bool) {
	now := d.now()
	peer := p.GetSender().GetName()
	if restarted {
		d.scheduler.Step(dispatch.PeerLost{Now: now, Peer: peer})
	}
	for _, j := range p.GetPlaced() {
		d.scheduler.Step(dispatch.PeerPlaced{Now: now, Peer: peer, Job: decodeJob(j)})
	}
	for _, id := range p.GetFirst() {
		d.scheduler.Step(dispatch.PeerFirst{Now: now, ID: id})
	}
	for _, id := range p.GetEnded() {
		d.scheduler.Step(dispatch.PeerEnded{Now: now, ID: id})
	}
	if p.GetSummary() {
		d.scheduler.Step(dispatch.PeerHolds{Now: now, Peer: peer, IDs: p.GetActive()})
	}
	for _, f := range p.GetFaults() {
		d.scheduler.Step(dispatch.ServerFailed{Now: now, Server: f.GetServer(), Fault: dispatch.Fault(f.GetFault())})
	}
	for _, r := range p.GetReports() {
		d.scheduler.Step(dispatch.ServerAlive{Now: now, Server: r.GetServer(), Pace: r.GetPace()})
	}
	for _, c := range p.GetCrashes() {
		d.crashed(c, false)
	}
	for _, delta := range p.GetDeltas() {
		d.adoptDelta(delta)
	}
	if len(d.behind(p)) > 0 {
		time.AfterFunc(fetchDelay, func() {
			if kinds := d.behind(p); len(kinds) > 0 {
				d.fetch(p.GetSender().GetServiceAddress(), kinds...)
			}
		})
	}
}

// behind returns the kinds of objects of which the sender knows a newer state.
func (d *Daemon) behind(p *carobstilev1.EdgePacket) []string {
	mine := &carobstilev1.EdgePacket{}
	d.versions(mine)
	var kinds []string
	if p.GetConfigVersion() > mine.GetConfigVersion() {
		kinds = append(kinds, KindConfig)
	}
	if p.GetServersRevision() > mine.GetServersRevision() && p.GetServersDigest() != mine.GetServersDigest() && !d.settling() {
		kinds = append(kinds, KindServers)
	}
	return kinds
}

// settling reports whether this daemon has just listed the servers itself. While a deployment starts their entries change
// all the time, and copies of neighbours would be outdated at once.
func (d *Daemon) settling() bool { return d.complete() && time.Since(d.start) < startQuiet }

// versions fills in what this daemon knows of the store.
func (d *Daemon) versions(p *carobstilev1.EdgePacket) {
	if table := d.table.Load(); table != nil {
		p.ConfigVersion = table.Version
	}
	p.StoreFailing = d.storeFailing()
	p.ServersRevision, p.ServersDigest = d.serversRevision.Load(), d.serversDigest.Load()
}

// FillSummary implements neighbors.Handler.
func (d *Daemon) FillSummary(p *carobstilev1.EdgePacket) {
	d.versions(p)
	d.scheduler.summary(p, d.joined.Swap(false))
}

// MemberJoined implements neighbors.Handler.
func (d *Daemon) MemberJoined(m *carobstilev1.EdgeMember) {
	d.joined.Store(true)
	d.log.Info("neighbour heard", "daemon", m.GetName(), "domain", m.GetFailureDomain())
}

// MemberAway implements neighbors.Handler. What a silent neighbour has committed may still run; it ends with its deadlines.
func (d *Daemon) MemberAway(m *carobstilev1.EdgeMember) {
	d.log.Info("neighbour away", "daemon", m.GetName(), "leaving", m.GetLeaving())
}

// fetchAtStart asks a seed for the other daemons, twice, so that they are known long before the store's list is read
// again; copies come from the store itself, as those for many daemons that start would overload the seeds. While the store
// gives none, all known daemons are asked for theirs until a configuration and the servers are known.
func (d *Daemon) fetchAtStart(ctx context.Context) {
	d.fetchFromAny(d.settings.Seeds)
	time.AfterFunc(meetAgain, func() { d.fetchFromAny(d.settings.Seeds) })
	ticker := time.NewTicker(fetchDelay)
	defer ticker.Stop()
	for !d.complete() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !d.config.Failing() && time.Since(d.start) < listedWithin {
			continue
		}
		for _, address := range d.addresses() {
			if d.complete() {
				return
			}
			d.fetch(address, KindConfig, KindServers)
		}
	}
}

// fetchFromAny asks seeds in random order until one answers.
func (d *Daemon) fetchFromAny(seeds []string) {
	for _, i := range rand.Perm(len(seeds)) {
		if seeds[i] != d.settings.ServiceAddress && d.fetch(seeds[i]) {
			return
		}
	}
}

// addresses returns service addresses of daemons that may be asked.
func (d *Daemon) addresses() []string {
	var out []string
	for _, seed := range d.settings.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil && seed != d.settings.ServiceAddress {
			out = append(out, address.String())
		}
	}
	for _, m := range d.link.Members() {
		if m.GetName() != d.settings.Name {
			out = append(out, m.GetServiceAddress())
		}
	}
	return out
}
