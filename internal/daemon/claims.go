package daemon

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/claim"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gate"
	"github.com/carobstile/carobstile/internal/gatecore"
	"github.com/carobstile/carobstile/internal/platform"
)

// gateClaims adapts claim.Manager to gate.Claims.
type gateClaims struct {
	claims *claim.Manager
	log    *slog.Logger

	mu sync.Mutex
	// held are the claims of calls in progress, by attempt id.
	held map[string]*claim.Handle
}

func newGateClaims(claims *claim.Manager, log *slog.Logger) *gateClaims {
	return &gateClaims{claims: claims, log: log, held: map[string]*claim.Handle{}}
}

var claimStatuses = map[claim.Decision]gatecore.ClaimStatus{
	claim.Dispatch:    gatecore.ClaimHeld,
	claim.Replay:      gatecore.ClaimReplay,
	claim.KeyReused:   gatecore.ClaimReused,
	claim.Unknown:     gatecore.ClaimUnknown,
	claim.Unavailable: gatecore.ClaimUnavailable,
}

// Acquire implements gate.Claims.
func (c *gateClaims) Acquire(ctx context.Context, req gate.ClaimRequest) gate.ClaimResult {
	result := c.claims.Acquire(ctx, req.Caller, req.Key, hex.EncodeToString(req.BodyHash[:]))
	c.log.Info("claim decided", evlog.KeyRequest, req.RequestID, evlog.KeyObject,
		platform.KindClaim+"/"+claim.Name(req.Caller, req.Key), "decision", string(result.Decision))
	claimResult := gate.ClaimResult{Status: claimStatuses[result.Decision]}
	switch result.Decision {
	case claim.Dispatch:
		claimResult.Claim = c.addHeld(result.Handle)
	case claim.Replay:
		outcome, ok := decodeOutcome(result.Outcome)
		if !ok {
			return gate.ClaimResult{Status: gatecore.ClaimUnknown}
		}
		claimResult.Outcome = outcome
	}
	return claimResult
}

func (c *gateClaims) addHeld(h *claim.Handle) gate.Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[h.AttemptID()] = h
	return gate.Claim{Name: h.Name(), AttemptID: h.AttemptID(), ValidUntil: h.ValidUntil()}
}

func (c *gateClaims) removeHeld(attemptID string) *claim.Handle {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[attemptID]
	delete(c.held, attemptID)
	return h
}

// Release implements gate.Claims.
func (c *gateClaims) Release(_ context.Context, held gate.Claim) error {
	if h := c.removeHeld(held.AttemptID); h != nil {
		c.claims.Release(h)
	}
	return nil
}

// Record implements gate.Claims.
func (c *gateClaims) Record(_ context.Context, held gate.Claim, outcome gate.ServiceOutcome) error {
	h := c.removeHeld(held.AttemptID)
	if h == nil {
		return nil
	}
	body, err := json.Marshal(outcome)
	if err != nil {
		return err
	}
	c.claims.Complete(h, claim.Outcome{Status: outcome.Status, Body: body})
	return nil
}

// decodeOutcome decodes a recorded outcome. A response that was too large to store gives a truncated outcome, because
// its record still proves that the call was run.
func decodeOutcome(stored *claim.Outcome) (*gate.ServiceOutcome, bool) {
	if stored == nil {
		return nil, false
	}
	if stored.BodyOmitted {
		return &gate.ServiceOutcome{Status: stored.Status, Truncated: true}, true
	}
	var out gate.ServiceOutcome
	if err := json.Unmarshal(stored.Body, &out); err != nil {
		return nil, false
	}
	return &out, true
}

// wait waits up to timeout for claims that are still being written.
func (c *gateClaims) wait(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c.claims.Wait(ctx)
}
