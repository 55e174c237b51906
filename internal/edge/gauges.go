package edge

import (
	"context"
	"time"

	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/shell"
	"github.com/carobstile/carobstile/internal/telemetry"
)

// publishGauges publishes the daemon's view of the deployment and the age of its data as gauges until ctx ends.
func (d *Daemon) publishGauges(ctx context.Context) {
	scope := d.metrics.Scope.SubScope("belief")
	version, servers, leaving := scope.Gauge("config_version"), scope.Gauge("servers"), scope.Gauge("servers_leaving")
	daemons, open := scope.Gauge("daemons_heard"), scope.Gauge("requests_open")
	shell.Every(ctx, telemetry.ReportInterval, func(context.Context) {
		if table := d.table.Load(); table != nil {
			version.Update(float64(table.Version))
		}
		known, leavingCount := d.countServers()
		servers.Update(float64(known))
		leaving.Update(float64(leavingCount))
		daemons.Update(float64(len(d.link.Live())))
		open.Update(float64(d.handler.OpenRequests()))
		for kind, f := range map[string]*directory.Follower{KindConfig: d.config, KindServers: d.serverEntries} {
			kindScope := scope.Tagged(map[string]string{"kind": kind})
			kindScope.Gauge("store_age_seconds").Update(f.StoreAge(time.Now()).Seconds())
			kindScope.Gauge("changed_age_seconds").Update(f.ChangedAge(time.Now()).Seconds())
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
