package dispatch

import (
	"maps"
	"math"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// refusalWeight is the weight of the newest outcome in the share of requests that a server refuses, over all daemons.
	refusalWeight = 0.3
	// refusalMemory is the time constant with which that share fades. A server that refused all it got is tried again soon, at the latest
	// when the others have more to do, and a refusal renews what is known of it.
	refusalMemory = 2 * core.Second
	// A request with more than minRefusalSlack until it must be placed waits for a server that takes requests, rather than use its first
	// arrival at one that would cost it more than maxRefusalLossShare of its benefit. Others have no time to wait.
	maxRefusalLossShare = 0.3
	minRefusalSlack     = 200 * core.Millisecond
	// A server is logged as refusing from refusingShare on, until its share has fallen below half of that.
	refusingShare = 0.5
)

// refusals estimates which share of the requests of all daemons a server refuses.
type refusals struct {
	estimate float64
	at       core.Micros
	// logged is set while the server is logged as refusing.
	logged bool
}

// countSent counts a request that a daemon has sent to the server, as accepted unless countRefused follows.
func (r *refusals) countSent(now core.Micros) { r.estimate = (1 - refusalWeight) * r.share(now) }

// countRefused counts the refusal of a request.
func (r *refusals) countRefused(now core.Micros) { r.estimate = min(1, r.share(now)+refusalWeight) }

// share returns the share of requests that the server is expected to refuse.
func (r *refusals) share(now core.Micros) float64 {
	if now > r.at {
		r.estimate *= math.Exp(-float64(now-r.at) / float64(refusalMemory))
		r.at = now
	}
	return r.estimate
}

// Accepting reports whether a service has a server that takes most of what it gets, so that a request which others have refused can be
// taken if it comes again.
func (c *Core) Accepting(now core.Micros, service string) bool {
	svc := c.services[service]
	return svc != nil && slices.ContainsFunc(svc.servers, func(s *server) bool {
		return !s.Leaving && s.standing.admits(now) && !s.suspect(now) && s.refusals.share(now) < refusingShare
	})
}

// changed reports whether the server has begun or ceased to refuse most of what it gets.
func (r *refusals) changed(now core.Micros) bool {
	share := r.share(now)
	if r.logged == (share >= refusingShare) || r.logged && share >= refusingShare/2 {
		return false
	}
	r.logged = !r.logged
	return true
}

// serverRefused counts a refusal of a request of this daemon or of a peer.
func (c *Core) serverRefused(now core.Micros, s *server) {
	s.refusals.countRefused(now)
	c.reportRefusals(now, s)
}

// refreshRefusals reports servers that have ceased to refuse what they get.
func (c *Core) refreshRefusals(now core.Micros) {
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		if s := c.servers[id]; s.refusals.logged {
			c.reportRefusals(now, s)
		}
	}
}

// reportRefusals reports for the log whether a server has begun or ceased to refuse most of what it gets.
func (c *Core) reportRefusals(now core.Micros, s *server) {
	if s.refusals.changed(now) {
		c.emit(RefusalsChanged{Process: s.Process(), Refusing: s.refusals.logged, Share: s.refusals.share(now)})
	}
}

// compareRefusals sets by how much more each candidate refuses than the one that refuses least. Only the difference counts: where all
// servers refuse alike, a request is not worth less than others.
func compareRefusals(now core.Micros, list []*candidate) {
	least := 1.0
	for _, s := range list {
		least = min(least, s.refusals.share(now))
	}
	for _, s := range list {
		s.refusalRate = s.refusals.share(now) - least
	}
}
