package dispatch

import (
	"maps"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/ratelimit"
)

// A server that has just started is slow for some seconds and crashes at a rate well above the one that its service states for cold
// servers. In no second may the requests of all daemons exceed 1.5 times that rate and 5 more, also if daemons do not hear of each
// other. Two rules keep them below it:
//
//   - Each daemon sends only in its turns (ratelimit.Turns), at most one request in each. The turns of all known daemons add up to
//     turnsShare of the rate at most, whether they hear of each other or not.
//   - All daemons count each other's requests against a bucket of coldRateShare of the rate, which lowers the peaks in which many turns
//     coincide. A daemon that hears only a part of the others takes only that part of the rate.
//
// Turns also spread the choice: few daemons have a turn at the same cold server at the same time.
//
// In a deployment of several cells a daemon does not know whether those of other cells use the servers of its own: they do if their
// servers are evacuated, which each daemon learns at another time. Therefore a part of each server's rate is always left to the daemons
// of other cells.
const (
	// coldRateShare is the share of the tolerated rate that is used. With the bound at 1.5 times the rate, it leaves a margin of a
	// factor of two for lost announcements.
	coldRateShare = 0.7
	// turnsShare is the share of the tolerated rate that the turns of all daemons add up to while all of them are heard; otherwise it is
	// coldRateShare. It is larger because the bucket bounds what is sent, and turns without a request go unused.
	turnsShare = 0.9
	// foreignTurnsShare is the part of the rate that the turns of the daemons of all other cells add up to. Their use is rare and
	// lasts for a cold time, so that it is small; the daemons of the server's cell do without it at all times.
	foreignTurnsShare = 0.2
	// coldBurst is how many requests the bucket saves.
	coldBurst = 2
	// A daemon does not know all others in its first seconds. It counts at least startupDaemons until then, and one for each server:
	// deployments have somewhat more daemons than servers, or far fewer.
	startupPeriod  = 3 * core.Second
	startupDaemons = 64
	// Prompts over coldLongTokens go to a cold server only in the last part of its cold time, 1/coldLongPart. They occupy an engine
	// for longer than it is slow, and it would read nothing else meanwhile.
	coldLongTokens = 100_000
	coldLongPart   = 3
	// coldChange is the least change of the end of a cold time that is announced. The times that a server states differ by the
	// delays of its answers.
	coldChange = 500 * core.Millisecond
	// recentSends is how far back requests count that were sent before a server became cold.
	recentSends = core.Second
)

// MaxCold bounds a cold time. A faulty entry could otherwise slow a server for days.
const MaxCold = 2 * core.Minute

// coldness is what a daemon knows about the cold time of a process.
type coldness struct {
	// perSecond and usual are those of the service: the tolerated rate, 0 if its servers are never cold, and the cold time after a start.
	perSecond float64
	usual     core.Micros
	// listed is the end of the cold time by the entry of the server, evacuated that after an evacuation.
	listed, evacuated core.Micros
	// active is set while the server is treated as cold; since is when that began.
	active bool
	since  core.Micros
	bucket ratelimit.Bucket
	// sent is when this daemon last sent a request to the server.
	sent core.Micros
}

// coldNotice is what a process has said about its cold time.
type coldNotice struct {
	until   core.Micros
	heardAt core.Micros
	// announced is the end that the other daemons know. Many changes that are too small to be announced add up.
	announced core.Micros
	// changedAt is when this daemon last saw a change for itself.
	changedAt core.Micros
}

// coldDiffers reports whether the end of a cold time differs from the known one by a change that others have to know at a time.
func coldDiffers(now, known, until core.Micros) bool {
	before, after := max(0, known-now), max(0, until-now)
	return (before > 0) != (after > 0) || max(before-after, after-before) >= coldChange
}

// listedCold applies the entry of a server and the settings of its service. evacuationEnded is set if its failure domain was evacuated
// until now.
func (s *server) listedCold(now core.Micros, svc *service, evacuationEnded bool) {
	s.coldness.perSecond, s.coldness.usual = svc.ColdPerSecond, svc.ColdStart
	s.coldness.listed = 0
	if s.ColdFor > 0 {
		s.coldness.listed = now + min(s.ColdFor, MaxCold)
	}
	if evacuationEnded {
		s.coldness.evacuated = now + min(svc.ColdStart, MaxCold)
	}
}

