// Package gate is the caller API of carobgate: it checks requests, drives the reducer of package gatecore and moves
// tokens and answers between backend servers and callers.
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

// Options are the parts that a Gate needs. Config, Grants, Engines, Claims, Crashes and Cursors are required.
type Options struct {
	// Config returns the configuration in force, nil before there is one.
	Config  func() *config.Index
	Grants  Grants
	Engines Engines
	Claims  Claims
	Crashes Crashes
	Cursors *cursor.Keyring
	// Leaving says whether the platform lists a backend server's address as leaving; nil means that none is.
	Leaving func(address string) bool
	// Clock defaults to SystemClock, Log to a logger that drops everything, Scope to one that drops everything and
	// Random, the source of ids and seeds, to crypto/rand.
	Clock  Clock
	Log    *slog.Logger
	Scope  tally.Scope
	Random io.Reader
	// MaxOpenBodyBytes bounds the bytes of the request bodies over 64 KB that the gate holds for open requests; a request
	// above it is refused as overloaded. 0 means DefaultMaxOpenBodyBytes.
	MaxOpenBodyBytes int64
	// Observe, when set, gets every event of the reducer with its effects, in order, under the lock of the reducer;
	// the effects are valid during the call.
	Observe func(event gatecore.Event, effects []gatecore.Effect)
}

// Clock gives the time and timers. Deadlines follow its monotonic reading where it has one.
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

// GrantAsk asks for a grant for one attempt.
type GrantAsk struct {
	// Request is complete but for clock, gate and pool, which the implementation fills in for each pool it asks.
	Request *pb.GrantRequest
	// Affinity is the hash of the first 1,024 bytes of the prompt, for the rendezvous order of pools.
	Affinity uint64
	// Preferred names the engine that may still hold the stream of a former attempt; empty when there is none.
	Preferred string
}

// Grants gives grants of pools.
type Grants interface {
	// Ask asks the pools in order and returns the grant, or the last refusal. An error means that no allocator
	// answered. A grant that arrives after ctx has ended is returned all the same, or released by the implementation.
	// Grants are renewed behind this interface until they are released.
	Ask(ctx context.Context, ask GrantAsk) (*pb.GrantResponse, error)
	// Release gives a grant back, once. It is called under the gate's lock: it must not wait nor call the gate.
	Release(grantID string, outcome pb.Outcome, outputTokens uint32)
}

// EngineCall is one attempt at an engine: the caller's body and the headers of section 5.2 of the design page.
type EngineCall struct {
	Address   string
	RequestID string
	Attempt   int
	// HeldAttempt is the attempt of another gate whose stream the engine may still hold; 0 when there is none.
	HeldAttempt int
	ResumeFrom  int
	Seed        uint64
	// Version of the model that has given the tokens delivered so far; empty when there are none.
	Version  string
	Priority int
	// Helpers are the helping engines of a prompt that needs several.
	Helpers  []Helper
	Deadline time.Duration
	// Reserve is the KV memory reserved at the lead engine by the grant, in tokens.
	Reserve int
	Body    []byte
}

// Helper is a helping engine of a grant.
type Helper struct {
	Address string
	// Reserve is the KV memory reserved by the grant, in tokens.
	Reserve int
}

// EngineEvent is one event of an engine's stream.
type EngineEvent struct {
	// Heartbeat is true when bytes arrived without a token; the other fields are then unset.
	Heartbeat bool
	Attempt   int
	Offset    int
	Text      string
	// Version is the model version that answers, if the engine says so.
	Version string
	// Finish is the finish reason of the last event.
	Finish string
}

// EngineError is a typed end of an attempt. Errors of other types count as gatecore.CauseLost.
type EngineError struct {
	Cause   gatecore.Cause
	Message string
}

// Error implements error.
func (e *EngineError) Error() string { return fmt.Sprintf("%s: %s", e.Cause, e.Message) }

// EngineStream is the answer of an engine to one attempt.
type EngineStream interface {
	// Recv waits for the next event. io.EOF means that the connection ended.
	Recv() (EngineEvent, error)
	Close() error
}

// Engines opens and cancels streams at engines.
type Engines interface {
	// Open sends the call and returns when the engine has answered with a stream. Ending ctx ends the stream.
	Open(ctx context.Context, call EngineCall) (EngineStream, error)
	// Cancel tells an engine to end an attempt.
	Cancel(ctx context.Context, address, requestID string, attempt int) error
	// Incarnation returns the engine's present incarnation, from its load report.
	Incarnation(ctx context.Context, address string) (string, error)
}

// ClaimRequest asks for the claim of a non-idempotent request.
type ClaimRequest struct {
	RequestID string
	Caller    string
	Key       string
	BodyHash  [32]byte
	// RouteTimeout is how long a former call with the key may still be running.
	RouteTimeout time.Duration
}

// Claim is a held claim.
type Claim struct {
	Name      string
	AttemptID string
	Version   uint64
	// ValidUntil ends the window of dispatch, by the wall clock.
	ValidUntil time.Time
}

// ClaimAnswer is the result of acquiring a claim.
type ClaimAnswer struct {
	Status gatecore.ClaimStatus
	// Claim is set when the status is gatecore.ClaimHeld, Outcome when it is gatecore.ClaimReplay.
	Claim   Claim
	Outcome *ServiceOutcome
}

// ServiceOutcome is the recorded answer of a non-idempotent call.
type ServiceOutcome struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Truncated is true when the body was too large to be kept.
	Truncated bool `json:"truncated,omitempty"`
}

// Claims keeps claims and outcomes (section 4.5 of the design page).
type Claims interface {
	// Acquire returns by the end of ctx. After gatecore.ClaimUnavailable the implementation itself goes on releasing
	// a claim that may be its own.
	Acquire(ctx context.Context, req ClaimRequest) ClaimAnswer
	// Release marks a claim released whose call was surely not sent.
	Release(ctx context.Context, claim Claim) error
	// Record stores the outcome of the call.
	Record(ctx context.Context, claim Claim, outcome ServiceOutcome) error
}

// Crashes is the set of crash records.
type Crashes interface {
	// Count returns the number of engine incarnations that a fingerprint has crashed.
	Count(f Fingerprint) int
	// Report adds the record that an engine incarnation died while it ran the fingerprint. It is called under the
	// gate's lock: it must not wait nor call the gate.
	Report(f Fingerprint, engine, incarnation string)
}

// SystemClock is the clock of the host.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc implements Clock.
func (SystemClock) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }
