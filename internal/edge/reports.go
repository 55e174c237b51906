package edge

import (
	"context"
	"time"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/shell"
)

const (
	// reportInterval is how often each engine is polled for a report, by one daemon of the cell for all of them.
	reportInterval = 600 * time.Millisecond
	// reportTimeout leaves time for one retransmission of a packet.
	reportTimeout = 300 * time.Millisecond
	// reportAttempts is the number of consecutive failed calls after which an engine counts as unreachable.
	reportAttempts = 2
)

// pollReports periodically polls the engines for which this daemon is responsible.
func (d *Daemon) pollReports(ctx context.Context) {
	shell.Every(ctx, reportInterval, func(ctx context.Context) {
		live := d.link.Live()
		for _, s := range d.engines() {
			if d.isResponsible(s.ID, live) {
				go d.pollReport(ctx, s)
			}
		}
	})
}

// engines returns the servers of services with a cost model, without those that are leaving, evacuated or asked
// for a pause.
func (d *Daemon) engines() []dispatch.Server {
	table := d.table.Load()
	if !d.evacuations.known() {
		return nil
	}
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	var out []dispatch.Server
	for _, s := range d.usableServers().servers {
		if table == nil || s.Leaving || s.Evacuated || !d.scheduler.Accepts(s.Process()) {
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
	for range reportAttempts {
		var report Report
		sent := d.now()
		report, err = d.fetchReport(ctx, s.Address)
		accepts := d.scheduler.RecordNotice(s.Process(), report.Notice)
		if err == nil {
			d.scheduler.RecordAnswer(s.Process(), sent, report.Notice)
			d.recordReport(s, report)
			return
		}
		if ctx.Err() != nil || !accepts {
			return
		}
	}
	d.log.Info("engine gives no report", "server", s.ID, "err", err)
	d.scheduler.recordNoReport(s.ID)
}

func (d *Daemon) fetchReport(ctx context.Context, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return d.adapter.Engines.Report(ctx, address)
}

func (d *Daemon) recordReport(s dispatch.Server, r Report) {
	d.scheduler.Step(dispatch.ServerAlive{Now: d.now(), Server: s.ID, Slowdown: r.Slowdown, Direct: true})
	if d.updateSlowdown(s.ID, r.Slowdown) {
		d.log.Info("engine pace changed", "server", s.ID, "pace", r.Slowdown)
		d.link.Broadcast(false, func(p *carobstilev1.EdgePacket) {
			p.Reports = append(p.Reports, &carobstilev1.EdgeReport{Server: s.ID, Pace: r.Slowdown})
		})
	}
}

// slowdownChangeThreshold is the relative change of an engine's slowdown from which it is logged and sent to the
// neighbours.
const slowdownChangeThreshold = 0.1

// updateSlowdown stores an engine's slowdown and reports true if it is the first one or differs from the stored one by
// slowdownChangeThreshold.
func (d *Daemon) updateSlowdown(server string, slowdown float64) bool {
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	old, known := d.engineSlowdowns[server]
	if known && slowdown > old*(1-slowdownChangeThreshold) && slowdown < old*(1+slowdownChangeThreshold) {
		return false
	}
	d.engineSlowdowns[server] = slowdown
	return true
}
