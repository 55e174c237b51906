package edge

import (
	"context"
	"time"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/shell"
)

const (
	// reportEvery is how often each engine is asked for a report, by one daemon for all.
	reportEvery = 600 * time.Millisecond
	// reportTimeout is long enough for one packet to be sent again.
	reportTimeout = 300 * time.Millisecond
	// reportTries is how many reports in a row must fail before an engine counts as unreachable.
	reportTries = 2
)

// pollReports asks the engines of which this daemon takes care.
func (d *Daemon) pollReports(ctx context.Context) {
	shell.Every(ctx, reportEvery, func(ctx context.Context) {
		live := d.link.Live()
		for _, s := range d.engines() {
			if d.cares(s.ID, live) {
				go d.pollReport(ctx, s)
			}
		}
	})
}

// engines returns the servers of services that have a cost model.
func (d *Daemon) engines() []dispatch.Server {
	table := d.table.Load()
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	var out []dispatch.Server
	for _, s := range d.usable() {
		if table == nil || s.Leaving {
			continue
		}
		if service := table.Service(s.Service); service != nil && service.Engine != nil {
			out = append(out, s)
		}
	}
	return out
}

func (d *Daemon) pollReport(ctx context.Context, s dispatch.Server) {
	var err error
	for range reportTries {
		var report Report
		report, err = d.report(ctx, s.Address)
		if err == nil {
			d.reported(s, report)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	d.log.Info("engine gives no report", "server", s.ID, "err", err)
	d.scheduler.Failed(s.ID, dispatch.FaultUnreachable)
}

func (d *Daemon) report(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return d.adapter.Engines.Report(ctx, address)
}

func (d *Daemon) reported(s dispatch.Server, r Report) {
	d.scheduler.Step(dispatch.ServerAlive{Now: d.now(), Server: s.ID, Pace: r.Pace, Reached: true})
	if d.paceChanged(s.ID, r.Pace) {
		d.log.Info("engine pace changed", "server", s.ID, "pace", r.Pace)
		d.link.Broadcast(false, func(p *carobstilev1.EdgePacket) {
			p.Reports = append(p.Reports, &carobstilev1.EdgeReport{Server: s.ID, Pace: r.Pace})
		})
	}
}

// paceStep is the change of an engine's pace that is logged and told to neighbours.
const paceStep = 0.1

func (d *Daemon) paceChanged(server string, pace float64) bool {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	old, known := d.paces[server]
	if known && pace > old*(1-paceStep) && pace < old*(1+paceStep) {
		return false
	}
	d.paces[server] = pace
	return true
}
