package claim

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/cockroachdb/errors"
)

// Pauses between tries against the platform.
const (
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Options of Claims.
type Options struct {
	Store platform.Store
	// Gate is the name of this process.
	Gate string
	// NewID returns a random attempt id.
	NewID func() string
	Now   func() time.Time
	Log   *slog.Logger
}

// Claims acquires, releases and completes claims.
type Claims struct {
	o Options
	// repairs are the writes that go on after their request has ended.
	repairs sync.WaitGroup
	stop    context.Context
	cancel  context.CancelFunc
}

// New returns claims over a store.
func New(o Options) *Claims {
	stop, cancel := context.WithCancel(context.Background())
	return &Claims{o: o, stop: stop, cancel: cancel}
}

// Wait waits for background writes until the context ends, then gives them up.
func (c *Claims) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.repairs.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	c.cancel()
}

// Handle is a claim as its owner knows it.
type Handle struct {
	name    string
	record  Record
	version uint64
}

// AttemptID names the attempt that owns the claim.
func (h *Handle) AttemptID() string { return h.record.AttemptID }

// Name returns the object name of the claim.
func (h *Handle) Name() string { return h.name }

// ValidUntil ends the window of dispatch. It must be checked directly before the dispatch, with the wall clock: a
// monotonic clock may stand still while the host is suspended.
func (h *Handle) ValidUntil() time.Time { return h.record.CreatedAtMicros.Time().Add(DispatchWindow) }

// Result of Acquire.
type Result struct {
	Decision Decision
	// Handle is set for Dispatch.
	Handle *Handle
	// Outcome is set for Replay.
	Outcome *Outcome
}

// Acquire claims a caller's key for one attempt. While another attempt of the same request is under way it waits until
// ctx ends. It never returns an error: what the platform could not confirm is Unavailable, and such an attempt must be
// refused as not run.
func (c *Claims) Acquire(ctx context.Context, caller, key, bodyHash string) Result {
	h := &Handle{name: Name(caller, key), record: Record{
		AttemptID: c.o.NewID(), BodyHash: bodyHash, Gate: c.o.Gate,
		CreatedAtMicros: core.At(c.o.Now()), State: StateClaimed,
	}}
	result := c.acquire(ctx, h)
	c.o.Log.Info("claim decided", evlog.KeyObject, platform.KindClaim+"/"+h.name, "attempt_id", h.record.AttemptID,
		"decision", string(result.Decision))
	return result
}

func (c *Claims) acquire(ctx context.Context, h *Handle) Result {
	// The first write expects that no claim exists. Later ones happen only where the stored claim may be replaced: a
	// claim that another attempt holds is never written over.
	result, version, written := Result{Decision: replace}, uint64(0), false
	for pause := firstPause; ; pause = nextPause(pause) {
		if result.Decision == replace {
			err := c.write(ctx, h, version)
			if err == nil {
				return Result{Decision: Dispatch, Handle: h}
			}
			written = written || errors.Is(err, platform.ErrUnknown)
			if errors.Is(err, platform.ErrRejected) && !written {
				return Result{Decision: Unavailable}
			}
		}
		result, version = c.look(ctx, h)
		if result.Decision != replace && result.Decision != Unknown {
			return result
		}
		if !sleep(ctx, pause) {
			return c.giveUp(h, result, written)
		}
	}
}

// giveUp ends an attempt whose claim could not be confirmed in time. A claim that may have been written is released in
// the background.
func (c *Claims) giveUp(h *Handle, last Result, written bool) Result {
	if written {
		c.background("release", h, func(r *Record) { r.State = StateReleased })
		return Result{Decision: Unavailable}
	}
	if last.Decision == replace {
		return Result{Decision: Unavailable}
	}
	return last
}

// look reads the stored claim. A claim that cannot be found is replace with version 0: creating it again with the same
// attempt id is safe, because at most one of the two conditional creations takes effect and both mean the same claim.
func (c *Claims) look(ctx context.Context, h *Handle) (Result, uint64) {
	stored, version, err := c.read(ctx, h.name)
	if errors.Is(err, platform.ErrNotFound) {
		return Result{Decision: replace}, 0
	}
	if err != nil {
		return Result{Decision: Unknown}, 0
	}
	decision := decide(stored, h.record.AttemptID, h.record.BodyHash, core.At(c.o.Now()))
	if decision == Dispatch {
		h.version = version
		return Result{Decision: Dispatch, Handle: h}, version
	}
	return Result{Decision: decision, Outcome: stored.Outcome}, version
}

func (c *Claims) read(ctx context.Context, name string) (Record, uint64, error) {
	object, err := c.o.Store.Get(ctx, platform.KindClaim, name)
	if err != nil {
		return Record{}, 0, err
	}
	var record Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return Record{}, 0, errors.Wrapf(err, "claim %s", name)
	}
	return record, object.Version, nil
}

func (c *Claims) write(ctx context.Context, h *Handle, ifVersion uint64) error {
	value, err := h.record.marshal()
	if err != nil {
		return err
	}
	version, err := c.o.Store.PutIf(ctx, platform.KindClaim, h.name, value, ifVersion)
	if err == nil {
		h.version = version
	}
	return err
}

// Release gives a claim back whose attempt was surely not dispatched. It goes on in the background if the platform does
// not answer.
func (c *Claims) Release(h *Handle) {
	c.background("release", h, func(r *Record) { r.State = StateReleased })
}

// Complete records the outcome of a dispatched attempt for repeats of its request. It goes on in the background if the
// platform does not answer.
func (c *Claims) Complete(h *Handle, outcome Outcome) {
	if len(outcome.Body) > MaxOutcomeBytes {
		outcome.Body, outcome.BodyOmitted = nil, true
	}
	c.background("complete", h, func(r *Record) {
		r.State = StateDone
		r.Outcome = &outcome
	})
}

// background updates our own claim until the update is confirmed or repairTime has passed.
func (c *Claims) background(what string, h *Handle, change func(*Record)) {
	c.repairs.Add(1)
	go func() {
		defer c.repairs.Done()
		ctx, cancel := context.WithTimeout(c.stop, repairTime)
		defer cancel()
		if err := c.update(ctx, h, change); err != nil {
			c.o.Log.Warn("claim not updated", evlog.KeyObject, platform.KindClaim+"/"+h.name, "update", what, "err", err)
		}
	}()
}

func (c *Claims) update(ctx context.Context, h *Handle, change func(*Record)) error {
	next := &Handle{name: h.name, record: h.record, version: h.version}
	change(&next.record)
	for pause := firstPause; ; pause = nextPause(pause) {
		if next.version != 0 {
			err := c.write(ctx, next, next.version)
			if err == nil {
				return nil
			}
		}
		stored, version, err := c.read(ctx, h.name)
		if err == nil {
			if stored.AttemptID != h.record.AttemptID {
				return errors.Newf("claim belongs to attempt %s", stored.AttemptID)
			}
			if stored.State != StateClaimed {
				return nil
			}
			next.version = version
		}
		if !sleep(ctx, pause) {
			return errors.Wrap(ctx.Err(), "platform did not confirm the update")
		}
	}
}

func nextPause(pause time.Duration) time.Duration { return min(2*pause, maxPause) }

// sleep waits and reports whether the context is still live.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}
