// Package drain decides how a process that serves callers stops (docs/design/planned-stop.md). The end of its grace period is known from the beginning of
// the stop: requests that cannot be served before are refused, the others end, and what is still open shortly before the end is answered.
// The package has no clock and no I/O.
package drain

import "github.com/carobstile/carobstile/internal/core"

const (
	// acceptPeriod is how long a stopping process still takes requests. The platform sends callers elsewhere after two failed checks, which
	// are one second apart.
	acceptPeriod = 2500 * core.Millisecond
	// cutOffReserve is the part of the grace period in which open requests are answered, and exitReserve the part of that in which the process ends.
	cutOffReserve = 500 * core.Millisecond
	exitReserve   = 200 * core.Millisecond
	// With short grace periods the times above are at most these shares of it.
	maxAcceptShare = 0.4
	maxCutOffShare = 0.25
	maxExitShare   = 0.1
)

// Plan holds the times of a stop on the monotonic clock of its process.
type Plan struct {
	// Began is when the stop began. Requests that arrive from RefuseFrom on are refused, those that are open at CutOffAt are ended, and
	// connections are closed at CloseBy whatever happens on them.
	Began, RefuseFrom, CutOffAt, CloseBy core.Micros
}

// NewPlan returns the plan of a stop that begins now, after which the process is killed when grace is over.
func NewPlan(now, grace core.Micros) Plan {
	share := func(s float64) core.Micros { return core.Micros(s * float64(grace)) }
	return Plan{
		Began: now, RefuseFrom: now + min(acceptPeriod, share(maxAcceptShare)),
		CutOffAt: now + grace - min(cutOffReserve, share(maxCutOffShare)),
		CloseBy:  now + grace - min(exitReserve, share(maxExitShare)),
	}
}

// CutOff returns the plan from the cut-off on, which comes late if the process was frozen: answers then get the same time to be written.
func (p Plan) CutOff(now core.Micros) Plan {
	p.CloseBy += max(0, now-p.CutOffAt)
	return p
}
