package allocator

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/alloccore"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/evlog"
)

// pool is the shell of one pool's reducer: it feeds events to the reducer and performs its effects.
type pool struct {
	name      string
	allocator *Allocator

	// mu serialises calls of core.
	mu   sync.Mutex
	core *alloccore.Core

	// stateMu guards the fields below.
	stateMu         sync.Mutex
	lastCallID      uint64
	pendingGrants   map[uint64]chan *carobstilev1.GrantResponse
	pendingRenewals map[uint64]chan *carobstilev1.RenewResponse
	timers          map[string]*time.Timer
	engines         []alloccore.EngineConfig
	pollsInFlight   map[string]bool
	stopped         bool
}

func newPool(name string, a *Allocator) *pool {
	return &pool{
		name: name, allocator: a,
		core:            alloccore.New(alloccore.Options{Instance: a.opts.NewInstance(), Policy: a.policy}),
		pendingGrants:   map[uint64]chan *carobstilev1.GrantResponse{},
		pendingRenewals: map[uint64]chan *carobstilev1.RenewResponse{},
		timers:          map[string]*time.Timer{},
		pollsInFlight:   map[string]bool{},
	}
}

// step passes the event that build returns for the current time to the reducer, and performs the effects after releasing
// mu. It locks stateMu before it unlocks mu, so that effects are performed in the order of their steps; otherwise an
// older SetTimer could replace a newer one.
func (p *pool) step(build func(now core.Micros) alloccore.Event) {
	p.mu.Lock()
	ev := build(p.allocator.clock.Now())
	effects := p.core.Step(ev)
	if p.allocator.opts.Record != nil {
		p.allocator.opts.Record(p.name, ev, effects)
	}
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	p.mu.Unlock()
	for _, effect := range effects {
		p.perform(effect)
	}
}

// perform must be called with stateMu held.
func (p *pool) perform(effect alloccore.Effect) {
	switch e := effect.(type) {
	case alloccore.Granted:
		p.respondToGrant(e.Call, grantedResponse(e))
		p.allocator.opts.Log.Info("granted", evlog.KeyRequest, e.RequestID, "pool", p.name, "grant", e.GrantID,
			"engine", e.Engines[0].Engine, "engines", len(e.Engines))
	case alloccore.Refused:
		p.respondToGrant(e.Call, refusal(e.Code, e.ExpectedWait))
		p.allocator.opts.Log.Info("refused", evlog.KeyRequest, e.RequestID, "pool", p.name, "code", string(e.Code),
			"wait", e.ExpectedWait.Duration().String())
	case alloccore.Renewed:
		p.respondToRenewal(e)
	case alloccore.SetTimer:
		p.setTimer(e)
	}
}

func (p *pool) respondToGrant(callID uint64, response *carobstilev1.GrantResponse) {
	p.cancelTimer(alloccore.RequestTimerKey(callID))
	if ch := p.pendingGrants[callID]; ch != nil {
		ch <- response
		delete(p.pendingGrants, callID)
	}
}

func (p *pool) respondToRenewal(e alloccore.Renewed) {
	if ch := p.pendingRenewals[e.Call]; ch != nil {
		ch <- &carobstilev1.RenewResponse{LostGrantIds: e.Lost, ExpiresMicros: int64(e.Expires)}
		delete(p.pendingRenewals, e.Call)
	}
}

func (p *pool) setTimer(e alloccore.SetTimer) {
	if p.stopped {
		return
	}
	p.cancelTimer(e.Key)
	delay := (e.At - p.allocator.clock.Now()).Duration()
	p.timers[e.Key] = time.AfterFunc(delay, func() {
		p.step(func(now core.Micros) alloccore.Event { return alloccore.TimerFired{Now: now, Key: e.Key} })
	})
}

// cancelTimer stops and removes a timer if it is set.
func (p *pool) cancelTimer(key string) {
	if t := p.timers[key]; t != nil {
		t.Stop()
		delete(p.timers, key)
	}
}

func (p *pool) stopTimers() {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	p.stopped = true
	for _, t := range p.timers {
		t.Stop()
	}
	p.timers = map[string]*time.Timer{}
}

