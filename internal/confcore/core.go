package confcore

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/core"
)

// Figures of the protocol.
const (
	// watchersPerDomain daemons of each failure domain watch the root; the second covers the failure of the first.
	watchersPerDomain = 2
	hintsPerAdoption  = 4
	pollInterval      = 10 * core.Second
	// startWait is how long a starting daemon waits for a peer.
	startWait = 2 * core.Second
	// bootstrapWait is how much longer a daemon with peers but no configuration waits before it reads the platform
	// itself. The watchers hint earlier; 360 daemons that start together would otherwise make 258 reads each.
	bootstrapWait  = 10 * core.Second
	minRetry       = 500 * core.Millisecond
	maxRetry       = 5 * core.Second
	keptHolders    = 4
	fallbackPeers  = 2
	watchDomainTag = "config-watch/"
)

// Keys of timers.
const (
	keyStart     = "start"
	keyBootstrap = "bootstrap"
	keyPoll      = "poll"
	keyRetry     = "retry"
)

// phase is the step of fetching a newer configuration.
type phase int

const (
	idle phase = iota
	readingRoot
	readingChunks
	waiting // for the retry timer
	adopting
)

// Core decides on the configuration of one daemon.
type Core struct {
	self   Peer
	random *rand.Rand
	now    core.Micros
	peers  []Peer

	started  bool // joined, or waited long enough
	ready    bool
	watching bool

	inForce  uint64
	rejected uint64
	// current are the chunks of the root in force.
	current []string
	// held are the chunks of the root in force and those fetched for the target.
	held map[string]bool
	// wanted is the highest generation heard of; holders are daemons that have it, the latest first.
	wanted  uint64
	holders []string
	// news is true while no root was read since wanted increased.
	news bool

	phase   phase
	target  *Root
	pending *Root // newer than the target that is being adopted
	attempt uint64
	source  string
	tried   map[string]bool
	retry   core.Micros

	out []Effect
}

// New returns the core of a daemon.
func New(self Peer, seed uint64) *Core {
	return &Core{
		self: self, random: rand.New(rand.NewPCG(seed, 0)), held: map[string]bool{}, tried: map[string]bool{}, retry: minRetry,
	}
}

// InForce returns the generation in force, 0 before the first.
func (c *Core) InForce() uint64 { return c.inForce }

// Step takes in one event and returns what is to be done, in order.
func (c *Core) Step(ev Event) []Effect {
	c.out = nil
	c.now = max(c.now, ev.at())
	switch e := ev.(type) {
	case Started:
		c.setTimer(keyStart, c.now+startWait)
	case PeersChanged:
		c.peers = e.Peers
		c.placeWatch()
	case Joined:
		c.finishStart()
	case GenerationSeen:
		c.seen(e)
	case RootWatched:
		c.offer(e.Root, Platform)
	case RootRead:
		c.rootRead(e)
	case RootFailed:
		if c.phase == readingRoot && e.Attempt == c.attempt {
			c.readRoot()
		}
	case ChunksRead:
		c.chunksRead(e)
	case Adopted:
		c.adopted(e.Generation)
	case AdoptFailed:
		c.adoptFailed(e.Generation)
	case TimerFired:
		c.timer(e.Key)
	}
	return c.out
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) setTimer(key string, at core.Micros) { c.emit(SetTimer{Key: key, At: at}) }

func (c *Core) timer(key string) {
	switch key {
	case keyStart:
		c.finishStart()
	case keyBootstrap:
		c.bootstrap()
	case keyPoll:
		c.poll()
	case keyRetry:
		c.retryNow()
	}
}

// finishStart ends the wait for a peer, once.
func (c *Core) finishStart() {
	if c.started {
		return
	}
	c.started = true
	c.placeWatch()
	c.checkReady()
	wait := core.Micros(0)
	if len(c.peers) > 0 {
		wait = bootstrapWait + c.jitter(bootstrapWait)
	}
	c.setTimer(keyBootstrap, c.now+wait)
}

// bootstrap reads the platform while there is no configuration at all.
func (c *Core) bootstrap() {
	if c.inForce != 0 {
		return
	}
	c.setTimer(keyBootstrap, c.now+pollInterval+c.jitter(pollInterval))
	if !c.watching {
		c.emit(PollRoot{})
	}
}

func (c *Core) jitter(span core.Micros) core.Micros { return core.Micros(c.random.Int64N(int64(span))) }

// placeWatch watches the root if this daemon is among the first of its failure domain by rendezvous rank.
func (c *Core) placeWatch() {
	if !c.started {
		return
	}
	own := watchWeight(c.self.Name)
	ahead := 0
	for _, p := range c.peers {
		weight := watchWeight(p.Name)
		if p.FailureDomain == c.self.FailureDomain && (weight > own || weight == own && p.Name < c.self.Name) {
			ahead++
		}
	}
	watch := ahead < watchersPerDomain
	if watch == c.watching {
		return
	}
	c.watching = watch
	c.emit(SetWatch{On: watch})
	if watch {
		c.poll()
	}
}

func watchWeight(name string) uint64 { return xxhash.Sum64String(watchDomainTag + name) }

// poll repeats the read that makes up for a watch that has gone silent.
func (c *Core) poll() {
	if !c.watching {
		return
	}
	c.setTimer(keyPoll, c.now+pollInterval)
	c.emit(PollRoot{})
}

// checkReady reports readiness once: there is a configuration, and a peer was asked or waited for.
func (c *Core) checkReady() {
	if c.ready || !c.started || c.inForce == 0 {
		return
	}
	c.ready = true
	c.emit(Ready{})
}

func (c *Core) adopted(generation uint64) {
	if c.phase != adopting || generation != c.target.Generation {
		return
	}
	c.inForce = generation
	c.current = c.target.Hashes
	c.dropUnneeded()
	c.emit(Announce{Generation: generation, To: c.randomPeers(hintsPerAdoption)})
	c.checkReady()
	c.goOn()
}

func (c *Core) adoptFailed(generation uint64) {
	if c.phase != adopting || generation != c.target.Generation {
		return
	}
	c.rejected = max(c.rejected, generation)
	c.goOn()
}

// goOn takes up what arrived during an adoption.
func (c *Core) goOn() {
	c.phase, c.target = idle, nil
	pending := c.pending
	c.pending = nil
	if pending != nil {
		c.offer(*pending, c.source)
		return
	}
	c.pursue()
}

// randomPeers returns the addresses of up to n random peers.
func (c *Core) randomPeers(n int) []string {
	peers := slices.Clone(c.peers)
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	n = min(n, len(peers))
	var out []string
	for i := range n {
		j := i + c.random.IntN(len(peers)-i)
		peers[i], peers[j] = peers[j], peers[i]
		out = append(out, peers[i].Address)
	}
	return out
}
