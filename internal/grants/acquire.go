package grants

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/evlog"
)

const (
	defaultSpillWait = 100 * time.Millisecond
	// responseMargin is how long before the deadline a wait in the queue ends, so that a refusal still reaches the gate in
	// time. It covers a round trip between regions.
	responseMargin = 50 * time.Millisecond
	// callMargin is how long a call may take in addition to its wait in the queue.
	callMargin = time.Second
)

// ErrNoPool is returned if no pool may serve the model.
var ErrNoPool = errors.New("no pool serves the model")

// Request describes an attempt that needs a grant.
type Request struct {
	ID      string
	Attempt uint32
	// Fingerprint is the hash of caller and body.
	Fingerprint     []byte
	Workspace       string
	Weight          uint32
	Priority        uint32
	Model           string
	Adapter         string
	PromptTokens    uint32
	MaxOutputTokens uint32
	PrefixHashes    []uint64
	PrefixBlock     uint32
	// Affinity is the hash of the first 1,024 bytes of the prompt.
	Affinity uint64
	Deadline time.Time
	// SuspectCount is the number of engine incarnations that crashed while they ran a request with this fingerprint.
	SuspectCount uint32
	Excluded     []string
}

// Refusal is the result of Acquire if no pool issued a grant.
type Refusal struct {
	Code carobstilev1.RefusalCode
	// ExpectedWait is the shortest wait that an overloaded pool expects.
	ExpectedWait time.Duration
}

// Acquire requests a grant from up to maxPools pools. It first tries each pool with a short wait, then waits until the
// deadline in the queue of the overloaded pool with the shortest expected wait. Exactly one of the results is set.
func (g *Grants) Acquire(ctx context.Context, req *Request) (*Grant, *Refusal, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	pools := g.orderedPools(req)
	if len(pools) == 0 {
		return nil, nil, ErrNoPool
	}
	a := &acquisition{g: g, req: req}
	if grant := a.tryPools(ctx, pools); grant != nil {
		return grant, nil, nil
	}
	if a.bestPool != "" && ctx.Err() == nil {
		if grant := a.requestGrant(ctx, a.bestPool, time.Until(req.Deadline)); grant != nil {
			return grant, nil, nil
		}
	}
	return a.result()
}

func (g *Grants) orderedPools(req *Request) []string {
	g.mu.Lock()
	directory := g.directory
	g.mu.Unlock()
	if directory == nil {
		return nil
	}
	return directory.Order(req.Model, AffinityKey(req.Workspace, req.Affinity), g.health.avoidedPools(time.Now()))
}

// acquisition is one call of Acquire; it collects the results of the pools.
type acquisition struct {
	g   *Grants
	req *Request

	// bestPool is the overloaded pool with the shortest expected wait.
	bestPool string
	bestWait time.Duration
	refusal  *Refusal
	err      error
}

func (a *acquisition) tryPools(ctx context.Context, pools []string) *Grant {
	for _, pool := range pools {
		wait := a.g.opts.SpillWait
		if len(pools) == 1 {
			wait = time.Until(a.req.Deadline)
		}
		if grant := a.requestGrant(ctx, pool, wait); grant != nil {
			return grant
		}
		if ctx.Err() != nil || a.refusalIsFinal() {
			return nil
		}
	}
	if len(pools) == 1 {
		a.bestPool = ""
	}
	return nil
}

// refusalIsFinal reports whether every other pool would refuse the request too.
func (a *acquisition) refusalIsFinal() bool {
	return a.refusal != nil && a.refusal.Code == carobstilev1.RefusalCode_REFUSAL_CODE_CRASHES_SERVERS
}

