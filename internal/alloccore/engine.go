package alloccore

import (
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

const (
	// silentAfter is how long an engine may send no report before it is taken for dead.
	silentAfter = 10 * core.Second
	// failuresAllowed is the number of failed polls in a row that do not exclude an engine. One failed poll can be a
	// lost packet; a dead engine fails each.
	failuresAllowed = 1
	// reportLag is how far an engine's report may lag behind its state.
	reportLag = core.Second
	// coolDown is how long an engine gets no new work after it refused some.
	coolDown = 250 * core.Millisecond
	// defaultPrefillRate stands in for a rate missing in the configuration, in tokens a second.
	defaultPrefillRate = 10_000
)

// holding is the memory that a grant holds on one engine.
type holding struct {
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

// released remembers a request that ended, which a lagged report may still show.
type released struct {
	requestID string
	at        core.Micros
}

// engineState is what the allocator knows of one engine.
type engineState struct {
	cfg     EngineConfig
	removed bool
	// spread is true if the pool keeps other engines free of longer prefills.
	spread bool

	report   *EngineReported
	serves   map[string]bool
	failures int
	// answered is true once a poll of the engine has ended, well or not.
	answered  bool
	coolUntil core.Micros

	holdings  []*holding
	committed int
	byClass   [classes]int
	// running counts the holdings of each class.
	running  [classes]int
	suspects int
	adapters map[string]int
	trial    *grant
	// foreign is memory that the last report shows and no grant of this allocator explains.
	foreign  int
	released []released

	work     prefillWork
	prefixes prefixMemory
}

func newEngineState(cfg EngineConfig) *engineState {
	return &engineState{cfg: cfg, adapters: map[string]int{}, prefixes: newPrefixMemory()}
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

// silent reports whether the engine is taken for dead.
func (e *engineState) silent(now core.Micros) bool {
	return e.report == nil || now-e.report.Now >= silentAfter
}

// held returns the memory in use, in tokens.
func (e *engineState) held(p *Policy) int {
	if p.OwnCommitments {
		return e.committed + e.foreign
	}
	if e.report == nil {
		return 0
	}
	return e.report.Load.KVTokensUsed
}

// fits reports whether tokens of a class fit beside what the engine holds and keep (in tokens, by class). A class is
// bounded together with all longer ones, so that long work leaves room for shorter work and never the reverse.
func (e *engineState) fits(p *Policy, class Class, tokens int, keep *[classes]int, whole bool) bool {
	total := e.total()
	if e.held(p)+sum(keep)+tokens > total {
		return false
	}
	if whole || !p.OwnCommitments {
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
func (e *engineState) add(h *holding) {
	h.index = len(e.holdings)
	e.holdings = append(e.holdings, h)
	e.committed += h.tokens
	e.byClass[h.class] += h.tokens
	e.running[h.class]++
	if h.grant.mode != modeNormal {
		e.suspects++
	}
	if h.grant.adapter != "" {
		e.adapters[h.grant.adapter]++
	}
}

// free gives the memory of a holding back.
func (e *engineState) free(h *holding) {
	if h.freed {
		return
	}
	h.freed = true
	last := len(e.holdings) - 1
	e.holdings[h.index] = e.holdings[last]
	e.holdings[h.index].index = h.index
	e.holdings = e.holdings[:last]
	e.committed -= h.tokens
	e.byClass[h.class] -= h.tokens
	e.running[h.class]--
	if h.grant.mode != modeNormal {
		e.suspects--
	}
	if a := h.grant.adapter; a != "" {
		e.adapters[a]--
		if e.adapters[a] == 0 {
			delete(e.adapters, a)
		}
	}
	if e.trial == h.grant {
		e.trial = nil
	}
}

// remember keeps a request that ended apart from foreign memory until reports have caught up.
func (e *engineState) remember(requestID string, now core.Micros) {
	e.released = append(e.released, released{requestID, now})
}

// observe takes in a report. It returns false for a repeated report, which proves only that the engine answers.
func (e *engineState) observe(ev EngineReported) bool {
	e.answered, e.failures = true, 0
	if old := e.report; old != nil && old.Load.Incarnation == ev.Load.Incarnation {
		if ev.Load.Sequence != 0 && ev.Load.Sequence <= old.Load.Sequence {
			old.Now = ev.Now
			return false
		}
		e.work.observeRate(old, &ev, e.nominalRate())
	}
	e.report = &ev
	e.serves = servedNames(ev.Load.Models)
	return true
}

func (e *engineState) nominalRate() int {
	if e.cfg.PrefillRate > 0 {
		return e.cfg.PrefillRate
	}
	return defaultPrefillRate
}

// serveKey is the name of a model with an adapter in serves.
func serveKey(model, adapter string) string { return model + "\x00" + adapter }

func servedNames(models []engine.LoadedModel) map[string]bool {
	out := make(map[string]bool, len(models))
	for _, m := range models {
		out[serveKey(m.Name, "")] = true
		for _, a := range m.Adapters {
			out[serveKey(m.Name, a)] = true
		}
	}
	return out
}

// shows reports whether the last report shows the request of a grant.
func (e *engineState) shows(g *grant) bool {
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
	own := make(map[string]bool, len(e.holdings))
	for _, h := range e.holdings {
		own[h.grant.requestID] = true
	}
	ended := e.endedSince(e.report.AskedAt - reportLag)
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
	e.foreign = max(unknown, unlisted, 0)
	e.work.correct(e.report, e.unseenPrefill(shown), e.rate())
}

// endedSince drops what reports no longer lag behind and returns the rest.
func (e *engineState) endedSince(from core.Micros) map[string]bool {
	kept := e.released[:0]
	for _, r := range e.released {
		if r.at >= from {
			kept = append(kept, r)
		}
	}
	e.released = kept
	out := make(map[string]bool, len(kept))
	for _, r := range kept {
		out[r.requestID] = true
	}
	return out
}

// unseenPrefill sums the prefill work of grants too young to be in the last report.
func (e *engineState) unseenPrefill(shown map[string]bool) int {
	out := 0
	for _, h := range e.holdings {
		if !shown[h.grant.requestID] && h.at >= e.report.AskedAt-reportLag {
			out += h.uncached
		}
	}
	return out
}
