package alloccore

import (
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

const (
	// reportTimeout is how long an engine may send no report before it is taken for dead.
	reportTimeout = 10 * core.Second
	// maxPollFailures is the number of failed polls in a row that do not exclude an engine. One failed poll can be a
	// lost packet; a dead engine fails each.
	maxPollFailures = 1
	// reportLag is how far an engine's report may lag behind its state.
	reportLag = core.Second
	// refusalCooldown is how long an engine gets no new work after it refused some.
	refusalCooldown = 250 * core.Millisecond
	// defaultPrefillRate stands in for a rate missing in the configuration, in tokens a second.
	defaultPrefillRate = 10_000
)

// allocation is the memory that a grant holds on one engine.
type allocation struct {
	grant  *grant
	engine *engineState
	// incarnation is the engine incarnation that the memory belongs to.
	incarnation string
	class       Class
	tokens      int
	// uncached is the prefill work, in tokens.
	uncached int
	at       core.Micros
	index    int
	freed    bool
}

// endedRequest remembers a request that ended, which a lagged report may still show.
type endedRequest struct {
	requestID string
	at        core.Micros
}

// engineState is what the allocator knows of one engine.
type engineState struct {
	cfg     EngineConfig
	removed bool
	// isolatesPrefills is true if the pool keeps other engines free of longer prefills.
	isolatesPrefills bool

	report       *EngineReported
	servedModels map[string]bool
	pollFailures int
	// polled is true once a poll of the engine has ended, well or not.
	polled        bool
	cooldownUntil core.Micros

	allocations []*allocation
	committed   int
	byClass     [classes]int
	// running counts the holdings of each class.
	running  [classes]int
	suspects int
	adapters map[string]int
	trial    *grant
	// unattributed is memory that the last report shows and no grant of this allocator explains.
	unattributed  int
	endedRequests []endedRequest

	work     prefillWork
	prefixes prefixLRU
}

func newEngineState(cfg EngineConfig) *engineState {
	return &engineState{cfg: cfg, adapters: map[string]int{}, prefixes: newPrefixLRU()}
}

// total returns the KV memory, in tokens.
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

// presumedDead reports whether the engine is taken for dead.
func (e *engineState) presumedDead(now core.Micros) bool {
	return e.report == nil || now-e.report.Now >= reportTimeout
}

// usedTokens returns the memory in use, in tokens.
func (e *engineState) usedTokens(p *Policy) int {
	if p.OwnCommitments {
		return e.committed + e.unattributed
	}
	if e.report == nil {
		return 0
	}
	return e.report.Load.KVTokensUsed
}

// fits reports whether tokens of a class fit beside what the engine holds and keep (in tokens, by class). A class is
// bounded together with all longer ones, so that long work leaves room for shorter work and never the reverse.
func (e *engineState) fits(p *Policy, class Class, tokens int, keep *[classes]int, ignoreShare bool) bool {
	total := e.total()
	if e.usedTokens(p)+sum(keep)+tokens > total {
		return false
	}
	if ignoreShare || !p.OwnCommitments {
		return true
	}
	longer := tokens
	for c := ClassLong; c > ClassShort; c-- {
		longer += e.byClass[c] + keep[c]
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

// add takes in a holding.
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

// free gives the memory of a holding back.
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

// recordEnded keeps a request that ended apart from foreign memory until reports have caught up.
func (e *engineState) recordEnded(requestID string, now core.Micros) {
	e.endedRequests = append(e.endedRequests, endedRequest{requestID, now})
}

// recordReport takes in a report. It returns false for a repeated report, which proves only that the engine answers.
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

// modelKey is the name of a model with an adapter in serves.
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

// reportsRequest reports whether the last report reportsRequest the request of a grant.
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

// reconcile recomputes foreign memory and the prefill backlog from the last report and the own holdings.
func (e *engineState) reconcile() {
	load := &e.report.Load
	own := make(map[string]bool, len(e.allocations))
	for _, alloc := range e.allocations {
		own[alloc.grant.requestID] = true
	}
	ended := e.requestsEndedSince(e.report.AskedAt - reportLag)
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
	// Memory that no running request explains, such as reservations; cached blocks are evicted on demand.
	unlisted := load.KVTokensUsed - load.KVTokensCached - e.committed - endedTokens
	e.unattributed = max(unknown, unlisted, 0)
	e.work.clampToReport(e.report, e.unreportedPrefill(shown), e.rate())
}

// requestsEndedSince drops what reports no longer lag behind and returns the rest.
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

// unreportedPrefill sums the prefill work of grants too young to be in the last report.
func (e *engineState) unreportedPrefill(shown map[string]bool) int {
	out := 0
	for _, alloc := range e.allocations {
		if !shown[alloc.grant.requestID] && alloc.at >= e.report.AskedAt-reportLag {
			out += alloc.uncached
		}
	}
	return out
}