func (p *pool) configure(poolConfig *config.Pool, limits config.Limits) {
	engines := make([]alloccore.EngineConfig, 0, len(poolConfig.Engines))
	for _, s := range poolConfig.Engines {
		engines = append(engines, alloccore.EngineConfig{
			Name: s.Name, Address: s.Address, KVTokens: s.KVTokens, Drained: s.Drained,
			PrefillRate: s.PrefillTokensPerSecond, DecodeRate: s.DecodeTokensPerSecond,
		})
	}
	p.stateMu.Lock()
	p.engines = engines
	p.stateMu.Unlock()
	p.step(func(now core.Micros) alloccore.Event {
		return alloccore.PoolConfigured{
			Now: now, Engines: engines, QueueLimit: limits.QueueLimit, CrashLimit: limits.CrashLimit,
		}
	})
}

func (p *pool) stopGranting(code alloccore.RefusalCode) {
	p.step(func(now core.Micros) alloccore.Event { return alloccore.GrantingStopped{Now: now, Code: code} })
}

func (p *pool) grant(ctx context.Context, req alloccore.Request) (*carobstilev1.GrantResponse, error) {
	ch := make(chan *carobstilev1.GrantResponse, 1)
	p.stateMu.Lock()
	p.lastCallID++
	callID := p.lastCallID
	p.pendingGrants[callID] = ch
	p.stateMu.Unlock()
	p.step(func(now core.Micros) alloccore.Event {
		return alloccore.GrantRequested{Now: now, Call: callID, Request: req}
	})
	select {
	case response := <-ch:
		return response, nil
	case <-ctx.Done():
		p.abandonGrant(callID)
		return nil, ctx.Err()
	}
}

// abandonGrant withdraws a grant request whose gate stopped waiting. If the grant was issued in the meantime, the reducer
// frees it.
func (p *pool) abandonGrant(callID uint64) {
	p.stateMu.Lock()
	delete(p.pendingGrants, callID)
	p.cancelTimer(alloccore.RequestTimerKey(callID))
	p.stateMu.Unlock()
	p.step(func(now core.Micros) alloccore.Event { return alloccore.GrantRequestAbandoned{Now: now, Call: callID} })
}

func (p *pool) renew(req *carobstilev1.RenewRequest) *carobstilev1.RenewResponse {
	ch := make(chan *carobstilev1.RenewResponse, 1)
	p.stateMu.Lock()
	p.lastCallID++
	callID := p.lastCallID
	p.pendingRenewals[callID] = ch
	p.stateMu.Unlock()
	grants := heldGrants(req.GetGrants())
	p.step(func(now core.Micros) alloccore.Event {
		return alloccore.GrantsRenewed{Now: now, Gate: req.GetGate(), Call: callID, Grants: grants}
	})
	return <-ch
}

// release releases grants. A lost connection may be the first sign of a dead engine, so the engines are then polled at
// once instead of up to one poll interval later.
func (p *pool) release(req *carobstilev1.ReleaseRequest) {
	lost := false
	for _, g := range req.GetGrants() {
		lost = lost || g.GetOutcome() == carobstilev1.Outcome_OUTCOME_LOST
		p.step(func(now core.Micros) alloccore.Event {
			return alloccore.GrantReleased{
				Now: now, GrantID: g.GetGrantId(), Outcome: outcomeOf(g.GetOutcome()), OutputTokens: int(g.GetOutputTokens()),
			}
		})
	}
	if lost {
		p.allocator.pollNow()
	}
}

// poll starts a load poll of each engine, except for engines whose previous poll is still in flight.
func (p *pool) poll(ctx context.Context, polls *sync.WaitGroup) {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	for _, e := range p.engines {
		if p.pollsInFlight[e.Name] {
			continue
		}
		p.pollsInFlight[e.Name] = true
		polls.Go(func() { p.pollEngine(ctx, e.Name, e.Address) })
	}
}

func (p *pool) pollEngine(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sentAt := p.allocator.clock.Now()
	load, err := p.allocator.opts.Loads.Load(ctx, address)
	p.stateMu.Lock()
	delete(p.pollsInFlight, name)
	p.stateMu.Unlock()
	if err != nil {
		p.allocator.opts.Log.Debug("load poll failed", "pool", p.name, "engine", name, "err", err.Error())
		refused := errors.Is(err, syscall.ECONNREFUSED)
		p.step(func(now core.Micros) alloccore.Event {
			return alloccore.EngineUnreachable{Now: now, Engine: name, Refused: refused}
		})
		return
	}
	p.step(func(now core.Micros) alloccore.Event {
		return alloccore.EngineReported{Now: now, Engine: name, PolledAt: sentAt, Load: *load}
	})
}

func (p *pool) status() *carobstilev1.PoolStatus {
	p.mu.Lock()
	now := p.allocator.clock.Now()
	view := p.core.View(now)
	p.mu.Unlock()
	return statusOf(p.name, now, view)
}
