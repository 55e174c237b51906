package edge

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/forward"
	"github.com/carobstile/carobstile/internal/neighbors"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/retrybudget"
	"github.com/carobstile/carobstile/internal/routing"
	"github.com/carobstile/carobstile/internal/shell"
	"github.com/carobstile/carobstile/internal/telemetry"
	"github.com/carobstile/carobstile/internal/upstream"
)

const (
	// connsPerSlot is the number of connections per slot of a server that are left to running and waiting requests.
	connsPerSlot = 2
	// configBusyPause is the pause after a configuration that followed another one within a second. A configuration has to be in force
	// two seconds after the store confirmed it, and the call that reads it can take several hundred milliseconds.
	configBusyPause = 600 * time.Millisecond
	// housekeepingInterval is how often idle connections and expired entries are checked.
	housekeepingInterval = 250 * time.Millisecond
)

// Daemon is one carobedge process.
type Daemon struct {
	settings *Settings
	// latestSettings are the settings last loaded. Only some of them apply while the process runs.
	latestSettings atomic.Pointer[Settings]
	adapter        Adapter
	log            *slog.Logger
	start          time.Time
	bootID         uint64
	table          atomic.Pointer[routing.Table]
	scheduler      *scheduler
	link           *neighbors.Link
	handler        *forward.Handler
	pool           *upstream.Pool
	budget         *retrybudget.Budget
	sharers        *sharers
	relays         *relays
	crashes        *crashTracker
	config         *directory.Follower
	serverEntries  *directory.Follower
	serverCopies   *copyFetcher
	configCopy     *configCopy  // nil if the configuration does not come from neighbours
	evacuations    *evacuations // nil if evacuations are not read
	metrics        *telemetry.Metrics

	// updateMu is held from the reading of the servers and evacuations until dispatch has them, so that no older state replaces a newer
	// one. It is locked before serversMu.
	updateMu sync.Mutex

	serversMu       sync.Mutex
	servers         *serverList
	engineSlowdowns map[string]float64
	serversListed   bool

	// serversCurrent is the version of this daemon's image of the servers, nil before the first one.
	serversCurrent atomic.Pointer[directory.Version]
	// eras holds the latest era of the store that this daemon has met.
	eras *directory.Eras
	// inForce decides which configuration applies. configMu is held from that decision until the configuration applies.
	configMu sync.Mutex
	inForce  configInForce
	// fullSummaryDue is set when a neighbour has joined and needs the details of all jobs.
	fullSummaryDue atomic.Bool
	// seedAsked is closed when the first fetch from a seed has ended.
	seedAsked      chan struct{}
	fetching       atomic.Bool
	fetchScheduled atomic.Bool
	draining       atomic.Bool
	drained        chan struct{}
	restores       tally.Counter
	// verdictsLoaded is set once the verdicts in the store have been read.
	verdictsLoaded atomic.Bool
	// ownEntryMu serializes the writes and the removal of this daemon's entry in the store.
	ownEntryMu sync.Mutex
}

// Start adds the actors of a daemon to the environment of its process.
func Start(s *Settings, env *app.Env, a Adapter) error {
	d := &Daemon{
		settings: s, adapter: a, log: env.Log, start: time.Now(), bootID: rand.Uint64(), pool: upstream.NewPool(),
		engineSlowdowns: map[string]float64{}, drained: make(chan struct{}), seedAsked: make(chan struct{}),
		metrics: telemetry.New(),
	}
	d.restores = d.metrics.Scope.Counter("store_restores")
	d.latestSettings.Store(s)
	d.adapter.Store = newCountingStore(a.Store, d.metrics.Scope, d.storePhase)
	a = d.adapter
	s.applyMemoryLimit()
	d.eras = directory.NewEras(d.eraMet)
	d.servers = newServerList(a.Codec, env.Log)
	d.scheduler = newScheduler(s.FailureDomain, s.Name, d.now, env.Log)
	d.relays = newRelays(d)
	d.scheduler.onServer, d.pool.Opened = d.relays, d.relays.opened
	d.budget = retrybudget.New(s.Retry.limits(), d.now)
	d.sharers = newSharers(s.Name, seconds(s.Retry.WindowSeconds)+s.stopGrace())
	link, err := neighbors.Listen(d.self(), d, env.Log)
	if err != nil {
		return err
	}
	d.link = link
	d.scheduler.broadcast, d.scheduler.broadcastToAll = link.Broadcast, link.BroadcastToAll
	d.crashes = newCrashTracker(d.now, link.BroadcastToAll, env.Log)
	d.crashes.onVerdict = func() { d.handler.CancelBlocked() }
	d.configCopy = newConfigCopy(d)
	d.config = d.followConfig()
	d.serverEntries = directory.NewFollower(KindServers, a.Store, env.Log, directory.Options{
		Eras: d.eras, OnChange: d.entriesChanged, OnRead: d.broadcastDelta(KindServers), IsWatcher: d.isWatcher, ProbesOutage: d.probesOutage,
		LargeDeployment: d.severalCells, RelyOnNeighbors: true, MaxStaleness: s.maxServersStaleness(),
		OnConfirmed: func() { d.link.Broadcast(true, d.fillVersions) },
	})
	d.serverCopies = newCopyFetcher(d, KindServers, d.serversVersion, d.isWatcher)
	if s.EvacuationBoundMS > 0 {
		d.evacuations = newEvacuations(d)
	}
	d.handler = &forward.Handler{
		HeaderCodec: a.Codec, Scheduler: d.scheduler, Budget: d.budget, CrashTracker: d.crashes, Pool: d.pool,
		Memory: &reservations{engines: a.Engines, server: d.serverByID, scheduler: d.scheduler, log: env.Log},
		Table:  d.table.Load, Now: d.now, Log: env.Log, Metrics: forward.NewMetrics(d.metrics.Scope),
		MaxBufferedBytes: s.maxBufferedBytes(), Bodies: s.newBodyBudget(d.metrics.Scope), Relays: d.relays, Name: s.Name,
	}
	return d.addActors(env)
}