// coldEnd returns when a cold server is no longer cold, by the latest of all sources; 0 if it is not cold.
func (s *server) coldEnd(now core.Micros) core.Micros {
	if s.coldness.perSecond <= 0 {
		return 0
	}
	end := max(s.coldness.listed, s.coldness.evacuated)
	if s.standing != nil {
		end = max(end, s.standing.cold.until)
	}
	if end <= now {
		return 0
	}
	return end
}

func (s *server) cold(now core.Micros) bool { return s.coldEnd(now) > 0 }

// coldRate returns the number of requests a second of all daemons that a cold server gets.
func (s *server) coldRate() float64 { return coldRateShare * s.coldness.perSecond }

// refreshCold starts and ends the cold time of servers.
func (c *Core) refreshCold(now core.Micros) {
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		svc := c.services[name]
		if svc.ColdPerSecond <= 0 {
			continue
		}
		for _, s := range svc.servers {
			c.refreshColdServer(now, s)
		}
	}
}

func (c *Core) refreshColdServer(now core.Micros, s *server) {
	end := s.coldEnd(now)
	if cold := end > 0; cold != s.coldness.active {
		s.coldness.active = cold
		if cold {
			s.startCold(now)
		}
		c.emit(ColdChanged{Process: s.Process(), Cold: cold, Left: max(0, end-now)})
	}
	c.updateSlowdown(s)
}

// startCold begins a cold time. The requests of the last second count already, since a server may become cold again at any moment.
func (s *server) startCold(now core.Micros) {
	s.coldness.since = now
	s.coldness.bucket = ratelimit.NewBucket(now, s.coldRate(), coldBurst)
	for _, j := range s.jobs {
		if now-j.placed < recentSends {
			s.coldness.bucket.Sent(now)
		}
	}
}

// reportedSlowdown applies the slowdown that a server reported.
func (c *Core) reportedSlowdown(now core.Micros, s *server, slowdown float64) {
	s.reported = slowdown
	if svc := c.services[s.Service]; svc != nil && s.cold(now) {
		svc.coldSlowdown = slowdown
	}
	c.updateSlowdown(s)
}

// updateSlowdown sets the slowdown to plan with. A server that has become cold since its last report is as slow as other cold ones.
func (c *Core) updateSlowdown(s *server) {
	s.slowdown = s.reported
	if svc := c.services[s.Service]; svc != nil && s.coldness.active {
		s.slowdown = max(s.slowdown, svc.coldSlowdown)
	}
}

// severalCells reports whether the deployment has several cells of daemons.
func (c *Core) severalCells() bool { return c.allDaemons > max(c.daemons, c.knownDaemons) }

// coldTurns returns the number of daemons that share the turns at a cold server with this one, those that are away included, and the part
// of the rate that these turns add up to. The parts of a server's cell and of the others do not depend on what the others know.
func (c *Core) coldTurns(now core.Micros, s *server) (daemons int, share float64) {
	daemons, share = max(c.daemons, c.knownDaemons), turnsShare
	if c.daemons < c.knownDaemons {
		share = coldRateShare
	}
	switch svc := c.services[s.Service]; {
	case svc.Undivided:
		// Daemons of other cells send nothing from which this one could tell that it hears them.
		daemons, share = max(daemons, c.allDaemons), coldRateShare
	case s.Foreign:
		daemons, share = max(daemons, c.allDaemons), foreignTurnsShare
	case c.severalCells():
		share -= foreignTurnsShare
	}
	if now < startupPeriod {
		daemons = max(daemons, startupDaemons, len(c.servers))
	}
	return daemons, share
}

// coldLimit is what a cold server takes from this daemon.
type coldLimit struct {
	// at is the time from which on the bucket, and the rule for long prompts, admit a request. end is that of the cold time.
	at, end core.Micros
	turns   ratelimit.Turns
}

