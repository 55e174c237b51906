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

// gateClaims offers claim.Claims to the gate.
type gateClaims struct {
	claims *claim.Claims
	log    *slog.Logger

	mu sync.Mutex
	// held are the claims under way, by attempt id.
	held map[string]*claim.Handle
}

func newGateClaims(claims *claim.Claims, log *slog.Logger) *gateClaims {
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
func (c *gateClaims) Acquire(ctx context.Context, req gate.ClaimRequest) gate.ClaimAnswer {
	result := c.claims.Acquire(ctx, req.Caller, req.Key, hex.EncodeToString(req.BodyHash[:]))
	c.log.Info("claim answered", evlog.KeyRequest, req.RequestID, evlog.KeyObject,
		platform.KindClaim+"/"+claim.Name(req.Caller, req.Key), "decision", string(result.Decision))
	answer := gate.ClaimAnswer{Status: claimStatuses[result.Decision]}
	switch result.Decision {
	case claim.Dispatch:
		answer.Claim = c.keep(result.Handle)
	case claim.Replay:
		outcome, ok := decodeOutcome(result.Outcome)
		if !ok {
			return gate.ClaimAnswer{Status: gatecore.ClaimUnknown}
		}
		answer.Outcome = outcome
	}
	return answer
}

func (c *gateClaims) keep(h *claim.Handle) gate.Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[h.AttemptID()] = h
	return gate.Claim{Name: h.Name(), AttemptID: h.AttemptID(), ValidUntil: h.ValidUntil()}
}

func (c *gateClaims) take(attemptID string) *claim.Handle {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.held[attemptID]
	delete(c.held, attemptID)
	return h
}

// Release implements gate.Claims.
func (c *gateClaims) Release(_ context.Context, held gate.Claim) error {
	if h := c.take(held.AttemptID); h != nil {
		c.claims.Release(h)
	}
	return nil
}

// Record implements gate.Claims.
func (c *gateClaims) Record(_ context.Context, held gate.Claim, outcome gate.ServiceOutcome) error {
	h := c.take(held.AttemptID)
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

// decodeOutcome reads the recorded answer. An answer that was too large to keep still says that the call was run.
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

// wait waits for claims that are still being written.
func (c *gateClaims) wait(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c.claims.Wait(ctx)
}
