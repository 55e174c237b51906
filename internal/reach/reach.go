// Package reach decides whether a daemon is cut off from the backend servers, as opposed to servers that are down. It compares
// the daemon's own attempts to connect with what its neighbours have reached since. It has no clock and no I/O.
package reach

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// hintDelay is the longest usual delay of a neighbour's announcement. An answer that is announced later after a failure came after it.
	hintDelay = 300 * core.Millisecond
	// An answer, or a connection that was opened, counts for reachedWithin, and a failure for failedWithin.
	reachedWithin = 1500 * core.Millisecond
	failedWithin  = 4 * core.Second
	// minLost and minLostShare are the number of lost servers, and their share of those that are lost or reached, from which on the daemon
	// is cut off.
	minLost      = 3
	minLostShare = 0.7
	// minOpened is the number of servers to which a connection must be opened before the daemon is no longer cut off.
	minOpened = 2
	// probeInterval is the time between two rounds of probes. They show whether a daemon that is cut off still is, with probesPerRound
	// connections, and whether one that suspects it is, with suspectProbes.
	probeInterval  = 500 * core.Millisecond
	probesPerRound = 2
	suspectProbes  = 4
	// A daemon suspects that it is cut off while minSuspectFailing servers fail, and no fewer than it reaches, or any while it reaches none; or for hintedWithin after a
	// neighbour close by said that it is cut off, while it reaches fewer than minLost servers.
	minSuspectFailing = 2
	hintedWithin      = 3 * core.Second
	// A daemon that suspects a cut, or is cut off, asks others each askInterval for what they reach of at most maxAsked servers that fail it.
	askInterval = 500 * core.Millisecond
	maxAsked    = 64
	// calmAfter is how long no connection may fail before the daemon is no longer cut off: some servers may let it through.
	calmAfter = 3 * probeInterval
)

// server is what is known about the way to one backend server. Times are 0 if there was none.
type server struct {
	// failingSince is the first failure since a connection was last opened; silent is set if connections were opened but brought no answer.
	failingSince, failedAt core.Micros
	silent                 bool
	openedAt, reachedAt    core.Micros
	// answeredAt is when the daemon last got an answer, peerAt when a neighbour did.
	answeredAt, peerAt core.Micros
}

// lost reports whether neighbours reach the server and this daemon does not.
func (s *server) lost(now core.Micros) bool {
	return s.failingSince > 0 && now-s.failedAt <= failedWithin && s.peerAt >= s.failingSince+hintDelay
}

// reached reports whether this daemon reaches the server.
func (s *server) reached(now core.Micros) bool {
	return s.failingSince == 0 && s.reachedAt > 0 && now-s.reachedAt <= reachedWithin
}

// Change says that the daemon has become cut off, or is no longer.
type Change struct {
	CutOff bool
	// Lost is the number of lost servers, Reached that of servers that the daemon reaches, Opened that of servers to which a connection was
	// opened since the daemon became cut off.
	Lost, Reached, Opened int
}

// View is what a daemon knows about its way to the servers.
type View struct {
	servers  map[string]*server
	cutOff   bool
	since    core.Micros
	failedAt core.Micros
	probedAt core.Micros
	hintedAt core.Micros
	askedAt  core.Micros
}

// New returns the view of a daemon that has tried nothing yet.
func New() *View { return &View{servers: map[string]*server{}} }

// SetServers sets the servers that are listed.
func (v *View) SetServers(ids []string) {
	listed := make(map[string]*server, len(ids))
	for _, id := range ids {
		listed[id] = v.servers[id]
		if listed[id] == nil {
			listed[id] = &server{}
		}
	}
	v.servers = listed
}

// Opened records that the daemon has opened a connection to a server. After a failure without an answer that alone shows no way to it.
func (v *View) Opened(now core.Micros, id string) {
	if s := v.servers[id]; s != nil {
		s.openedAt, s.reachedAt = now, now
		if !s.silent {
			s.failingSince = 0
		}
	}
}

