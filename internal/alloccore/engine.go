package alloccore

import (
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

const (
	// reportTimeout is how long an engine may go without a report before it is presumed dead.
	reportTimeout = 10 * core.Second
	// maxPollFailures is the number of consecutive failed polls that an engine may have and still receive work. One failed
	// poll can be a lost packet; a dead engine fails every poll.
	maxPollFailures = 1
	// reportLag is the longest time by which an engine's report may lag behind its state.
	reportLag = core.Second
	// refusalCooldown is how long an engine receives no new work after it refused a request.
	refusalCooldown = 250 * core.Millisecond
	// defaultPrefillRate is used if the configuration states no rate, in tokens per second.
	defaultPrefillRate = 10_000
)

// allocation is the KV memory that a grant reserves on one engine.
type allocation struct {
	grant  *grant
	engine *engineState
	// incarnation is the engine incarnation on which the memory was reserved.
	incarnation string
	class       Class
	tokens      int
	// uncached is the prefill work, in tokens.
	uncached int
	at       core.Micros
	index    int
	freed    bool
}

// endedRequest is a recently ended request, which a lagging report may still list.
type endedRequest struct {
	requestID string
	at        core.Micros
}

// engineState is the allocator's state of one engine.
type engineState struct {
	cfg     EngineConfig
	removed bool
	// isolatesPrefills is true if the pool restricts medium and long prefills to a subset of its engines.
	isolatesPrefills bool

	report       *EngineReported
	servedModels map[string]bool
	pollFailures int
	// polled is true once a poll of the engine has succeeded or failed.
	polled        bool
	cooldownUntil core.Micros

	allocations []*allocation
	committed   int
	byClass     [classes]int
	// running is the number of allocations of each class.
	running  [classes]int
	suspects int
	adapters map[string]int
	trial    *grant
	// unattributed is the memory in the last report that belongs to no grant of this allocator, in tokens.
	unattributed  int
	endedRequests []endedRequest

	work     prefillWork
	prefixes prefixLRU
}

func newEngineState(cfg EngineConfig) *engineState {
	return &engineState{cfg: cfg, adapters: map[string]int{}, prefixes: newPrefixLRU()}
}

// total returns the engine's KV memory, in tokens.
func (e *engineState) total() int {
	if e.report != nil && e.report.Load.KVTokensTotal > 0 {
		return e.report.Load.KVTokensTotal
	}
	return e.cfg.KVTokens
}

func (e *engineState) incarnation() string {
	if e.report == nil {
		return ""
	}
	return e.report.Load.Incarnation
}

// presumedDead reports whether the engine has not reported within reportTimeout.
func (e *engineState) presumedDead(now core.Micros) bool {
	return e.report == nil || now-e.report.Now >= reportTimeout
}

// usedTokens returns the KV memory in use, in tokens.
func (e *engineState) usedTokens(p *Policy) int {
	if p.OwnCommitments {
		return e.committed + e.unattributed
	}
	if e.report == nil {
		return 0
	}
	return e.report.Load.KVTokensUsed
}

// fits reports whether tokens of a class fit beside the memory in use and the memory reserved for others (in tokens, by
// class). The share of a class limits this class and all longer ones together, so long requests leave memory for
// shorter ones, but not the reverse. ignoreShare skips this limit.
func (e *engineState) fits(p *Policy, class Class, tokens int, reserved *[classes]int, ignoreShare bool) bool {
	total := e.total()
	if e.usedTokens(p)+sum(reserved)+tokens > total {
		return false
	}
	if ignoreShare || !p.OwnCommitments {
		return true
	}
	longer := tokens
	for c := ClassLong; c > ClassShort; c-- {
		longer += e.byClass[c] + reserved[c]
		if c <= class && longer > int(p.memoryShare(c)*float64(total)) {
			return false
		}
	}
	return true
}

func sum(tokens *[classes]int) int {
	out := 0
	for _, t := range tokens {
		out += t
	}
	return out
}

// add registers an allocation on the engine.
func (e *engineState) add(alloc *allocation) {
	alloc.index = len(e.allocations)
	e.allocations = append(e.allocations, alloc)
	e.committed += alloc.tokens
	e.byClass[alloc.class] += alloc.tokens
	e.running[alloc.class]++
	if alloc.grant.mode != modeNormal {
		e.suspects++
	}
	if alloc.grant.adapter != "" {
		e.adapters[alloc.grant.adapter]++
	}
}

// free removes an allocation from the engine. Repeated calls have no effect.
func (e *engineState) free(alloc *allocation) {
	if alloc.freed {
		return
	}
	alloc.freed = true
	last := len(e.allocations) - 1
	e.allocations[alloc.index] = e.allocations[last]
	e.allocations[alloc.index].index = alloc.index
	e.allocations = e.allocations[:last]
	e.committed -= alloc.tokens
	e.byClass[alloc.class] -= alloc.tokens
	e.running[alloc.class]--
	if alloc.grant.mode != modeNormal {
		e.suspects--
	}
	if a := alloc.grant.adapter; a != "" {
		e.adapters[a]--
		if e.adapters[a] == 0 {
			delete(e.adapters, a)
		}
	}
	if e.trial == alloc.grant {
		e.trial = nil
	}
}

// recordEnded records an ended request, so that its memory in lagging reports does not count as unattributed.
func (e *engineState) recordEnded(requestID string, now core.Micros) {
	e.endedRequests = append(e.endedRequests, endedRequest{requestID, now})
}

// recordReport stores a report. It returns false for a report that was already seen, which only confirms that the
// engine responds.
func (e *engineState) recordReport(ev EngineReported) bool {
	e.polled, e.pollFailures = true, 0
	if old := e.report; old != nil && old.Load.Incarnation == ev.Load.Incarnation {
		if ev.Load.Sequence != 0 && ev.Load.Sequence <= old.Load.Sequence {
			old.Now = ev.Now
			return false
		}
		e.work.observeRate(old, &ev, e.nominalRate())
	}
	e.report = &ev
	e.servedModels = servedModelKeys(ev.Load.Models)
	return true
}

func (e *engineState) nominalRate() int {
	if e.cfg.PrefillRate > 0 {
		return e.cfg.PrefillRate
	}
	return defaultPrefillRate
}

// modelKey returns the key of a model and adapter in servedModels.
func modelKey(model, adapter string) string { return model + "\x00" + adapter }

func servedModelKeys(models []engine.LoadedModel) map[string]bool {
	out := make(map[string]bool, len(models))
	for _, m := range models {
		out[modelKey(m.Name, "")] = true
		for _, a := range m.Adapters {
			out[modelKey(m.Name, a)] = true
		}
	}
	return out
}

// reportsRequest reports whether the last report lists the request of a grant as running.
func (e *engineState) reportsRequest(g *grant) bool {
	if e.report == nil {
		return false
	}
	for _, r := range e.report.Load.Running {
		if r.RequestID == g.requestID && (g.attempt == 0 || r.Attempt == 0 || r.Attempt == g.attempt) {
			return true
		}
	}
	return false
}

// reconcile recomputes the unattributed memory and the prefill backlog from the last report and the engine's
// allocations.
func (e *engineState) reconcile() {
	load := &e.report.Load
	own := make(map[string]bool, len(e.allocations))
	for _, alloc := range e.allocations {
		own[alloc.grant.requestID] = true
	}
	ended := e.requestsEndedSince(e.report.PolledAt - reportLag)
	unknown, endedTokens := 0, 0
	shown := make(map[string]bool, len(load.Running))
	for _, r := range load.Running {
		shown[r.RequestID] = true
		switch {
		case own[r.RequestID]:
		case ended[r.RequestID]:
			endedTokens += r.ReservedTokens
		default:
			unknown += r.ReservedTokens
		}
	}
	// Memory that belongs to no running request, such as reservations. Cached blocks are not counted, as the engine evicts
	// them on demand.
	unlisted := load.KVTokensUsed - load.KVTokensCached - e.committed - endedTokens
	e.unattributed = max(unknown, unlisted, 0)
	e.work.clampToReport(e.report, e.unreportedPrefill(shown), e.rate())
}

// requestsEndedSince discards requests that ended before from, which reports no longer list, and returns the ids of the
// others.
func (e *engineState) requestsEndedSince(from core.Micros) map[string]bool {
	kept := e.endedRequests[:0]
	for _, r := range e.endedRequests {
		if r.at >= from {
			kept = append(kept, r)
		}
	}
	e.endedRequests = kept
	out := make(map[string]bool, len(kept))
	for _, r := range kept {
		out[r.requestID] = true
	}
	return out
}

// unreportedPrefill returns the prefill work, in tokens, of allocations too recent to be in the last report.
func (e *engineState) unreportedPrefill(shown map[string]bool) int {
	out := 0
	for _, alloc := range e.allocations {
		if !shown[alloc.grant.requestID] && alloc.at >= e.report.PolledAt-reportLag {
			out += alloc.uncached
		}
	}
	return out
}
