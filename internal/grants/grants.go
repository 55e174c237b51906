// Package grants is the gate's side of grants: it chooses the pools to ask for a request, and keeps, renews and releases
// the grants it was given.
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

// Times of renewal. With a life of 15 s, renewals at 4, 8 and 12 s allow two in a row to be lost.
const (
	renewInterval = 4 * time.Second
	renewTimeout  = 2 * time.Second
	// releaseTimeout bounds one release; a grant whose release is lost expires by itself.
	releaseTimeout = 2 * time.Second
)

// Peer calls the allocator of a pool. The implementation finds the daemon that allocates the pool.
type Peer interface {
	Grant(ctx context.Context, pool string, req *carobstilev1.GrantRequest) (*carobstilev1.GrantResponse, error)
	Renew(ctx context.Context, pool string, req *carobstilev1.RenewRequest) (*carobstilev1.RenewResponse, error)
	Release(ctx context.Context, pool string, req *carobstilev1.ReleaseRequest) (*carobstilev1.ReleaseResponse, error)
}

// Options of Grants. Gate, Place and Peer are required.
type Options struct {
	// Gate is the name of this daemon.
	Gate  string
	Place Place
	Peer  Peer
	// Log defaults to a logger that drops everything.
	Log *slog.Logger
	// SpillWait is how long a request waits in one pool while further pools are left to ask; default 100 ms.
	SpillWait time.Duration
}

// Grants asks for, renews and releases grants. It is safe for concurrent use.
type Grants struct {
	opts   Options
	health *health

	mu        sync.Mutex
	held      map[string]*Grant
	directory *Directory
	releases  sync.WaitGroup
}

// Grant is a grant that this gate holds.
type Grant struct {
	ID        string
	Pool      string
	RequestID string
	// Engines are the engines to use, the lead first.
	Engines []*carobstilev1.GrantedEngine

	priority  uint32
	workspace string
	since     time.Time
	lost      chan struct{}
}

// Lost is closed when the allocator answers a renewal with the loss of the grant, because its engine restarted.
func (g *Grant) Lost() <-chan struct{} { return g.lost }

// New returns a Grants without a configuration; Configure must be called before Acquire.
func New(opts Options) *Grants {
	if opts.Log == nil {
		opts.Log = evlog.Discard()
	}
	if opts.SpillWait == 0 {
		opts.SpillWait = defaultSpillWait
	}
	return &Grants{opts: opts, health: newHealth(), held: map[string]*Grant{}}
}

// Configure takes in a configuration.
func (g *Grants) Configure(index *config.Index) {
	directory := NewDirectory(index, g.opts.Place)
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

func (g *Grants) keep(grant *Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[grant.ID] = grant
}

// forget reports whether the grant was still held.
func (g *Grants) forget(grant *Grant) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.held[grant.ID]
	delete(g.held, grant.ID)
	return ok
}

// Release gives a grant back in the background. Further calls for the same grant do nothing.
func (g *Grants) Release(grant *Grant, outcome carobstilev1.Outcome, outputTokens uint32) {
	if !g.forget(grant) {
		return
	}
	released := &carobstilev1.ReleasedGrant{GrantId: grant.ID, Outcome: outcome, OutputTokens: outputTokens}
	req := &carobstilev1.ReleaseRequest{
		Gate: g.opts.Gate, Pool: grant.Pool, Grants: []*carobstilev1.ReleasedGrant{released},
	}
	g.releases.Go(func() { g.release(req) })
}

func (g *Grants) release(req *carobstilev1.ReleaseRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if _, err := g.opts.Peer.Release(ctx, req.GetPool(), req); err != nil {
		g.opts.Log.Debug("release failed, the grant will expire", "pool", req.GetPool(), "err", err.Error())
	}
}

// Run renews grants until ctx ends, then waits for the releases under way.
func (g *Grants) Run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	defer g.releases.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			g.renewAll(ctx)
		}
	}
}
