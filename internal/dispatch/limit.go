package dispatch

import (
	"math"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/ratelimit"
)

// admittedAt returns the time from which on the limits of a server admit a request of this daemon: the limit that it named, and
// while it is cold that for cold servers.
func (c *Core) admittedAt(now core.Micros, s *server, w *Work) core.Micros {
	return max(c.limitedAt(now, s), c.coldAdmitsAt(now, s, w))
}

// limitedAt returns the time from which on a server's limit admits a request of this daemon, if no other daemon sends it one.
func (c *Core) limitedAt(now core.Micros, s *server) core.Micros {
	if !s.limited() {
		return now
	}
	l := &s.standing.limit
	l.bucket.SetRate(now, l.perSecond)
	return l.bucket.AdmitsAt(now, ratelimit.Reserve(now, c.seed, s.idHash))
}

func (s *server) limited() bool { return s.standing != nil && s.standing.limit.named }

// countSent counts a request of any daemon against the limit of its server.
func (s *server) countSent(now core.Micros) {
	if s.limited() {
		s.standing.limit.bucket.Sent(now)
	}
}

// shortage says why no server of a service takes a request now.
type shortage struct {
	// until is when the first server takes requests again.
	until core.Micros
	// perSecond is what this daemon gets of the limits of the servers if all daemons get the same part; 0 if all servers asked for a
	// pause.
	perSecond float64
	// cold is set if some of the servers are cold. warmAt is when the first of them is not any more, and has no other limit.
	cold   bool
	warmAt core.Micros
}

// shortageOf reports whether all servers that could receive the request have asked for a pause or have used up their limits.
func (c *Core) shortageOf(now core.Micros, w *Work, svc *service) (short shortage, found bool) {
	for _, s := range svc.servers {
		if s.Leaving || slices.Contains(w.Exclude, s.ID) || s.standing != nil && s.standing.leaving {
			continue
		}
		until := c.admittedAt(now, s, w)
		if until > now {
			short.add(c.rate(now, s), s.coldEnd(now), s.limited())
		}
		if s.standing != nil && s.standing.pause.active(now) {
			until = max(until, s.standing.pause.until)
		}
		if until <= now {
			return shortage{}, false
		}
		if !found || until < short.until {
			short.until, found = until, true
		}
	}
	return short, found
}

// add counts a server whose limits are used up. coldEnd is when it is no longer cold, 0 if it is not cold; limited is set if it named
// a limit.
func (s *shortage) add(perSecond float64, coldEnd core.Micros, limited bool) {
	s.perSecond += perSecond
	if coldEnd == 0 {
		return
	}
	s.cold = true
	if !limited && (s.warmAt == 0 || coldEnd < s.warmAt) {
		s.warmAt = coldEnd
	}
}

// rate returns the number of requests a second of this daemon that the limits of a server allow if all daemons get the same part.
func (c *Core) rate(now core.Micros, s *server) float64 {
	rate := math.Inf(1)
	if s.limited() {
		daemons := c.daemons
		if c.services[s.Service].Shared {
			daemons = max(daemons, c.allDaemons)
		}
		rate = s.standing.limit.bucket.Rate() / float64(daemons)
	}
	if s.cold(now) {
		daemons, share := c.coldTurns(now, s)
		rate = min(rate, min(share, coldRateShare)*s.coldness.perSecond/float64(daemons))
	}
	return rate
}

// refuseInShortage refuses a request that will not be served in time because all servers of its service asked for a pause or
// have used up their limits. It returns false for any other request. ahead is the number of waiting requests for the service
// that come before it.
func (c *Core) refuseInShortage(now core.Micros, w *Work, svc *service, ahead int) bool {
	short, found := c.shortageOf(now, w, svc)
	if !found {
		return false
	}
	served, retryAt := short.until, short.until
	reason := "all servers of the service asked for a pause"
	if short.perSecond > 0 {
		turn := core.Micros(float64(core.Second) / short.perSecond) // the mean time between two requests of this daemon
		served += core.Micros(ahead) * turn
		retryAt = max(served, now+core.Micros(ahead+1)*turn)
		reason = "all servers of the service have used up the limits that they named"
		if short.cold {
			reason = "all servers of the service are cold or limited, and take no more requests now"
		}
		if short.warmAt > 0 {
			served, retryAt = min(served, max(short.until, short.warmAt)), min(retryAt, max(short.until, short.warmAt))
		}
	}
	if served < min(w.FirstEventDue, w.AbandonAt, w.Deadline) {
		return false
	}
	c.refuse(now, w, retryAt-now, reason)
	return true
}
