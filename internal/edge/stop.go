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

// drainPollInterval is how often a stopping daemon checks whether its requests have ended.
const drainPollInterval = 50 * time.Millisecond

// answerPollInterval is how often it checks whether requests that were cut off are answered.
const answerPollInterval = 5 * time.Millisecond

// stop performs a planned stop. The readiness check fails, so that callers go elsewhere, and the neighbours are
// notified. The scheduler refuses what cannot be served before the end. Requests are accepted and then refused until the open ones
// have ended, and the rest is cut off before the end of the grace period.
func (d *Daemon) stop(server *http.Server, connections *bodybudget.Listener) {
	defer close(d.drained)
	grace := d.latestSettings.Load().stopGrace()
	d.draining.Store(true)
	d.log.Info("stopping", "open", d.handler.OpenRequests(), "grace_ms", grace.Milliseconds())
	d.link.Leave()
	entryRemoved := make(chan struct{})
	go func() {
		defer close(entryRemoved)
		d.removeOwnEntry()
	}()
	plan := drain.NewPlan(d.now(), core.FromDuration(grace))
	d.scheduler.Step(dispatch.Stopping{Now: plan.Began, CutOffAt: plan.CutOffAt})
	d.handler.Stop()
	s := &stopper{
		plan: plan, requests: d.handler, connections: connections, entryRemoved: entryRemoved, log: d.log, now: d.now, sleep: time.Sleep,
		closeServer: func() { _ = server.Close() }, // open requests are cut off on purpose
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
	began := s.plan.Began
	s.logConnections("connections of callers when the stop began", began)
	s.sleep((s.plan.RefuseFrom - s.now()).Duration())
	s.requests.Drain()
	deadline := s.plan.CutOffAt
	for s.requests.OpenRequests() > 0 && s.now() < deadline {
		s.sleep(drainPollInterval)
	}
	for !s.isEntryRemoved() && s.now() < deadline {
		s.sleep(drainPollInterval)
	}
	if !s.isEntryRemoved() {
		s.log.Warn("own entry is not removed: the store has not answered")
	}
	s.requests.CutOff(began)
	for s.requests.OpenRequests() > 0 && s.now() < s.plan.CloseBy {
		s.sleep(answerPollInterval)
	}
	s.logConnections("connections of callers closed by the stop", began)
	s.closeServer()
}

func (s *stopper) isEntryRemoved() bool {
	select {
	case <-s.entryRemoved:
		return true
	default:
		return false
	}
}

// logConnections logs what happens on the connections of callers; stopping is when the stop began.
func (s *stopper) logConnections(message string, stopping core.Micros) {
	c := s.connections.Connections()
	s.log.Info(message, "exchanging", c.Exchanging, "arriving", c.Arriving, "new", c.New, "idle", c.Idle,
		"open", s.requests.OpenRequests(), "stopping_ms", (s.now()-stopping)/core.Millisecond)
}