// Answered records that the daemon got an answer from a server, on whatever connection.
func (v *View) Answered(now core.Micros, id string) {
	s := v.servers[id]
	if s == nil {
		return
	}
	s.reachedAt, s.answeredAt = now, now
	if s.silent {
		s.failingSince, s.silent = 0, false
	}
}

// Failed records that the daemon could not open a connection to a server, or got no answer on one if silent is set.
func (v *View) Failed(now core.Micros, id string, silent bool) {
	s := v.servers[id]
	if s == nil {
		return
	}
	if s.failingSince == 0 {
		s.failingSince, s.silent = now, silent
	}
	s.silent = s.silent && silent
	s.failedAt, v.failedAt = now, now
}

// PeerReached records that a neighbour got an answer from a server at a time.
func (v *View) PeerReached(at core.Micros, id string) {
	if s := v.servers[id]; s != nil {
		s.peerAt = max(s.peerAt, at)
	}
}

// AnsweredAt returns when the daemon last got an answer from a server, and whether the server is listed. It is 0 if there was none.
func (v *View) AnsweredAt(id string) (at core.Micros, listed bool) {
	if s := v.servers[id]; s != nil {
		return s.answeredAt, true
	}
	return 0, false
}

// CutOff reports whether the daemon is cut off.
func (v *View) CutOff() bool { return v.cutOff }

// Update decides anew, and reports a change.
func (v *View) Update(now core.Micros) (Change, bool) {
	c := Change{CutOff: v.cutOff}
	for _, s := range v.servers {
		if s.lost(now) {
			c.Lost++
		}
		if s.reached(now) {
			c.Reached++
		}
		if v.cutOff && s.openedAt > v.since {
			c.Opened++
		}
	}
	if !v.cutOff {
		c.CutOff = c.Lost > 0 && c.Lost >= min(minLost, len(v.servers)) && float64(c.Lost) >= minLostShare*float64(c.Lost+c.Reached)
	} else {
		c.CutOff = c.Opened < min(minOpened, len(v.servers)) || now-v.failedAt <= calmAfter
	}
	if c.CutOff == v.cutOff {
		return c, false
	}
	v.cutOff, v.since = c.CutOff, now
	if !v.cutOff {
		v.forget()
	}
	return c, true
}

// forget drops the failures of the time in which the daemon was cut off.
func (v *View) forget() {
	for _, s := range v.servers {
		s.failingSince, s.silent = 0, false
	}
}

// Hint records that a neighbour close by is cut off.
func (v *View) Hint(now core.Micros) { v.hintedAt = now }

// suspects reports whether the daemon may be cut off, and has tried too few servers to know.
func (v *View) suspects(now core.Micros) bool {
	failing, reached := 0, 0
	for _, s := range v.servers {
		if s.failingSince > 0 && now-s.failedAt <= failedWithin {
			failing++
		}
		if s.reached(now) {
			reached++
		}
	}
	hinted := v.hintedAt > 0 && now-v.hintedAt <= hintedWithin
	return failing >= minSuspectFailing && failing >= reached || failing > 0 && reached == 0 || hinted && reached < minLost
}

// Asks returns the servers that fail the daemon, if other daemons are to be asked now whether they reach them.
func (v *View) Asks(now core.Micros) []string {
	if now-v.askedAt < askInterval || !v.cutOff && !v.suspects(now) {
		return nil
	}
	v.askedAt = now
	var ids []string
	for id, s := range v.servers {
		if s.failingSince > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(maxAsked, len(ids))]
}

// Probes returns the servers that are to be probed now, to see whether the daemon is cut off, or still is.
func (v *View) Probes(now core.Micros) []string {
	count := probesPerRound
	if !v.cutOff {
		count = suspectProbes
	}
	if now-v.probedAt < probeInterval || !v.cutOff && !v.suspects(now) {
		return nil
	}
	v.probedAt = now
	ids := slices.Sorted(maps.Keys(v.servers))
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(count, len(ids))]
}
