package edge

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/carobstile/carobstile/internal/bodybudget"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/drain"
)

// stopPollInterval is how often a stopping daemon looks at its requests and connections.
const stopPollInterval = 20 * time.Millisecond

// stop performs a planned stop (docs/design/planned-stop.md). The readiness check fails, so that callers go elsewhere, the neighbours are notified, and
// the scheduler refuses what cannot be served before the end. A change of the grace period has no effect on a stop that has begun.
func (d *Daemon) stop(server *http.Server, connections *bodybudget.Listener) {
	defer close(d.drained)
	grace := d.latestSettings.Load().stopGrace()
	plan := drain.NewPlan(d.now(), core.FromDuration(grace))
	d.draining.Store(true)
	d.log.Info("stopping", "open", d.handler.OpenRequests(), "grace_ms", grace.Milliseconds())
	d.handler.Stop()
	d.link.Leave()
	d.scheduler.Step(dispatch.Stopping{Now: plan.Began, CutOffAt: plan.CutOffAt})
	entryRemoved := make(chan struct{})
	go func() {
		defer close(entryRemoved)
		d.removeOwnEntry()
	}()
	s := &stopper{
		plan: plan, requests: d.handler, connections: connections, entryRemoved: entryRemoved, log: d.log, now: d.now, sleep: time.Sleep,
		closeServer: func() { _ = server.Close() }, // what is still open is closed on purpose
	}
	s.run()
}

// openWork is what a stopping daemon waits for.
type openWork interface {
	OpenRequests() int64
	Drain()
	CutOff(stopping core.Micros)
}

// callerConnections are the connections of callers.
type callerConnections interface {
	Connections() bodybudget.Connections
	// CloseQuiet closes those on which nothing has happened for the given time.
	CloseQuiet(quiet time.Duration)
	// Close ends the acceptance of new ones.
	Close() error
}

// stopper ends the requests and connections of a stopping daemon.
type stopper struct {
	plan         drain.Plan
	requests     openWork
	connections  callerConnections
	entryRemoved <-chan struct{}
	closeServer  func()
	log          *slog.Logger
	now          func() core.Micros
	sleep        func(time.Duration)
}

func (s *stopper) run() {
	s.logConnections("connections of callers when the stop began")
	s.sleep((s.plan.RefuseFrom - s.now()).Duration())
	s.requests.Drain()
	for phase := s.phase(); phase < drain.CuttingOff; phase = s.phase() {
		if phase == drain.Settling {
			_ = s.connections.Close() // fails only if it is closed
		}
		s.connections.CloseQuiet(drain.QuietTime.Duration()) // their callers' next requests would be refused here
		s.sleep(stopPollInterval)
	}
	if !s.isEntryRemoved() {
		s.log.Warn("own entry is not removed: the store has not answered")
	}
	_ = s.connections.Close()
	s.plan = s.plan.CutOff(s.now())
	s.requests.CutOff(s.plan.Began)
	for s.phase() == drain.CuttingOff {
		s.sleep(stopPollInterval)
	}
	s.logConnections("connections of callers closed by the stop")
	s.closeServer()
}

func (s *stopper) phase() drain.Phase {
	c := s.connections.Connections()
	return s.plan.Phase(s.now(), drain.Load{
		Exchanges: int(s.requests.OpenRequests()) + c.Exchanging, Connections: c.Total(), Withdrawn: s.isEntryRemoved(),
	})
}

func (s *stopper) isEntryRemoved() bool {
	select {
	case <-s.entryRemoved:
		return true
	default:
		return false
	}
}

// logConnections logs what happens on the connections of callers.
func (s *stopper) logConnections(message string) {
	c := s.connections.Connections()
	s.log.Info(message, "exchanging", c.Exchanging, "arriving", c.Arriving, "new", c.New, "idle", c.Idle,
		"open", s.requests.OpenRequests(), "stopping_ms", (s.now()-s.plan.Began)/core.Millisecond)
}
