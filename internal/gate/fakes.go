package gate

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// FakeGrants grants engines in turn and records releases.
type FakeGrants struct {
	// Engines are granted in turn, except those that a request excludes.
	Engines []*pb.GrantedEngine
	// Refuse, if set, may return a refusal for a grant request.
	Refuse func(req GrantRequest) *pb.Refused

	mu          sync.Mutex
	requests    []GrantRequest
	held        map[string]bool
	released    []pb.Outcome
	badReleases []string
}

// Acquire implements Grants.
func (f *FakeGrants) Acquire(_ context.Context, req GrantRequest) (*pb.GrantResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, req)
	if f.Refuse != nil {
		if refused := f.Refuse(req); refused != nil {
			return &pb.GrantResponse{Result: &pb.GrantResponse_Refused{Refused: refused}}, nil
		}
	}
	excluded := map[string]bool{}
	for _, name := range req.Request.ExcludedEngines {
		excluded[name] = true
	}
	for i := range f.Engines {
		e := f.Engines[(len(f.requests)-1+i)%len(f.Engines)]
		if excluded[e.Name] {
			continue
		}
		id := fmt.Sprintf("grant-%d", len(f.requests))
		if f.held == nil {
			f.held = map[string]bool{}
		}
		f.held[id] = true
		granted := &pb.Granted{GrantId: id, Engines: []*pb.GrantedEngine{e}}
		return &pb.GrantResponse{Result: &pb.GrantResponse_Granted{Granted: granted}}, nil
	}
	refused := &pb.Refused{Code: pb.RefusalCode_REFUSAL_CODE_NO_ENGINE}
	return &pb.GrantResponse{Result: &pb.GrantResponse_Refused{Refused: refused}}, nil
}

// Release implements Grants.
func (f *FakeGrants) Release(grantID string, outcome pb.Outcome, _ uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.held[grantID] {
		f.badReleases = append(f.badReleases, "released grant that is not held: "+grantID)
	}
	delete(f.held, grantID)
	f.released = append(f.released, outcome)
}

// Released returns the outcomes of released grants, the number of grants still held and the releases of grants that
// were not held.
func (f *FakeGrants) Released() (outcomes []pb.Outcome, held int, faults []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]pb.Outcome(nil), f.released...), len(f.held), append([]string(nil), f.badReleases...)
}

// Requests returns all grant requests so far.
func (f *FakeGrants) Requests() []GrantRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]GrantRequest(nil), f.requests...)
}

// FakeStep is one step of a fake engine's stream: after Delay it delivers Event or, if Err is set, ends the stream.
// With Hang it blocks until the stream's context ends.
type FakeStep struct {
	Delay time.Duration
	Event EngineEvent
	Err   error
	Hang  bool
}

// FakeEngines answers calls according to a script.
type FakeEngines struct {
	// Script returns the steps of a call, or an error to return from Open.
	Script func(call EngineCall) ([]FakeStep, error)
	// IncarnationOf answers Incarnation; nil means that every engine has the incarnation "1".
	IncarnationOf func(address string) (string, error)

	mu      sync.Mutex
	calls   []EngineCall
	cancels []int
}

// FakeVersion is the model version in the events of FakeAnswer.
const FakeVersion = "served-version"

// FakeAnswer returns the steps of a complete answer of n tokens, starting at the call's ResumeFrom. Token i is "<i> ".
func FakeAnswer(call EngineCall, n int) []FakeStep {
	var steps []FakeStep
	for i := call.ResumeFrom; i < n; i++ {
		steps = append(steps, FakeStep{Event: EngineEvent{
			Attempt: call.Attempt, Offset: i, Text: fmt.Sprintf("%d ", i), Version: FakeVersion,
		}})
	}
	return append(steps, FakeStep{Event: EngineEvent{Attempt: call.Attempt, Offset: n, Finish: "stop"}})
}

