package confcore

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// simulation runs several cores against one platform in virtual time.
type simulation struct {
	t            require.TestingT
	now          core.Micros
	random       *rand.Rand
	roots        []Root // roots[i] has generation i+1
	lostChunks   map[string]bool
	platformDown bool
	// maxStaleness is the maximum number of generations by which reads from the platform lag behind.
	maxStaleness            int
	callFailuresPerThousand int // of calls between daemons
	daemons                 []*daemon
	queue                   taskQueue
	serial                  int
}

type daemon struct {
	*simulation
	core             *Core
	self             Peer
	activeGeneration uint64
	chunks           map[string]bool
	ready            bool
	down             bool
	timers           map[string]int
	watch            bool
}

type task struct {
	at     core.Micros
	serial int
	run    func()
}

type taskQueue []task

func (a taskQueue) Len() int { return len(a) }
func (a taskQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].serial < a[j].serial
}
func (a taskQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *taskQueue) Push(x any)   { *a = append(*a, x.(task)) }
func (a *taskQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func newSimulation(t require.TestingT, seed uint64, count int) *simulation {
	s := &simulation{t: t, now: 1_000 * core.Second, random: rand.New(rand.NewPCG(seed, 2)), lostChunks: map[string]bool{}}
	for i := range count {
		s.daemons = append(s.daemons, s.newDaemon(i))
	}
	for _, d := range s.daemons {
		d.start()
	}
	return s
}

func (s *simulation) newDaemon(i int) *daemon {
	self := Peer{Name: fmt.Sprintf("d%d", i), Address: fmt.Sprintf("10.0.0.%d:7400", i), FailureDomain: fmt.Sprintf("w%d", i%2)}
	return &daemon{simulation: s, core: New(self, s.random.Uint64()), self: self, chunks: map[string]bool{}, timers: map[string]int{}}
}

func (d *daemon) start() {
	d.step(Started{Now: d.now})
	d.step(PeersChanged{Now: d.now, Peers: d.peers()})
	d.afterRandomDelay(func() { d.step(Joined{Now: d.now}) })
	d.gossip()
}

// gossip reports the active generation of a random daemon every second, as the packets of membership do.
func (d *daemon) gossip() {
	d.schedule(d.now+core.Second, func() {
		other := d.daemons[d.random.IntN(len(d.daemons))]
		if !other.down && other.activeGeneration > d.activeGeneration {
			d.step(GenerationSeen{Now: d.now, Generation: other.activeGeneration, From: other.self.Address})
		}
		if !d.down {
			d.gossip()
		}
	})
}

func (d *daemon) peers() []Peer {
	var out []Peer
	for _, other := range d.daemons {
		if other != d && !other.down {
			out = append(out, other.self)
		}
	}
	return out
}

func (s *simulation) schedule(at core.Micros, run func()) {
	s.serial++
	heap.Push(&s.queue, task{at: at, serial: s.serial, run: run})
}

func (s *simulation) afterRandomDelay(run func()) {
	s.schedule(s.now+core.Micros(s.random.IntN(50_000)), run)
}

func (s *simulation) run(span core.Micros) {
	end := s.now + span
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(task)
		s.now = max(s.now, next.at)
		next.run()
	}
	s.now = end
}

func (s *simulation) publish() {
	g := uint64(len(s.roots) + 1)
	root := Root{Generation: g, Hashes: []string{"base"}}
	for i := range 4 {
		root.Hashes = append(root.Hashes, fmt.Sprintf("c%d-%d", i, s.random.IntN(3)+len(s.roots)/4))
	}
	s.roots = append(s.roots, root)
	for _, d := range s.daemons {
		if d.watch && !s.platformDown {
			s.afterRandomDelay(func() { d.step(RootObserved{Now: s.now, Root: root}) })
		}
	}
}

// platformRoot reads the root from the platform. The result may be stale.
func (s *simulation) platformRoot() (Root, bool) {
	n := len(s.roots) - s.random.IntN(s.maxStaleness+1)
	if s.platformDown || n < 1 {
		return Root{}, false
	}
	return s.roots[n-1], true
}

func (d *daemon) step(ev Event) {
	if d.down {
		return
	}
	for _, effect := range d.core.Step(ev) {
		d.perform(effect)
	}
}

