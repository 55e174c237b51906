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

// spread drives a few cores against one platform in virtual time.
type spread struct {
	t      require.TestingT
	now    core.Micros
	random *rand.Rand
	roots  []Root // of all generations, from 1
	lost   map[string]bool
	out    bool
	// staleness is how many generations platform reads may lag behind.
	staleness int
	failures  int // per thousand calls between daemons
	daemons   []*daemon
	queue     agenda
	serial    int
}

type daemon struct {
	*spread
	core    *Core
	self    Peer
	inForce uint64
	chunks  map[string]bool
	ready   bool
	down    bool
	timers  map[string]int
	watch   bool
}

type task struct {
	at     core.Micros
	serial int
	run    func()
}

type agenda []task

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].serial < a[j].serial
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(task)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func newSpread(t require.TestingT, seed uint64, count int) *spread {
	s := &spread{t: t, now: 1_000 * core.Second, random: rand.New(rand.NewPCG(seed, 2)), lost: map[string]bool{}}
	for i := range count {
		s.daemons = append(s.daemons, s.newDaemon(i))
	}
	for _, d := range s.daemons {
		d.begin()
	}
	return s
}

func (s *spread) newDaemon(i int) *daemon {
	self := Peer{Name: fmt.Sprintf("d%d", i), Address: fmt.Sprintf("10.0.0.%d:7400", i), FailureDomain: fmt.Sprintf("w%d", i%2)}
	return &daemon{spread: s, core: New(self, s.random.Uint64()), self: self, chunks: map[string]bool{}, timers: map[string]int{}}
}

func (d *daemon) begin() {
	d.step(Started{Now: d.now})
	d.step(PeersChanged{Now: d.now, Peers: d.peers()})
	d.later(func() { d.step(Joined{Now: d.now}) })
	d.gossip()
}

