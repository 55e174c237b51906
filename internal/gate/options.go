// Package gate implements the caller API of carobgate. It validates requests, drives the reducer of package gatecore
// and transfers tokens and responses from backend servers to callers.
package gate

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/cursor"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// Options holds the dependencies of a Gate. Config, Grants, Engines, Claims, Crashes and Cursors are required.
type Options struct {
	// Config returns the current configuration, or nil before the first one is loaded.
	Config  func() *config.Index
	Grants  Grants
	Engines Engines
	Claims  Claims
	Crashes Crashes
	Cursors *cursor.Keyring
	// IsLeaving reports whether the platform lists a backend server's address as leaving. Nil means that none is.
	IsLeaving func(address string) bool
	// Clock defaults to SystemClock. Log and Scope default to implementations that discard everything. Random, the source
	// of ids and seeds, defaults to crypto/rand.
	Clock  Clock
	Log    *slog.Logger
	Scope  tally.Scope
	Random io.Reader
	// MaxOpenBodyBytes limits the memory of the request bodies over 64 KB that arrive or are held for open requests. A
	// request that exceeds it is refused as overloaded. 0 means DefaultMaxOpenBodyBytes.
	MaxOpenBodyBytes int64
	// Observe, if set, is called with every event of the reducer and its effects, in order and under the lock of the
	// reducer. The effects are valid only during the call.
	Observe func(event gatecore.Event, effects []gatecore.Effect)
}

// Clock provides the time and timers. Deadlines follow its monotonic reading if it has one.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a running timer.
type Timer interface {
	Stop() bool
}

// Fingerprint identifies a request by caller and body: the first 16 bytes of their SHA-256.
type Fingerprint [16]byte

// GrantRequest is the request for a grant for one attempt.
type GrantRequest struct {
	// Request is complete except for clock, gate and pool, which the implementation sets for each pool that it queries.
	Request *pb.GrantRequest
	// Affinity is the hash of the first 1,024 bytes of the prompt. It determines the rendezvous order of the pools.
	Affinity uint64
	// Preferred is the engine that may still hold the stream of an earlier attempt; empty if there is none.
	Preferred string
}

// Grants acquires and releases grants of pools.
type Grants interface {
	// Acquire queries the pools in order and returns the grant or the last refusal. An error means that no allocator
	// answered. A grant that arrives after ctx has ended is still returned, or released by the implementation. The
	// implementation renews grants until they are released.
	Acquire(ctx context.Context, req GrantRequest) (*pb.GrantResponse, error)
	// Release releases a grant. It is called once for each grant, possibly under the gate's lock, so it must not block or
	// call the gate.
	Release(grantID string, outcome pb.Outcome, outputTokens uint32)
}

// EngineCall is one attempt at an engine: the caller's body and the headers of section 5.2 of the design page.
type EngineCall struct {
	Address   string
	RequestID string
	Attempt   int
	// HeldAttempt is the attempt of another gate whose stream the engine may still hold; 0 if there is none.
	HeldAttempt int
	ResumeFrom  int
	Seed        uint64
	// Version is the model version that generated the tokens delivered so far; empty if there are none.
	Version  string
	Priority int
	// Helpers are the helping engines of a prompt that needs several engines.
	Helpers  []Helper
	Deadline time.Duration
	// ReservedTokens is the KV memory reserved at the lead engine by the grant, in tokens.
	ReservedTokens int
	Body           []byte
}

// Helper is a helping engine of a grant.
type Helper struct {
	Address string
	// ReservedTokens is the KV memory reserved by the grant, in tokens.
	ReservedTokens int
}

// EngineEvent is one event of an engine's stream.
type EngineEvent struct {
	// Heartbeat is true if bytes arrived without a token; the other fields are then unset.
	Heartbeat bool
	Attempt   int
	Offset    int
	Text      string
	// Version is the model version that generates the answer, if the engine reports it.
	Version string
	// Finish is the finish reason of the last event.
	Finish string
}

// EngineError is the end of an attempt with a known cause. Errors of other types count as gatecore.CauseLost.
type EngineError struct {
	Cause   gatecore.Cause
	Message string
}

// Error implements error.
func (e *EngineError) Error() string { return fmt.Sprintf("%s: %s", e.Cause, e.Message) }

// EngineStream is the response of an engine to one attempt.
type EngineStream interface {
	// Recv waits for the next event. io.EOF means that the connection ended.
	Recv() (EngineEvent, error)
	Close() error
}

// Engines opens and cancels streams at engines.
type Engines interface {
	// Open sends the call and returns once the engine has responded with a stream. Cancelling ctx ends the stream.
	Open(ctx context.Context, call EngineCall) (EngineStream, error)
	// Cancel ends an attempt at an engine.
	Cancel(ctx context.Context, address, requestID string, attempt int) error
	// Incarnation returns the engine's current incarnation from its load report.
	Incarnation(ctx context.Context, address string) (string, error)
}

// ClaimRequest is the request for the claim of a non-idempotent call.
type ClaimRequest struct {
	RequestID string
	Caller    string
	Key       string
	BodyHash  [32]byte
	// RouteTimeout is how long an earlier call with the same key may still be running.
	RouteTimeout time.Duration
}

// Claim is a held claim.
type Claim struct {
	Name      string
	AttemptID string
	Version   uint64
	// ValidUntil is the end of the dispatch window, by the wall clock.
	ValidUntil time.Time
}

// ClaimResult is the result of acquiring a claim.
type ClaimResult struct {
	Status gatecore.ClaimStatus
	// Claim is set when the status is gatecore.ClaimHeld, Outcome when it is gatecore.ClaimReplay.
	Claim   Claim
	Outcome *ServiceOutcome
}

// ServiceOutcome is the recorded response of a non-idempotent call.
type ServiceOutcome struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Truncated is true if the body was too large to be stored.
	Truncated bool `json:"truncated,omitempty"`
}

// Claims stores claims and outcomes (section 4.5 of the design page).
type Claims interface {
	// Acquire returns by the end of ctx. After gatecore.ClaimUnavailable the implementation itself keeps trying to release
	// a claim that it may have acquired.
	Acquire(ctx context.Context, req ClaimRequest) ClaimResult
	// Release releases a claim whose call was definitely not sent.
	Release(ctx context.Context, claim Claim) error
	// Record stores the outcome of the call.
	Record(ctx context.Context, claim Claim, outcome ServiceOutcome) error
}

// Crashes stores crash records.
type Crashes interface {
	// Count returns the number of engine incarnations that a request with the fingerprint has crashed.
	Count(f Fingerprint) int
	// Report records that an engine incarnation crashed while it ran a request with the fingerprint. It is called under
	// the gate's lock, so it must not block or call the gate.
	Report(f Fingerprint, engine, incarnation string)
}

// SystemClock is the clock of the host.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (SystemClock) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }
