package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/ratelimit"
)

const (
	// noticeTTL is how long a notice is kept after it was last heard of a process that is no longer listed. Entries that
	// reappear later describe another process.
	noticeTTL = core.Hour
	// maxNotices bounds the notices of processes that are no longer listed.
	maxNotices = 4096
)

// Process identifies one process of a backend server. A server that restarts with the same ID is another process.
type Process struct {
	ID        string
	StartedAt int64
}

// Process returns the process that the server's entry describes.
func (s Server) Process() Process { return Process{ID: s.ID, StartedAt: s.StartedAt} }

// Notice is what a server says about itself in the header of a response.
type Notice struct {
	// Leaving is set if the process is about to stop and accepts no new requests.
	Leaving bool
	// PauseFor is how long the server wants no requests from this daemon; 0 if it does not say. PauseText is the value as
	// sent, for the log.
	PauseFor  time.Duration
	PauseText string
	// LimitPerSecond is how many requests a second the process takes from all daemons together, if LimitNamed is set.
	LimitNamed     bool    `json:",omitempty"`
	LimitPerSecond float64 `json:",omitempty"`
	// ColdFor is how long the process stays cold, if ColdNamed is set.
	ColdNamed bool          `json:",omitempty"`
	ColdFor   time.Duration `json:",omitempty"`
}

// Empty reports whether the notice says nothing.
func (n Notice) Empty() bool { return n == Notice{} }

// standing is what a process has said about itself so far.
type standing struct {
	process Process
	leaving bool
	// leavingSince is when the process first said that it is leaving, to this daemon or to a neighbour.
	leavingSince core.Micros
	// direct is set if it said so to this daemon.
	direct  bool
	pause   pause
	limit   limit
	cold    coldNotice
	heardAt core.Micros
}

// limit is how many requests a second a process takes from all daemons together.
type limit struct {
	named     bool
	perSecond float64
	// heardAt is when the process last named it, or was last known to name none.
	heardAt core.Micros
	// changedAt is when this daemon last saw a change for itself.
	changedAt core.Micros
	bucket    ratelimit.Bucket
}

// apply sets what the process has said at a time.
func (l *limit) apply(now, heard core.Micros, named bool, perSecond float64) (changed bool) {
	changed = l.named != named || named && l.perSecond != perSecond
	if named && !l.named { // nothing is saved from before the limit
		l.bucket = ratelimit.Bucket{}
		l.bucket.SetRate(now, perSecond)
	}
	l.named, l.perSecond, l.heardAt = named, perSecond, heard
	return changed
}

// admits reports whether the process may receive a request now. A process that has said nothing does.
func (st *standing) admits(now core.Micros) bool {
	return st == nil || !st.leaving && st.pause.admits(now)
}

// sent records that a job was assigned to the process.
func (st *standing) sent(job uint64) {
	if st != nil {
		st.pause.sent(job)
	}
}

// leave marks the process as leaving. It reports whether that is new.
func (st *standing) leave(now core.Micros) bool {
	if st.leaving {
		return false
	}
	st.leaving, st.leavingSince = true, now
	return true
}

// answered records that the process serves a job.
func (st *standing) answered(job uint64) {
	if st != nil {
		st.pause.answered(job)
	}
}

// ended records that a job on the process has ended.
func (st *standing) ended(job uint64) {
	if st != nil {
		st.pause.ended(job)
	}
}

// standings holds the standing of each process that has said something about itself. A process that is leaving stays so:
// its entry in the store may still say otherwise, or reappear.
type standings map[Process]*standing

// update returns the standing of a process after it has said something.
func (s standings) update(now core.Micros, p Process) *standing {
	found := s[p]
	if found == nil {
		found = &standing{process: p}
		s[p] = found
	}
	found.heardAt = now
	return found
}

// prune drops the standings of processes that listed does not contain, if they are old or too many.
func (s standings) prune(now core.Micros, listed func(Process) bool) {
	var unlisted []*standing
	for p, st := range s {
		if listed(p) {
			continue
		}
		if st.heardAt+noticeTTL <= now {
			delete(s, p)
			continue
		}
		unlisted = append(unlisted, st)
	}
	if len(unlisted) <= maxNotices {
		return
	}
	slices.SortFunc(unlisted, func(a, b *standing) int { return cmp.Compare(a.heardAt, b.heardAt) })
	for _, st := range unlisted[:len(unlisted)-maxNotices] {
		delete(s, st.process)
	}
}

