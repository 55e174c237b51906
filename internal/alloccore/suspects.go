package alloccore

import "github.com/carobstile/carobstile/internal/core"

// trialGracePeriod limits a solo trial beyond its expected prefill time, so that an engine whose reports never list the
// suspect does not stay idle.
const trialGracePeriod = 10 * core.Second

// suspectMode is the treatment of a request depending on how many engines it has crashed.
type suspectMode int

const (
	modeNormal suspectMode = iota
	// modeSeparate requires an engine that runs no other suspect.
	modeSeparate
	// modeSolo is modeSeparate, and the engine gets no new work until the request's first token.
	modeSolo
	// modeRefused refuses the request, which has reached the crash limit.
	modeRefused
)

// modeOf returns the treatment of a request that has crashed count engines.
func (c *Core) modeOf(count int) suspectMode {
	switch {
	case count <= 0:
		return modeNormal
	case count >= c.crashLimit:
		return modeRefused
	case count == c.crashLimit-1 && c.policy.SoloTrials:
		return modeSolo
	case c.policy.SuspectsApart:
		return modeSeparate
	default:
		return modeNormal
	}
}

// endTrialIfDone ends a solo trial when its time limit has passed, or once a report polled after the grant lists the
// suspect and no queued prefill work, which means that its first token was sent. Reports do not state this directly.
func (c *Core) endTrialIfDone(e *engineState) {
	if e.trial == nil {
		return
	}
	first := e.report.PolledAt > e.trial.grantedAt && e.reportsRequest(e.trial) && e.report.Load.QueuedPrefillTokens == 0
	if first || e.report.Now > e.trial.trialUntil {
		e.trial = nil
	}
}
