package edge

import (
	"context"
	"time"

	"github.com/carobstile/carobstile/internal/shell"
	"github.com/carobstile/carobstile/internal/telemetry"
)

// publishGauges publishes the daemon's view of the deployment and the age of its data as gauges until ctx ends.
func (d *Daemon) publishGauges(ctx context.Context) {
	scope := d.metrics.Scope.SubScope("belief")
	version, servers, leaving := scope.Gauge("config_version"), scope.Gauge("servers"), scope.Gauge("servers_leaving")
	held := scope.Gauge("config_newer_than_store")
	daemons, open := scope.Gauge("daemons_heard"), scope.Gauge("requests_open")
	wide, cold := scope.Gauge("wide_prompts_queued"), scope.Gauge("servers_cold")
	domains, evacuated := scope.Gauge("evacuated_domains"), scope.Gauge("servers_evacuated")
	cutOffGauge, passedOn := scope.Gauge("cut_off"), scope.Gauge("requests_passed_on_open")
	domainsLeftFor := map[string]bool{}
	shell.Every(ctx, telemetry.ReportInterval, func(context.Context) {
		if table := d.table.Load(); table != nil {
			version.Update(float64(table.Version))
		}
		held.Update(0)
		if d.inForce.isHeld() {
			held.Update(1)
		}
		known, leavingCount := d.countServers()
		servers.Update(float64(known))
		leaving.Update(float64(leavingCount))
		daemons.Update(float64(len(d.link.Live())))
		open.Update(float64(d.handler.OpenRequests()))
		wide.Update(float64(d.scheduler.widePrompts()))
		cold.Update(float64(d.scheduler.coldServers()))
		domainCount, serverCount := d.countEvacuated()
		domains.Update(float64(domainCount))
		evacuated.Update(float64(serverCount))
		cutOff, open := d.relays.state()
		cutOffGauge.Update(0)
		if cutOff {
			cutOffGauge.Update(1)
		}
		passedOn.Update(float64(open))
		d.publishTraffic()
		d.publishBudget()
		domainsLeftFor = d.publishDomains(domainsLeftFor)
		for _, f := range d.followers() {
			kindScope := scope.Tagged(map[string]string{"kind": f.Kind()})
			image, _ := f.Image()
			kindScope.Gauge("store_era").Update(float64(image.Era))
			kindScope.Gauge("store_age_seconds").Update(f.StoreAge(time.Now()).Seconds())
			kindScope.Gauge("staleness_seconds").Update(f.Staleness().Seconds())
			kindScope.Gauge("changed_age_seconds").Update(f.ChangedAge(time.Now()).Seconds())
		}
	})
}

// publishBudget publishes the use of the retry budget by service.
func (d *Daemon) publishBudget() {
	for _, service := range d.budget.Services() {
		u := d.budget.Usage(service)
		scope := d.metrics.Scope.SubScope("retry_budget").Tagged(map[string]string{"service": service})
		scope.Gauge("credits").Update(float64(u.Credits))
		scope.Gauge("used").Update(float64(u.Used))
		scope.Gauge("share").Update(u.Share)
		scope.Gauge("daemons").Update(float64(u.Daemons))
	}
}

// publishTraffic publishes the bytes sent to neighbours.
func (d *Daemon) publishTraffic() {
	t := d.link.Traffic()
	for _, c := range []struct {
		content, to string
		bytes       int64
	}{
		{"summary", "own_domain", t.SummariesInDomain.Load()},
		{"summary", "other_domain", t.SummariesToOthers.Load()},
		{"update", "own_domain", t.UpdatesInDomain.Load()},
		{"update", "other_domain", t.UpdatesToOthers.Load()},
	} {
		tags := map[string]string{"content": c.content, "to": c.to}
		d.metrics.Scope.Tagged(tags).Gauge("neighbour_bytes_sent").Update(float64(c.bytes))
	}
}

// minLoggedShare is the share of a service's requests that may leave from which the log says so.
const minLoggedShare = 0.01

// publishDomains publishes the load of each failure domain and the requests placed there. It logs when a share of the requests begins
// or ceases to leave: leaving lists the services and domains for which that was so, the result those for which it is.
func (d *Daemon) publishDomains(leaving map[string]bool) map[string]bool {
	now := map[string]bool{}
	for _, l := range d.scheduler.domainLoads() {
		scope := d.metrics.Scope.SubScope("failure_domain").Tagged(map[string]string{"service": l.Service, "domain": l.Domain})
		scope.Gauge("usable_servers").Update(float64(l.Servers))
		scope.Gauge("load").Update(l.Load)
		scope.Gauge("leaving_share").Update(l.Share)
		scope.Gauge("requests_placed").Update(float64(l.Placed))
		key := l.Service + " " + l.Domain
		now[key] = l.Share >= minLoggedShare
		if now[key] != leaving[key] {
			d.log.Info("share of requests that leave the failure domain",
				"service", l.Service, "to", l.Domain, "share", l.Share, "load_there", l.Load)
		}
	}
	return now
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
