package edge

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/spread"
)

const (
	// configWatcherCount is the number of daemons of a cell that watch the configuration for the others. The second one costs as many
	// calls as the first, and bridges the time until the loss of the first one is noticed.
	configWatcherCount = 2
	// configStalenessShare is the share of the bound after which a daemon that has not heard that its copy is current asks the store.
	// The rest is for that call and one more.
	configStalenessShare = 0.6
	// configWatchShare is the mean wait of a watcher as a share of the bound. With its jitter each watcher answers within
	// configStalenessShare, so that the others do not ask the store.
	configWatchShare = 0.4
	// configCheckShare is the share of the bound after which a daemon that knows of a newer configuration, and has not got it from its
	// neighbours, asks the store.
	configCheckShare = 0.3
	// configBusyShare is the pause after a configuration that followed another one within a second. As the other daemons take the
	// change from the watcher, it is shorter than configBusyPause with bounds of a few seconds.
	configBusyShare = 0.1
	// outagePausePerDaemon times the number of daemons of a cell is the mean pause between the calls of one of them while the store fails.
	// Together they call ten times a second, besides those that probe the outage.
	outagePausePerDaemon = 100 * time.Millisecond
	// minLateConfirmBound is the bound below which confirmations do not wait for other datagrams, which takes up to 0.2 s.
	minLateConfirmBound = 1500 * time.Millisecond
)

// configCopy gets configurations from the neighbours, if the setting configBoundMS is above 0. Few daemons of a cell watch the
// configuration in the store. They confirm the copies of the others after each answer of the store, and send small changes with the
// datagram that announces them. Of a larger change each daemon gets the content from any daemon that has it. Daemons without a
// confirmation, or that stay behind, ask the store themselves. A nil *configCopy does nothing.
type configCopy struct {
	daemon *Daemon
	bound  time.Duration

	// current is the version of the copy, nil while there is none. It is atomic because the packets are also filled in by callbacks of the
	// follower.
	current atomic.Pointer[directory.Version]

	copies *copyFetcher
}

// newConfigCopy returns nil if the daemon does not rely on its neighbours for the configuration.
func newConfigCopy(d *Daemon) *configCopy {
	bound := d.settings.configBound()
	if bound <= 0 {
		return nil
	}
	c := &configCopy{daemon: d, bound: bound}
	c.copies = newCopyFetcher(d, KindConfig, c.version, c.isWatcher)
	c.copies.changesFollow = false // changes over a few kilobytes are not sent in datagrams
	c.copies.onSlow, c.copies.slowAfter = func() { d.config.RequestCheck() }, c.share(configCheckShare)
	return c
}

// followConfig returns the follower of the configuration.
func (d *Daemon) followConfig() *directory.Follower {
	o := directory.Options{
		Eras: d.eras, OnChange: d.configChanged, IsWatcher: d.isWatcher, ProbesOutage: d.probesOutage, LargeDeployment: d.severalCells,
		BusyPause: configBusyPause,
	}
	if c := d.configCopy; c != nil {
		o.IsWatcher, o.OutagePause = c.isWatcher, c.outagePause
		o.OnFailure = func() { d.link.Broadcast(true, d.fillVersions) }
		o.RelyOnNeighbors, o.MaxStaleness = true, c.share(configStalenessShare)
		o.ConfirmAnswers, o.OnConfirmed, o.OnRead = true, c.confirmNeighbors, c.sendSmallChange
		o.WatcherWait, o.BusyPause = c.watcherWait, min(configBusyPause, c.share(configBusyShare))
	}
	return directory.NewFollower(KindConfig, d.adapter.Store, d.log, o)
}

func (c *configCopy) share(of float64) time.Duration { return time.Duration(of * float64(c.bound)) }

// isWatcher reports whether this daemon watches the configuration for the others. While neighbours report that the store fails, only
// those that probe the outage do: otherwise the role, and a call that fails, would go through all daemons in turn.
func (c *configCopy) isWatcher() bool {
	return c.daemon.isAmongWatchers(configWatcherCount) && (!c.daemon.link.StoreFailsNeighbors() || c.daemon.probesOutage())
}