func (d *daemon) perform(effect Effect) {
	switch e := effect.(type) {
	case SetTimer:
		d.timers[e.Key]++
		setCount := d.timers[e.Key]
		d.schedule(e.At, func() {
			if d.timers[e.Key] == setCount {
				d.step(TimerFired{Now: d.now, Key: e.Key})
			}
		})
	case SetWatch:
		d.watch = e.On
	case PollRoot:
		if root, ok := d.platformRoot(); ok {
			d.afterRandomDelay(func() { d.step(RootObserved{Now: d.now, Root: root}) })
		}
	case ReadRoot:
		root, ok := d.readRoot(e)
		d.afterRandomDelay(func() {
			if ok {
				d.step(RootRead{Now: d.now, Attempt: e.Attempt, Root: root})
			} else {
				d.step(RootFailed{Now: d.now, Attempt: e.Attempt})
			}
		})
	case ReadChunks:
		d.prune(e.Generation)
		d.afterRandomDelay(func() {
			got := d.readChunks(e)
			for _, hash := range got {
				d.chunks[hash] = true
			}
			d.step(ChunksRead{Now: d.now, Attempt: e.Attempt, Hashes: got})
		})
	case Adopt:
		d.prune(e.Generation)
		d.afterRandomDelay(func() { d.adopt(e.Generation) })
	case Announce:
		for _, address := range e.To {
			if other := d.peer(address); other != nil {
				d.afterRandomDelay(func() {
					other.step(GenerationSeen{Now: d.now, Generation: e.Generation, From: d.self.Address})
				})
			}
		}
	case Ready:
		d.ready = true
	}
}

// adopt checks that the core adopts a configuration only if all of its chunks were fetched, and never an older
// generation.
func (d *daemon) adopt(generation uint64) {
	if d.down {
		return
	}
	for _, hash := range d.roots[generation-1].Hashes {
		require.True(d.t, d.chunks[hash], "daemon %s adopts without chunk %s of generation %d", d.self.Name, hash, generation)
	}
	require.Greater(d.t, generation, d.activeGeneration)
	d.activeGeneration = generation
	d.step(Adopted{Now: d.now, Generation: generation})
}

// prune drops the chunks that neither the active root nor the target references, as confsync does.
func (d *daemon) prune(target uint64) {
	needed := map[string]bool{}
	for _, generation := range []uint64{d.activeGeneration, target} {
		if generation > 0 {
			for _, hash := range d.roots[generation-1].Hashes {
				needed[hash] = true
			}
		}
	}
	for hash := range d.chunks {
		if !needed[hash] {
			delete(d.chunks, hash)
		}
	}
}

// peer returns the daemon at an address, or nil if it is down or the call fails.
func (d *daemon) peer(address string) *daemon {
	for _, other := range d.daemons {
		if other.self.Address == address && !other.down && d.random.IntN(1000) >= d.callFailuresPerThousand {
			return other
		}
	}
	return nil
}

func (d *daemon) readRoot(e ReadRoot) (Root, bool) {
	if e.Source == Platform {
		return d.platformRoot()
	}
	other := d.peer(e.Source)
	if other == nil || other.activeGeneration < e.MinGeneration {
		return Root{}, false
	}
	return d.roots[other.activeGeneration-1], true
}

func (d *daemon) readChunks(e ReadChunks) []string {
	other := d.peer(e.Source)
	var out []string
	for _, hash := range e.Hashes {
		if e.Source == Platform && !d.platformDown && !d.lostChunks[hash] || e.Source != Platform && other != nil && other.chunks[hash] {
			out = append(out, hash)
		}
	}
	return out
}

// Guards against an active generation that decreases, an adoption with missing chunks, and daemons that do not reach
// the newest generation or readiness after outages, stale reads, lost chunks, failing calls and restarts have ended.
func TestDaemonsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "daemons"))
		for range rapid.IntRange(1, 30).Draw(t, "faults") {
			i := rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon")
			switch rapid.SampledFrom([]string{"apply", "apply", "apply", "out", "in", "stale", "lose", "fail", "restart"}).Draw(t, "fault") {
			case "apply":
				s.publish()
			case "out":
				s.platformDown = true
			case "in":
				s.platformDown = false
			case "stale":
				s.maxStaleness = 3
			case "lose":
				s.lostChunks[fmt.Sprintf("c%d-%d", i%4, i%3+len(s.roots)/4)] = true
			case "fail":
				s.callFailuresPerThousand = 300
			case "restart":
				s.daemons[i].down = true
				s.daemons[i] = s.newDaemon(i)
				s.daemons[i].start()
			}
			s.run(core.Micros(rapid.IntRange(0, 3_000).Draw(t, "milliseconds")) * core.Millisecond)
		}
		s.platformDown, s.maxStaleness, s.callFailuresPerThousand, s.lostChunks = false, 0, 0, map[string]bool{}
		s.publish()
		s.run(40 * core.Second)
		for _, d := range s.daemons {
			require.Equal(t, uint64(len(s.roots)), d.activeGeneration, d.self.Name)
			require.True(t, d.ready)
		}
	})
}

// Guards against a change that takes longer than 3 s to reach all daemons without any fault.
func TestChangeIsAdoptedWithinThreeSeconds(t *testing.T) {
	for seed := range uint64(50) {
		s := newSimulation(t, seed, 12)
		s.run(10 * core.Second)
		s.publish()
		s.run(3 * core.Second)
		for _, d := range s.daemons {
			require.Equal(t, uint64(1), d.activeGeneration)
		}
	}
}
