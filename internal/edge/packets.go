package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/neighbors"
)

// fetchDelay is how long a neighbour's copy may be newer before it is fetched. Normally a change reaches every daemon
// from the store, or from a neighbour in a datagram, within a few milliseconds.
const fetchDelay = 200 * time.Millisecond

const (
	// seedWait is how long readiness waits for a seed at most: the time of one fetch, so that seeds that do not answer delay a start
	// by no more.
	seedWait = fetchTimeout
	// startupFetchDelay replaces fetchDelay while the daemon starts up.
	startupFetchDelay = 800 * time.Millisecond
	// secondSeedDelay is the delay of a starting daemon's second fetch from a seed. Daemons that started together have
	// reached a seed by then.
	secondSeedDelay = time.Second
	// startupPeriod is how long a starting daemon that knows no other daemon does not become a designated watcher.
	// While a deployment starts, all servers' entries change; without this delay every daemon would watch and receive
	// each change.
	startupPeriod = 2 * time.Second
	// initialListWait is how long a starting daemon waits for the store's lists, which normally take some milliseconds,
	// before it fetches copies from other daemons. A call to a store that does not answer only ends at its timeout.
	initialListWait = 600 * time.Millisecond
)

var _ neighbors.Handler = (*Daemon)(nil)

// HandlePacket implements neighbors.Handler.
func (d *Daemon) HandlePacket(p *carobstilev1.EdgePacket, restarted bool) {
	now := d.now()
	peer := p.GetSender().GetName()
	if restarted {
		d.scheduler.Step(dispatch.PeerRestarted{Now: now, Peer: peer})
	}
	d.eras.Meet(max(p.GetServersEra(), p.GetEvacuationsEra(), p.GetConfigEra()), peer)
	d.relays.heard(p) // before the ends of jobs, which say which servers were reached
	for _, q := range p.GetQueued() {
		d.scheduler.Step(dispatch.PeerQueued{Now: now, Peer: peer, Queued: decodeQueued(q)})
	}
	for _, w := range p.GetWaiting() {
		d.scheduler.Step(dispatch.PeerWaiting{Now: now, Peer: peer, Waiting: decodeWaiting(w)})
	}
	for _, j := range p.GetPlaced() {
		d.scheduler.Step(dispatch.PeerPlaced{Now: now, Peer: peer, Job: decodeJob(j)})
	}
	for _, id := range p.GetFirst() {
		d.scheduler.Step(dispatch.PeerFirst{Now: now, ID: id, Late: slices.Contains(p.GetFirstLate(), id)})
	}
	for _, id := range p.GetEnded() {
		d.scheduler.Step(dispatch.PeerEnded{Now: now, ID: id})
	}
	if p.GetSummary() {
		d.scheduler.Step(dispatch.PeerJobs{Now: now, Peer: peer, IDs: p.GetActive()})
	}
	for _, f := range p.GetFaults() {
		if !d.relays.believes(peer) {
			break
		}
		d.scheduler.Step(dispatch.ServerFailed{Now: now, Server: f.GetServer(), Fault: dispatch.Fault(f.GetFault())})
	}
	d.scheduler.recordLeaving(p.GetLeaving())
	d.scheduler.recordLimits(p.GetLimits())
	d.scheduler.recordColds(p.GetColds())
	for _, r := range p.GetReports() {
		d.scheduler.Step(dispatch.ServerAlive{Now: now, Server: r.GetServer(), Slowdown: r.GetPace()})
	}
	d.crashes.recordPeer(p.GetCrashes(), p.GetSound(), p.GetCompleted(), p.GetVerdicts())
	for _, delta := range p.GetDeltas() {
		d.applyDelta(delta)
	}
	servers := directory.Version{Era: p.GetServersEra(), Revision: p.GetServersRevision(), Digest: p.GetServersDigest()}
	if p.ServersConfirmedMicrosAgo != nil {
		d.serverEntries.Confirm(servers, core.Micros(p.GetServersConfirmedMicrosAgo()).Duration())
	}
	d.serverCopies.heard(p, servers)
	d.evacuations.heard(p)
	d.configCopy.heard(p)
	if d.configOutdated(p) {
		d.scheduleConfigFetch(p)
	}
}

// scheduleConfigFetch fetches the sender's configuration if it is still newer after a delay. Only one fetch is scheduled at a time.
func (d *Daemon) scheduleConfigFetch(p *carobstilev1.EdgePacket) {
	if !d.fetchScheduled.CompareAndSwap(false, true) {
		return
	}
	delay := fetchDelay
	if d.startingUp() {
		delay = startupFetchDelay
	}
	time.AfterFunc(delay, func() {
		d.fetchScheduled.Store(false)
		if d.configOutdated(p) {
			d.fetch(p.GetSender().GetServiceAddress(), KindConfig)
		}
	})
}

