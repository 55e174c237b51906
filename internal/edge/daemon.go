package edge

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/app"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/crashes"
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
	// crashLimit is how many servers a request may crash before it is refused.
	crashLimit = 3
	// unknownDaemons is among how many daemons budgets are divided before any neighbour is known.
	unknownDaemons = 16
	// runningShare times its slots is how many connections to a server requests may use that run there or wait.
	runningShare = 2
	// housekeepEvery is how often idle connections and lapsed entries are looked at.
	housekeepEvery = 250 * time.Millisecond
)

// Daemon is one carobedge process.
type Daemon struct {
	settings *Settings
	// changeable are the newest settings, of which only some apply while the process runs.
	changeable atomic.Pointer[Settings]
	adapter    Adapter
	log        *slog.Logger
	start      time.Time
	boot       uint64
	table      atomic.Pointer[routing.Table]
	scheduler  *scheduler
	link       *neighbors.Link
	handler    *forward.Handler
	pool       *upstream.Pool
	budget     *retrybudget.Budget
	crashes    *crashes.Set
	config     *directory.Follower
	entries    *directory.Follower
	metrics    *telemetry.Metrics

	serversMu sync.Mutex
	servers   *serverList
	paces     map[string]float64
	haveList  bool

	// serversRevision is the revision of the last change of the servers that this daemon knows, serversDigest the digest
	// of their entries.
	serversRevision, serversDigest atomic.Uint64
	// joined is set when a neighbour needs a whole summary.
	joined   atomic.Bool
	fetching atomic.Bool
	draining atomic.Bool
	stopping chan struct{}
}

// Start adds the actors of a daemon to the environment of its process.
func Start(s *Settings, env *app.Env, a Adapter) error {
	d := &Daemon{
		settings: s, adapter: a, log: env.Log, start: time.Now(), boot: rand.Uint64(), pool: upstream.NewPool(),
		crashes: crashes.NewSet(crashLimit), paces: map[string]float64{}, stopping: make(chan struct{}), metrics: telemetry.New(),
	}
	d.changeable.Store(s)
	s.limitMemory()
	d.servers = newServerList(a.Codec, env.Log)
	d.scheduler = newScheduler(s.FailureDomain, d.now)
	d.budget = retrybudget.New(s.Retry.limits(), unknownDaemons, d.now)
	link, err := neighbors.Listen(d.self(), d, env.Log)
	if err != nil {
		return err
	}
	d.link = link
	d.scheduler.tell = link.Broadcast
	d.config = directory.NewFollower(KindConfig, a.Store, env.Log, directory.Options{
		OnChange: d.configChanged, IsWatcher: d.onDuty,
	})
	d.entries = directory.NewFollower(KindServers, a.Store, env.Log, directory.Options{
		OnChange: d.entriesChanged, OnRead: d.entriesRead, IsWatcher: d.onDuty, RelyOnNeighbors: true,
	})
	d.handler = &forward.Handler{
		Dialect: a.Codec, Scheduler: d.scheduler, Budget: d.budget, Suspects: (*suspects)(d), Pool: d.pool,
		Memory: &reservations{engines: a.Engines, address: d.addressOf, log: env.Log},
		Table:  d.table.Load, Now: d.now, Log: env.Log, Metrics: forward.NewMetrics(d.metrics.Scope),
	}
	return d.addActors(env)
}

// now returns monotonic time of the process.
func (d *Daemon) now() core.Micros { return core.Span(time.Since(d.start)) }

func (d *Daemon) self() *carobstilev1.EdgeMember {
	return &carobstilev1.EdgeMember{
		Name: d.settings.Name, FailureDomain: d.settings.FailureDomain, PacketAddress: d.settings.PacketAddress,
		ServiceAddress: d.settings.ServiceAddress, Boot: d.boot,
	}
}

func (d *Daemon) addActors(env *app.Env) error {
	if err := d.serve(env); err != nil {
		return err
	}
	for _, f := range []func(context.Context){
		d.config.Run, d.entries.Run, d.link.Run, d.keepMembers, d.pollReports, d.housekeep, d.fetchAtStart, d.reportBeliefs,
	} {
		env.Background(f)
	}
	return nil
}

// configChanged puts a newer configuration in force.
func (d *Daemon) configChanged(image directory.Image, _ bool) {
	o, ok := image.Objects[d.adapter.Codec.ConfigName()]
	if !ok {
		d.log.Warn("store holds no configuration", "revision", image.Revision)
		return
	}
	if !d.adopt(o) {
		return
	}
	d.updateServers()
	d.link.Broadcast(true, func(p *carobstilev1.EdgePacket) { d.versions(p) })
}

