package membercore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// network simulates cores in virtual time, with packet loss, delay, duplication, process pauses and partitions.
type network struct {
	now    core.Micros
	random *rand.Rand
	nodes  map[string]*node
	queue  deliveries
	serial int
	// loss and duplicates are rates per thousand packets.
	loss, duplicates int
	maxDelay         core.Micros
}

type node struct {
	core        *Core
	address     string
	partition   int
	stopped     bool
	paused      bool
	inbox       []func() Event
	timers      map[string]int
	falseDeaths []string
}

type delivery struct {
	at     core.Micros
	serial int
	run    func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].serial < d[j].serial
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

func newNetwork(seed uint64) *network {
	return &network{
		now: 1_000 * core.Second, random: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{},
		maxDelay: 5 * core.Millisecond,
	}
}

func (n *network) at(at core.Micros, run func()) {
	n.serial++
	heap.Push(&n.queue, delivery{at: at, serial: n.serial, run: run})
}

// start runs a daemon at an address and stops the one that ran there before.
func (n *network) start(name, address string, seeds ...string) *node {
	if old := n.nodes[address]; old != nil {
		old.stopped = true
	}
	self := Member{
		Name: name, Address: address, Region: "prairie-west", FailureDomain: "pw-1", Incarnation: uint64(n.now),
	}
	x := &node{core: New(self, n.random.Uint64()), address: address, timers: map[string]int{}}
	n.nodes[address] = x
	n.step(x, func() Event { return Started{Now: n.now, Seeds: seeds} })
	return x
}

func (n *network) step(x *node, event func() Event) {
	if x.stopped {
		return
	}
	if x.paused {
		x.inbox = append(x.inbox, event)
		return
	}
	for _, effect := range x.core.Step(event()) {
		n.perform(x, effect)
	}
}

func (n *network) resume(x *node) {
	x.paused = false
	inbox := x.inbox
	x.inbox = nil
	for _, event := range inbox {
		n.step(x, event)
	}
}

func (n *network) perform(x *node, effect Effect) {
	switch e := effect.(type) {
	case SendPacket:
		n.send(x, e)
	case SetTimer:
		x.timers[e.Key]++
		version := x.timers[e.Key]
		n.at(e.At, func() {
			if x.timers[e.Key] == version {
				n.step(x, func() Event { return TimerFired{Now: n.now, Key: e.Key} })
			}
		})
	case StartSync:
		n.at(n.now+n.delay(), func() { n.sync(x, e) })
	case MemberChanged:
		if other := n.nodes[e.Member.Address]; e.Member.State == Dead && other != nil && !other.stopped &&
			other.core.self.Name == e.Member.Name {
			x.falseDeaths = append(x.falseDeaths, e.Member.Name)
		}
	}
}

func (n *network) delay() core.Micros { return core.Micros(n.random.Int64N(int64(n.maxDelay))) + 1 }

func (n *network) connected(x *node, address string) *node {
	other := n.nodes[address]
	if other == nil || other.stopped || other.partition != x.partition {
		return nil
	}
	return other
}

func (n *network) send(x *node, e SendPacket) {
	copies := 1
	if n.random.IntN(1000) < n.loss {
		copies = 0
	} else if n.random.IntN(1000) < n.duplicates {
		copies = 2
	}
	for range copies {
		n.at(n.now+n.delay(), func() {
			if other := n.connected(x, e.To); other != nil {
				n.step(other, func() Event { return PacketReceived{Now: n.now, Packet: e.Packet} })
			}
		})
	}
}

func (n *network) sync(x *node, e StartSync) {
	other := n.connected(x, e.To)
	if other == nil || other.paused {
		return
	}
	for _, effect := range other.core.Step(SyncRequested{Now: n.now, Table: e.Table}) {
		if reply, ok := effect.(ReplySync); ok {
			n.step(x, func() Event { return SyncAnswered{Now: n.now, Table: reply.Table} })
			continue
		}
		n.perform(other, effect)
	}
}

func (n *network) run(span core.Micros) {
	end := n.now + span
	for len(n.queue) > 0 && n.queue[0].at <= end {
		d := heap.Pop(&n.queue).(delivery)
		n.now = max(n.now, d.at)
		d.run()
	}
	n.now = end
}

// disagreement describes a difference between a running daemon's view and the daemons that run, or returns "".
func (n *network) disagreement() string {
	for _, x := range n.nodes {
		if x.stopped {
			continue
		}
		live := map[string]Member{}
		for _, m := range x.core.Members() {
			if m.Live() {
				live[m.Name] = m
			}
		}
		running := 0
		for _, other := range n.nodes {
			if other.stopped {
				continue
			}
			running++
			if self := other.core.Self(); live[self.Name] != self {
				return fmt.Sprintf("%s lists %+v, want %+v", x.core.self.Name, live[self.Name], self)
			}
		}
		if len(live) != running {
			return fmt.Sprintf("%s lists %d live members, want %d", x.core.self.Name, len(live), running)
		}
	}
	return ""
}

