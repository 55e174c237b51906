package alloccore

import "github.com/carobstile/carobstile/internal/core"

const (
	// rateWeight is the weight of a new observation in the moving average of an engine's prefill rate.
	rateWeight = 0.3
	// rateBound bounds how far an observed rate may depart from the configured one, as a factor; a report taken in the
	// middle of a burst can suggest nearly any rate.
	rateBound = 4.0
)

// prefillWork estimates the prefill work that an engine has left.
type prefillWork struct {
	at core.Micros
	// backlog is all work, debt the work of each class that counts against its share; tokens.
	backlog float64
	debt    [classes]float64
	// rate is the observed prefill rate in tokens a second, 0 before the first observation.
	rate float64
	// added is the work granted since the last report, in tokens.
	added int
}

// rateOf returns the prefill rate to reckon with, in tokens a second.
func (e *engineState) rate() float64 {
	if e.work.rate > 0 {
		return e.work.rate
	}
	return float64(e.nominalRate())
}

// advance lets the work done since the last call drain.
func (e *engineState) advance(p *Policy, now core.Micros) {
	w := &e.work
	if now <= w.at {
		return
	}
	done := e.rate() * seconds(now-w.at)
	w.backlog = max(0, w.backlog-done)
	for c := range w.debt {
		w.debt[c] = max(0, w.debt[c]-done*p.Classes[c].Share)
	}
	w.at = now
}

func seconds(span core.Micros) float64 { return float64(span) / float64(core.Second) }

// charge adds the work of a grant.
func (e *engineState) charge(p *Policy, now core.Micros, class Class, tokens int) {
	e.advance(p, now)
	e.work.backlog += float64(tokens)
	e.work.debt[class] += float64(tokens)
	e.work.added += tokens
}

// backlogTime returns the span until all work is done.
func (e *engineState) backlogTime(p *Policy, now core.Micros) core.Micros {
	e.advance(p, now)
	return spanOf(e.work.backlog, e.rate())
}

// debtTime returns the span until a class has used up what it was given of its share.
func (e *engineState) debtTime(p *Policy, now core.Micros, class Class) core.Micros {
	e.advance(p, now)
	return spanOf(e.work.debt[class], e.rate()*p.Classes[class].Share)
}

// spanOf returns how long tokens take at a rate in tokens a second.
func spanOf(tokens, rate float64) core.Micros {
	if tokens <= 0 || rate <= 0 {
		return 0
	}
	return core.Micros(tokens / rate * float64(core.Second))
}

// observeRate learns from two reports between which the engine had work all the time.
func (w *prefillWork) observeRate(old, report *EngineReported, nominal int) {
	added := w.added
	w.added = 0
	span := report.Now - old.Now
	before, after := old.Load.QueuedPrefillTokens, report.Load.QueuedPrefillTokens
	done := before + added - after
	if before == 0 || after == 0 || done <= 0 || span <= 0 {
		return
	}
	base := float64(nominal)
	seen := min(max(float64(done)/seconds(span), base/rateBound), base*rateBound)
	if w.rate == 0 {
		w.rate = base
	}
	w.rate += rateWeight * (seen - w.rate)
}

// correct replaces the estimated backlog by the reported one and the work too young to be in it. Work of the shortest
// class is dropped from its debt when the engine has done it; longer classes keep theirs, because finishing ahead of
// its share does not entitle long work to more.
func (w *prefillWork) correct(report *EngineReported, unseen int) {
	w.backlog = float64(report.Load.QueuedPrefillTokens + unseen)
	w.debt[ClassShort] = min(w.debt[ClassShort], w.backlog)
}
