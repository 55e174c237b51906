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

const (
	pollInterval = time.Second
	// pollTimeout is shorter than pollInterval, so that one connection that does not respond cannot block the next poll
	// and make a live engine look dead.
	pollTimeout = 900 * time.Millisecond
)

// LoadReader reads an engine's load report.
type LoadReader interface {
	Load(ctx context.Context, address string) (*engine.Load, error)
}

// Options configures an Allocator. Loads is required.
type Options struct {
	Loads LoadReader
	// Policy is the allocation policy of all pools; nil means alloccore.DefaultPolicy.
	Policy *alloccore.Policy
	// Log defaults to a logger that discards all output.
	Log *slog.Logger
	// NewInstance returns a unique id for each reducer; the default is a random UUID.
	NewInstance func() string
	// Record, if set, is called with every event and its effects. Calls for one pool are serialised.
	Record func(pool string, event alloccore.Event, effects []alloccore.Effect)
}

// Allocator holds the reducers of the pools that this daemon allocates. It is safe for concurrent use.
type Allocator struct {
	opts   Options
	clock  shell.Clock
	policy alloccore.Policy
	// pollRequests makes Run poll at once.
	pollRequests chan struct{}

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
		opts: opts, clock: shell.NewClock(), policy: policy, pollRequests: make(chan struct{}, 1), pools: map[string]*pool{},
	}
}

// SetPools sets the pools that this daemon allocates and configures them from index. Pools that are no longer assigned
// are closed and their waiting requests refused, so that the gates switch to the new allocator.
func (a *Allocator) SetPools(assigned []string, index *config.Index) {
	isAssigned := make(map[string]bool, len(assigned))
	created := false
	for _, name := range assigned {
		if poolConfig, ok := index.Pool(name); ok {
			isAssigned[name] = true
			created = a.configurePool(poolConfig, index.Limits) || created
		}
	}
	for _, p := range a.sortedPools() {
		if !isAssigned[p.name] {
			a.removePool(p)
		}
	}
	if created {
		a.pollNow()
	}
}

// pollNow makes Run poll all pools without waiting for the next poll interval.
func (a *Allocator) pollNow() {
	select {
	case a.pollRequests <- struct{}{}:
	default:
	}
}

// configurePool configures the pool and creates it if needed. It reports whether the pool was created.
func (a *Allocator) configurePool(poolConfig *config.Pool, limits config.Limits) bool {
	p, created, leaving := a.getOrCreatePool(poolConfig.Name)
	p.configure(poolConfig, limits)
	if leaving {
		p.stopGranting(alloccore.CodeLeaving)
	}
	return created
}

func (a *Allocator) getOrCreatePool(name string) (p *pool, created, leaving bool) {
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

func (a *Allocator) removePool(p *pool) {
	a.mu.Lock()
	delete(a.pools, p.name)
	a.mu.Unlock()
	p.stopGranting(alloccore.CodeNotAllocator)
	p.stopTimers()
	a.opts.Log.Info("pool unassigned", "pool", p.name)
}

func (a *Allocator) pool(name string) *pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pools[name]
}

// sortedPools returns the pools sorted by name.
func (a *Allocator) sortedPools() []*pool {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*pool, 0, len(a.pools))
	for _, p := range a.pools {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// StopGranting stops granting for a graceful shutdown: waiting and later requests are refused, while renewals and
// releases are still served.
func (a *Allocator) StopGranting() {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	for _, p := range a.sortedPools() {
		p.stopGranting(alloccore.CodeLeaving)
	}
}

// Grant returns a grant or a refusal, after at most the max wait of the request.
func (a *Allocator) Grant(ctx context.Context, req *carobstilev1.GrantRequest) (*carobstilev1.GrantResponse, error) {
	p := a.pool(req.GetPool())
	if p == nil {
		return refusal(alloccore.CodeNotAllocator, 0), nil
	}
	a.opts.Log.Info("grant asked", evlog.KeyRequest, req.GetRequestId(), evlog.KeyAttempt, req.GetAttempt(),
		"pool", req.GetPool(), "gate", req.GetGate())
	return p.grant(ctx, requestOf(req))
}

// Renew extends grants. It fails with connect.CodeFailedPrecondition if this daemon does not allocate the pool.
func (a *Allocator) Renew(_ context.Context, req *carobstilev1.RenewRequest) (*carobstilev1.RenewResponse, error) {
	p := a.pool(req.GetPool())
	if p == nil {
		return nil, notAllocatorError(req.GetPool())
	}
	return p.renew(req), nil
}

// Release releases grants. It fails with connect.CodeFailedPrecondition if this daemon does not allocate the pool.
func (a *Allocator) Release(_ context.Context, req *carobstilev1.ReleaseRequest) (*carobstilev1.ReleaseResponse, error) {
	p := a.pool(req.GetPool())
	if p == nil {
		return nil, notAllocatorError(req.GetPool())
	}
	p.release(req)
	return &carobstilev1.ReleaseResponse{}, nil
}

func notAllocatorError(pool string) error {
	return connect.NewError(connect.CodeFailedPrecondition, errors.Newf("this daemon does not allocate pool %q", pool))
}

// Status returns the status of all pools, sorted by name.
func (a *Allocator) Status() []*carobstilev1.PoolStatus {
	pools := a.sortedPools()
	out := make([]*carobstilev1.PoolStatus, 0, len(pools))
	for _, p := range pools {
		out = append(out, p.status())
	}
	return out
}

// Run polls the engines of all pools once per pollInterval, and on pollNow, until ctx is done.
func (a *Allocator) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var polls sync.WaitGroup
	defer polls.Wait()
	for {
		for _, p := range a.sortedPools() {
			p.poll(ctx, &polls)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-a.pollRequests:
		}
	}
}
