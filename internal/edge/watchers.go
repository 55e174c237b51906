package edge

import (
	"encoding/json"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/neighbors"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/rendezvous"
)

// watcherCount is the number of daemons of a cell that watch the store for the others, in deployments of one cell, and
// largeWatcherCount that in others. There are several because some may be refused by the store or die at the same time.
const (
	watcherCount      = 4
	largeWatcherCount = 3
)

func (d *Daemon) severalCells() bool { return d.link.CellCount() > 1 }

func (d *Daemon) watcherCount() int {
	if d.severalCells() {
		return largeWatcherCount
	}
	return watcherCount
}

// isWatcher reports whether this daemon is a designated watcher: one of the daemons that rank first among
// those whose calls the store answers. A daemon with seeds that started less than startupPeriod ago does not count as a
// watcher while it knows no other live daemon.
func (d *Daemon) isWatcher() bool { return d.isAmongWatchers(d.watcherCount()) }

// isFirstWatcher reports whether this daemon ranks first among the designated watchers.
func (d *Daemon) isFirstWatcher() bool { return d.isAmongWatchers(1) }

// isAmongWatchers reports whether this daemon is one of the first count designated watchers.
func (d *Daemon) isAmongWatchers(count int) bool {
	candidates := d.link.LiveWithStore()
	if len(candidates) == 1 && len(d.settings.Seeds) > 0 && time.Since(d.start) < startupPeriod {
		return false
	}
	for _, name := range rendezvous.Top("watch", candidates, count) {
		if name == d.settings.Name {
			return true
		}
	}
	return false
}

// probesOutage reports whether this daemon is one of the daemons of its cell that call a failing store often,
// so that its return is noticed soon. The others hear of changes from them and call it seldom.
func (d *Daemon) probesOutage() bool {
	return slices.Contains(rendezvous.Top("watch", d.link.Live(), d.watcherCount()), d.settings.Name)
}

// storeFailing reports whether this daemon's last call to the store for the configuration or the servers failed.
func (d *Daemon) storeFailing() bool { return d.serverEntries.Failing() || d.config.Failing() }

// broadcastDelta returns a function that sends a change of a kind that this daemon read from the store to the neighbours.
func (d *Daemon) broadcastDelta(kind string) func(before uint64, w platform.Watch) {
	return func(before uint64, w platform.Watch) { d.sendDelta(kind, before, w) }
}

// sendDelta sends a change to the neighbours. They fetch one that is too large for a datagram, as they hear of its revision.
func (d *Daemon) sendDelta(kind string, before uint64, w platform.Watch) {
	delta := &carobstilev1.EdgeDelta{Kind: kind, Era: w.Era, Revision: w.Revision, FromDigest: before}
	for _, o := range w.Objects {
		data, err := json.Marshal(o)
		if err != nil {
			d.log.Warn("failed to encode change for neighbours", "kind", kind, "object", o.Name, "err", err)
			return
		}
		delta.Objects = append(delta.Objects, data)
	}
	if !neighbors.FitsDatagram(delta) {
		d.log.Info("change is too large for a datagram, neighbours fetch it", "kind", kind, "revision", w.Revision,
			"objects", len(w.Objects), "bytes", proto.Size(delta))
		d.link.Broadcast(true, func(p *carobstilev1.EdgePacket) {
			d.fillVersions(p)
			p.LargeChanges = append(p.LargeChanges, kind)
		})
		return
	}
	d.link.Broadcast(true, func(p *carobstilev1.EdgePacket) { p.Deltas = append(p.Deltas, delta) })
}

// applyDelta applies a change that a neighbour read from the store.
func (d *Daemon) applyDelta(delta *carobstilev1.EdgeDelta) {
	w := platform.Watch{Era: delta.GetEra(), Revision: delta.GetRevision(), Objects: d.decodeObjects(delta.GetObjects())}
	for _, f := range d.followers() {
		if f.Kind() == delta.GetKind() && (f != d.config || d.configCopy != nil) {
			f.ApplyChange(delta.GetFromDigest(), w)
		}
	}
}
