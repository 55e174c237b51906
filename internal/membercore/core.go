package membercore

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"

	"github.com/carobstile/carobstile/internal/core"
)

// Timing of the protocol. Detection of a failed member takes up to probeInterval + probeTimeout + suspicionTimeout.
const (
	probeInterval    = 1 * core.Second
	ackTimeout       = 300 * core.Millisecond
	probeTimeout     = 700 * core.Millisecond
	suspicionTimeout = 4 * core.Second
	syncInterval     = 15 * core.Second
	// initialSyncInterval is the first interval between full exchanges. It doubles up to syncInterval. When 360 daemons
	// start at once, piggybacked updates alone take 40 s until all daemons know each other.
	initialSyncInterval = 1 * core.Second
	healInterval        = 5 * core.Second
	// isolatedHealInterval replaces healInterval while no other live member is known, so that a starting daemon joins
	// quickly.
	isolatedHealInterval = 1 * core.Second
	deadRetention        = 10 * core.Minute
	// pauseThreshold is the gap between two events above which this process is considered to have been paused. Events
	// normally occur at least once per probe interval.
	pauseThreshold = 2 * core.Second
)

// Limits of the protocol.
const (
	indirectProbers = 3
	// maxClaimProbesPerInterval limits the additional probes per probe interval that verify reported failures.
	maxClaimProbesPerInterval = 4
	// joinFanout is the number of seeds or dead members contacted at once for a full exchange while no live member is
	// known. Some of them may no longer exist.
	joinFanout = 3
	// originFanout is the number of hints sent at once by the daemon that originates a suspicion, a refutation, a leave or
	// a crash record. relayFanout is the number sent by each daemon that receives one of the first three. Nearly all of
	// 360 daemons are reached within a few hops (with a fan-out of 2, only 80 %), so that a suspicion times out everywhere
	// at about the same time and is refuted before that if the member runs.
	originFanout = 4
	relayFanout  = 3
	// maxHintsPerInterval limits hints per probe interval, to about 4 KB/s when many members change at once.
	maxHintsPerInterval = 8
	// urgentRecordFanout is the number of members that urgent records are sent to at once. Current deployments have up to
	// 9 hosts, so all members are reached.
	urgentRecordFanout = 16
)

// Timer keys. A member's name is appended to keySuspect, a sequence number to keyAck.
const (
	keyProbe   = "probe"
	keySync    = "sync"
	keyHeal    = "heal"
	keySuspect = "suspect/"
	keyAck     = "ack/"
)

// Core is the membership state machine of one daemon. It is not safe for concurrent use.
type Core struct {
	self       Member
	seeds      []string
	generation uint64
	random     *rand.Rand
	now        core.Micros
	joined     bool

	members map[string]*entry
	// names holds the keys of members in sorted order, for deterministic iteration.
	names []string
	// phase is the offset of this daemon's probes within the probe interval.
	phase    core.Micros
	rotation rotation

	sequence    uint64
	probes      map[uint64]*probe
	relays      map[uint64]relay
	hintsLeft   int
	syncBackoff core.Micros
	// unverifiedClaims holds records that report a live member as suspect or dead, until the member is probed.
	unverifiedClaims []Member

	queue   []*queuedUpdate
	serial  uint64
	records map[string]*storedRecord

	effects []Effect
}

type entry struct {
	Member
	// deadline is when a suspect or unresponsive leaving member is declared dead; 0 if no suspicion is pending.
	deadline  core.Micros
	deadSince core.Micros
}

// New returns the core of a daemon. The incarnation of self must be higher than in earlier runs under the same name;
// use the start time in microseconds.
func New(self Member, seed uint64) *Core {
	self.State = Alive
	return &Core{
		self: self, hintsLeft: maxHintsPerInterval, random: rand.New(rand.NewPCG(seed, 0)),
		members: map[string]*entry{}, probes: map[uint64]*probe{}, relays: map[uint64]relay{},
		records: map[string]*storedRecord{},
	}
}