// configOutdated reports whether the sender has a newer configuration in force, if the store does not hold that one or the sender does not
// compare copies by their versions in the store with this daemon.
func (d *Daemon) configOutdated(p *carobstilev1.EdgePacket) bool {
	own := int64(0)
	if table := d.table.Load(); table != nil {
		own = table.Version
	}
	if p.GetConfigHeld() {
		return d.inForce.lacks(p.GetConfigVersion())
	}
	return p.GetConfigVersion() > own && !d.configCopy.compares(p)
}

// serversVersion returns the version of this daemon's copy of the servers' entries.
func (d *Daemon) serversVersion() directory.Version { return versionOf(&d.serversCurrent) }

// startingUp reports whether this daemon is initialized but started less than startupPeriod ago, and the store answers
// it. While a deployment starts, the servers' entries change continuously and neighbours' copies are outdated at once.
// A daemon that the store refuses has no other source of changes than its neighbours.
func (d *Daemon) startingUp() bool {
	return d.initialized() && time.Since(d.start) < startupPeriod && !d.storeFailing()
}

// fillVersions sets the versions of this daemon's copies of the store.
func (d *Daemon) fillVersions(p *carobstilev1.EdgePacket) {
	if table := d.table.Load(); table != nil {
		p.ConfigVersion = table.Version
	}
	p.StoreFailing = d.storeFailing()
	if age, ok := d.serverEntries.ConfirmedAge(); ok { // read before the version, so that it is not younger than that
		p.ServersConfirmedMicrosAgo = proto.Int64(int64(core.FromDuration(age)))
	}
	servers := d.serversVersion()
	p.ServersEra, p.ServersRevision, p.ServersDigest = servers.Era, servers.Revision, servers.Digest
	p.ConfigHeld = d.inForce.isHeld()
	d.evacuations.fillVersions(p)
	d.configCopy.fillVersions(p)
}

// FillSummary implements neighbors.Handler.
func (d *Daemon) FillSummary(p *carobstilev1.EdgePacket) {
	d.fillVersions(p)
	d.relays.fillSummary(p)
	d.scheduler.fillSummary(p, d.fullSummaryDue.Swap(false))
	p.Verdicts = d.crashes.encodeVerdicts(maxSummaryTraits)
}

// MemberJoined implements neighbors.Handler.
func (d *Daemon) MemberJoined(m *carobstilev1.EdgeMember) {
	d.fullSummaryDue.Store(true)
	d.log.Info("neighbour heard", "daemon", m.GetName(), "domain", m.GetFailureDomain())
}

// MemberAway implements neighbors.Handler. Jobs that a silent neighbour has committed may still run; they end at their
// deadlines.
func (d *Daemon) MemberAway(m *carobstilev1.EdgeMember) {
	d.log.Info("neighbour away", "daemon", m.GetName(), "leaving", m.GetLeaving())
}

// bootstrap fetches the list of daemons from a seed, twice, so that they are known long before the store's list is read
// again. The copies of configuration and servers come from the store itself, as serving them to many starting daemons would
// overload the seeds. If the last call for the configuration or the evacuations failed or initialListWait has passed, copies are
// fetched from all known daemons until there is a configuration and a list of servers, and the evacuations are known.
func (d *Daemon) bootstrap(ctx context.Context) {
	d.fetchFromSeed(d.settings.Seeds, KindEvacuations)
	close(d.seedAsked)
	time.AfterFunc(secondSeedDelay, func() { d.fetchFromSeed(d.settings.Seeds) })
	ticker := time.NewTicker(fetchDelay)
	defer ticker.Stop()
	for !d.initialized() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !d.config.Failing() && !d.evacuations.failing() && time.Since(d.start) < initialListWait {
			continue
		}
		for _, address := range d.peerAddresses() {
			if d.initialized() {
				return
			}
			d.fetch(address, KindConfig, KindServers, KindEvacuations)
		}
	}
}

// fetchFromSeed fetches the list of daemons and copies of kinds from seeds in random order until one answers.
func (d *Daemon) fetchFromSeed(seeds []string, kinds ...string) {
	for _, i := range rand.Perm(len(seeds)) {
		if seeds[i] != d.settings.ServiceAddress && d.fetch(seeds[i], kinds...) {
			return
		}
	}
}

// peerAddresses returns the service addresses of the seeds and of all other known daemons.
func (d *Daemon) peerAddresses() []string {
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