// now returns the monotonic time since the process started.
func (d *Daemon) now() core.Micros { return core.FromDuration(time.Since(d.start)) }

func (d *Daemon) self() *carobstilev1.EdgeMember {
	return &carobstilev1.EdgeMember{
		Name: d.settings.Name, FailureDomain: d.settings.FailureDomain, PacketAddress: d.settings.PacketAddress,
		ServiceAddress: d.settings.ServiceAddress, Boot: d.bootID,
	}
}

func (d *Daemon) addActors(env *app.Env) error {
	if err := d.serve(env); err != nil {
		return err
	}
	if d.evacuations != nil {
		env.Background(d.evacuations.run)
	}
	for _, f := range d.copyFetchers() {
		env.Background(f.run)
	}
	for _, f := range []func(context.Context){
		d.config.Run, d.serverEntries.Run, d.link.Run, d.maintainMembership, d.pollReports, d.housekeep, d.bootstrap,
		d.publishGauges, d.retryVerdicts, d.saveVerdicts, d.relays.run,
	} {
		env.Background(f)
	}
	return nil
}

// configChanged applies a newer configuration and sends its version to the neighbours. outage says that the store has just
// returned from an outage.
func (d *Daemon) configChanged(image directory.Image, outage bool) {
	o, ok := image.Objects[d.adapter.Codec.ConfigName()]
	if ok && d.table.Load() == nil && (outage || !d.config.Failing()) {
		d.loadVerdicts(context.Background()) // requests are forwarded from the first configuration on
	}
	d.configCopy.changed(image) // after the call above, as neighbours' confirmations of a known copy wait for the follower's lock
	if !ok {
		d.inForce.miss(image.Era)
		d.log.Warn("store holds no configuration", "era", image.Era, "revision", image.Revision)
		return
	}
	if !d.adoptConfig(image.Era, o) {
		return
	}
	d.updateServers()
	d.link.Broadcast(true, func(p *carobstilev1.EdgePacket) { d.fillVersions(p) })
}

// adoptConfig applies the configuration in the object of a copy if it replaces the one in force, and reports whether it did.
func (d *Daemon) adoptConfig(era uint64, o platform.Object) bool {
	c, err := d.adapter.Codec.Config(o.Value)
	if err != nil {
		d.log.Error("failed to decode configuration", "era", era, "revision", o.Version, "err", err)
		return false
	}
	d.configMu.Lock()
	defer d.configMu.Unlock()
	adopted, held := d.inForce.offer(era, o, c.Version)
	if held {
		d.log.Warn("restored store holds an older configuration, the newer one stays in force", "in_force", d.inForce.current(), "version", c.Version,
			"era", era, "revision", o.Version)
	}
	if adopted {
		d.applyConfig(c, "store", era, o.Version)
	}
	return adopted
}

// applyConfig puts a configuration in force. The caller holds configMu.
func (d *Daemon) applyConfig(c routing.Config, from string, era, revision uint64) {
	old := d.table.Swap(routing.NewTable(c))
	d.log.Info("configuration in force", "version", c.Version, "from", from, "era", era, "revision", revision, "routes", len(c.Routes))
	if old == nil || forward.MaxBodyBytes(old.Limits) != forward.MaxBodyBytes(c.Limits) {
		d.warnOfBodies(c.Limits)
	}
}