// gossip tells the daemon every second what a random other one has in force, as the packets of membership do.
func (d *daemon) gossip() {
	d.at(d.now+core.Second, func() {
		other := d.daemons[d.random.IntN(len(d.daemons))]
		if !other.down && other.inForce > d.inForce {
			d.step(GenerationSeen{Now: d.now, Generation: other.inForce, From: other.self.Address})
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

func (s *spread) at(at core.Micros, run func()) {
	s.serial++
	heap.Push(&s.queue, task{at: at, serial: s.serial, run: run})
}

func (s *spread) later(run func()) { s.at(s.now+core.Micros(s.random.IntN(50_000)), run) }

func (s *spread) run(span core.Micros) {
	end := s.now + span
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(task)
		s.now = max(s.now, next.at)
		next.run()
	}
	s.now = end
}

func (s *spread) apply() {
	g := uint64(len(s.roots) + 1)
	root := Root{Generation: g, Hashes: []string{"base"}}
	for i := range 4 {
		root.Hashes = append(root.Hashes, fmt.Sprintf("c%d-%d", i, s.random.IntN(3)+len(s.roots)/4))
	}
	s.roots = append(s.roots, root)
	for _, d := range s.daemons {
		if d.watch && !s.out {
			s.later(func() { d.step(RootWatched{Now: s.now, Root: root}) })
		}
	}
}

// platformRoot is a read of the root, which may be stale.
func (s *spread) platformRoot() (Root, bool) {
	n := len(s.roots) - s.random.IntN(s.staleness+1)
	if s.out || n < 1 {
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
		turn := d.timers[e.Key]
		d.at(e.At, func() {
			if d.timers[e.Key] == turn {
				d.step(TimerFired{Now: d.now, Key: e.Key})
			}
		})
	case SetWatch:
		d.watch = e.On
	case PollRoot:
		if root, ok := d.platformRoot(); ok {
			d.later(func() { d.step(RootWatched{Now: d.now, Root: root}) })
		}
	case ReadRoot:
		root, ok := d.root(e)
		d.later(func() {
			if ok {
				d.step(RootRead{Now: d.now, Attempt: e.Attempt, Root: root})
			} else {
				d.step(RootFailed{Now: d.now, Attempt: e.Attempt})
			}
		})
	case ReadChunks:
		d.prune(e.Generation)
		d.later(func() {
			got := d.fetch(e)
			for _, hash := range got {
				d.chunks[hash] = true
			}
			d.step(ChunksRead{Now: d.now, Attempt: e.Attempt, Hashes: got})
		})
	case Adopt:
		d.prune(e.Generation)
		d.later(func() { d.adopt(e.Generation) })
	case Announce:
		for _, address := range e.To {
			if other := d.peer(address); other != nil {
				d.later(func() {
					other.step(GenerationSeen{Now: d.now, Generation: e.Generation, From: d.self.Address})
				})
			}
		}
	case Ready:
		d.ready = true
	}
}

// adopt checks that the core asks for an adoption only with all chunks there, and never of an older generation.
func (d *daemon) adopt(generation uint64) {
	if d.down {
		return
	}
	for _, hash := range d.roots[generation-1].Hashes {
		require.True(d.t, d.chunks[hash], "%s lacks %s of generation %d", d.self.Name, hash, generation)
	}
	require.Greater(d.t, generation, d.inForce)
	d.inForce = generation
	d.step(Adopted{Now: d.now, Generation: generation})
}

// prune drops what neither the root in force nor the target needs, as the shell does.
func (d *daemon) prune(target uint64) {
	needed := map[string]bool{}
	for _, generation := range []uint64{d.inForce, target} {
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

// peer returns the daemon at an address unless it is down or the call fails.
func (d *daemon) peer(address string) *daemon {
	for _, other := range d.daemons {
		if other.self.Address == address && !other.down && d.random.IntN(1000) >= d.failures {
			return other
		}
	}
	return nil
}

func (d *daemon) root(e ReadRoot) (Root, bool) {
	if e.Source == Platform {
		return d.platformRoot()
	}
	other := d.peer(e.Source)
	if other == nil || other.inForce < e.MinGeneration {
		return Root{}, false
	}
	return d.roots[other.inForce-1], true
}

func (d *daemon) fetch(e ReadChunks) []string {
	other := d.peer(e.Source)
	var out []string
	for _, hash := range e.Hashes {
		if e.Source == Platform && !d.out && !d.lost[hash] || e.Source != Platform && other != nil && other.chunks[hash] {
			out = append(out, hash)
		}
	}
	return out
}

// Guards against a generation that decreases, an adoption without all chunks, and daemons that stay behind or never
// become ready after outages, stale reads, lost chunks, failing calls and restarts have ended.
func TestSpreadConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSpread(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "daemons"))
		for range rapid.IntRange(1, 30).Draw(t, "faults") {
			i := rapid.IntRange(0, len(s.daemons)-1).Draw(t, "daemon")
			switch rapid.SampledFrom([]string{"apply", "apply", "apply", "out", "in", "stale", "lose", "fail", "restart"}).Draw(t, "fault") {
			case "apply":
				s.apply()
			case "out":
				s.out = true
			case "in":
				s.out = false
			case "stale":
				s.staleness = 3
			case "lose":
				s.lost[fmt.Sprintf("c%d-%d", i%4, i%3+len(s.roots)/4)] = true
			case "fail":
				s.failures = 300
			case "restart":
				s.daemons[i].down = true
				s.daemons[i] = s.newDaemon(i)
				s.daemons[i].begin()
			}
			s.run(core.Micros(rapid.IntRange(0, 3_000).Draw(t, "milliseconds")) * core.Millisecond)
		}
		s.out, s.staleness, s.failures, s.lost = false, 0, 0, map[string]bool{}
		s.apply()
		s.run(40 * core.Second)
		for _, d := range s.daemons {
			require.Equal(t, uint64(len(s.roots)), d.inForce, d.self.Name)
			require.True(t, d.ready)
		}
	})
}

// Guards against a change that takes longer than 3 s when nothing fails.
func TestSpreadIsFast(t *testing.T) {
	for seed := range uint64(50) {
		s := newSpread(t, seed, 12)
		s.run(10 * core.Second)
		s.apply()
		s.run(3 * core.Second)
		for _, d := range s.daemons {
			require.Equal(t, uint64(1), d.inForce)
		}
	}
}
