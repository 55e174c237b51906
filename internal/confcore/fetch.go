package confcore

import "slices"

// adoptable reports whether a generation is newer than both the active and the highest rejected generation.
func (c *Core) adoptable(generation uint64) bool {
	return generation > c.activeGeneration && generation > c.rejected
}

// generationSeen records a daemon that has a newer configuration and starts, or retries, fetching it.
func (c *Core) generationSeen(e GenerationSeen) {
	if !c.adoptable(e.Generation) || e.Generation < c.highestKnown {
		return
	}
	newer := e.Generation > c.highestKnown
	if newer {
		c.highestKnown = e.Generation
		c.holders = nil
		c.highestUnread = true
	}
	if !slices.Contains(c.holders, e.From) {
		c.holders = append([]string{e.From}, c.holders[:min(len(c.holders), maxHolders-1)]...)
	}
	switch {
	case c.phase == idle:
		c.startFetch()
	case c.phase == waitingForRetry && newer:
		clear(c.tried)
		c.resumeFetch()
	case c.phase == waitingForRetry && !c.tried[e.From]:
		// Try the new holder at once instead of waiting for the retry timer.
		c.resumeFetch()
	}
}

// startFetch starts fetching the highest known generation, unless a fetch is in progress or it is not adoptable.
func (c *Core) startFetch() {
	if c.phase != idle || !c.adoptable(c.highestKnown) {
		return
	}
	clear(c.tried)
	c.readRoot()
}

// readRoot requests a newer root from the next untried source: first the holders, then the platform. With none left, it
// continues with the chunks of the current target, or schedules a retry if there is no target.
func (c *Core) readRoot() {
	c.highestUnread = false
	source, ok := c.nextSource(c.holders)
	switch {
	case ok:
	case c.target != nil:
		clear(c.tried)
		c.readChunks()
		return
	default:
		c.scheduleRetry()
		return
	}
	c.phase, c.source = readingRoot, source
	c.attempt++
	c.emit(ReadRoot{Attempt: c.attempt, Source: source, MinGeneration: c.generationFloor() + 1})
}

// generationFloor returns the highest generation that is active, rejected or being fetched. Only newer roots are
// useful.
func (c *Core) generationFloor() uint64 {
	newest := max(c.activeGeneration, c.rejected)
	if c.target != nil {
		newest = max(newest, c.target.Generation)
	}
	return newest
}

// nextSource marks as tried and returns the first untried source: one of the preferred sources, else the platform.
func (c *Core) nextSource(preferred []string) (string, bool) {
	for _, source := range preferred {
		if !c.tried[source] {
			c.tried[source] = true
			return source, true
		}
	}
	if !c.tried[Platform] {
		c.tried[Platform] = true
		return Platform, true
	}
	return "", false
}

// scheduleRetry sets the retry timer after all sources have failed. The delay doubles up to maxRetryDelay.
func (c *Core) scheduleRetry() {
	if c.highestUnread && c.highestKnown > c.generationFloor() {
		// A newer generation was reported after the last read of a root began, so read its root at once.
		clear(c.tried)
		c.readRoot()
		return
	}
	c.phase = waitingForRetry
	c.setTimer(timerRetry, c.now+c.retryDelay)
	c.retryDelay = min(2*c.retryDelay, maxRetryDelay)
}

func (c *Core) retryNow() {
	if c.phase != waitingForRetry {
		return
	}
	clear(c.tried)
	c.resumeFetch()
}

func (c *Core) resumeFetch() {
	switch {
	case c.highestKnown > c.generationFloor():
		// This also applies if chunks of the target are missing: the newer configuration may not need them.
		c.readRoot()
	case c.target != nil:
		c.readChunks()
	default:
		c.phase = idle
	}
}

func (c *Core) rootRead(e RootRead) {
	if c.phase != readingRoot || e.Attempt != c.attempt {
		c.considerRoot(e.Root, Platform)
		return
	}
	if e.Root.Generation <= c.generationFloor() {
		// The platform read was stale, or the peer has an older generation than it reported.
		c.readRoot()
		return
	}
	c.phase = idle
	c.considerRoot(e.Root, c.source)
}

// considerRoot makes a root the new target if it is adoptable and newer than the current target. During an adoption it
// keeps the newest such root as pending.
func (c *Core) considerRoot(root Root, source string) {
	if !c.adoptable(root.Generation) {
		return
	}
	if root.Generation > c.highestKnown {
		c.highestKnown = root.Generation
		c.holders = nil
	}
	if c.target != nil && root.Generation <= c.target.Generation {
		return
	}
	if c.phase == adopting {
		if c.pending == nil || root.Generation > c.pending.Generation {
			c.pending = &root
		}
		return
	}
	c.target = &root
	c.dropUnneeded()
	c.retryDelay = minRetryDelay
	clear(c.tried)
	c.tried[source] = true
	c.readChunksFrom(source)
}

// dropUnneeded removes from held the chunks that neither the active root nor the target references; confsync drops them
// from its cache as well.
func (c *Core) dropUnneeded() {
	held := make(map[string]bool, len(c.held))
	for _, hashes := range [][]string{c.activeHashes, c.target.Hashes} {
		for _, hash := range hashes {
			if c.held[hash] {
				held[hash] = true
			}
		}
	}
	c.held = held
}

// missing returns the hashes of the target that are not held.
func (c *Core) missing() []string {
	var out []string
	for _, hash := range c.target.Hashes {
		if !c.held[hash] {
			out = append(out, hash)
		}
	}
	return out
}

// readChunks requests the missing chunks from the next untried source: holders, the platform, then random peers, since
// any daemon may still have a chunk that the platform lost.
func (c *Core) readChunks() {
	source, ok := c.nextSource(c.holders)
	if !ok {
		for _, address := range c.randomPeers(fallbackPeers) {
			if !c.tried[address] {
				source, ok = address, true
				c.tried[address] = true
				break
			}
		}
	}
	if !ok {
		c.scheduleRetry()
		return
	}
	c.readChunksFrom(source)
}

func (c *Core) readChunksFrom(source string) {
	c.source = source
	missing := c.missing()
	if len(missing) == 0 {
		c.phase = adopting
		c.emit(Adopt{Generation: c.target.Generation})
		return
	}
	c.phase = readingChunks
	c.attempt++
	c.emit(ReadChunks{Attempt: c.attempt, Source: source, Generation: c.target.Generation, Hashes: missing})
}

func (c *Core) chunksRead(e ChunksRead) {
	if c.target == nil {
		return
	}
	for _, hash := range e.Hashes {
		if slices.Contains(c.target.Hashes, hash) {
			c.held[hash] = true
		}
	}
	if c.phase != readingChunks || e.Attempt != c.attempt {
		return
	}
	if len(c.missing()) == 0 {
		c.readChunksFrom(c.source)
		return
	}
	c.readChunks()
}
