package confcore

import "slices"

// useful reports whether a generation would be adopted.
func (c *Core) useful(generation uint64) bool {
	return generation > c.inForce && generation > c.rejected
}

// seen notes a daemon with a newer configuration and fetches it.
func (c *Core) seen(e GenerationSeen) {
	if !c.useful(e.Generation) || e.Generation < c.wanted {
		return
	}
	fresh := e.Generation > c.wanted
	if fresh {
		c.wanted = e.Generation
		c.holders = nil
		c.news = true
	}
	if !slices.Contains(c.holders, e.From) {
		c.holders = append([]string{e.From}, c.holders[:min(len(c.holders), keptHolders-1)]...)
	}
	switch {
	case c.phase == idle:
		c.pursue()
	case c.phase == waiting && fresh:
		clear(c.tried)
		c.resume()
	case c.phase == waiting && !c.tried[e.From]:
		// A new holder is worth an attempt before the retry is due.
		c.resume()
	}
}

// pursue starts to fetch what is wanted.
func (c *Core) pursue() {
	if c.phase != idle || !c.useful(c.wanted) {
		return
	}
	clear(c.tried)
	c.readRoot()
}

// readRoot asks the next source for a newer root: the holders, then the platform.
func (c *Core) readRoot() {
	c.news = false
	source, ok := c.nextSource(c.holders)
	switch {
	case ok:
	case c.target != nil:
		clear(c.tried)
		c.readChunks()
		return
	default:
		c.wait()
		return
	}
	c.phase, c.source = readingRoot, source
	c.attempt++
	c.emit(ReadRoot{Attempt: c.attempt, Source: source, MinGeneration: c.newest() + 1})
}

// newest returns the generation that a root must exceed to be of use.
func (c *Core) newest() uint64 {
	newest := max(c.inForce, c.rejected)
	if c.target != nil {
		newest = max(newest, c.target.Generation)
	}
	return newest
}

// nextSource returns the first of the preferred sources, then the platform, that was not tried yet.
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

// wait retries later, at growing intervals, since all sources failed.
func (c *Core) wait() {
	if c.news && c.wanted > c.newest() {
		// A newer generation was heard of since the last attempt to read a root.
		clear(c.tried)
		c.readRoot()
		return
	}
	c.phase = waiting
	c.setTimer(keyRetry, c.now+c.retry)
	c.retry = min(2*c.retry, maxRetry)
}

func (c *Core) retryNow() {
	if c.phase != waiting {
		return
	}
	clear(c.tried)
	c.resume()
}

func (c *Core) resume() {
	switch {
	case c.wanted > c.newest():
		// Also when the target lacks chunks: it may be that the newer configuration no longer needs them.
		c.readRoot()
	case c.target != nil:
		c.readChunks()
	default:
		c.phase = idle
	}
}

func (c *Core) rootRead(e RootRead) {
	if c.phase != readingRoot || e.Attempt != c.attempt {
		c.offer(e.Root, Platform)
		return
	}
	if e.Root.Generation <= c.newest() {
		// A stale read or an old peer.
		c.readRoot()
		return
	}
	c.phase = idle
	c.offer(e.Root, c.source)
}

// offer takes a root as the new target if it is newer than what is in force and what is being fetched.
func (c *Core) offer(root Root, source string) {
	if !c.useful(root.Generation) {
		return
	}
	if root.Generation > c.wanted {
		c.wanted = root.Generation
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
	c.retry = minRetry
	clear(c.tried)
	c.tried[source] = true
	c.readChunksFrom(source)
}

// dropUnneeded forgets the chunks that neither the root in force nor the target names; the shell drops them too.
func (c *Core) dropUnneeded() {
	held := make(map[string]bool, len(c.held))
	for _, hashes := range [][]string{c.current, c.target.Hashes} {
		for _, hash := range hashes {
			if c.held[hash] {
				held[hash] = true
			}
		}
	}
	c.held = held
}

// missing returns the chunks of the target that are not held.
func (c *Core) missing() []string {
	var out []string
	for _, hash := range c.target.Hashes {
		if !c.held[hash] {
			out = append(out, hash)
		}
	}
	return out
}

// readChunks asks the next source: holders, the platform, then some random peers, since any daemon may still have a
// chunk that the platform lost.
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
		c.wait()
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
