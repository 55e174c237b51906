package alloccore

import (
	"github.com/carobstile/carobstile/internal/core"
)

const (
	// rateWeight is the weight of a new observation in the moving average of an engine's prefill rate.
	rateWeight = 0.3
	// maxRateFactor is the largest factor by which an observed rate may differ from the configured one. A report taken in
	// the middle of a burst can suggest nearly any rate.
	maxRateFactor = 4.0
)

// prefillJob is the prefill work of one grant on an engine.
type prefillJob struct {
	class Class
	// remaining is in tokens.
	remaining float64
}

// prefillWork estimates the remaining prefill work of an engine. Engines use continuous batching, so the model lets all
// jobs share the engine's rate equally.
type prefillWork struct {
	updatedAt core.Micros
	jobs      []prefillJob
	// unattributed is reported work that belongs to no job, in tokens.
	unattributed float64
	// debt is the granted work of each class that is not yet paid off at the class's share of the prefill rate, in tokens.
	debt [classes]float64
	// rate is the observed prefill rate in tokens per second, 0 before the first observation.
	rate float64
	// grantedSinceReport is the work granted since the last report, in tokens.
	grantedSinceReport int
}

// backlog returns the total remaining work, in tokens.
func (w *prefillWork) backlog() float64 {
	out := w.unattributed
	for i := range w.jobs {
		out += w.jobs[i].remaining
	}
	return out
}

// workAhead returns the work on other jobs that is done before a new job of the given tokens ends. As jobs share the
// rate equally, each other job contributes at most the size of the new one.
func (w *prefillWork) workAhead(tokens float64) float64 {
	out := min(w.unattributed, tokens)
	for i := range w.jobs {
		out += min(w.jobs[i].remaining, tokens)
	}
	return out
}

// longerClassWork returns the remaining work of classes longer than the given one, in tokens.
func (w *prefillWork) longerClassWork(class Class) float64 {
	out := 0.0
	for i := range w.jobs {
		if w.jobs[i].class > class {
			out += w.jobs[i].remaining
		}
	}
	return out
}

// consume subtracts completed work from all jobs equally. The share that a finished job does not need goes to the
// others.
func (w *prefillWork) consume(work float64) {
	for work > 0 && len(w.jobs) > 0 {
		least := w.jobs[0].remaining
		for i := range w.jobs {
			least = min(least, w.jobs[i].remaining)
		}
		activeJobs := float64(len(w.jobs))
		if w.unattributed > 0 {
			activeJobs++
		}
		part := min(least, work/activeJobs)
		work -= part * activeJobs
		w.unattributed = max(0, w.unattributed-part)
		w.subtractFromEach(part)
		if part < least {
			return
		}
	}
	w.unattributed = max(0, w.unattributed-work)
}

// subtractFromEach subtracts the same work from each job and removes finished jobs.
func (w *prefillWork) subtractFromEach(part float64) {
	kept := w.jobs[:0]
	for _, j := range w.jobs {
		if j.remaining -= part; j.remaining > 0 {
			kept = append(kept, j)
		}
	}
	w.jobs = kept
}

// rate returns the estimated prefill rate in tokens per second: the observed one, or the nominal one before the first
// observation.
func (e *engineState) rate() float64 {
	if e.work.rate > 0 {
		return e.work.rate
	}
	return float64(e.nominalRate())
}

// rateShare returns the share of the engine's prefill rate that a class may use. It is 1 if PrefillSpread keeps other
// engines free for shorter classes.
func (e *engineState) rateShare(p *Policy, class Class) float64 {
	if e.isolatesPrefills {
		return 1
	}
	return p.Classes[class].Share
}

// advance subtracts the work that the engine completed since the last call, at its estimated rate.
func (e *engineState) advance(p *Policy, now core.Micros) {
	w := &e.work
	if now <= w.updatedAt {
		return
	}
	done := e.rate() * seconds(now-w.updatedAt)
	w.consume(done)
	for c := range w.debt {
		w.debt[c] = max(0, w.debt[c]-done*e.rateShare(p, Class(c)))
	}
	w.updatedAt = now
}

func seconds(span core.Micros) float64 { return float64(span) / float64(core.Second) }

// charge adds the prefill work of a grant.
func (e *engineState) charge(p *Policy, now core.Micros, class Class, tokens int) {
	e.advance(p, now)
	if tokens > 0 {
		e.work.jobs = append(e.work.jobs, prefillJob{class, float64(tokens)})
	}
	e.work.debt[class] += float64(tokens)
	e.work.grantedSinceReport += tokens
}

// backlogTime returns the time until all remaining work is done.
func (e *engineState) backlogTime(p *Policy, now core.Micros) core.Micros {
	e.advance(p, now)
	return processingTime(e.work.backlog(), e.rate())
}

// debtTime returns the time until the debt of a class is paid off at its share of the prefill rate.
func (e *engineState) debtTime(p *Policy, now core.Micros, class Class) core.Micros {
	e.advance(p, now)
	return processingTime(e.work.debt[class], e.rate()*e.rateShare(p, class))
}

// processingTime returns how long tokens take at a rate in tokens per second.
func processingTime(tokens, rate float64) core.Micros {
	if tokens <= 0 || rate <= 0 {
		return 0
	}
	return core.Micros(tokens / rate * float64(core.Second))
}

// observeRate updates the observed rate from two consecutive reports that both show queued work.
func (w *prefillWork) observeRate(old, report *EngineReported, nominal int) {
	added := w.grantedSinceReport
	w.grantedSinceReport = 0
	span := report.Now - old.Now
	before, after := old.Load.QueuedPrefillTokens, report.Load.QueuedPrefillTokens
	done := before + added - after
	if before == 0 || after == 0 || done <= 0 || span <= 0 {
		return
	}
	base := float64(nominal)
	observed := min(max(float64(done)/seconds(span), base/maxRateFactor), base*maxRateFactor)
	if w.rate == 0 {
		w.rate = base
	}
	w.rate += rateWeight * (observed - w.rate)
}

// clampToReport limits the estimated backlog to the range that a report allows: at most the reported work plus grants
// too recent to be in it, and at least the reported work minus what the engine can do within reportLag. The estimate is
// not replaced by the report, because recent grants that the engine has already finished would then count as remaining.
// The debt of ClassShort is limited to the backlog, so work that the engine has already done no longer counts. Longer
// classes keep their debt, because finishing ahead of their share does not entitle them to more.
func (w *prefillWork) clampToReport(report *EngineReported, unreported int, rate float64) {
	queued, total := float64(report.Load.QueuedPrefillTokens), w.backlog()
	if minBacklog := queued - rate*seconds(reportLag); total < minBacklog {
		w.unattributed += minBacklog - total
	}
	if maxBacklog := queued + float64(unreported); total > maxBacklog {
		w.scale(maxBacklog / total)
	}
	w.debt[ClassShort] = min(w.debt[ClassShort], w.backlog())
}

func (w *prefillWork) scale(factor float64) {
	w.unattributed *= factor
	for i := range w.jobs {
		w.jobs[i].remaining *= factor
	}
	w.subtractFromEach(0)
}
