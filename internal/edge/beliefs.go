package edge

import (
	"context"
	"time"

	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/shell"
	"github.com/carobstile/carobstile/internal/telemetry"
)

// reportBeliefs publishes what the daemon believes of its surroundings and how old that is, until ctx ends.
func (d *Daemon) reportBeliefs(ctx context.Context) {
	scope := d.metrics.Scope.SubScope("belief")
	version, servers, leaving := scope.Gauge("config_version"), scope.Gauge("servers"), scope.Gauge("servers_leaving")
	daemons, open := scope.Gauge("daemons_heard"), scope.Gauge("requests_open")
	shell.Every(ctx, telemetry.Interval, func(context.Context) {
		if table := d.table.Load(); table != nil {
			version.Update(float64(table.Version))
		}
		known, left := d.countServers()
		servers.Update(float64(known))
		leaving.Update(float64(left))
		daemons.Update(float64(len(d.link.Live())))
		open.Update(float64(d.handler.Open()))
		for kind, f := range map[string]*directory.Follower{KindConfig: d.config, KindServers: d.entries} {
			tagged := scope.Tagged(map[string]string{"kind": kind})
			tagged.Gauge("store_age_seconds").Update(f.StoreAge(time.Now()).Seconds())
			tagged.Gauge("changed_age_seconds").Update(f.ChangedAge(time.Now()).Seconds())
		}
	})
}

func (d *Daemon) countServers() (known, leaving int) {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	for _, s := range d.servers.servers {
		if s.Leaving {
			leaving++
		}
	}
	return len(d.servers.servers), leaving
}
