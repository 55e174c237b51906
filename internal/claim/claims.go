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

// Backoff between attempts to reach the platform; it doubles up to maxBackoff.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Options configures a Manager.
type Options struct {
	Store platform.Store
	// Gate is the name of this process, stored in its claims.
	Gate string
	// NewID returns a random attempt ID.
	NewID func() string
	Now   func() time.Time
	Log   *slog.Logger
}

// Manager acquires, releases and completes claims.
type Manager struct {
	opts Options
	// updates tracks background writes, which may outlive their request.
	updates sync.WaitGroup
	// stop ends the background writes.
	stop   context.Context
	cancel context.CancelFunc
}

// New returns a Manager that stores its claims in opts.Store.
func New(opts Options) *Manager {
	stop, cancel := context.WithCancel(context.Background())
	return &Manager{opts: opts, stop: stop, cancel: cancel}
}

// Wait waits until all background writes are done or ctx ends, then cancels the remaining ones.
func (c *Manager) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.updates.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	c.cancel()
}

// Handle is the owner's copy of a claim.
type Handle struct {
	name    string
	record  Record
	version uint64
}

// AttemptID returns the ID of the attempt that owns the claim.
func (h *Handle) AttemptID() string { return h.record.AttemptID }

// Name returns the object name of the claim.
func (h *Handle) Name() string { return h.name }

// ValidUntil returns the end of the dispatch window. Check it against the wall clock directly before the dispatch: a
// monotonic clock may stop while the host is suspended.
func (h *Handle) ValidUntil() time.Time { return h.record.CreatedAtMicros.Time().Add(DispatchWindow) }

// Result is the result of Acquire.
type Result struct {
	Decision Decision
	// Handle is set for Dispatch.
	Handle *Handle
	// Outcome is set for Replay.
	Outcome *Outcome
}

// Acquire claims a caller's idempotency key for one attempt. While another attempt of the same request holds the claim,
// Acquire polls until ctx ends. Failures to confirm the claim are reported as Unavailable or Unknown, never as an error;
// the gate must refuse an Unavailable attempt as not run.
func (c *Manager) Acquire(ctx context.Context, caller, key, bodyHash string) Result {
	h := &Handle{name: Name(caller, key), record: Record{
		AttemptID: c.opts.NewID(), BodyHash: bodyHash, Gate: c.opts.Gate,
		CreatedAtMicros: core.FromTime(c.opts.Now()), State: StateClaimed,
	}}
	result := c.acquire(ctx, h)
	c.opts.Log.Info("claim decided", evlog.KeyObject, platform.KindClaim+"/"+h.name, "attempt_id", h.record.AttemptID,
		"decision", string(result.Decision))
	return result
}

// acquire repeats conditional writes and reads of the claim, with backoff, until it has a decision or ctx ends.
func (c *Manager) acquire(ctx context.Context, h *Handle) Result {
	// The first write is conditional on there being no claim. Later writes happen only if the stored claim may be
	// replaced; a claim held by another attempt is never overwritten.
	result, version, written := Result{Decision: replace}, uint64(0), false
	for backoff := initialBackoff; ; backoff = nextBackoff(backoff) {
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
		result, version = c.lookup(ctx, h)
		if result.Decision != replace && result.Decision != Unknown {
			return result
		}
		if !sleep(ctx, backoff) {
			return c.resultOnTimeout(h, result, written)
		}
	}
}

// resultOnTimeout returns the result of an attempt whose claim was not confirmed before its context ended. A claim that
// may have been written is released in the background.
func (c *Manager) resultOnTimeout(h *Handle, last Result, written bool) Result {
	if written {
		c.updateInBackground("release", h, func(r *Record) { r.State = StateReleased })
		return Result{Decision: Unavailable}
	}
	if last.Decision == replace {
		return Result{Decision: Unavailable}
	}
	return last
}

