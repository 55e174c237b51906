// Package claim ensures that a non-idempotent request runs at most once. Before every dispatch, the gate stores a durable
// claim through the platform's object API. A claim is never transferred: only its owner may release it, and only if its
// attempt was certainly not dispatched. A paused, replaced or partitioned gate therefore cannot run a request that
// another gate has claimed.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/carobstile/carobstile/internal/core"
)

// Time limits of claims.
const (
	// DispatchWindow is the time after a claim's creation in which its owner may dispatch. It is far shorter than
	// Retention, so that a process that was paused until its claim expired does not dispatch.
	DispatchWindow = 10 * time.Second
	// Retention is the time after a claim's creation during which the claim blocks its idempotency key.
	Retention = 24 * time.Hour
	// updateTimeout bounds the retries of a gate that records an outcome or releases a claim.
	updateTimeout = 60 * time.Second
)

// MaxOutcomeBytes is the largest response body that a claim stores for replay. Encoded in base64 within the claim, it
// fits the platform's object size limit of 1 MiB.
const MaxOutcomeBytes = 720 << 10

// State is the state of a stored claim.
type State string

// States of a claim.
const (
	StateClaimed  State = "claimed"  // the owner may dispatch, or has dispatched
	StateReleased State = "released" // the owner did not dispatch; the key may be claimed again
	StateDone     State = "done"     // the outcome is known
)

// Record is the stored claim.
type Record struct {
	AttemptID string `json:"attemptId"`
	// BodyHash is the SHA-256 of the request's method, path and body, in hex.
	BodyHash        string      `json:"bodyHash"`
	Gate            string      `json:"gate"`
	CreatedAtMicros core.Micros `json:"createdAtMicros"`
	State           State       `json:"state"`
	Outcome         *Outcome    `json:"outcome,omitempty"`
}

// Outcome is the stored response to a request that was run.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is true if the response body exceeded MaxOutcomeBytes and was not stored.
	BodyOmitted bool `json:"bodyOmitted,omitempty"`
}

// Decision tells the gate how to proceed with an attempt.
type Decision string

const (
	// Dispatch: this attempt owns the claim and may dispatch once within DispatchWindow.
	Dispatch Decision = "dispatch"
	// Replay: the request was run before; respond with the recorded outcome.
	Replay Decision = "replay"
	// KeyReused: the idempotency key was used with another request body; this attempt was not run.
	KeyReused Decision = "key_reused"
	// Unknown: another attempt holds the claim and its outcome is not recorded.
	Unknown Decision = "unknown"
	// Unavailable: the platform did not confirm the claim; this attempt was not run and will not be.
	Unavailable Decision = "unavailable"
	// replace: no claim blocks the key; any stored claim may be overwritten by a conditional update.
	replace Decision = "replace"
)

// decide returns the decision for an attempt that found a stored claim for its key.
func decide(stored Record, attemptID, bodyHash string, now core.Micros) Decision {
	expired := now > stored.CreatedAtMicros+core.FromDuration(Retention)
	switch {
	case stored.AttemptID == attemptID && stored.State == StateClaimed:
		return Dispatch
	case expired || stored.State == StateReleased:
		return replace
	case stored.BodyHash != bodyHash:
		return KeyReused
	case stored.State == StateDone:
		return Replay
	default:
		return Unknown
	}
}

// Name returns the object name of the claim for a caller's idempotency key.
func Name(caller, key string) string {
	h := sha256.New()
	h.Write([]byte(caller))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil))
}

// BodyHash returns the SHA-256 of a request's method, path and body in hex. It detects reuse of an idempotency key for a
// different request.
func BodyHash(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), {0}, []byte(path), {0}, body} {
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (r Record) marshal() ([]byte, error) { return json.Marshal(r) }