// outagePause returns the mean pause between calls of a daemon that does not probe an outage, or 0 if no neighbour reports one.
func (c *configCopy) outagePause() time.Duration {
	if !c.daemon.link.StoreFailsNeighbors() {
		return 0
	}
	return outagePausePerDaemon * time.Duration(len(c.daemon.link.Live()))
}

// watcherWait returns the mean wait of a watcher, or 0 if no other daemon relies on it: the usual wait then costs fewer calls.
func (c *configCopy) watcherWait() time.Duration {
	if len(c.daemon.link.Live()) <= configWatcherCount {
		return 0
	}
	return c.share(configWatchShare)
}

// confirmNeighbors sends the age of the store's answer with the next datagram.
func (c *configCopy) confirmNeighbors() {
	if c.bound < minLateConfirmBound {
		c.daemon.link.Broadcast(true, c.daemon.fillVersions)
		return
	}
	c.daemon.link.BroadcastLate(c.daemon.fillVersions)
}

// sendSmallChange sends a change that this daemon read from the store to the neighbours if it is small.
func (c *configCopy) sendSmallChange(before uint64, w platform.Watch) {
	bytes := 0
	for _, o := range w.Objects {
		bytes += len(o.Value)
	}
	if before == c.version().Digest || !spread.FitsDatagram(bytes, len(c.daemon.link.Live())-1) {
		return
	}
	c.daemon.sendDelta(KindConfig, before, w)
}

// changed records the version of a new copy. It is called while the follower is locked.
func (c *configCopy) changed(image directory.Image) {
	if c == nil {
		return
	}
	v := image.Version()
	c.current.Store(&v)
}

// version returns the version of the copy.
func (c *configCopy) version() directory.Version { return versionOf(&c.current) }

// knownVersion returns the version of the copy, the zero Version if there is none.
func (c *configCopy) knownVersion() directory.Version {
	if c == nil {
		return directory.Version{}
	}
	return c.version()
}

// versionOf returns the version of a copy, the zero Version if there is none.
func versionOf(v *atomic.Pointer[directory.Version]) directory.Version {
	if current := v.Load(); current != nil {
		return *current
	}
	return directory.Version{}
}

// fillVersions sets the version of this daemon's copy and the age of its confirmation by the store.
func (c *configCopy) fillVersions(p *carobstilev1.EdgePacket) {
	if c == nil || c.current.Load() == nil {
		return
	}
	if age, ok := c.daemon.config.ConfirmedAge(); ok { // read before the version, so that it is not younger than that
		p.ConfigConfirmedMicrosAgo = proto.Int64(int64(core.FromDuration(age)))
	}
	v := c.version()
	p.ConfigEra, p.ConfigRevision, p.ConfigDigest = v.Era, v.Revision, v.Digest
}

func configVersionOf(p *carobstilev1.EdgePacket) directory.Version {
	return directory.Version{Era: p.GetConfigEra(), Revision: p.GetConfigRevision(), Digest: p.GetConfigDigest()}
}

// compares reports whether the copies of this daemon and a packet's sender are compared by their versions in the store. Otherwise the versions of
// the configurations in force are compared.
func (c *configCopy) compares(p *carobstilev1.EdgePacket) bool {
	return c != nil && c.current.Load() != nil && p.GetConfigRevision() > 0
}

// heard applies a neighbour's confirmation, and starts to get its copy if that is newer.
func (c *configCopy) heard(p *carobstilev1.EdgePacket) {
	if !c.compares(p) {
		return
	}
	if p.ConfigConfirmedMicrosAgo != nil {
		age := core.Micros(p.GetConfigConfirmedMicrosAgo()).Duration()
		c.daemon.config.Confirm(configVersionOf(p), age)
	}
	c.copies.heard(p, configVersionOf(p))
}
