package fakeengine

import (
	"context"
	"net/http"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
)

// Times between a lead and its helpers.
const (
	groupTTL        = 5 * time.Second
	groupPollEvery  = 20 * time.Millisecond // while helpers compute their shares
	groupRenewEvery = time.Second
	// groupGrace is how long a helper may fail to answer before its share counts as lost.
	groupGrace = 3 * time.Second
	// leaveTimeout bounds the release of helpers; after it their reservations expire.
	leaveTimeout = 2 * time.Second
)

// groupLead is the lead's side of a multi-engine prompt. The methods accept nil, which stands for a prompt of one
// engine.
type groupLead struct {
	reservation  string
	helpers      []string
	helperTokens int
	work         engine.GroupWork
	helpersDone  bool // guarded by Engine.mu
	cancel       context.CancelFunc
	started      bool // guarded by Engine.mu; a request relies on the helpers
	left         bool // guarded by Engine.mu
}

func (g *groupLead) size() int {
	if g == nil {
		return 1
	}
	return 1 + len(g.helpers)
}

func (g *groupLead) ready() bool { return g == nil || g.helpersDone }

// joinGroup gives every helper its share of the prompt, or none of them.
func (e *Engine) joinGroup(ctx context.Context, c *call) (*groupLead, *refusalError) {
	if len(c.group) == 0 {
		return nil, nil
	}
	e.mu.Lock()
	kept, ok := e.requests[c.id]
	e.mu.Unlock()
	if ok {
		return kept.group, nil
	}
	g := &groupLead{reservation: c.reservation, helpers: c.group, cancel: func() {}}
	g.work = engine.GroupWork{
		PrefillTokens: engine.PromptTokens(len(c.prompt)) / g.size(), Priority: c.priority,
		TTLMs: int(groupTTL.Milliseconds()),
	}
	for _, address := range c.group {
		status, err := e.client.AssignGroupWork(ctx, address, g.reservation, g.work)
		if err != nil {
			g.abandon(e)
			return nil, &refusalError{http.StatusServiceUnavailable, engine.CodeHelperLost, err.Error()}
		}
		g.helperTokens += status.ReservedTokens
	}
	return g, nil
}

// start watches the helpers until the request ends. Engine.mu is held.
func (g *groupLead) start(e *Engine, r *request) {
	if g == nil {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	g.cancel, g.started = cancel, true
	e.goRun(func() { e.watchGroup(ctx, g, r) })
}

func (e *Engine) watchGroup(ctx context.Context, g *groupLead, r *request) {
	every := groupPollEvery
	answered := time.Now()
	for ctx.Err() == nil {
		done, err := e.pollGroup(ctx, g)
		switch {
		case err == nil:
			answered = time.Now()
		case engine.KindOf(err) == engine.KindRefused || time.Since(answered) > groupGrace:
			e.failGroup(ctx, r)
			return
		}
		if done && every != groupRenewEvery {
			every = groupRenewEvery
			e.helpersDone(g, r)
		}
		sleep(ctx, every)
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
		e.end(r, engine.CodeHelperLost)
	}
}

func (e *Engine) helpersDone(g *groupLead, r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g.helpersDone = true
	if r.phase == phaseRunning && r.prefillLeft == 0 && r.generated == 0 {
		e.advance(r)
		e.work.Broadcast()
	}
}

// leave frees the helpers' reservations when the request has ended. Engine.mu is held.
func (g *groupLead) leave(e *Engine) {
	if g == nil || g.left {
		return
	}
	g.left = true
	g.cancel()
	go g.release(e)
}

// abandon frees the helpers' reservations of a request that was not admitted.
func (g *groupLead) abandon(e *Engine) {
	if g == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !g.started {
		g.leave(e)
	}
}

func (g *groupLead) release(e *Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for _, address := range g.helpers {
		if err := e.client.ReleaseGroupWork(ctx, address, g.reservation); err != nil {
			e.log.Warn("helper keeps its reservation until it expires", "helper", address, "err", err.Error())
		}
	}
}