// Step applies one event and returns the resulting effects in order.
func (c *Core) Step(ev Event) []Effect {
	c.effects = nil
	c.advanceClock(ev.at())
	switch e := ev.(type) {
	case Started:
		c.handleStart(e)
	case SeedsChanged:
		c.seeds = e.Seeds
	case PacketReceived:
		c.handlePacket(e.Packet)
	case TimerFired:
		c.handleTimer(e.Key)
	case GenerationSet:
		c.generation = max(c.generation, e.Generation)
	case HintRequested:
		for _, address := range e.To {
			c.send(address, "", Packet{Kind: Hint})
		}
	case RecordsAdded:
		c.addRecords(e.Records)
		if e.Urgent {
			c.sendUrgentRecords(e.Records)
			break
		}
		c.sendHints(originFanout)
	case LeaveRequested:
		c.handleLeave()
	case SyncRequested:
		reply := c.replyTable(e.Table)
		c.mergeTable(e.Table)
		c.emit(ReplySync{Table: reply})
	case SyncAnswered:
		c.mergeTable(e.Table)
	}
	return c.effects
}

// Self returns the record of this daemon.
func (c *Core) Self() Member { return c.self }

// Members returns all known members, including this daemon, sorted by name.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.names)+1)
	out = append(out, c.self)
	for _, name := range c.names {
		out = append(out, c.members[name].Member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) setTimer(key string, at core.Micros) { c.emit(SetTimer{Key: key, At: at}) }

func (c *Core) handleStart(e Started) {
	c.seeds = e.Seeds
	c.enqueue(c.self.Name, false)
	// A random phase avoids synchronized probes of daemons that start at the same time.
	c.phase = c.jitter(probeInterval)
	c.setTimer(keyProbe, c.nextProbe())
	c.syncBackoff = initialSyncInterval
	c.setTimer(keySync, c.now+c.jitter(c.syncBackoff))
	c.setTimer(keyHeal, c.now+isolatedHealInterval)
	c.syncWithCandidates()
}

// advanceClock updates the current time. After a pause of this process, timers may fire before packets that arrived
// during the pause are read. Pending probes are therefore dropped and suspicions restarted.
func (c *Core) advanceClock(now core.Micros) {
	paused := c.now != 0 && now-c.now > pauseThreshold
	c.now = max(c.now, now)
	if !paused {
		return
	}
	clear(c.probes)
	for _, name := range c.names {
		if e := c.members[name]; e.deadline != 0 {
			c.suspectUntil(e, c.now+suspicionTimeout)
		}
	}
}

func (c *Core) handleTimer(key string) {
	switch {
	case key == keyProbe:
		c.setTimer(keyProbe, c.nextProbe())
		c.hintsLeft = maxHintsPerInterval
		c.purge()
		c.probeNext()
		c.probeUnverifiedClaims()
	case key == keySync:
		c.setTimer(keySync, c.now+c.syncBackoff)
		c.syncBackoff = min(2*c.syncBackoff, syncInterval)
		for _, m := range c.randomLiveMembers(1, "") {
			c.emit(StartSync{To: m.Address, Table: c.fullTable()})
		}
	case key == keyHeal:
		c.handleHealTimer()
	case strings.HasPrefix(key, keySuspect):
		c.handleSuspicionTimeout(strings.TrimPrefix(key, keySuspect))
	case strings.HasPrefix(key, keyAck):
		if sequence, err := strconv.ParseUint(strings.TrimPrefix(key, keyAck), 10, 64); err == nil {
			c.handleAckTimeout(sequence)
		}
	}
}

// nextProbe returns the time of the next probe. It is computed from the phase, so that timer delays do not accumulate.
func (c *Core) nextProbe() core.Micros {
	intervals := (c.now - c.phase) / probeInterval
	return (intervals+1)*probeInterval + c.phase
}

func (c *Core) handleLeave() {
	if c.self.State == Leaving {
		return
	}
	c.self.State = Leaving
	c.self.Incarnation++
	c.enqueue(c.self.Name, true)
	c.emit(MemberChanged{Member: c.self, Previous: Alive})
	c.sendHints(originFanout)
}

// sendHints sends pending updates and records to up to n random live members, within the limit of hints per interval.
func (c *Core) sendHints(n int) {
	n = min(n, c.hintsLeft)
	c.hintsLeft -= n
	for _, m := range c.randomLiveMembers(n, "") {
		c.send(m.Address, m.Name, Packet{Kind: Hint})
	}
}

// sendUrgentRecords sends records to up to urgentRecordFanout members, regardless of the limit of hints per interval.
func (c *Core) sendUrgentRecords(records []CrashRecord) {
	for _, m := range c.randomLiveMembers(urgentRecordFanout, "") {
		c.send(m.Address, m.Name, Packet{Kind: Hint, Records: records})
	}
}

// randomLiveMembers returns up to n random live members, excluding the one with the name except.
func (c *Core) randomLiveMembers(n int, except string) []Member {
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
