package fakeengine

import (
	"context"
	"net/http"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
)

// Time limits and intervals of the calls from a lead engine to its helpers.
const (
	groupTTL           = 5 * time.Second
	groupPollInterval  = 20 * time.Millisecond // while the helpers compute their parts
	groupRenewInterval = time.Second
	// helperGracePeriod is how long a helper may be unreachable before its part of the prompt counts as lost.
	helperGracePeriod = 3 * time.Second
	// releaseTimeout limits the calls that release the helpers. Reservations that they do not reach expire.
	releaseTimeout = 2 * time.Second
)

// groupLead is the state of a multi-engine prompt on its lead engine. Its methods accept a nil receiver, which stands
// for a prompt on a single engine.
type groupLead struct {
	reservation  string
	helpers      []string
	helperTokens int
	work         engine.GroupWork
	helpersDone  bool // guarded by Engine.mu
	cancel       context.CancelFunc
	started      bool // guarded by Engine.mu; a request uses the helpers
	released     bool // guarded by Engine.mu
}

func (g *groupLead) size() int {
	if g == nil {
		return 1
	}
	return 1 + len(g.helpers)
}

func (g *groupLead) ready() bool { return g == nil || g.helpersDone }

// joinGroup assigns each helper its part of the prompt. If a helper fails, it releases all of them and returns a
// refusal.
func (e *Engine) joinGroup(ctx context.Context, c *call) (*groupLead, *refusalError) {
	if len(c.helpers) == 0 {
		return nil, nil
	}
	e.mu.Lock()
	existing, ok := e.requests[c.id]
	e.mu.Unlock()
	if ok {
		return existing.group, nil
	}
	g := &groupLead{reservation: c.reservation, helpers: c.helpers, cancel: func() {}}
	g.work = engine.GroupWork{
		PrefillTokens: engine.PromptTokens(len(c.prompt)) / g.size(), Priority: c.priority,
		TTLMs: int(groupTTL.Milliseconds()),
	}
	for _, address := range c.helpers {
		status, err := e.client.AssignGroupWork(ctx, address, g.reservation, g.work)
		if err != nil {
			g.abandon(e)
			return nil, &refusalError{http.StatusServiceUnavailable, engine.CodeHelperLost, err.Error()}
		}
		g.helperTokens += status.ReservedTokens
	}
	return g, nil
}

// start begins to poll the helpers until the request ends. Engine.mu is held.
func (g *groupLead) start(e *Engine, r *request) {
	if g == nil {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	g.cancel, g.started = cancel, true
	e.spawn(func() { e.watchGroup(ctx, g, r) })
}

// watchGroup polls the helpers, which also renews their reservations, until ctx is cancelled. It fails the request if a
// helper refuses or is unreachable for helperGracePeriod.
func (e *Engine) watchGroup(ctx context.Context, g *groupLead, r *request) {
	interval := groupPollInterval
	lastAnswer := time.Now()
	for ctx.Err() == nil {
		done, err := e.pollGroup(ctx, g)
		switch {
		case err == nil:
			lastAnswer = time.Now()
		case engine.KindOf(err) == engine.KindRefused || time.Since(lastAnswer) > helperGracePeriod:
			e.failGroup(ctx, r)
			return
		}
		if done && interval != groupRenewInterval {
			interval = groupRenewInterval
			e.markHelpersDone(g, r)
		}
		sleep(ctx, interval)
	}
}

func (e *Engine) pollGroup(ctx context.Context, g *groupLead) (done bool, err error) {
	done = true
	for _, address := range g.helpers {
		status, err := e.client.AssignGroupWork(ctx, address, g.reservation, g.work)
		if err != nil {
			return false, err
		}
		done = done && status.PrefillDone
	}
	return done, nil
}

func (e *Engine) failGroup(ctx context.Context, r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() == nil && r.phase != phaseEnded {
		e.endRequest(r, engine.CodeHelperLost)
	}
}

func (e *Engine) markHelpersDone(g *groupLead, r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.helpersDone = true
	if r.phase == phaseRunning && r.prefillLeft == 0 && r.generated == 0 {
		e.generateToken(r)
		e.workCond.Broadcast()
	}
}

// release stops polling the helpers and releases their reservations in the background. Only the first call has an
// effect. Engine.mu is held.
func (g *groupLead) release(e *Engine) {
	if g == nil || g.released {
		return
	}
	g.released = true
	g.cancel()
	go g.releaseHelpers(e)
}

// abandon releases the helpers' reservations of a request that was not admitted.
func (g *groupLead) abandon(e *Engine) {
	if g == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !g.started {
		g.release(e)
	}
}

func (g *groupLead) releaseHelpers(e *Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for _, address := range g.helpers {
		if err := e.client.ReleaseGroupWork(ctx, address, g.reservation); err != nil {
			e.log.Warn("releasing the helper failed; it holds its reservation until expiry",
				"helper", address, "err", err.Error())
		}
	}
}
