// Package grants is the gate's client of the allocators: it selects the pools for a request, acquires grants from them,
// and renews and releases the grants that it holds.
package grants

import (
	"context"
	"log/slog"
	"sync"
	"time"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/evlog"
)

// A grant expires 15 s after its last renewal, so renewals after 4, 8 and 12 s tolerate two lost ones in a row.
const (
	renewInterval = 4 * time.Second
	renewTimeout  = 2 * time.Second
	// releaseTimeout limits one release call. A grant whose release is lost expires at the allocator.
	releaseTimeout = 2 * time.Second
)

// Peer calls the allocator of a pool. The implementation looks up the daemon that allocates the pool.
type Peer interface {
	Grant(ctx context.Context, pool string, req *carobstilev1.GrantRequest) (*carobstilev1.GrantResponse, error)
	Renew(ctx context.Context, pool string, req *carobstilev1.RenewRequest) (*carobstilev1.RenewResponse, error)
	Release(ctx context.Context, pool string, req *carobstilev1.ReleaseRequest) (*carobstilev1.ReleaseResponse, error)
}

// Options configures Grants. Gate, Location and Peer are required.
type Options struct {
	// Gate is the name of this daemon.
	Gate     string
	Location Location
	Peer     Peer
	// Log defaults to a logger that discards all output.
	Log *slog.Logger
	// SpillWait is how long a request waits in the queue of a pool before the next one is tried; default 100 ms.
	SpillWait time.Duration
}

// Grants acquires, renews and releases grants. It is safe for concurrent use.
type Grants struct {
	opts   Options
	health *poolHealth

	mu        sync.Mutex
	held      map[string]*Grant
	directory *PoolDirectory
	releases  sync.WaitGroup
}

// Grant is a grant that this gate holds.
type Grant struct {
	ID        string
	Pool      string
	RequestID string
	// Engines are the granted engines, the lead engine first.
	Engines []*carobstilev1.GrantedEngine

	priority   uint32
	workspace  string
	acquiredAt time.Time
	lost       chan struct{}
}

// Lost returns a channel that is closed when the allocator reports in a renewal that the grant is lost, because its
// engine restarted.
func (g *Grant) Lost() <-chan struct{} { return g.lost }

// New returns a Grants without a configuration; Configure must be called before Acquire.
func New(opts Options) *Grants {
	if opts.Log == nil {
		opts.Log = evlog.Discard()
	}
	if opts.SpillWait == 0 {
		opts.SpillWait = defaultSpillWait
	}
	return &Grants{opts: opts, health: newPoolHealth(), held: map[string]*Grant{}}
}

// Configure replaces the configuration.
func (g *Grants) Configure(index *config.Index) {
	directory := NewPoolDirectory(index, g.opts.Location)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.directory = directory
}

// Held returns the number of grants held.
func (g *Grants) Held() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.held)
}

func (g *Grants) addHeld(grant *Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[grant.ID] = grant
}

// removeHeld removes the grant from g.held and reports whether it was there.
func (g *Grants) removeHeld(grant *Grant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.held[grant.ID]
	delete(g.held, grant.ID)
	return ok
}

// Release releases a grant in the background. Further calls for the same grant do nothing.
func (g *Grants) Release(grant *Grant, outcome carobstilev1.Outcome, outputTokens uint32) {
	if !g.removeHeld(grant) {
		return
	}
	released := &carobstilev1.ReleasedGrant{GrantId: grant.ID, Outcome: outcome, OutputTokens: outputTokens}
	req := &carobstilev1.ReleaseRequest{
		Gate: g.opts.Gate, Pool: grant.Pool, Grants: []*carobstilev1.ReleasedGrant{released},
	}
	g.releases.Go(func() { g.sendRelease(req) })
}

func (g *Grants) sendRelease(req *carobstilev1.ReleaseRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := g.opts.Peer.Release(ctx, req.GetPool(), req); err != nil {
		g.opts.Log.Debug("grant release failed; the grant will expire at the allocator", "pool", req.GetPool(), "err", err.Error())
	}
}

// Run renews grants until ctx is done, then waits for the pending releases.
func (g *Grants) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	defer g.releases.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.renewDue(ctx)
		}
	}
}
