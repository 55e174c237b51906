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

// pool drives the reducer of one pool.
type pool struct {
	name string
	a    *Allocator

	// mu serialises Step.
	mu   sync.Mutex
	core *alloccore.Core

	// stateMu guards what effects are performed on.
	stateMu sync.Mutex
	serial  uint64
	asks    map[uint64]chan *carobstilev1.GrantResponse
	renews  map[uint64]chan *carobstilev1.RenewResponse
	timers  map[string]*time.Timer
	engines []alloccore.EngineConfig
	polling map[string]bool
	stopped bool
}

func newPool(name string, a *Allocator) *pool {
	return &pool{
		name: name, a: a,
		core:    alloccore.New(alloccore.Options{Instance: a.opts.NewInstance(), Policy: a.policy}),
		asks:    map[uint64]chan *carobstilev1.GrantResponse{},
		renews:  map[uint64]chan *carobstilev1.RenewResponse{},
		timers:  map[string]*time.Timer{},
		polling: map[string]bool{},
	}
}

// step feeds the event that build makes of the current time, and performs the effects outside the mutex of Step. The
// second mutex is taken before the first is given up, so that effects are performed in the order of their steps;
// otherwise an older SetTimer could replace a newer one.
func (p *pool) step(build func(now core.Micros) alloccore.Event) {
	p.mu.Lock()
	ev := build(p.a.clock.Now())
	effects := p.core.Step(ev)
	if p.a.opts.Record != nil {
		p.a.opts.Record(p.name, ev, effects)
	}
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	p.mu.Unlock()
	for _, effect := range effects {
		p.perform(effect)
	}
}

// perform needs stateMu.
func (p *pool) perform(effect alloccore.Effect) {
	switch e := effect.(type) {
	case alloccore.Granted:
		p.answer(e.Ask, grantedResponse(e))
		p.a.opts.Log.Info("granted", evlog.KeyRequest, e.RequestID, "pool", p.name, "grant", e.GrantID,
			"engine", e.Engines[0].Engine, "engines", len(e.Engines))
	case alloccore.Refused:
		p.answer(e.Ask, refusal(e.Code, e.ExpectedWait))
		p.a.opts.Log.Info("refused", evlog.KeyRequest, e.RequestID, "pool", p.name, "code", string(e.Code),
			"wait", e.ExpectedWait.Duration().String())
	case alloccore.Renewed:
		p.answerRenewal(e)
	case alloccore.SetTimer:
		p.setTimer(e)
	}
}

func (p *pool) answer(ask uint64, response *carobstilev1.GrantResponse) {
	p.dropTimer(alloccore.AskTimer(ask))
	if ch := p.asks[ask]; ch != nil {
		ch <- response
		delete(p.asks, ask)
	}
}

func (p *pool) answerRenewal(e alloccore.Renewed) {
	if ch := p.renews[e.Call]; ch != nil {
		ch <- &carobstilev1.RenewResponse{LostGrantIds: e.Lost, ExpiresMicros: int64(e.Expires)}
		delete(p.renews, e.Call)
	}
}

func (p *pool) setTimer(e alloccore.SetTimer) {
	if p.stopped {
		return
	}
	p.dropTimer(e.Key)
	delay := (e.At - p.a.clock.Now()).Duration()
	p.timers[e.Key] = time.AfterFunc(delay, func() {
		p.step(func(now core.Micros) alloccore.Event { return alloccore.TimerFired{Now: now, Key: e.Key} })
	})
}

// dropTimer stops a timer if it is set.
func (p *pool) dropTimer(key string) {
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

func (p *pool) configure(place *config.Pool, limits config.Limits) {
	engines := make([]alloccore.EngineConfig, 0, len(place.Engines))
	for _, s := range place.Engines {
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

func (p *pool) close(code alloccore.RefusalCode) {
	p.step(func(now core.Micros) alloccore.Event { return alloccore.Closed{Now: now, Code: code} })
}

func (p *pool) grant(ctx context.Context, req alloccore.Request) (*carobstilev1.GrantResponse, error) {
	ch := make(chan *carobstilev1.GrantResponse, 1)
	p.stateMu.Lock()
	p.serial++
	ask := p.serial
	p.asks[ask] = ch
	p.stateMu.Unlock()
	p.step(func(now core.Micros) alloccore.Event {
		return alloccore.GrantAsked{Now: now, Ask: ask, Request: req}
	})
	select {
	case response := <-ch:
		return response, nil
	case <-ctx.Done():
		p.abandon(ask)
		return nil, ctx.Err()
	}
}

// abandon withdraws a request whose gate no longer waits; the reducer frees a grant that was given meanwhile.
func (p *pool) abandon(ask uint64) {
	p.stateMu.Lock()
	delete(p.asks, ask)
	p.dropTimer(alloccore.AskTimer(ask))
	p.stateMu.Unlock()
	p.step(func(now core.Micros) alloccore.Event { return alloccore.AskAbandoned{Now: now, Ask: ask} })
}

func (p *pool) renew(req *carobstilev1.RenewRequest) *carobstilev1.RenewResponse {
	ch := make(chan *carobstilev1.RenewResponse, 1)
	p.stateMu.Lock()
	p.serial++
	call := p.serial
	p.renews[call] = ch
	p.stateMu.Unlock()
	grants := heldGrants(req.GetGrants())
	p.step(func(now core.Micros) alloccore.Event {
		return alloccore.GrantsRenewed{Now: now, Gate: req.GetGate(), Call: call, Grants: grants}
	})
	return <-ch
}

// release ends grants. A lost connection may be the first sign of a dead engine, so the engines are polled at once
// instead of up to a second later.
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
		p.a.pollNow()
	}
}

// poll asks each engine for its load unless the last poll of it is still open.
func (p *pool) poll(ctx context.Context, polls *sync.WaitGroup) {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	for _, e := range p.engines {
		if p.polling[e.Name] {
			continue
		}
		p.polling[e.Name] = true
		polls.Go(func() { p.pollEngine(ctx, e.Name, e.Address) })
	}
}

func (p *pool) pollEngine(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	asked := p.a.clock.Now()
	load, err := p.a.opts.Loads.Load(ctx, address)
	p.stateMu.Lock()
	delete(p.polling, name)
	p.stateMu.Unlock()
	if err != nil {
		p.a.opts.Log.Debug("load poll failed", "pool", p.name, "engine", name, "err", err.Error())
		refused := errors.Is(err, syscall.ECONNREFUSED)
		p.step(func(now core.Micros) alloccore.Event {
			return alloccore.EngineUnreachable{Now: now, Engine: name, Refused: refused}
		})
		return
	}
	p.step(func(now core.Micros) alloccore.Event {
		return alloccore.EngineReported{Now: now, Engine: name, AskedAt: asked, Load: *load}
	})
}

func (p *pool) status() *carobstilev1.PoolStatus {
	p.mu.Lock()
	now := p.a.clock.Now()
	view := p.core.View(now)
	p.mu.Unlock()
	return statusOf(p.name, now, view)
}