// serverNotice applies what a server said to this daemon.
func (c *Core) serverNotice(e ServerNotice) {
	st := c.standings.update(e.Now, e.Process)
	if e.Notice.Leaving && st.leave(e.Now) {
		st.direct = true
		c.emit(AnnounceLeaving{Process: e.Process})
	}
	if e.Notice.PauseFor > 0 {
		if !st.pause.active(e.Now) {
			c.emit(PauseStarted{Process: e.Process, Text: e.Notice.PauseText})
		}
		st.pause.extend(e.Now, core.FromDuration(e.Notice.PauseFor))
	}
	if e.Notice.LimitNamed {
		c.limitHeard(e.Now, st, true, e.Notice.LimitPerSecond)
	}
	c.attachStanding(e.Process, st)
	if e.Notice.ColdNamed {
		c.coldHeard(e.Now, st, core.FromDuration(e.Notice.ColdFor))
	}
}

// serverAnswered applies the answer to a request. One that names no limit ends the limit, if the request was sent after the
// process last named it: answers on different connections may overtake each other.
func (c *Core) serverAnswered(e ServerAnswered) {
	if st := c.standings[e.Process]; st != nil && st.limit.named && !e.Notice.LimitNamed && e.Sent > st.limit.heardAt {
		c.limitHeard(e.Now, st, false, 0)
	}
}

// limitHeard applies a limit that a process has named to this daemon, or its end.
func (c *Core) limitHeard(now core.Micros, st *standing, named bool, perSecond float64) {
	if st.limit.apply(now, now, named, perSecond) {
		st.limit.changedAt = now
		c.emit(LimitChanged{Process: st.process, Named: named, PerSecond: perSecond})
	}
}

// peerSawLimit applies a limit that a process has named to a neighbour, or its end.
func (c *Core) peerSawLimit(e PeerSawLimit) {
	st := c.standings.update(e.Now, e.Process)
	if heard := e.Now - max(0, e.Age); heard > st.limit.heardAt || st.limit.heardAt == 0 {
		st.limit.apply(e.Now, heard, e.Named, e.PerSecond)
	}
	c.attachStanding(e.Process, st)
}

// LimitChanges returns the limits whose last change this daemon saw for itself after the given time, or all known limits, in no
// particular order.
func (c *Core) LimitChanges(now, after core.Micros, all bool) []PeerSawLimit {
	var out []PeerSawLimit
	for p, st := range c.standings {
		if st.limit.changedAt > max(0, after) || all && st.limit.named { // 0 means that there was no change
			out = append(out, PeerSawLimit{
				Process: p, Named: st.limit.named, PerSecond: st.limit.perSecond, Age: now - st.limit.heardAt,
			})
		}
	}
	return out
}

// peerSawLeaving applies a neighbour's report that a process is leaving.
func (c *Core) peerSawLeaving(e PeerSawLeaving) {
	st := c.standings.update(e.Now, e.Process)
	st.leave(e.Now)
	c.attachStanding(e.Process, st)
}

func (c *Core) attachStanding(p Process, st *standing) {
	if s := c.servers[p.ID]; s != nil && s.Process() == p {
		s.standing = st
	}
}

// Accepts reports whether a process may receive something new from this daemon now.
func (c *Core) Accepts(now core.Micros, p Process) bool {
	s := c.servers[p.ID]
	return !c.Declines(now, p) && (s == nil || !s.Evacuated)
}

// Declines reports whether a process has said that it takes nothing new from this daemon now.
func (c *Core) Declines(now core.Micros, p Process) bool {
	st := c.standings[p]
	return st != nil && (st.leaving || st.pause.active(now))
}

// LeavingProcesses returns the processes that are known to be leaving, in no particular order.
func (c *Core) LeavingProcesses() []Process {
	var out []Process
	for p, st := range c.standings {
		if st.leaving {
			out = append(out, p)
		}
	}
	return out
}

// HeardLeaving returns the processes that first told this daemon after the given time that they are leaving, in no
// particular order.
func (c *Core) HeardLeaving(after core.Micros) []Process {
	var out []Process
	for p, st := range c.standings {
		if st.leaving && st.direct && st.leavingSince > after {
			out = append(out, p)
		}
	}
	return out
}
