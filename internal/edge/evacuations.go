package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/routing"
)

const (
	// evacuationStalenessShare is the share of the bound after which a daemon that has not heard that its copy of the evacuations
	// is current asks the store. The rest is for that call, one more attempt, and requests that have been placed already.
	evacuationStalenessShare = 0.4
	// evacuationWatchShare is the mean wait of the watcher as a share of the bound. With its jitter the watcher's answers come often
	// enough that the others do not ask the store, and each of its watches costs one call.
	evacuationWatchShare = 0.25
	// evacuationEndTTL is how long the end of an evacuation is kept to derive cold times. Servers are cold for some seconds.
	evacuationEndTTL = core.Hour
	// restoredEvacuationTTL is how long an evacuation that a restored store lacks stays in force without having been written again.
	restoredEvacuationTTL = 10 * core.Second
	// seedCopyWait is how long a starting daemon waits for the copy of a seed before it lists the evacuations itself.
	seedCopyWait = 200 * time.Millisecond
)

// evacuations holds the failure domains that the operator has evacuated. The object of a domain in the store is in force until it
// no longer exists, whatever its content, also while it is marked for deletion. A nil *evacuations reads none: its methods report
// that everything is known and nothing evacuated.
//
// One daemon of the cell, the first of those that watch the servers, watches the store; each of its answers confirms the copies of
// the others, and changes are sent to them at once. A daemon without a confirmation lists the kind itself.
type evacuations struct {
	daemon   *Daemon
	follower *directory.Follower
	copies   *copyFetcher

	// current is the version of the copy, nil while there is none. It is atomic because the packets are also filled in by callbacks of the
	// follower.
	current atomic.Pointer[directory.Version]

	mu sync.Mutex
	// domains holds the evacuated failure domains; the value is set if it was logged that no server of the domain is known.
	domains map[string]bool
	// ends holds the times at which this daemon learned that evacuations had ended.
	ends map[string]core.Micros
	// era is that of the copy. keptUntil holds the evacuations that the copy lacks since the store was restored from an older copy, and how
	// long they stay in force without having been written again.
	era       uint64
	keptUntil map[string]core.Micros
}

func newEvacuations(d *Daemon) *evacuations {
	e := &evacuations{daemon: d, domains: map[string]bool{}, ends: map[string]core.Micros{}, keptUntil: map[string]core.Micros{}}
	e.copies = newCopyFetcher(d, KindEvacuations, e.version, d.isFirstWatcher)
	bound := d.settings.evacuationBound()
	e.follower = directory.NewFollower(KindEvacuations, d.adapter.Store, d.log, directory.Options{
		Eras: d.eras, OnChange: e.changed, OnRead: d.broadcastDelta(KindEvacuations), IsWatcher: d.isFirstWatcher, ProbesOutage: d.probesOutage,
		RelyOnNeighbors: true, MaxStaleness: time.Duration(evacuationStalenessShare * float64(bound)),
		OnConfirmed: func() { d.link.Broadcast(true, d.fillVersions) },
		RareChanges: true, WatchWait: time.Duration(evacuationWatchShare * float64(bound)),
	})
	return e
}

// run keeps the copy up to date until ctx ends. The copy of a seed saves the call for the first list.
func (e *evacuations) run(ctx context.Context) {
	select {
	case <-e.daemon.seedAsked:
	case <-ctx.Done():
	case <-time.After(seedCopyWait):
	}
	e.follower.Run(ctx)
}

// followers returns the followers of all kinds that this daemon reads.
func (d *Daemon) followers() []*directory.Follower {
	out := []*directory.Follower{d.config, d.serverEntries}
	if d.evacuations != nil {
		out = append(out, d.evacuations.follower)
	}
	return out
}

// follower returns the follower of a kind that this daemon reads.
func (d *Daemon) follower(kind string) *directory.Follower {
	i := slices.IndexFunc(d.followers(), func(f *directory.Follower) bool { return f.Kind() == kind })
	return d.followers()[i]
}

// changed applies a new copy. It is called while the follower is locked.
func (e *evacuations) changed(image directory.Image, _ bool) {
	v := image.Version()
	if old := e.current.Load(); old != nil && old.Era == v.Era && old.Digest == v.Digest {
		e.current.Store(&v)
		return // a list without a change
	}
	e.apply(image)
	e.current.Store(&v) // after the domains are applied: nothing is forwarded before they are known
	e.daemon.updateServers()
	e.daemon.link.Broadcast(true, e.daemon.fillVersions)
}