// coldLimit returns what a cold server takes of requests like w, and false for servers that are not cold.
func (c *Core) coldLimit(now core.Micros, s *server, w *Work) (limit coldLimit, cold bool) {
	end := s.coldEnd(now)
	if end == 0 {
		return coldLimit{}, false
	}
	c.refreshColdServer(now, s)
	limit = coldLimit{at: now, end: end}
	if w.Prompt > coldLongTokens {
		limit.at = max(now, end-max(s.coldness.usual, end-s.coldness.since)/coldLongPart)
	}
	heard := min(1, float64(c.daemons)/float64(max(1, c.knownDaemons)))
	s.coldness.bucket.SetRate(now, s.coldRate()*heard)
	limit.at = max(limit.at, s.coldness.bucket.AdmitsAt(now, 0))
	daemons, share := c.coldTurns(now, s)
	limit.turns = ratelimit.NewTurns(c.seed, s.idHash, daemons, share*s.coldness.perSecond)
	return limit, true
}

// coldAdmits reports whether a server takes a request of this daemon now, as far as it is cold.
func (c *Core) coldAdmits(now core.Micros, s *server, w *Work) bool {
	limit, cold := c.coldLimit(now, s, w)
	return !cold || limit.at <= now && limit.turns.Admits(now, s.coldness.sent)
}

// coldAdmitsAt returns the time from which on a server takes a request of this daemon although it is cold, if no other daemon sends it
// one; now if it is not cold.
func (c *Core) coldAdmitsAt(now core.Micros, s *server, w *Work) core.Micros {
	limit, cold := c.coldLimit(now, s, w)
	if !cold {
		return now
	}
	return min(limit.end, limit.turns.Next(limit.at, s.coldness.sent))
}

// countColdSent counts a request, and the parts of its prompt on helpers, against the rate of the cold servers among its engines. It
// reports whether there are any. own is set for requests of this daemon.
func (c *Core) countColdSent(now core.Micros, engines []*server, own bool) bool {
	found := false
	for _, s := range engines {
		if !s.cold(now) {
			continue
		}
		found = true
		c.refreshColdServer(now, s)
		s.coldness.bucket.Sent(now)
		if own {
			s.coldness.sent = max(now, 1)
		}
	}
	return found
}

// coldHeard applies what a process said to this daemon about its cold time.
func (c *Core) coldHeard(now core.Micros, st *standing, left core.Micros) {
	until := now + max(0, min(left, MaxCold))
	if coldDiffers(now, st.cold.announced, until) {
		st.cold.changedAt, st.cold.announced = now, until
		c.emit(AnnounceCold{Process: st.process, Left: until - now})
	}
	st.cold.until, st.cold.heardAt = until, now
	c.refreshColdOf(now, st)
}

// peerSawCold applies what a process said to another daemon about its cold time.
func (c *Core) peerSawCold(e PeerSawCold) {
	st := c.standings.update(e.Now, e.Process)
	c.attachStanding(e.Process, st)
	age := max(0, e.Age)
	heard := e.Now - age
	until := heard + max(0, min(e.Left, MaxCold))
	// A repeated statement seems newer by the delay of the message. Without a change it is left out, so that it does not move the end
	// each time that daemons exchange it.
	if known := st.cold.heardAt != 0; known && (heard <= st.cold.heardAt || !coldDiffers(e.Now, st.cold.until, until)) {
		return
	}
	st.cold.until, st.cold.heardAt, st.cold.announced = until, heard, until
	c.refreshColdOf(e.Now, st)
}

func (c *Core) refreshColdOf(now core.Micros, st *standing) {
	if s := c.servers[st.process.ID]; s != nil && s.standing == st {
		c.refreshColdServer(now, s)
	}
}

// ColdNotices returns what processes said about their cold time, as far as this daemon saw a change for itself after the given time,
// or all that are cold, in no particular order.
func (c *Core) ColdNotices(now, after core.Micros, all bool) []PeerSawCold {
	var out []PeerSawCold
	for p, st := range c.standings {
		if st.cold.changedAt > max(0, after) || all && st.cold.until > now { // 0 means that there was no change
			out = append(out, PeerSawCold{Process: p, Left: max(0, st.cold.until-st.cold.heardAt), Age: now - st.cold.heardAt})
		}
	}
	return out
}

// ColdServers returns the number of servers that are cold.
func (c *Core) ColdServers(now core.Micros) int {
	count := 0
	for _, s := range c.servers {
		if s.cold(now) {
			count++
		}
	}
	return count
}