// lookup reads the stored claim and decides on it. If no claim exists, it returns replace with version 0: creating the
// claim again with the same attempt ID is safe, because at most one of the two conditional creations takes effect and
// both write the same claim.
func (c *Manager) lookup(ctx context.Context, h *Handle) (Result, uint64) {
	stored, version, err := c.read(ctx, h.name)
	if errors.Is(err, platform.ErrNotFound) {
		return Result{Decision: replace}, 0
	}
	if err != nil {
		return Result{Decision: Unknown}, 0
	}
	decision := decide(stored, h.record.AttemptID, h.record.BodyHash, core.FromTime(c.opts.Now()))
	if decision == Dispatch {
		h.version = version
		return Result{Decision: Dispatch, Handle: h}, version
	}
	return Result{Decision: decision, Outcome: stored.Outcome}, version
}

func (c *Manager) read(ctx context.Context, name string) (Record, uint64, error) {
	object, err := c.opts.Store.Get(ctx, platform.KindClaim, name)
	if err != nil {
		return Record{}, 0, err
	}
	var record Record
	if err := json.Unmarshal(object.Value, &record); err != nil {
		return Record{}, 0, errors.Wrapf(err, "decode claim %s", name)
	}
	return record, object.Version, nil
}

func (c *Manager) write(ctx context.Context, h *Handle, ifVersion uint64) error {
	value, err := h.record.marshal()
	if err != nil {
		return err
	}
	version, err := c.opts.Store.PutIf(ctx, platform.KindClaim, h.name, value, ifVersion)
	if err == nil {
		h.version = version
	}
	return err
}

// Release marks a claim as released; its attempt must certainly not have been dispatched. The update runs in the
// background and is retried until updateTimeout.
func (c *Manager) Release(h *Handle) {
	c.updateInBackground("release", h, func(r *Record) { r.State = StateReleased })
}

// Complete records the outcome of a dispatched attempt, so that repeats of the request can be answered from it. The
// update runs in the background and is retried until updateTimeout.
func (c *Manager) Complete(h *Handle, outcome Outcome) {
	if len(outcome.Body) > MaxOutcomeBytes {
		outcome.Body, outcome.BodyOmitted = nil, true
	}
	c.updateInBackground("complete", h, func(r *Record) {
		r.State = StateDone
		r.Outcome = &outcome
	})
}

// updateInBackground retries an update of the owner's claim until it is confirmed or updateTimeout has passed.
func (c *Manager) updateInBackground(operation string, h *Handle, change func(*Record)) {
	c.updates.Add(1)
	go func() {
		defer c.updates.Done()
		ctx, cancel := context.WithTimeout(c.stop, updateTimeout)
		defer cancel()
		if err := c.update(ctx, h, change); err != nil {
			c.opts.Log.Warn("claim not updated", evlog.KeyObject, platform.KindClaim+"/"+h.name, "update", operation, "err", err)
		}
	}()
}

// update applies change to the stored claim. It returns an error if another attempt owns the claim or ctx ends, and does
// nothing if the claim is already released or done.
func (c *Manager) update(ctx context.Context, h *Handle, change func(*Record)) error {
	next := &Handle{name: h.name, record: h.record, version: h.version}
	change(&next.record)
	for backoff := initialBackoff; ; backoff = nextBackoff(backoff) {
		if next.version != 0 {
			err := c.write(ctx, next, next.version)
			if err == nil {
				return nil
			}
		}
		stored, version, err := c.read(ctx, h.name)
		if err == nil {
			if stored.AttemptID != h.record.AttemptID {
				return errors.Newf("claim is owned by another attempt: %s", stored.AttemptID)
			}
			if stored.State != StateClaimed {
				return nil
			}
			next.version = version
		}
		if !sleep(ctx, backoff) {
			return errors.Wrap(ctx.Err(), "platform did not confirm the update")
		}
	}
}

func nextBackoff(backoff time.Duration) time.Duration { return min(2*backoff, maxBackoff) }

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