// apply replaces the evacuated domains by those of an image, and logs the differences.
func (e *evacuations) apply(image directory.Image) {
	now := e.daemon.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.ends, func(_ string, end core.Micros) bool { return end+evacuationEndTTL <= now })
	e.keepMissing(now, image)
	for domain := range e.domains {
		_, kept := e.keptUntil[domain]
		if _, ok := image.Objects[domain]; !ok && !kept {
			e.end(now, domain, image.Revision)
		}
	}
	for domain, o := range image.Objects {
		delete(e.keptUntil, domain)
		if _, ok := e.domains[domain]; !ok {
			e.domains[domain] = false
			delete(e.ends, domain)
			e.daemon.log.Info("evacuation in force", "domain", domain, "revision", o.Version)
		}
	}
}

// keepMissing keeps the evacuations in force that the first copy of a later era lacks: the operator may have written them after the copy
// from which the store was restored, and writes them again. The caller holds mu.
func (e *evacuations) keepMissing(now core.Micros, image directory.Image) {
	if image.Era > e.era && e.era != 0 {
		for domain := range e.domains {
			if _, ok := image.Objects[domain]; !ok {
				e.keptUntil[domain] = now + restoredEvacuationTTL
				e.daemon.log.Warn("restored store lacks an evacuation, it stays in force for some time", "domain", domain, "era", image.Era,
					"for_ms", restoredEvacuationTTL/core.Millisecond)
			}
		}
	}
	e.era = max(e.era, image.Era)
}

// end ends an evacuation. The caller holds mu.
func (e *evacuations) end(now core.Micros, domain string, revision uint64) {
	delete(e.domains, domain)
	e.ends[domain] = now
	e.daemon.log.Info("evacuation ended", "domain", domain, "revision", revision)
}

// expire ends the evacuations that were kept for a restored store and have not been written again. It reports whether there were any.
func (e *evacuations) expire(now core.Micros) bool {
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	expired := false
	for domain, until := range e.keptUntil {
		if now < until {
			continue
		}
		delete(e.keptUntil, domain)
		e.end(now, domain, e.version().Revision)
		expired = true
	}
	return expired
}

// known reports whether this daemon knows which domains are evacuated. Before that it forwards nothing.
func (e *evacuations) known() bool { return e == nil || e.current.Load() != nil }

// failing reports whether the last call to the store failed.
func (e *evacuations) failing() bool { return e != nil && e.follower.Failing() }

// mark marks the servers of evacuated domains, and as cold those of domains whose evacuation has ended: they may have become cold
// unnoticed. list holds all servers.
func (e *evacuations) mark(now core.Micros, list []dispatch.Server, table *routing.Table) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range list {
		s := &list[i]
		_, s.Evacuated = e.domains[s.Domain]
		if end, ended := e.ends[s.Domain]; ended && table != nil {
			if service := table.Service(s.Service); service != nil {
				s.ColdFor = max(s.ColdFor, end+core.FromDuration(service.ColdStart)-now)
			}
		}
	}
	for domain, logged := range e.domains {
		if logged || len(list) == 0 || slices.ContainsFunc(list, func(s dispatch.Server) bool { return s.Domain == domain }) {
			continue
		}
		e.domains[domain] = true
		e.daemon.log.Warn("evacuation names a failure domain without known servers", "domain", domain)
	}
}

// fillVersions sets the version of this daemon's copy and the age of its confirmation by the store.
func (e *evacuations) fillVersions(p *carobstilev1.EdgePacket) {
	if e == nil || e.current.Load() == nil {
		return
	}
	if age, ok := e.follower.ConfirmedAge(); ok { // read before the version, so that it is not younger than that
		p.EvacuationsConfirmedMicrosAgo = proto.Int64(int64(core.FromDuration(age)))
	}
	v := e.version()
	p.EvacuationsEra, p.EvacuationsRevision, p.EvacuationsDigest = v.Era, v.Revision, v.Digest
}

// version returns the version of this daemon's copy.
func (e *evacuations) version() directory.Version {
	if e.current.Load() == nil {
		return unknownVersion
	}
	return versionOf(&e.current)
}

// knownVersion returns the version of the copy, the zero Version if there is none.
func (e *evacuations) knownVersion() directory.Version {
	if e == nil {
		return directory.Version{}
	}
	return versionOf(&e.current)
}

// heard applies a neighbour's confirmation, and starts to get its copy if that is newer.
func (e *evacuations) heard(p *carobstilev1.EdgePacket) {
	if e == nil {
		return
	}
	v := directory.Version{Era: p.GetEvacuationsEra(), Revision: p.GetEvacuationsRevision(), Digest: p.GetEvacuationsDigest()}
	if p.EvacuationsConfirmedMicrosAgo != nil {
		e.follower.Confirm(v, core.Micros(p.GetEvacuationsConfirmedMicrosAgo()).Duration())
	}
	e.copies.heard(p, v)
}

// countEvacuated returns the numbers of evacuated domains and of their servers.
func (d *Daemon) countEvacuated() (domains, servers int) {
	e := d.evacuations
	if e == nil {
		return 0, 0
	}
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range d.servers.servers {
		if _, ok := e.domains[s.Domain]; ok {
			servers++
		}
	}
	return len(e.domains), servers
}
