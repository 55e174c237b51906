package grants

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
)

// FakePeer is an in-memory Peer for tests. By default it grants every request. It is safe for concurrent use.
type FakePeer struct {
	mu              sync.Mutex
	lastGrantID     int
	refusals        map[string]*carobstilev1.Refused
	down            map[string]bool
	lostGrants      map[string]bool
	grantRequests   []*carobstilev1.GrantRequest
	renewRequests   []*carobstilev1.RenewRequest
	releaseRequests []*carobstilev1.ReleaseRequest
}

// NewFakePeer returns a FakePeer without recorded calls.
func NewFakePeer() *FakePeer {
	return &FakePeer{refusals: map[string]*carobstilev1.Refused{}, down: map[string]bool{}, lostGrants: map[string]bool{}}
}

// SetRefusal makes the pool refuse grant requests; nil makes it grant again.
func (f *FakePeer) SetRefusal(pool string, refused *carobstilev1.Refused) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusals[pool] = refused
}

// SetDown sets whether calls for the pool fail.
func (f *FakePeer) SetDown(pool string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[pool] = down
}

// LoseGrant makes all later renewals report the grant as lost.
func (f *FakePeer) LoseGrant(grantID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostGrants[grantID] = true
}

// GrantRequests returns the grant requests received so far.
func (f *FakePeer) GrantRequests() []*carobstilev1.GrantRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.grantRequests)
}

// RenewRequests returns the renew requests received so far.
func (f *FakePeer) RenewRequests() []*carobstilev1.RenewRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.renewRequests)
}

// ReleaseRequests returns the release requests received so far.
func (f *FakePeer) ReleaseRequests() []*carobstilev1.ReleaseRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.releaseRequests)
}

func (f *FakePeer) checkReachable(pool string) error {
	if f.down[pool] {
		return errors.Newf("fake peer: the allocator of pool %s is down", pool)
	}
	return nil
}

// Grant implements Peer.
func (f *FakePeer) Grant(_ context.Context, pool string, req *carobstilev1.GrantRequest) (*carobstilev1.GrantResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grantRequests = append(f.grantRequests, req)
	if err := f.checkReachable(pool); err != nil {
		return nil, err
	}
	if refused := f.refusals[pool]; refused != nil {
		return &carobstilev1.GrantResponse{Result: &carobstilev1.GrantResponse_Refused{Refused: refused}}, nil
	}
	f.lastGrantID++
	granted := &carobstilev1.Granted{
		GrantId: fmt.Sprintf("%s-%d", pool, f.lastGrantID),
		Engines: []*carobstilev1.GrantedEngine{{Name: pool + "-engine", Address: "127.0.0.1:1", Incarnation: "i"}},
	}
	return &carobstilev1.GrantResponse{Result: &carobstilev1.GrantResponse_Granted{Granted: granted}}, nil
}

// Renew implements Peer.
func (f *FakePeer) Renew(_ context.Context, pool string, req *carobstilev1.RenewRequest) (*carobstilev1.RenewResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewRequests = append(f.renewRequests, req)
	if err := f.checkReachable(pool); err != nil {
		return nil, err
	}
	out := &carobstilev1.RenewResponse{}
	for _, g := range req.GetGrants() {
		if f.lostGrants[g.GetGrantId()] {
			out.LostGrantIds = append(out.LostGrantIds, g.GetGrantId())
		}
	}
	return out, nil
}

// Release implements Peer.
func (f *FakePeer) Release(_ context.Context, pool string, req *carobstilev1.ReleaseRequest) (*carobstilev1.ReleaseResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releaseRequests = append(f.releaseRequests, req)
	return &carobstilev1.ReleaseResponse{}, f.checkReachable(pool)
}
