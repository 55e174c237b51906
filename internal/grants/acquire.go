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
	// answerMargin ends a wait in the queue this long before the deadline, so that the refusal still reaches the gate; it
	// covers a round trip between regions.
	answerMargin = 50 * time.Millisecond
	// askMargin is what a call may take beyond its wait in the queue.
	askMargin = time.Second
)

// ErrNoPool says that no pool may serve the model.
var ErrNoPool = errors.New("no pool serves the model")

// Request describes one attempt.
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
	// SuspectCount is the number of engine incarnations that crashed while they ran the fingerprint.
	SuspectCount uint32
	Excluded     []string
}

// Refusal says that no pool gave a grant.
type Refusal struct {
	Code carobstilev1.RefusalCode
	// ExpectedWait is the shortest of the waits that the pools expect.
	ExpectedWait time.Duration
}

// Acquire asks up to three pools for engines. It first asks each with a short wait, then waits in the queue of the one
// that expects the shortest wait, until the deadline. Exactly one of the results is set.
func (g *Grants) Acquire(ctx context.Context, req *Request) (*Grant, *Refusal, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	pools := g.order(req)
	if len(pools) == 0 {
		return nil, nil, ErrNoPool
	}
	a := &attempt{g: g, req: req}
	if grant := a.spill(ctx, pools); grant != nil {
		return grant, nil, nil
	}
	if a.bestPool != "" && ctx.Err() == nil {
		if grant := a.ask(ctx, a.bestPool, time.Until(req.Deadline)); grant != nil {
			return grant, nil, nil
		}
	}
	return a.result()
}

func (g *Grants) order(req *Request) []string {
	g.mu.Lock()
	directory := g.directory
	g.mu.Unlock()
	if directory == nil {
		return nil
	}
	return directory.Order(req.Model, AffinityKey(req.Workspace, req.Affinity), g.health.avoid(time.Now()))
}

// attempt collects the answers of the pools.
type attempt struct {
	g   *Grants
	req *Request

	// bestPool is the overloaded pool with the shortest expected wait.
	bestPool string
	bestWait time.Duration
	refused  *Refusal
	err      error
}

func (a *attempt) spill(ctx context.Context, pools []string) *Grant {
	for _, pool := range pools {
		wait := a.g.opts.SpillWait
		if len(pools) == 1 {
			wait = time.Until(a.req.Deadline)
		}
		if grant := a.ask(ctx, pool, wait); grant != nil {
			return grant
		}
		if ctx.Err() != nil || a.final() {
			return nil
		}
	}
	if len(pools) == 1 {
		a.bestPool = ""
	}
	return nil
}

// final reports a refusal that every pool would repeat.
func (a *attempt) final() bool {
	return a.refused != nil && a.refused.Code == carobstilev1.RefusalCode_REFUSAL_CODE_CRASHES_SERVERS
}

func (a *attempt) ask(ctx context.Context, pool string, wait time.Duration) *Grant {
	wait = max(0, min(wait, time.Until(a.req.Deadline)-answerMargin))
	ctx, cancel := context.WithTimeout(ctx, wait+askMargin)
	defer cancel()
	asked := time.Now()
	response, err := a.g.opts.Peer.Grant(ctx, pool, a.message(pool, wait))
	if err != nil {
		a.failed(ctx, pool, err)
		return nil
	}
	if refused := response.GetRefused(); refused != nil {
		a.note(pool, refused)
		return nil
	}
	if granted := response.GetGranted(); granted != nil && len(granted.GetEngines()) > 0 {
		return a.g.accept(a.req, pool, asked, granted)
	}
	a.err = errors.Newf("pool %s answered without a result", pool)
	return nil
}

func (a *attempt) message(pool string, wait time.Duration) *carobstilev1.GrantRequest {
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

// failed keeps the error, and avoids the pool for a while unless the request itself ended.
func (a *attempt) failed(ctx context.Context, pool string, err error) {
	a.err = errors.Wrapf(err, "ask pool %s", pool)
	if !errors.Is(ctx.Err(), context.Canceled) {
		a.g.health.failed(pool, time.Now())
	}
}

// note keeps the most useful refusal: an overloaded pool with the shortest wait, else the last one.
func (a *attempt) note(pool string, refused *carobstilev1.Refused) {
	wait := time.Duration(refused.GetExpectedWaitMicros()) * time.Microsecond
	overloaded := refused.GetCode() == carobstilev1.RefusalCode_REFUSAL_CODE_OVERLOADED
	switch {
	case overloaded && (a.bestPool == "" || wait < a.bestWait):
		a.bestPool, a.bestWait = pool, wait
		a.refused = &Refusal{Code: refused.GetCode(), ExpectedWait: wait}
	case !overloaded && a.bestPool == "":
		a.refused = &Refusal{Code: refused.GetCode(), ExpectedWait: wait}
	}
	switch refused.GetCode() {
	case carobstilev1.RefusalCode_REFUSAL_CODE_NO_ENGINE,
		carobstilev1.RefusalCode_REFUSAL_CODE_NOT_ALLOCATOR,
		carobstilev1.RefusalCode_REFUSAL_CODE_LEAVING:
		a.g.health.failed(pool, time.Now())
	}
}

// result returns the refusal, or the error if no pool answered.
func (a *attempt) result() (*Grant, *Refusal, error) {
	if a.refused != nil {
		return nil, a.refused, nil
	}
	return nil, nil, a.err
}

func (g *Grants) accept(req *Request, pool string, asked time.Time, granted *carobstilev1.Granted) *Grant {
	grant := &Grant{
		ID: granted.GetGrantId(), Pool: pool, RequestID: req.ID, Engines: granted.GetEngines(),
		priority: req.Priority, workspace: req.Workspace, since: time.Now(), lost: make(chan struct{}),
	}
	g.keep(grant)
	g.opts.Log.Info("grant accepted", evlog.KeyRequest, req.ID, evlog.KeyAttempt, req.Attempt, "pool", pool, "wait", time.Since(asked).String())
	return grant
}
