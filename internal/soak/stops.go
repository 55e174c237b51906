package soak

import (
	"net/http"
	"sync"
	"time"
)

// Kinds of faults of schedules with Stops.
const (
	DaemonsStop   Kind = "daemons-stop"   // SIGTERM of half of the daemons, or of all but one, one after the other; each is restarted after ForMs
	EnginesSilent Kind = "engines-silent" // most or all engines read and write nothing for ForMs, and go on
)

// Variants of the faults of stops.
const (
	stopHalf   = "half"
	stopMost   = "all-but-one"
	silentMost = "most"
	silentAll  = "all"
)

// The weights are those of about half of all faults of a schedule.
var stopSpecs = []faultSpec{
	{DaemonsStop, 14, []string{stopHalf, stopMost}, 1_000},
	{EnginesSilent, 14, []string{silentMost, silentAll}, 1_200},
	{DaemonReload, 6, nil, 0},
	{ConfigRoute, 6, nil, 5_000},
}

// stopGap is the time between two stops of a series, which overlap.
const stopGap = 700 * time.Millisecond

// stopDaemons stops daemons one after the other, from the given one on.
func (inj *injector) stopDaemons(first int, f Fault) {
	count := len(inj.cluster.daemons) / 2
	if f.Variant == stopMost {
		count = len(inj.cluster.daemons) - 1
	}
	var stops sync.WaitGroup
	for i := range max(1, count) {
		d := (first + i) % len(inj.cluster.daemons)
		stops.Go(func() {
			defer inj.lock(lockProcess, d)()
			inj.injectProcessFault(d, Fault{Kind: DaemonStop, ForMs: f.ForMs})
		})
		time.Sleep(stopGap)
	}
	stops.Wait()
}

// silenceEngines lets three of four engines, or all, be silent. For the promises this is no disturbance.
func (inj *injector) silenceEngines(f Fault) {
	var silences sync.WaitGroup
	for i, b := range inj.cluster.backends[:inj.cluster.engines] {
		if f.Variant == silentMost && i%4 == 0 {
			continue
		}
		silences.Go(func() { b.current().FallSilent(milliseconds(f.ForMs)) })
	}
	silences.Wait()
}

// lossSlack is the time after which a request that ends without an answer counts as read by its daemon.
const lossSlack = 200 * time.Millisecond

// checkPlannedStop checks that a planned stop leaves no request without an answer: one that a server has run, one that was sent on a kept connection, and
// one that the daemon must have read. New connections can cross the close of the listener.
func (c *checker) checkPlannedStop(r *request) {
	if r.err == nil || c.undisturbed(r.sent, r.ended, scopeStopping(r.daemon)) {
		return
	}
	took := r.ended.Sub(r.sent)
	unanswered := r.status == 0 && took < r.kind.timeout && (r.kept || took > lossSlack) // TIME judges those that reach their time limit
	if r.runs == 0 && !unanswered || !c.undisturbed(r.sent, r.ended, scopeStore, scopeServers, scopeDaemon(r.daemon)) {
		return
	}
	c.addViolation("LOST", r.id, "%s request ended by a planned stop of daemon %d after %v, runs %d, kept connection %t, status %s: %v", r.kind.name, r.daemon,
		took, r.runs, r.kept, http.StatusText(r.status), r.err)
}
