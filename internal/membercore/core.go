package membercore

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"

	"github.com/carobstile/carobstile/internal/core"
)

// Times of the protocol. Detection takes up to a probe interval, the probe's own second and the suspicion time.
const (
	probeInterval = 1 * core.Second
	ackTimeout    = 300 * core.Millisecond
	probeTimeout  = 700 * core.Millisecond
	suspicionTime = 4 * core.Second
	syncInterval  = 15 * core.Second
	// firstSync is the first interval between full exchanges, doubled until syncInterval. When all daemons start at
	// once, updates on probes alone need 40 s to make 360 of them known to each other.
	firstSync    = 1 * core.Second
	healInterval = 5 * core.Second
	// lonelyInterval replaces healInterval while no other member is known, so that a starting daemon joins quickly.
	lonelyInterval = 1 * core.Second
	deadRetention  = 10 * core.Minute
	// pauseGap between two events, which come at least once per probe interval, shows that this process was paused.
	pauseGap = 2 * core.Second
)

// Numbers of the protocol.
const (
	indirectProbers = 3
	// verifyPerInterval bounds the extra probes that check what a full exchange claims.
	verifyPerInterval = 4
	// joinSyncs is the number of seeds asked for their table at once while no other member is known. Some of the seeds
	// may be gone.
	joinSyncs = 3
	// urgentHints is the number of members told at once by the daemon where a suspicion, a refutation, a leave or a crash
	// record begins, and relayedHints by those that hear of one of the first three. Nearly all of 360 daemons know within a
	// few hops (with 2, only four in five did), so that suspicions end at about the same time everywhere and are refuted
	// before.
	urgentHints  = 4
	relayedHints = 3
	// hintsPerInterval bounds them to about 4 KB/s when many members change at once.
	hintsPerInterval = 8
	// urgentReach is the number of members that get urgent records at once; today's deployments have up to 9 hosts.
	urgentReach = 16
)

// Keys of timers; keySuspect and keyAck are followed by a member's name and a sequence number.
const (
	keyProbe   = "probe"
	keySync    = "sync"
	keyHeal    = "heal"
	keySuspect = "suspect/"
	keyAck     = "ack/"
)

// Core is the membership view of one daemon.
type Core struct {
	self       Member
	seeds      []string
	generation uint64
	random     *rand.Rand
	now        core.Micros
	joined     bool

	members map[string]*entry
	// names are the keys of members, sorted, for iteration in a fixed order.
	names []string
	// phase is this daemon's place in each probe interval.
	phase    core.Micros
	rotation rotation

	sequence  uint64
	probes    map[uint64]*probe
	relays    map[uint64]relay
	hintsLeft int
	syncWait  core.Micros
	// verify holds claims of full exchanges that a member is gone, until it is probed.
	verify []Member

	queue   []*queued
	serial  uint64
	records map[string]*heldRecord

	out []Effect
}

type entry struct {
	Member
	// deadline ends the suspicion of a suspect or silent leaving member; 0 when there is none.
	deadline  core.Micros
	deadSince core.Micros
}

// New returns the core of a daemon. The incarnation of self must be higher than in earlier runs of the same name; the
// start time in microseconds is.
func New(self Member, seed uint64) *Core {
	self.State = Alive
	return &Core{
		self: self, hintsLeft: hintsPerInterval, random: rand.New(rand.NewPCG(seed, 0)),
		members: map[string]*entry{}, probes: map[uint64]*probe{}, relays: map[uint64]relay{},
		records: map[string]*heldRecord{},
	}
}

// Step takes in one event and returns what is to be done, in order.
func (c *Core) Step(ev Event) []Effect {
	c.out = nil
	c.advance(ev.at())
	switch e := ev.(type) {
	case Started:
		c.start(e)
	case SeedsChanged:
		c.seeds = e.Seeds
	case PacketReceived:
		c.receive(e.Packet)
	case TimerFired:
		c.timer(e.Key)
	case GenerationSet:
		c.generation = max(c.generation, e.Generation)
	case HintRequested:
		for _, address := range e.To {
			c.send(address, "", Packet{Kind: Hint})
		}
	case RecordsAdded:
		c.addRecords(e.Records)
		if e.Urgent {
			c.tellUrgent(e.Records)
			break
		}
		c.hint(urgentHints)
	case LeaveRequested:
		c.leave()
	case SyncRequested:
		answer := c.answerTable(e.Table)
		c.merge(e.Table)
		c.emit(ReplySync{Table: answer})
	case SyncAnswered:
		c.merge(e.Table)
	}
	return c.out
}

