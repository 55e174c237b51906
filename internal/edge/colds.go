package edge

import (
	"time"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
)

// endTolerance is how much later an end has to be than the known one to replace it. Ages are without the time that a fetch takes, so that
// an end would move each time that daemons exchange it.
const endTolerance = 2 * fetchTimeout

// fillColds sets the ends of cold times that this daemon knows, for a daemon that starts and has not seen what they follow from.
func (d *Daemon) fillColds(m *carobstilev1.FetchResponse) {
	m.Colds = d.scheduler.coldNotices()
	m.EvacuationEnds = d.evacuations.encodeEnds()
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	for _, s := range d.servers.list(time.Now()) {
		if s.ColdFor > 0 {
			m.ListedColds = append(m.ListedColds, encodeCold(dispatch.PeerSawCold{Process: s.Process(), Left: s.ColdFor}))
		}
	}
}

// applyColds applies the ends of cold times that another daemon knows. Those by entries are only taken by a daemon that starts: another
// one has seen the entries itself, and the ends of a daemon that has just started are too late.
func (d *Daemon) applyColds(m *carobstilev1.FetchResponse) {
	d.scheduler.recordColds(m.GetColds())
	changed := d.evacuations.recordEnds(m.GetEvacuationEnds())
	if !d.initialized() || time.Since(d.start) < startupPeriod {
		changed = d.recordListedColds(m.GetListedColds()) || changed
	}
	if changed {
		d.updateServers()
	}
}

func (d *Daemon) recordListedColds(list []*carobstilev1.EdgeCold) bool {
	now, changed := time.Now(), false
	d.serversMu.Lock()
	defer d.serversMu.Unlock()
	for _, c := range list {
		left := min(core.Micros(c.GetLeftMicros()), dispatch.MaxCold)
		if left > 0 && d.servers.recordCold(now, dispatch.Process{ID: c.GetServer(), StartedAt: c.GetStartedAt()}, now.Add(left.Duration())) {
			changed = true
		}
	}
	return changed
}

// encodeEnds returns the ends of evacuations from which servers may still be cold.
func (e *evacuations) encodeEnds() []*carobstilev1.EdgeEvacuationEnd {
	if e == nil {
		return nil
	}
	now := e.daemon.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []*carobstilev1.EdgeEvacuationEnd
	for domain, end := range e.ends {
		if age := now - end; age < dispatch.MaxCold {
			out = append(out, &carobstilev1.EdgeEvacuationEnd{Domain: domain, AgeMicros: int64(age)})
		}
	}
	return out
}

// recordEnds applies ends of evacuations that another daemon knows. It reports whether any was new. The servers of a domain that is
// evacuated by the copy of this daemon become cold when that ends.
func (e *evacuations) recordEnds(list []*carobstilev1.EdgeEvacuationEnd) bool {
	if e == nil {
		return false
	}
	now, changed := e.daemon.now(), false
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range list {
		end := now - max(0, core.Micros(m.GetAgeMicros()))
		_, evacuated := e.domains[m.GetDomain()]
		old, known := e.ends[m.GetDomain()]
		if evacuated || now-end >= dispatch.MaxCold || known && end <= old+core.FromDuration(endTolerance) {
			continue
		}
		e.ends[m.GetDomain()] = end
		changed = true
		e.daemon.log.Info("neighbour knows the end of an evacuation", "domain", m.GetDomain(), "age_ms", (now-end)/core.Millisecond)
	}
	return changed
}