// adopt reports whether the object holds a newer configuration than the one in force.
func (d *Daemon) adopt(o platform.Object) bool {
	c, err := d.adapter.Codec.Config(o.Value)
	if err != nil {
		d.log.Error("configuration not understood", "revision", o.Version, "err", err)
		return false
	}
	if old := d.table.Load(); old != nil && old.Version >= c.Version {
		return false
	}
	d.table.Store(routing.NewTable(c))
	d.log.Info("configuration in force", "version", c.Version, "revision", o.Version, "routes", len(c.Routes))
	return true
}

// entriesChanged takes in what backend servers wrote of themselves.
func (d *Daemon) entriesChanged(image directory.Image, outage bool) {
	d.serversMu.Lock()
	d.servers.update(time.Now(), image, outage)
	d.haveList = true
	d.link.SetServerCount(len(d.servers.servers))
	d.serversMu.Unlock()
	d.serversRevision.Store(image.Revision)
	d.serversDigest.Store(image.Digest())
	d.updateServers()
	d.link.Broadcast(true, func(p *carobstilev1.EdgePacket) { d.versions(p) })
}

// updateServers tells dispatch of servers and services.
func (d *Daemon) updateServers() {
	table := d.table.Load()
	if table == nil {
		return
	}
	d.serversMu.Lock()
	list := d.usable()
	d.serversMu.Unlock()
	services := make([]dispatch.Service, 0, len(table.Services))
	for i := range table.Services {
		services = append(services, dispatch.Service{Name: table.Services[i].Name, Model: table.Services[i].Engine})
	}
	d.scheduler.Step(dispatch.ServersChanged{Now: d.now(), Servers: list, Services: services})
}

// minCellServers is the fewest servers of a service in a cell, on average, for the service to be divided. Services with
// fewer are used by all daemons, so that no cell is left without.
const minCellServers = 16

// usable returns the servers that the daemons of this cell use. The caller holds serversMu.
func (d *Daemon) usable() []dispatch.Server {
	list := d.servers.list()
	count := map[string]int{}
	for i := range list {
		count[list[i].Service]++
	}
	cells := d.link.CellCount()
	return slices.DeleteFunc(list, func(s dispatch.Server) bool {
		return count[s.Service] >= minCellServers*cells && !d.link.InCell(s.ID)
	})
}

func (d *Daemon) addressOf(server string) (string, bool) {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	s, ok := d.servers.servers[server]
	return s.Address, ok
}

// housekeep drops what has run out.
func (d *Daemon) housekeep(ctx context.Context) {
	shell.Every(ctx, housekeepEvery, func(context.Context) {
		d.serversMu.Lock()
		dropped := d.servers.expire(time.Now())
		d.serversMu.Unlock()
		if dropped || d.link.CellCountChanged() {
			d.updateServers()
		}
		d.budget.SetDaemons(d.link.DaemonCount())
		d.scheduler.Step(dispatch.DaemonsKnown{Count: len(d.link.Live())})
		d.pool.Retain(d.keptConnections)
		d.scheduler.Step(dispatch.Tick{Now: d.now()})
	})
}

// keptConnections returns how many idle connections to a server this daemon keeps. The connections that a server accepts
// are shared by all daemons, and what runs and waits on it needs some of them.
func (d *Daemon) keptConnections(t upstream.Target) int {
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
	return max(0, service.MaxConns-runningShare*s.Slots) / d.link.DaemonCount()
}

// suspects implements forward.Suspects on the set of crash records.
type suspects Daemon

// Refused implements forward.Suspects.
func (s *suspects) Refused(fingerprint string) bool {
	return s.crashes.Refused((*Daemon)(s).now(), crashes.Fingerprint(fingerprint))
}

// Crashed implements forward.Suspects.
func (s *suspects) Crashed(fingerprint, server string) {
	d := (*Daemon)(s)
	d.crashed(&carobstilev1.EdgeCrash{Fingerprint: []byte(fingerprint), Server: server}, true)
}

// crashed adds a record; own ones are told to the neighbours.
func (d *Daemon) crashed(c *carobstilev1.EdgeCrash, own bool) {
	change := d.crashes.Add(d.now(), crashes.Record{
		Fingerprint: crashes.Fingerprint(c.GetFingerprint()), Incarnation: c.GetServer(), Made: d.now(),
	})
	if len(change.New) == 0 {
		return
	}
	if len(change.Reached) > 0 {
		d.log.Warn("request refused from now on", "fingerprint", change.Reached[0], "server", c.GetServer())
	}
	if own {
		d.link.Broadcast(true, func(p *carobstilev1.EdgePacket) { p.Crashes = append(p.Crashes, c) })
	}
}
