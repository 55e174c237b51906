package edge

import (
	"encoding/json"
	"time"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/rendezvous"
)

// watchers is how many daemons of a cell watch the store for the others. Several may be turned away or die at once.
const watchers = 4

// onDuty reports whether this daemon is one of those that watch the store: the first ones by rank that the store does
// not turn away. One that has just started and should soon know others is not.
func (d *Daemon) onDuty() bool {
	serving := d.link.LiveWithStore()
	if len(serving) == 1 && len(d.settings.Seeds) > 0 && time.Since(d.start) < startQuiet {
		return false
	}
	for _, name := range rendezvous.Top("watch", serving, watchers) {
		if name == d.settings.Name {
			return true
		}
	}
	return false
}

// storeFailing reports whether the store turns this daemon away.
func (d *Daemon) storeFailing() bool { return d.entries.Failing() || d.config.Failing() }

// entriesRead tells the neighbours of a change that this daemon has read.
func (d *Daemon) entriesRead(before uint64, w platform.Watch) {
	delta := &carobstilev1.EdgeDelta{Kind: KindServers, Revision: w.Revision, FromDigest: before}
	for _, o := range w.Objects {
		data, err := json.Marshal(o)
		if err != nil {
			d.log.Warn("change not passed on", "server", o.Name, "err", err)
			return
		}
		delta.Objects = append(delta.Objects, data)
	}
	d.link.Broadcast(true, func(p *carobstilev1.EdgePacket) { p.Deltas = append(p.Deltas, delta) })
}

// adoptDelta applies a change that a neighbour has read.
func (d *Daemon) adoptDelta(delta *carobstilev1.EdgeDelta) {
	w := platform.Watch{Revision: delta.GetRevision()}
	for _, data := range delta.GetObjects() {
		var o platform.Object
		if err := json.Unmarshal(data, &o); err != nil {
			d.log.Warn("change of a neighbour not understood", "err", err)
			return
		}
		w.Objects = append(w.Objects, o)
	}
	if delta.GetKind() == KindServers {
		d.entries.ApplyChange(delta.GetFromDigest(), w)
	}
}
