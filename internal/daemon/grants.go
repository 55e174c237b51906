package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/allocator"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/gate"
	"github.com/carobstile/carobstile/internal/grants"
	"github.com/carobstile/carobstile/internal/membercore"
	"github.com/carobstile/carobstile/internal/peer"
)

var errNoAllocator = errors.New("no allocator assigned")

// assignment maps each pool to the peer address of its allocator. It is immutable.
type assignment struct {
	addresses map[string]string
	// own are the pools that this daemon allocates, sorted by name.
	own []string
}

// assign assigns the pools of the configuration to the members that take work.
func assign(index *config.Index, members []membercore.Member, self string) *assignment {
	out := &assignment{addresses: map[string]string{}}
	if index == nil {
		return out
	}
	var daemons []allocator.Daemon
	addresses := map[string]string{}
	for _, m := range members {
		if !m.TakesWork() {
			continue
		}
		daemons = append(daemons, allocator.Daemon{Name: m.Name, Region: m.Region, FailureDomain: m.FailureDomain})
		addresses[m.Name] = m.Address
	}
	locations := allocator.PoolLocations(index)
	assigned := allocator.Assign(locations, daemons)
	for _, location := range locations {
		daemon := assigned[location.Name]
		out.addresses[location.Name] = addresses[daemon]
		if daemon == self {
			out.own = append(out.own, location.Name)
		}
	}
	return out
}

// poolRouter sends calls for a pool to its allocator, which runs in this process or in another daemon.
type poolRouter struct {
	self       string // own peer address
	local      *allocator.Allocator
	peers      *peer.Pool
	assignment atomic.Pointer[assignment]
}

func (r *poolRouter) address(pool string) (string, error) {
	table := r.assignment.Load()
	if table == nil || table.addresses[pool] == "" {
		return "", errors.Wrapf(errNoAllocator, "pool %s", pool)
	}
	return table.addresses[pool], nil
}

// Grant implements grants.Peer.
func (r *poolRouter) Grant(ctx context.Context, pool string, req *pb.GrantRequest) (*pb.GrantResponse, error) {
	address, err := r.address(pool)
	if err != nil {
		return nil, err
	}
	if address == r.self {
		return r.local.Grant(ctx, req)
	}
	return r.peers.Grant(ctx, address, req)
}

// Renew implements grants.Peer.
func (r *poolRouter) Renew(ctx context.Context, pool string, req *pb.RenewRequest) (*pb.RenewResponse, error) {
	address, err := r.address(pool)
	if err != nil {
		return nil, err
	}
	if address == r.self {
		return r.local.Renew(ctx, req)
	}
	return r.peers.Renew(ctx, address, req)
}

// Release implements grants.Peer.
func (r *poolRouter) Release(ctx context.Context, pool string, req *pb.ReleaseRequest) (*pb.ReleaseResponse, error) {
	address, err := r.address(pool)
	if err != nil {
		return nil, err
	}
	if address == r.self {
		return r.local.Release(ctx, req)
	}
	return r.peers.Release(ctx, address, req)
}

// gateGrants adapts grants.Grants to gate.Grants.
type gateGrants struct {
	grants *grants.Grants

	mu sync.Mutex
	// held are the grants in use, by grant id.
	held map[string]*grants.Grant
}

func newGateGrants(g *grants.Grants) *gateGrants {
	return &gateGrants{grants: g, held: map[string]*grants.Grant{}}
}

// Acquire implements gate.Grants.
func (g *gateGrants) Acquire(ctx context.Context, req gate.GrantRequest) (*pb.GrantResponse, error) {
	r := req.Request
	grant, refusal, err := g.grants.Acquire(ctx, &grants.Request{
		ID: r.GetRequestId(), Attempt: r.GetAttempt(), Fingerprint: r.GetFingerprint(), Workspace: r.GetWorkspace(),
		Weight: r.GetWeight(), Priority: r.GetPriority(), Model: r.GetModel(), Adapter: r.GetAdapter(),
		PromptTokens: r.GetPromptTokens(), MaxOutputTokens: r.GetMaxOutputTokens(), PrefixHashes: r.GetPrefixHashes(),
		PrefixBlock: r.GetPrefixBlockTokens(), Affinity: req.Affinity,
		Deadline: time.UnixMicro(r.GetDeadlineMicros()), SuspectCount: r.GetSuspectCount(), Excluded: r.GetExcludedEngines(),
	})
	switch {
	case err != nil:
		return nil, err
	case refusal != nil:
		refused := &pb.Refused{Code: refusal.Code, ExpectedWaitMicros: refusal.ExpectedWait.Microseconds()}
		return &pb.GrantResponse{Result: &pb.GrantResponse_Refused{Refused: refused}}, nil
	default:
		g.addHeld(grant)
		granted := &pb.Granted{GrantId: grant.ID, Engines: grant.Engines}
		return &pb.GrantResponse{Result: &pb.GrantResponse_Granted{Granted: granted}}, nil
	}
}

func (g *gateGrants) addHeld(grant *grants.Grant) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[grant.ID] = grant
}

// Release implements gate.Grants.
func (g *gateGrants) Release(grantID string, outcome pb.Outcome, outputTokens uint32) {
	g.mu.Lock()
	grant := g.held[grantID]
	delete(g.held, grantID)
	g.mu.Unlock()
	if grant != nil {
		g.grants.Release(grant, outcome, outputTokens)
	}
}