func (n *network) requireAgreement(t require.TestingT, within core.Micros) {
	for end := n.now + within; n.now < end && n.disagreement() != ""; {
		n.run(core.Second)
	}
	require.Empty(t, n.disagreement())
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:7400", i) }

// hostList returns the addresses of all hosts, as the platform's host list does. With only two seeds, daemons that
// restart while both seeds are down could not find each other.
func hostList() []string {
	out := make([]string, 12)
	for i := range out {
		out[i] = address(i)
	}
	return out
}

func startNodes(n *network, count int) []*node {
	out := make([]*node, count)
	for i := range out {
		out[i] = n.start(fmt.Sprintf("d%02d", i), address(i), address(0), address(1))
		n.run(n.delay())
	}
	return out
}

// Guards against views that do not converge after packet loss, delay, duplicates, pauses, partitions, stops and
// restarts.
func TestNetworkConvergesAfterHealing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		nodes := startNodes(n, rapid.IntRange(3, 12).Draw(t, "daemons"))
		n.requireAgreement(t, 30*core.Second)
		n.loss, n.duplicates = rapid.IntRange(0, 300).Draw(t, "loss"), rapid.IntRange(0, 100).Draw(t, "duplicates")
		n.maxDelay = core.Micros(rapid.IntRange(1_000, 400_000).Draw(t, "delay"))
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "daemon")
			switch rapid.SampledFrom([]string{"stop", "restart", "replace", "pause", "split", "leave"}).Draw(t, "fault") {
			case "stop":
				nodes[i].stopped = true
			case "restart":
				nodes[i] = n.start(nodes[i].core.self.Name, address(i), hostList()...)
			case "replace":
				nodes[i] = n.start(fmt.Sprintf("r%02d-%d", i, n.now), address(i), hostList()...)
			case "pause":
				nodes[i].paused = true
			case "split":
				nodes[i].partition = 1 - nodes[i].partition
			case "leave":
				n.step(nodes[i], func() Event { return LeaveRequested{Now: n.now} })
			}
			n.run(core.Micros(rapid.IntRange(0, 20_000).Draw(t, "milliseconds")) * core.Millisecond)
		}
		n.loss, n.duplicates, n.maxDelay = 0, 0, 5*core.Millisecond
		for _, x := range nodes {
			x.partition = 0
			n.resume(x)
		}
		n.requireAgreement(t, 3*core.Minute)
	})
}

// Guards against slow detection of a stopped daemon, and against running daemons being declared dead.
func TestStoppedDaemonIsDetected(t *testing.T) {
	for seed := range uint64(20) {
		n := newNetwork(seed)
		nodes := startNodes(n, 12)
		n.requireAgreement(t, 15*core.Second)
		n.run(10 * core.Second)
		nodes[5].stopped = true
		n.requireAgreement(t, 8*core.Second)
		for _, x := range nodes {
			require.Empty(t, x.falseDeaths)
		}
	}
}

// Guards against a daemon that declares others dead after a pause of its process, because its timers expire before it
// reads the packets that arrived meanwhile.
func TestPausedDaemonDeclaresNoRunningDaemonDead(t *testing.T) {
	for seed := range uint64(20) {
		n := newNetwork(seed)
		nodes := startNodes(n, 8)
		n.requireAgreement(t, 15*core.Second)
		nodes[3].paused = true
		n.run(20 * core.Second)
		n.resume(nodes[3])
		n.requireAgreement(t, 10*core.Second)
		require.Empty(t, nodes[3].falseDeaths)
	}
}

// Guards against a daemon that, after a partition heals, adopts records of the other side and declares daemons of its
// own side dead. Suspicions of the other side that began during the partition may still time out afterwards.
func TestHealedPartitionKeepsOwnSideLive(t *testing.T) {
	for seed := range uint64(20) {
		n := newNetwork(seed)
		nodes := startNodes(n, 12)
		n.requireAgreement(t, 15*core.Second)
		for i := range 6 {
			nodes[i].partition = 1
		}
		n.run(core.Micros(5+6*seed) * core.Second)
		for _, x := range nodes {
			x.partition, x.falseDeaths = 0, nil
		}
		n.requireAgreement(t, 40*core.Second)
		for i, x := range nodes {
			for _, name := range x.falseDeaths {
				require.NotEqual(t, i < 6, name < "d06", "%s declared %s dead", x.core.self.Name, name)
			}
		}
	}
}

// Guards against running daemons being declared dead because of 5 % packet loss.
func TestPacketLossCausesNoFalseDeaths(t *testing.T) {
	for seed := range uint64(10) {
		n := newNetwork(seed)
		nodes := startNodes(n, 12)
		n.requireAgreement(t, 15*core.Second)
		n.loss = 50
		n.run(2 * core.Minute)
		for _, x := range nodes {
			require.Empty(t, x.falseDeaths)
		}
	}
}
