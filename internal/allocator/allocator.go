// Package allocator runs the allocators of the pools that are assigned to this daemon: it polls their engines and
// answers Grant, Renew and Release.
package allocator

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/alloccore"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/shell"
)

// Intervals of polling.
const (
	pollInterval = time.Second
	// pollTimeout ends a poll before the next one, so that one silent connection does not hide a live engine.
	pollTimeout = 900 * time.Millisecond
)

// LoadReader reads an engine's load report.
type LoadReader interface {
	Load(ctx context.Context, address string) (*engine.Load, error)
}

// Options of an Allocator. Loads is required.
type Options struct {
	Loads LoadReader
	// Policy of the pools; nil means DefaultPolicy.
	Policy *alloccore.Policy
	// Log defaults to a logger that drops everything.
	Log *slog.Logger
	// NewInstance returns a string that never repeats; the default is a random UUID.
	NewInstance func() string
	// Record, if set, is called with every event and its effects, serialised per pool.
	Record func(pool string, event alloccore.Event, effects []alloccore.Effect)
}

// Allocator holds the reducers of the pools that this daemon allocates. It is safe for concurrent use.
type Allocator struct {
	opts   Options
	clock  shell.Clock
	policy alloccore.Policy
	wake   chan struct{}

	mu      sync.Mutex
	pools   map[string]*pool
	leaving bool
}

// New returns an allocator without pools.
func New(opts Options) *Allocator {
	if opts.Log == nil {
		opts.Log = evlog.Discard()
	}
	if opts.NewInstance == nil {
		opts.NewInstance = uuid.NewString
	}
	policy := alloccore.DefaultPolicy()
	if opts.Policy != nil {
		policy = *opts.Policy
	}
	return &Allocator{
		opts: opts, clock: shell.NewClock(), policy: policy, wake: make(chan struct{}, 1), pools: map[string]*pool{},
	}
}

// Pools states which pools this daemon allocates, with the configuration in force. Pools that left are closed and
// their waiting requests refused, so that the gates turn to the new allocator.
func (a *Allocator) Pools(assigned []string, index *config.Index) {
	keep := make(map[string]bool, len(assigned))
	created := false
	for _, name := range assigned {
		if place, ok := index.Pool(name); ok {
			keep[name] = true
			created = a.configure(place, index.Limits) || created
		}
	}
	for _, p := range a.snapshot() {
		if !keep[p.name] {
			a.drop(p)
		}
	}
	if created {
		a.pollNow()
	}
}

// pollNow polls all pools without waiting for the next second.
func (a *Allocator) pollNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// configure reports whether the pool is new.
func (a *Allocator) configure(place *config.Pool, limits config.Limits) bool {
	p, created, leaving := a.ensure(place.Name)
	p.configure(place, limits)
	if leaving {
		p.close(alloccore.CodeLeaving)
	}
	return created
}

func (a *Allocator) ensure(name string) (p *pool, created, leaving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p = a.pools[name]; p != nil {
		return p, false, a.leaving
	}
	p = newPool(name, a)
	a.pools[name] = p
	a.opts.Log.Info("pool assigned", "pool", name)
	return p, true, a.leaving
}

func (a *Allocator) drop(p *pool) {
	a.mu.Lock()
	delete(a.pools, p.name)
	a.mu.Unlock()
	p.close(alloccore.CodeNotAllocator)
	p.stopTimers()
	a.opts.Log.Info("pool handed over", "pool", p.name)
}

func (a *Allocator) pool(name string) *pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pools[name]
}

// snapshot returns the pools sorted by name.
func (a *Allocator) snapshot() []*pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*pool, 0, len(a.pools))
	for _, p := range a.pools {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// Leave ends granting for a graceful shutdown: waiting and later requests are refused, renewals and releases go on.
func (a *Allocator) Leave() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	for _, p := range a.snapshot() {
		p.close(alloccore.CodeLeaving)
	}
}

// Grant answers a request for engines, after at most its max wait.
func (a *Allocator) Grant(ctx context.Context, req *carobstilev1.GrantRequest) (*carobstilev1.GrantResponse, error) {
	p := a.pool(req.GetPool())
	if p == nil {
		return refusal(alloccore.CodeNotAllocator, 0), nil
	}
	a.opts.Log.Info("grant asked", evlog.KeyRequest, req.GetRequestId(), evlog.KeyAttempt, req.GetAttempt(),
		"pool", req.GetPool(), "gate", req.GetGate())
	return p.grant(ctx, requestOf(req))
}

// Renew extends grants. Its error is connect.CodeFailedPrecondition when this daemon does not allocate the pool.
func (a *Allocator) Renew(_ context.Context, req *carobstilev1.RenewRequest) (*carobstilev1.RenewResponse, error) {
	p := a.pool(req.GetPool())
	if p == nil {
		return nil, errNotAllocator(req.GetPool())
	}
	return p.renew(req), nil
}

// Release gives grants back. Its error is connect.CodeFailedPrecondition when this daemon does not allocate the pool.
func (a *Allocator) Release(_ context.Context, req *carobstilev1.ReleaseRequest) (*carobstilev1.ReleaseResponse, error) {
	p := a.pool(req.GetPool())
	if p == nil {
		return nil, errNotAllocator(req.GetPool())
	}
	p.release(req)
	return &carobstilev1.ReleaseResponse{}, nil
}

func errNotAllocator(pool string) error {
	return connect.NewError(connect.CodeFailedPrecondition, errors.Newf("this daemon does not allocate pool %q", pool))
}

// Status describes the pools, sorted by name.
func (a *Allocator) Status() []*carobstilev1.PoolStatus {
	pools := a.snapshot()
	out := make([]*carobstilev1.PoolStatus, 0, len(pools))
	for _, p := range pools {
		out = append(out, p.status())
	}
	return out
}

// Run polls the engines of the pools once a second until ctx ends.
func (a *Allocator) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		for _, p := range a.snapshot() {
			p.poll(ctx, &polls)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-a.wake:
		}
	}
}
