package drain

import "github.com/carobstile/carobstile/internal/core"

// QuietTime is how long nothing has to happen on a connection of a caller before it is closed: a request that is on its way arrives meanwhile.
const QuietTime = 100 * core.Millisecond

// Phase is what a stopping process does.
type Phase int

// Phases in their usual order. A request that arrives while the process settles makes it refuse again.
const (
	// Accepting serves requests that can end before the cut-off.
	Accepting Phase = iota + 1
	// Refusing refuses new requests, closes quiet connections and lets open requests end.
	Refusing
	// Settling takes no new connections until the open ones are quiet.
	Settling
	// CuttingOff ends open requests and lets their answers be written.
	CuttingOff
	// Over closes all connections.
	Over
)

// Load is what a stopping process still has to do.
type Load struct {
	// Exchanges counts requests that have not ended, and answers that are not written to their end.
	Exchanges int
	// Connections counts all open connections of callers.
	Connections int
	// Withdrawn is set once the process is no longer registered.
	Withdrawn bool
}

// Phase returns what the process does now.
func (p Plan) Phase(now core.Micros, l Load) Phase {
	switch {
	case now >= p.CloseBy:
		return Over
	case now >= p.CutOffAt && l.Exchanges > 0:
		return CuttingOff
	case now >= p.CutOffAt:
		return Over
	case now < p.RefuseFrom:
		return Accepting
	case l.Exchanges > 0 || !l.Withdrawn:
		return Refusing
	case l.Connections > 0:
		return Settling
	}
	return Over
}