// entriesChanged updates the servers from the entries that they have written to the store.
func (d *Daemon) entriesChanged(image directory.Image, outage bool) {
	d.serversMu.Lock()
	d.servers.update(time.Now(), image, outage)
	d.serversListed = true
	d.link.SetServerCount(len(d.servers.servers))
	d.serversMu.Unlock()
	v := image.Version()
	d.serversCurrent.Store(&v)
	d.updateServers()
	d.link.Broadcast(true, func(p *carobstilev1.EdgePacket) { d.fillVersions(p) })
}

// updateServers passes the current servers and services to dispatch.
func (d *Daemon) updateServers() {
	d.updateMu.Lock()
	defer d.updateMu.Unlock()
	table := d.table.Load()
	if table == nil || !d.evacuations.known() {
		return // nothing is forwarded before all of them are known
	}
	d.serversMu.Lock()
	usable := d.usableServers()
	d.serversMu.Unlock()
	delays := domainDelays(table.Services)
	services := make([]dispatch.Service, 0, len(table.Services))
	for i := range table.Services {
		s := &table.Services[i]
		services = append(services, usable.service(dispatch.Service{
			Name: s.Name, Model: s.Engine, Delays: delays,
			ColdStart: core.FromDuration(s.ColdStart), ColdPerSecond: s.ColdPerSecond,
		}))
	}
	d.relays.setServers(usable.servers)
	d.scheduler.Step(dispatch.ServersChanged{
		Now: d.now(), Servers: usable.servers, Services: services, EvacuationBound: core.FromDuration(d.settings.evacuationBound()),
		DomainLossPerMB:  d.settings.domainLossPerMB(len(delays) > 0),
		FairShares:       d.settings.FairShares,
		WorkspaceWeights: workspaceWeights(d.settings.WorkspaceWeights),
	})
}

// workspaceWeights returns weights by the hash that dispatch knows workspaces by.
func workspaceWeights(byName map[string]float64) map[uint64]float64 {
	out := make(map[uint64]float64, len(byName))
	for name, weight := range byName {
		out[xxhash.Sum64String(name)] = weight
	}
	return out
}

// domainDelays returns the times between failure domains that the services state. They hold for all services.
func domainDelays(services []routing.Service) map[dispatch.DomainPair]core.Micros {
	out := map[dispatch.DomainPair]core.Micros{}
	for i := range services {
		for _, d := range services[i].Delays {
			out[dispatch.DomainPair{From: d.From, To: d.To}] = core.FromDuration(d.Delay)
		}
	}
	return out
}

// usableServers returns the servers that the daemons of this cell use. The caller holds serversMu.
func (d *Daemon) usableServers() division {
	list := d.servers.list(time.Now())
	d.evacuations.mark(d.now(), list, d.table.Load())
	return divide(list, d.link.Cells())
}

func (d *Daemon) serverByID(id string) (dispatch.Server, bool) {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	s, ok := d.servers.servers[id]
	return s, ok
}

// housekeep periodically drops expired servers and idle connections, and updates what depends on the number of daemons.
func (d *Daemon) housekeep(ctx context.Context) {
	shell.Every(ctx, housekeepingInterval, func(context.Context) {
		d.serversMu.Lock()
		dropped := d.servers.expire(time.Now())
		d.serversMu.Unlock()
		if d.evacuations.expire(d.now()) || dropped || d.link.CellsChanged() {
			d.updateServers()
		}
		d.shareBudget()
		d.scheduler.Step(dispatch.DaemonCountChanged{
			Count: len(d.link.Live()), Total: d.link.DaemonCount(), Known: d.link.CellDaemonCount(),
		})
		d.pool.Retain(d.idleConnLimit)
		d.scheduler.Step(dispatch.Tick{Now: d.now()})
	})
}

// shareBudget divides the allowance of the retry budget among the daemons that may use it.
func (d *Daemon) shareBudget() {
	now := time.Now()
	var known []string
	for _, m := range d.link.Members() {
		known = append(known, m.GetName())
	}
	d.sharers.heard(now, known, d.link.Live())
	count := d.sharers.count(now)
	if before := d.budget.SetDaemons(count); before != count {
		d.log.Info("daemons that share the retry budget", "count", count, "before", before)
	}
}

// idleConnLimit returns the number of idle connections to a server that this daemon may keep. All daemons share the
// connections that a server accepts, and running and waiting requests need some of them.
func (d *Daemon) idleConnLimit(t upstream.Target) int {
	d.serversMu.Lock()
	s, ok := d.servers.servers[t.ID]
	d.serversMu.Unlock()
	table := d.table.Load()
	if !ok || s.Address != t.Address || table == nil {
		return 0
	}
	service := table.Service(s.Service)
	if service == nil || service.MaxConns <= 0 {
		return math.MaxInt
	}
	return max(0, service.MaxConns-connsPerSlot*s.Slots) / d.link.DaemonCount()
}