// Open implements Engines.
func (f *FakeEngines) Open(ctx context.Context, call EngineCall) (EngineStream, error) {
	f.mu.Lock()
	f.calls = append(f.calls, call)
	f.mu.Unlock()
	steps, err := f.Script(call)
	if err != nil {
		return nil, err
	}
	return &fakeStream{ctx: ctx, steps: steps}, nil
}

// Cancel implements Engines.
func (f *FakeEngines) Cancel(_ context.Context, _, _ string, attempt int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels = append(f.cancels, attempt)
	return nil
}

// Incarnation implements Engines.
func (f *FakeEngines) Incarnation(_ context.Context, address string) (string, error) {
	if f.IncarnationOf == nil {
		return "1", nil
	}
	return f.IncarnationOf(address)
}

// Calls returns the calls so far and the attempts that were cancelled.
func (f *FakeEngines) Calls() (calls []EngineCall, cancels []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]EngineCall(nil), f.calls...), append([]int(nil), f.cancels...)
}

type fakeStream struct {
	ctx   context.Context
	steps []FakeStep
}

func (s *fakeStream) Recv() (EngineEvent, error) {
	if len(s.steps) == 0 {
		return EngineEvent{}, io.EOF
	}
	step := s.steps[0]
	s.steps = s.steps[1:]
	if step.Hang {
		<-s.ctx.Done()
		return EngineEvent{}, s.ctx.Err()
	}
	select {
	case <-time.After(step.Delay):
	case <-s.ctx.Done():
		return EngineEvent{}, s.ctx.Err()
	}
	return step.Event, step.Err
}

func (s *fakeStream) Close() error { return nil }

// FakeClaims stores claims in memory.
type FakeClaims struct {
	// Unavailable makes Acquire return gatecore.ClaimUnavailable.
	Unavailable bool
	// Window is how long a claim remains valid for dispatch; 0 means 10 s.
	Window time.Duration

	mu       sync.Mutex
	claims   map[string]*fakeClaim
	released int
}

type fakeClaim struct {
	bodyHash [32]byte
	outcome  *ServiceOutcome
}

// Acquire implements Claims.
func (f *FakeClaims) Acquire(_ context.Context, req ClaimRequest) ClaimResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Unavailable {
		return ClaimResult{Status: gatecore.ClaimUnavailable}
	}
	name := req.Caller + "/" + req.Key
	existing := f.claims[name]
	switch {
	case existing == nil:
	case existing.bodyHash != req.BodyHash:
		return ClaimResult{Status: gatecore.ClaimReused}
	case existing.outcome == nil:
		return ClaimResult{Status: gatecore.ClaimUnknown}
	default:
		return ClaimResult{Status: gatecore.ClaimReplay, Outcome: existing.outcome}
	}
	if f.claims == nil {
		f.claims = map[string]*fakeClaim{}
	}
	f.claims[name] = &fakeClaim{bodyHash: req.BodyHash}
	window := f.Window
	if window == 0 {
		window = 10 * time.Second
	}
	return ClaimResult{
		Status: gatecore.ClaimHeld,
		Claim:  Claim{Name: name, AttemptID: req.RequestID, Version: 1, ValidUntil: time.Now().Add(window)},
	}
}

// Release implements Claims.
func (f *FakeClaims) Release(_ context.Context, claim Claim) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.claims, claim.Name)
	f.released++
	return nil
}

// Record implements Claims.
func (f *FakeClaims) Record(_ context.Context, claim Claim, outcome ServiceOutcome) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.claims[claim.Name].outcome = &outcome
	return nil
}

// Released returns the number of released claims.
func (f *FakeClaims) Released() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.released
}

// FakeCrashes stores crash records in memory.
type FakeCrashes struct {
	mu      sync.Mutex
	records map[Fingerprint]map[string]bool
}

// Count implements Crashes.
func (f *FakeCrashes) Count(p Fingerprint) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.records[p])
}

// Report implements Crashes.
func (f *FakeCrashes) Report(p Fingerprint, _, incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.records == nil {
		f.records = map[Fingerprint]map[string]bool{}
	}
	if f.records[p] == nil {
		f.records[p] = map[string]bool{}
	}
	f.records[p][incarnation] = true
}
