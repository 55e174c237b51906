package alloccore

import "github.com/carobstile/carobstile/internal/core"

// trialGracePeriod bounds a solo trial beyond its expected prefill time, so that an engine whose reports do not show the
// suspect is not kept idle.
const trialGracePeriod = 10 * core.Second

// suspectMode says how a request that crashed engines is treated.
type suspectMode int

const (
	modeNormal suspectMode = iota
	// modeSeparate runs on an engine that runs no other suspect.
	modeSeparate
	// modeSolo runs apart, and its engine gets no new work until its first tokens.
	modeSolo
	// modeRefused has reached the crash limit.
	modeRefused
)

// modeOf returns the treatment of a request that crashed count engines.
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

// endTrialIfDone ends a solo trial once a report taken after the grant shows the suspect and no prefill work: its first
// tokens are out. Reports do not state this directly.
func (c *Core) endTrialIfDone(e *engineState) {
	if e.trial == nil {
		return
	}
	first := e.report.AskedAt > e.trial.grantedAt && e.reportsRequest(e.trial) && e.report.Load.QueuedPrefillTokens == 0
	if first || e.report.Now > e.trial.trialUntil {
		e.trial = nil
	}
}