// Self returns this daemon's own record.
func (c *Core) Self() Member { return c.self }

// Members returns all known members with this daemon, sorted by name.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.names)+1)
	out = append(out, c.self)
	for _, name := range c.names {
		out = append(out, c.members[name].Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) setTimer(key string, at core.Micros) { c.emit(SetTimer{Key: key, At: at}) }

func (c *Core) start(e Started) {
	c.seeds = e.Seeds
	c.enqueue(c.self.Name, false)
	// Random phases keep daemons that start together from probing in step.
	c.phase = c.jitter(probeInterval)
	c.setTimer(keyProbe, c.nextProbe())
	c.syncWait = firstSync
	c.setTimer(keySync, c.now+c.jitter(c.syncWait))
	c.setTimer(keyHeal, c.now+lonelyInterval)
	c.join()
}

// advance takes in the time. After a pause of this process the unread packets are older than the timers, so nothing is
// concluded from probes and suspicions that ran out meanwhile.
func (c *Core) advance(now core.Micros) {
	paused := c.now != 0 && now-c.now > pauseGap
	c.now = max(c.now, now)
	if !paused {
		return
	}
	clear(c.probes)
	for _, name := range c.names {
		if e := c.members[name]; e.deadline != 0 {
			c.suspectUntil(e, c.now+suspicionTime)
		}
	}
}

func (c *Core) timer(key string) {
	switch {
	case key == keyProbe:
		c.setTimer(keyProbe, c.nextProbe())
		c.hintsLeft = hintsPerInterval
		c.purge()
		c.probeNext()
		c.probeClaims()
	case key == keySync:
		c.setTimer(keySync, c.now+c.syncWait)
		c.syncWait = min(2*c.syncWait, syncInterval)
		for _, m := range c.pick(1, "") {
			c.emit(StartSync{To: m.Address, Table: c.table()})
		}
	case key == keyHeal:
		c.heal()
	case strings.HasPrefix(key, keySuspect):
		c.suspicionOver(strings.TrimPrefix(key, keySuspect))
	case strings.HasPrefix(key, keyAck):
		if sequence, err := strconv.ParseUint(strings.TrimPrefix(key, keyAck), 10, 64); err == nil {
			c.ackMissing(sequence)
		}
	}
}

// nextProbe returns the next time in this daemon's phase, so that delays of the timer do not add up.
func (c *Core) nextProbe() core.Micros {
	intervals := (c.now - c.phase) / probeInterval
	return (intervals+1)*probeInterval + c.phase
}

func (c *Core) leave() {
	if c.self.State == Leaving {
		return
	}
	c.self.State = Leaving
	c.self.Incarnation++
	c.enqueue(c.self.Name, true)
	c.emit(MemberChanged{Member: c.self, Previous: Alive})
	c.hint(urgentHints)
}

// hint sends what is to be passed on to up to n random members at once.
func (c *Core) hint(n int) {
	n = min(n, c.hintsLeft)
	c.hintsLeft -= n
	for _, m := range c.pick(n, "") {
		c.send(m.Address, m.Name, Packet{Kind: Hint})
	}
}

// tellUrgent sends records to members at once, whatever other hints have used up.
func (c *Core) tellUrgent(records []Record) {
	for _, m := range c.pick(urgentReach, "") {
		c.send(m.Address, m.Name, Packet{Kind: Hint, Records: records})
	}
}

// pick returns up to n random live members other than the named one.
func (c *Core) pick(n int, except string) []Member {
	var live []Member
	for _, name := range c.names {
		if e := c.members[name]; e.Live() && name != except {
			live = append(live, e.Member)
		}
	}
	n = min(n, len(live))
	for i := range n {
		j := i + c.random.IntN(len(live)-i)
		live[i], live[j] = live[j], live[i]
	}
	return live[:n]
}

func (c *Core) jitter(span core.Micros) core.Micros {
	return core.Micros(c.random.Int64N(int64(span))) + 1
}
