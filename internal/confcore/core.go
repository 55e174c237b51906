package confcore

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/core"
)

// Protocol parameters.
const (
	// watchersPerDomain is the number of daemons in each failure domain that watch the root; the second one covers a
	// failure of the first.
	watchersPerDomain = 2
	hintsPerAdoption  = 4
	pollInterval      = 10 * core.Second
	// joinTimeout is how long a starting daemon waits for a membership exchange with a peer.
	joinTimeout = 2 * core.Second
	// bootstrapDelay, plus a random delay of up to the same length, is how long a started daemon that has peers but no
	// configuration waits before it reads the platform itself. Hints from the watchers normally arrive earlier; without
	// the delay, 360 daemons that start together would make 258 reads each.
	bootstrapDelay  = 10 * core.Second
	minRetryDelay   = 500 * core.Millisecond
	maxRetryDelay   = 5 * core.Second
	maxHolders      = 4
	fallbackPeers   = 2
	watchHashPrefix = "config-watch/"
)

// Timer keys.
const (
	timerStart     = "start"
	timerBootstrap = "bootstrap"
	timerPoll      = "poll"
	timerRetry     = "retry"
)

// phase is the current step of fetching and adopting a newer configuration.
type phase int

const (
	idle phase = iota
	readingRoot
	readingChunks
	waitingForRetry
	adopting
)

// Core is the configuration state machine of one daemon. It is not safe for concurrent use.
type Core struct {
	self   Peer
	random *rand.Rand
	now    core.Micros
	peers  []Peer

	started  bool // joined a peer, or joinTimeout has passed
	ready    bool
	watching bool

	activeGeneration uint64
	// rejected is the highest generation whose adoption failed.
	rejected uint64
	// activeHashes are the chunk hashes of the active root.
	activeHashes []string
	// held is the set of available chunks of the active root and of the target.
	held map[string]bool
	// highestKnown is the highest generation reported so far; holders are the addresses of up to maxHolders daemons
	// that have it, most recently reported first.
	highestKnown uint64
	holders      []string
	// highestUnread is true if GenerationSeen raised highestKnown after the last attempt to read a root.
	highestUnread bool

	phase      phase
	target     *Root
	pending    *Root // a newer root received while the target is being adopted
	attempt    uint64
	source     string
	tried      map[string]bool
	retryDelay core.Micros

	effects []Effect
}

// New returns the state machine of the daemon self. The seed determines all random choices.
func New(self Peer, seed uint64) *Core {
	return &Core{
		self: self, random: rand.New(rand.NewPCG(seed, 0)), held: map[string]bool{}, tried: map[string]bool{}, retryDelay: minRetryDelay,
	}
}

// ActiveGeneration returns the active generation, or 0 if no configuration has been adopted yet.
func (c *Core) ActiveGeneration() uint64 { return c.activeGeneration }

// Step processes one event and returns the resulting effects in the order in which they must be performed.
func (c *Core) Step(ev Event) []Effect {
	c.effects = nil
	c.now = max(c.now, ev.at())
	switch e := ev.(type) {
	case Started:
		c.setTimer(timerStart, c.now+joinTimeout)
	case PeersChanged:
		c.peers = e.Peers
		c.updateWatch()
	case Joined:
		c.finishStart()
	case GenerationSeen:
		c.generationSeen(e)
	case RootObserved:
		c.considerRoot(e.Root, Platform)
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
		c.timerFired(e.Key)
	}
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) setTimer(key string, at core.Micros) { c.emit(SetTimer{Key: key, At: at}) }

func (c *Core) timerFired(key string) {
	switch key {
	case timerStart:
		c.finishStart()
	case timerBootstrap:
		c.bootstrap()
	case timerPoll:
		c.poll()
	case timerRetry:
		c.retryNow()
	}
}

// finishStart ends the start phase after a peer was joined or joinTimeout has passed. Later calls do nothing.
func (c *Core) finishStart() {
	if c.started {
		return
	}
	c.started = true
	c.updateWatch()
	c.checkReady()
	wait := core.Micros(0)
	if len(c.peers) > 0 {
		wait = bootstrapDelay + c.jitter(bootstrapDelay)
	}
	c.setTimer(timerBootstrap, c.now+wait)
}

// bootstrap polls the platform periodically until a configuration is active.
func (c *Core) bootstrap() {
	if c.activeGeneration != 0 {
		return
	}
	c.setTimer(timerBootstrap, c.now+pollInterval+c.jitter(pollInterval))
	if !c.watching {
		c.emit(PollRoot{})
	}
}

func (c *Core) jitter(span core.Micros) core.Micros { return core.Micros(c.random.Int64N(int64(span))) }

// updateWatch starts or stops the watch on the root. The watchersPerDomain daemons of a failure domain with the highest
// rendezvous hash weights watch.
func (c *Core) updateWatch() {
	if !c.started {
		return
	}
	own := watchWeight(c.self.Name)
	higherRanked := 0
	for _, p := range c.peers {
		weight := watchWeight(p.Name)
		if p.FailureDomain == c.self.FailureDomain && (weight > own || weight == own && p.Name < c.self.Name) {
			higherRanked++
		}
	}
	watch := higherRanked < watchersPerDomain
	if watch == c.watching {
		return
	}
	c.watching = watch
	c.emit(SetWatch{On: watch})
	if watch {
		c.poll()
	}
}

func watchWeight(name string) uint64 { return xxhash.Sum64String(watchHashPrefix + name) }

// poll reads the root and schedules the next read, in case the watch has stopped delivering changes.
func (c *Core) poll() {
	if !c.watching {
		return
	}
	c.setTimer(timerPoll, c.now+pollInterval)
	c.emit(PollRoot{})
}

// checkReady emits Ready once a configuration is active and the start phase has ended.
func (c *Core) checkReady() {
	if c.ready || !c.started || c.activeGeneration == 0 {
		return
	}
	c.ready = true
	c.emit(Ready{})
}

func (c *Core) adopted(generation uint64) {
	if c.phase != adopting || generation != c.target.Generation {
		return
	}
	c.activeGeneration = generation
	c.activeHashes = c.target.Hashes
	c.dropUnneeded()
	c.emit(Announce{Generation: generation, To: c.randomPeers(hintsPerAdoption)})
	c.checkReady()
	c.finishAdoption()
}

func (c *Core) adoptFailed(generation uint64) {
	if c.phase != adopting || generation != c.target.Generation {
		return
	}
	c.rejected = max(c.rejected, generation)
	c.finishAdoption()
}

// finishAdoption resets the fetch state and continues with a newer root or generation reported during the adoption.
func (c *Core) finishAdoption() {
	c.phase, c.target = idle, nil
	pending := c.pending
	c.pending = nil
	if pending != nil {
		c.considerRoot(*pending, c.source)
		return
	}
	c.startFetch()
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
