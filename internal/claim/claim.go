// Package claim keeps non-idempotent requests to at most one run. A durable claim in the platform's object API precedes
// every dispatch. A claim is never transferred: only its owner may release it, and only when its attempt was surely not
// dispatched. A gate that is paused, replaced or cut off therefore cannot run a request that another gate has taken.
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
	// DispatchWindow is how long after its creation a claim allows dispatch. It is far shorter than Retention, so that a
	// process that was paused until its claim had expired does not dispatch.
	DispatchWindow = 10 * time.Second
	// Retention is how long a claim blocks its key.
	Retention = 24 * time.Hour
	// repairTime is how long a gate goes on trying to record an outcome or to release a claim.
	repairTime = 60 * time.Second
)

// MaxOutcomeBytes is the largest answer that a claim keeps for repeats of its request. In base64, within the claim, it
// fits the platform's 1 MiB.
const MaxOutcomeBytes = 720 << 10

// State is the state of a claim.
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

// Outcome is the answer of a request that was run.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is true when the answer was over MaxOutcomeBytes.
	BodyOmitted bool `json:"bodyOmitted,omitempty"`
}

// Decision is what an attempt may do.
type Decision string

// Decisions on an attempt.
const (
	// Dispatch: the claim is ours; dispatch once within the window.
	Dispatch Decision = "dispatch"
	// Replay: the request was run before; answer with the recorded outcome.
	Replay Decision = "replay"
	// KeyReused: the key was used with another body; nothing was run now.
	KeyReused Decision = "key_reused"
	// Unknown: another attempt holds the claim and its outcome is not recorded.
	Unknown Decision = "unknown"
	// Unavailable: the platform did not confirm the claim; this attempt was not run and never will be.
	Unavailable Decision = "unavailable"
	// replace: the stored claim no longer blocks its key and may be replaced by conditional update.
	replace Decision = "replace"
)

// decide judges a stored claim for an attempt.
func decide(stored Record, attemptID, bodyHash string, now core.Micros) Decision {
	expired := now > stored.CreatedAtMicros+core.Span(Retention)
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

// Name returns the object name of the claim of a caller's key.
func Name(caller, key string) string {
	h := sha256.New()
	h.Write([]byte(caller))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil))
}

// BodyHash identifies a request, so that a key cannot be reused for another one.
func BodyHash(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), {0}, []byte(path), {0}, body} {
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func (r Record) marshal() ([]byte, error) { return json.Marshal(r) }
