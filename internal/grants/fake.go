package grants

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
)

// FakePeer is a Peer with one allocator for each pool that grants everything unless told otherwise. It is safe for
// concurrent use.
type FakePeer struct {
	mu      sync.Mutex
	serial  int
	refuse  map[string]*carobstilev1.Refused
	down    map[string]bool
	lost    map[string]bool
	asked   []*carobstilev1.GrantRequest
	renewed []*carobstilev1.RenewRequest
	given   []*carobstilev1.ReleaseRequest
}

// NewFakePeer returns a fake without calls.
func NewFakePeer() *FakePeer {
	return &FakePeer{refuse: map[string]*carobstilev1.Refused{}, down: map[string]bool{}, lost: map[string]bool{}}
}

// Refuse makes the pool refuse; nil makes it grant again.
func (f *FakePeer) Refuse(pool string, refused *carobstilev1.Refused) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse[pool] = refused
}

// Down makes calls for the pool fail.
func (f *FakePeer) Down(pool string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[pool] = down
}

// Lose makes renewals of the grant fail for good.
func (f *FakePeer) Lose(grantID string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost[grantID] = true
}

// Asked returns the grant requests so far.
func (f *FakePeer) Asked() []*carobstilev1.GrantRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.asked)
}

// Renewals returns the renewals so far.
func (f *FakePeer) Renewals() []*carobstilev1.RenewRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.renewed)
}

// Releases returns the releases so far.
func (f *FakePeer) Releases() []*carobstilev1.ReleaseRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.given)
}

func (f *FakePeer) reach(pool string) error {
	if f.down[pool] {
		return errors.Newf("the allocator of pool %s is down", pool)
	}
	return nil
}

// Grant implements Peer.
func (f *FakePeer) Grant(_ context.Context, pool string, req *carobstilev1.GrantRequest) (*carobstilev1.GrantResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, req)
	if err := f.reach(pool); err != nil {
		return nil, err
	}
	if refused := f.refuse[pool]; refused != nil {
		return &carobstilev1.GrantResponse{Result: &carobstilev1.GrantResponse_Refused{Refused: refused}}, nil
	}
	f.serial++
	granted := &carobstilev1.Granted{
		GrantId: fmt.Sprintf("%s-%d", pool, f.serial),
		Engines: []*carobstilev1.GrantedEngine{{Name: pool + "-engine", Address: "127.0.0.1:1", Incarnation: "i"}},
	}
	return &carobstilev1.GrantResponse{Result: &carobstilev1.GrantResponse_Granted{Granted: granted}}, nil
}

// Renew implements Peer.
func (f *FakePeer) Renew(_ context.Context, pool string, req *carobstilev1.RenewRequest) (*carobstilev1.RenewResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewed = append(f.renewed, req)
	if err := f.reach(pool); err != nil {
		return nil, err
	}
	out := &carobstilev1.RenewResponse{}
	for _, g := range req.GetGrants() {
		if f.lost[g.GetGrantId()] {
			out.LostGrantIds = append(out.LostGrantIds, g.GetGrantId())
		}
	}
	return out, nil
}

// Release implements Peer.
func (f *FakePeer) Release(_ context.Context, pool string, req *carobstilev1.ReleaseRequest) (*carobstilev1.ReleaseResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.given = append(f.given, req)
	return &carobstilev1.ReleaseResponse{}, f.reach(pool)
}
