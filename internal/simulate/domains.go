package simulate

import (
	"fmt"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
)

// loseDomain removes the engines of the first failure domain. Their requests are placed again.
func (s *simulation) loseDomain(changed dispatch.ServersChanged) {
	changed.Servers = slices.DeleteFunc(slices.Clone(changed.Servers), func(e dispatch.Server) bool { return e.Domain == s.domain(0) })
	var requests []*request
	for _, r := range s.requests {
		if s.running[r.id] == r && r.lead != nil && s.domain(r.lead.index) == s.domain(0) {
			requests = append(requests, r)
		}
	}
	s.broadcast(changed)
	for _, r := range requests {
		s.end(r, dispatch.Cancelled{Now: s.now, ID: r.id})
		r.firstAt, r.lead = 0, nil
		s.place(r)
	}
}

// evacuateDomain marks the engines of the first failure domain.
func (s *simulation) evacuateDomain(changed dispatch.ServersChanged) {
	changed.Servers = slices.Clone(changed.Servers)
	for i := range changed.Servers {
		changed.Servers[i].Evacuated = changed.Servers[i].Domain == s.domain(0)
	}
	s.broadcast(changed)
}

// broadcast passes a list of servers to all daemons.
func (s *simulation) broadcast(changed dispatch.ServersChanged) {
	changed.Now = s.now
	for i := range s.daemons {
		s.step(i, changed)
	}
}

// domain returns the failure domain of an engine or a daemon.
func (s *Scenario) domain(index int) string { return fmt.Sprint("z", index%max(1, s.Domains)) }

// delay returns the time that a message takes between two engines or daemons.
func (s *Scenario) delay(from, to int) core.Micros {
	if s.domain(from) == s.domain(to) {
		return 0
	}
	return s.DomainDelay
}

// delays returns the delays between failure domains as the configuration states them.
func (s *Scenario) delays() map[dispatch.DomainPair]core.Micros {
	out := map[dispatch.DomainPair]core.Micros{}
	for i := range s.Domains {
		for j := range s.Domains {
			out[dispatch.DomainPair{From: s.domain(i), To: s.domain(j)}] = s.DomainDelay
		}
	}
	return out
}
