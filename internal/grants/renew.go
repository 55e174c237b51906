package grants

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
)

// renewDue renews the grants held for at least renewInterval, one batch per pool, and waits for the responses.
func (g *Grants) renewDue(ctx context.Context) {
	now := time.Now()
	var calls sync.WaitGroup
	for pool, batch := range g.dueForRenewal(now) {
		calls.Go(func() { g.renewPool(ctx, pool, batch) })
	}
	calls.Wait()
}

// dueForRenewal returns the grants to renew, grouped by pool and sorted by id.
func (g *Grants) dueForRenewal(now time.Time) map[string][]*Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string][]*Grant{}
	for _, grant := range g.held {
		if now.Sub(grant.acquiredAt) >= renewInterval {
			out[grant.Pool] = append(out[grant.Pool], grant)
		}
	}
	for _, batch := range out {
		slices.SortFunc(batch, func(a, b *Grant) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// renewPool renews the grants of one pool. If the call fails, however often, the grants are kept: their streams continue,
// and the next allocator of the pool adopts them.
func (g *Grants) renewPool(ctx context.Context, pool string, batch []*Grant) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	response, err := g.opts.Peer.Renew(ctx, pool, g.renewRequest(pool, batch))
	if err != nil {
		g.opts.Log.Debug("grant renewal failed", "pool", pool, "grants", len(batch), "err", err.Error())
		return
	}
	g.markLost(batch, response.GetLostGrantIds())
}

func (g *Grants) renewRequest(pool string, batch []*Grant) *carobstilev1.RenewRequest {
	req := &carobstilev1.RenewRequest{Gate: g.opts.Gate, Pool: pool}
	for _, grant := range batch {
		req.Grants = append(req.Grants, &carobstilev1.HeldGrant{
			GrantId: grant.ID, RequestId: grant.RequestID, Engines: grant.Engines,
			Priority: grant.priority, Workspace: grant.workspace,
		})
	}
	return req
}

func (g *Grants) markLost(batch []*Grant, lost []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, grant := range batch {
		if slices.Contains(lost, grant.ID) {
			g.markLostLocked(grant)
		}
	}
}

func (g *Grants) markLostLocked(grant *Grant) {
	if _, ok := g.held[grant.ID]; !ok {
		return
	}
	delete(g.held, grant.ID)
	close(grant.lost)
}
