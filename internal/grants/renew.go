package grants

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
)

// renewAll renews the grants older than the interval, one batch per pool, and waits for the answers.
func (g *Grants) renewAll(ctx context.Context) {
	now := time.Now()
	var calls sync.WaitGroup
	for pool, batch := range g.due(now) {
		calls.Go(func() { g.renewPool(ctx, pool, batch) })
	}
	calls.Wait()
}

// due returns the grants to renew by pool, sorted by id.
func (g *Grants) due(now time.Time) map[string][]*Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string][]*Grant{}
	for _, grant := range g.held {
		if now.Sub(grant.since) >= renewInterval {
			out[grant.Pool] = append(out[grant.Pool], grant)
		}
	}
	for _, batch := range out {
		slices.SortFunc(batch, func(a, b *Grant) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// renewPool keeps the grants when the call fails, however often: the streams go on, and the next allocator of the pool
// adopts the grants.
func (g *Grants) renewPool(ctx context.Context, pool string, batch []*Grant) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	response, err := g.opts.Peer.Renew(ctx, pool, g.renewal(pool, batch))
	if err != nil {
		g.opts.Log.Debug("renewal failed", "pool", pool, "grants", len(batch), "err", err.Error())
		return
	}
	g.renewed(batch, response.GetLostGrantIds())
}

func (g *Grants) renewal(pool string, batch []*Grant) *carobstilev1.RenewRequest {
	req := &carobstilev1.RenewRequest{Gate: g.opts.Gate, Pool: pool}
	for _, grant := range batch {
		req.Grants = append(req.Grants, &carobstilev1.HeldGrant{
			GrantId: grant.ID, RequestId: grant.RequestID, Engines: grant.Engines,
			Priority: grant.priority, Workspace: grant.workspace,
		})
	}
	return req
}

func (g *Grants) renewed(batch []*Grant, lost []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, grant := range batch {
		if slices.Contains(lost, grant.ID) {
			g.loseLocked(grant)
		}
	}
}

func (g *Grants) loseLocked(grant *Grant) {
	if _, ok := g.held[grant.ID]; !ok {
		return
	}
	delete(g.held, grant.ID)
	close(grant.lost)
}