func (a *acquisition) requestGrant(ctx context.Context, pool string, wait time.Duration) *Grant {
	wait = max(0, min(wait, time.Until(a.req.Deadline)-responseMargin))
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	start := time.Now()
	response, err := a.g.opts.Peer.Grant(ctx, pool, a.grantRequest(pool, wait))
	if err != nil {
		a.recordError(ctx, pool, err)
		return nil
	}
	if refused := response.GetRefused(); refused != nil {
		a.recordRefusal(pool, refused)
		return nil
	}
	if granted := response.GetGranted(); granted != nil && len(granted.GetEngines()) > 0 {
		return a.g.acceptGrant(a.req, pool, start, granted)
	}
	a.err = errors.Newf("grant response of pool %s contains neither a grant nor a refusal", pool)
	return nil
}

func (a *acquisition) grantRequest(pool string, wait time.Duration) *carobstilev1.GrantRequest {
	r := a.req
	return &carobstilev1.GrantRequest{
		Gate: a.g.opts.Gate, Pool: pool, RequestId: r.ID, Attempt: r.Attempt, Fingerprint: r.Fingerprint,
		Workspace: r.Workspace, Weight: r.Weight, Priority: r.Priority, Model: r.Model, Adapter: r.Adapter,
		PromptTokens: r.PromptTokens, MaxOutputTokens: r.MaxOutputTokens,
		PrefixHashes: r.PrefixHashes, PrefixBlockTokens: r.PrefixBlock,
		DeadlineMicros: r.Deadline.UnixMicro(), MaxWaitMicros: wait.Microseconds(),
		SuspectCount: r.SuspectCount, ExcludedEngines: r.Excluded,
	}
}

// recordError keeps the error. Unless the request was cancelled, the pool is avoided for avoidDuration.
func (a *acquisition) recordError(ctx context.Context, pool string, err error) {
	a.err = errors.Wrapf(err, "request grant from pool %s", pool)
	if !errors.Is(ctx.Err(), context.Canceled) {
		a.g.health.recordFailure(pool, time.Now())
	}
}

// recordRefusal keeps the refusal of the overloaded pool with the shortest expected wait, or else the last refusal. A
// pool that cannot serve at all is avoided for avoidDuration.
func (a *acquisition) recordRefusal(pool string, refused *carobstilev1.Refused) {
	wait := time.Duration(refused.GetExpectedWaitMicros()) * time.Microsecond
	overloaded := refused.GetCode() == carobstilev1.RefusalCode_REFUSAL_CODE_OVERLOADED
	switch {
	case overloaded && (a.bestPool == "" || wait < a.bestWait):
		a.bestPool, a.bestWait = pool, wait
		a.refusal = &Refusal{Code: refused.GetCode(), ExpectedWait: wait}
	case !overloaded && a.bestPool == "":
		a.refusal = &Refusal{Code: refused.GetCode(), ExpectedWait: wait}
	}
	switch refused.GetCode() {
	case carobstilev1.RefusalCode_REFUSAL_CODE_NO_ENGINE,
		carobstilev1.RefusalCode_REFUSAL_CODE_NOT_ALLOCATOR,
		carobstilev1.RefusalCode_REFUSAL_CODE_LEAVING:
		a.g.health.recordFailure(pool, time.Now())
	}
}

// result returns the recorded refusal, or the last error if no pool sent a refusal.
func (a *acquisition) result() (*Grant, *Refusal, error) {
	if a.refusal != nil {
		return nil, a.refusal, nil
	}
	return nil, nil, a.err
}

func (g *Grants) acceptGrant(req *Request, pool string, start time.Time, granted *carobstilev1.Granted) *Grant {
	grant := &Grant{
		ID: granted.GetGrantId(), Pool: pool, RequestID: req.ID, Engines: granted.GetEngines(),
		priority: req.Priority, workspace: req.Workspace, acquiredAt: time.Now(), lost: make(chan struct{}),
	}
	g.addHeld(grant)
	g.opts.Log.Info("grant accepted", evlog.KeyRequest, req.ID, evlog.KeyAttempt, req.Attempt, "pool", pool, "wait", time.Since(start).String())
	return grant
}
