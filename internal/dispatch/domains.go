package dispatch

import (
	"slices"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/locality"
)

const (
	// loadUpdateInterval is how often the loads of the failure domains are compared.
	loadUpdateInterval = 50 * core.Millisecond
	// busyPrefillMs is the pending prefill, in milliseconds, of an engine that counts as full: a short request that comes then is late.
	busyPrefillMs = 400
	// crossDomainLoss is charged for a server in another failure domain, so that of equal servers one at home is taken.
	crossDomainLoss = 0.01
	// surplusLoss is charged in addition to a request that does not belong to the share that leaves. It is more than the preferences
	// by which 82 daemons spread (preferenceLossPerDaemon) and less than a request loses that is probably late, so that it stays
	// unless it loses something at home.
	surplusLoss = 0.03
)

// domain is the state of a failure domain for one service.
type domain struct {
	name string
	// delay is the one-way time of a message to the domain, 0 if none is known.
	delay core.Micros
	// roundTripMs and loss are what the request that is being placed loses by leaving for the domain.
	roundTripMs, loss float64
	// placed counts the requests of this daemon.
	placed int64
}

// domainsChanged lists the failure domains of a service's servers.
func (c *Core) domainsChanged(svc, before *service) {
	for _, s := range svc.all {
		i := slices.IndexFunc(svc.domains, func(d domain) bool { return d.name == s.Domain })
		if i < 0 {
			i = len(svc.domains)
			svc.domains = append(svc.domains, domain{name: s.Domain, delay: c.domainDelay(svc, s.Domain)})
			svc.loads = append(svc.loads, locality.Domain{Home: s.Domain == c.domain})
		}
		s.domain = i
	}
	if before == nil {
		return
	}
	same := slices.EqualFunc(svc.domains, before.domains, func(a, b domain) bool { return a.name == b.name })
	if same {
		svc.balancer = before.balancer
	}
	for i := range svc.domains {
		for _, d := range before.domains {
			if d.name == svc.domains[i].name {
				svc.domains[i].placed = d.placed
			}
		}
	}
}

// domainDelay returns the one-way time of a message from this daemon to another failure domain, 0 if none is known.
func (c *Core) domainDelay(svc *service, name string) core.Micros {
	if name == c.domain {
		return 0
	}
	if d, known := svc.Delays[DomainPair{From: c.domain, To: name}]; known {
		return d
	}
	return svc.Delays[DomainPair{From: name, To: c.domain}]
}

// chargeDomains sets what a request loses by leaving for each of the failure domains.
func (c *Core) chargeDomains(now core.Micros, w *Work, svc *service) {
	c.updateLoads(now, svc)
	destination := svc.balancer.Destination(w.ID)
	homeless := !slices.ContainsFunc(svc.loads, func(d locality.Domain) bool { return d.Home && d.Servers > 0 })
	for i := range svc.domains {
		d := &svc.domains[i]
		d.roundTripMs, d.loss = 0, 0
		if d.name == c.domain {
			continue
		}
		d.roundTripMs = ms(2 * d.delay)
		d.loss = crossDomainLoss
		if homeless || !c.weighsDomains { // there is nothing to weigh
			continue
		}
		d.loss += c.domainLossPerMB * float64(w.Bytes) / 1e6
		if i != destination {
			d.loss += surplusLoss
		}
	}
}

// updateLoads compares the loads of the failure domains of a service if that is due.
func (c *Core) updateLoads(now core.Micros, svc *service) {
	if now < svc.loadsDue {
		return
	}
	svc.loadsDue = now + loadUpdateInterval
	for i := range svc.loads {
		svc.loads[i].Servers, svc.loads[i].Load = 0, 0
	}
	for _, s := range svc.servers {
		if s.Leaving || s.Evacuated || s.suspect(now) || !s.standing.admits(now) {
			continue
		}
		d := &svc.loads[s.domain]
		d.Servers++
		d.Load += s.load(now)
	}
	for i := range svc.loads {
		svc.loads[i].Load /= float64(max(1, svc.loads[i].Servers))
	}
	svc.balancer.Update(now, svc.loads)
}

// load returns the part of a server that is in use: its slots, its memory, or the prefill that it has yet to do.
func (s *server) load(now core.Micros) float64 {
	load := float64(len(s.jobs)) / float64(max(1, s.Slots))
	if s.model != nil {
		load = max(load, float64(s.memoryTokens)/float64(max(1, s.model.KVTokens)), s.pendingPrefillMs(now)/busyPrefillMs)
	}
	return load
}

// DomainLoad is the load of a failure domain for one service, as this daemon sees it.
type DomainLoad struct {
	Service, Domain string
	Home            bool
	// Servers is the number of servers that can be used, Load the part of them in use.
	Servers int
	Load    float64
	// Share is the share of this daemon's requests that may leave for the domain, Placed the number of those placed there.
	Share  float64
	Placed int64
}

// DomainLoads returns the loads of the failure domains, in no particular order. They are as of the last placement.
func (c *Core) DomainLoads() []DomainLoad {
	var out []DomainLoad
	for name, svc := range c.services {
		for i, d := range svc.domains {
			out = append(out, DomainLoad{
				Service: name, Domain: d.name, Home: svc.loads[i].Home, Servers: svc.loads[i].Servers, Load: svc.loads[i].Load,
				Share: svc.balancer.Share(i), Placed: d.placed,
			})
		}
	}
	return out
}
