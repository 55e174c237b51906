package daemon

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/gate"
	"github.com/carobstile/carobstile/internal/shell"
)

// Timing of reservations on helping engines. Two renewals in a row may be lost before a reservation expires.
const (
	reservationTTL           = 15 * time.Second
	reservationRenewInterval = 5 * time.Second
	reservationCallTimeout   = 2 * time.Second
)

// reservations makes, renews and frees the memory reservations that prompts over several engines hold on helping
// engines.
//
// A reservation id names the request and the attempt that made the reservation, so that a late free for a previous
// attempt, by this gate or by the previous lead, cannot free the reservation of the next attempt. An attempt that may
// resume the stream that its lead still holds reuses the id, because the lead continues with the reservations that it
// was given.
type reservations struct {
	client engine.Client
	log    *slog.Logger

	mu sync.Mutex
	// current maps each request to the reservations of its latest attempt. They stay after the end of the attempt while
	// its lead may still hold the stream.
	current map[string]*groupReservation
}

// groupReservation holds the reservations of one attempt on its helpers.
type groupReservation struct {
	request string
	id      string
	lead    string
	helpers []gate.Helper
	// inherited is true if a previous attempt made the reservations.
	inherited bool
	// streamEnded is true once the lead certainly no longer holds the stream. It is guarded by reservations.mu.
	streamEnded bool
	stop        context.CancelFunc
}

func newReservations(client engine.Client, log *slog.Logger) *reservations {
	return &reservations{client: client, log: log, current: map[string]*groupReservation{}}
}

func reservationID(request string, attempt int) string { return request + "." + strconv.Itoa(attempt) }

// acquire reserves memory on the helpers of a call, all or nothing, and renews the reservations until they are
// released. It returns nil for a call without helpers.
func (r *reservations) acquire(ctx context.Context, call gate.EngineCall) (*groupReservation, error) {
	group := r.newGroup(call)
	if len(call.Helpers) == 0 {
		return nil, nil
	}
	for _, h := range call.Helpers {
		if err := r.client.Reserve(ctx, h.Address, group.reservation(h)); err != nil {
			r.abortAcquire(group)
			return nil, err
		}
	}
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	group.stop = stop
	r.setCurrent(group)
	go r.renewUntilDone(renewCtx, group)
	return group, nil
}

// newGroup returns the reservations to make for a call. It reuses the id of a previous attempt whose stream the call
// may resume. It first frees the reservations of a previous attempt that the call cannot resume, because the call may
// need their memory.
func (r *reservations) newGroup(call gate.EngineCall) *groupReservation {
	out := &groupReservation{
		request: call.RequestID, id: reservationID(call.RequestID, call.Attempt), lead: call.Address,
		helpers: call.Helpers, stop: func() {},
	}
	previous, streamEnded := r.detach(call.RequestID)
	switch {
	case previous != nil && previous.lead == call.Address && !streamEnded:
		out.id, out.inherited = previous.id, true
	case previous != nil:
		r.free(previous)
	case call.HeldAttempt > 0:
		out.id, out.inherited = reservationID(call.RequestID, call.HeldAttempt), true
	}
	return out
}

// abortAcquire cleans up after a failed acquire. Some reservations may have been made, including the one whose call
// failed if only its response was lost.
func (r *reservations) abortAcquire(group *groupReservation) {
	if !group.inherited {
		r.free(group)
		return
	}
	r.setCurrent(group) // the lead may still use the reservations
	r.removeAfterExpiry(group)
}

// markStreamEnded records that the lead of a group no longer holds the stream.
func (r *reservations) markStreamEnded(group *groupReservation) {
	if group == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	group.streamEnded = true
}

// release stops the renewals. It frees the reservations only if the lead no longer holds the stream; otherwise the lead
// frees them when it drops the stream, or they expire. Reservations that a later attempt has taken over are left to
// that attempt.
func (r *reservations) release(group *groupReservation) {
	if group == nil {
		return
	}
	group.stop()
	r.mu.Lock()
	latest, streamEnded := r.current[group.request] == group, group.streamEnded
	if latest && streamEnded {
		delete(r.current, group.request)
	}
	r.mu.Unlock()
	switch {
	case latest && streamEnded:
		go r.free(group)
	case latest:
		r.removeAfterExpiry(group)
	}
}

func (r *reservations) setCurrent(group *groupReservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current[group.request] = group
}

// removeAfterExpiry removes a group from current once its reservations have expired.
func (r *reservations) removeAfterExpiry(group *groupReservation) {
	time.AfterFunc(reservationTTL, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.current[group.request] == group {
			delete(r.current, group.request)
		}
	})
}

// detach stops the renewals of the latest attempt's reservations, removes them from current and returns them.
func (r *reservations) detach(request string) (group *groupReservation, streamEnded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	group = r.current[request]
	if group == nil {
		return nil, false
	}
	delete(r.current, request)
	group.stop()
	return group, group.streamEnded
}

// freeUnreachableLead frees the reservations that were kept for a lead that no longer accepts connections.
func (r *reservations) freeUnreachableLead(request, lead string) {
	r.mu.Lock()
	group := r.current[request]
	found := group != nil && group.lead == lead
	if found {
		delete(r.current, request)
	}
	r.mu.Unlock()
	if found {
		group.stop()
		r.free(group)
	}
}

func (g *groupReservation) reservation(h gate.Helper) engine.Reservation {
	return engine.Reservation{ID: g.id, Owner: g.request, Tokens: h.ReservedTokens, TTLMs: int(reservationTTL.Milliseconds())}
}

func (r *reservations) renewUntilDone(ctx context.Context, group *groupReservation) {
	shell.Every(ctx, reservationRenewInterval, func(ctx context.Context) {
		for _, h := range group.helpers {
			r.renewOne(ctx, group, h)
		}
	})
}

// renewOne renews one reservation within reservationCallTimeout, so that an unresponsive helper does not block the
// renewals at the others.
func (r *reservations) renewOne(ctx context.Context, group *groupReservation, h gate.Helper) {
	callCtx, cancel := context.WithTimeout(ctx, reservationCallTimeout)
	defer cancel()
	if err := r.client.Reserve(callCtx, h.Address, group.reservation(h)); err != nil && ctx.Err() == nil {
		r.log.Warn("reservation not renewed", "reservation", group.id, "address", h.Address, "err", err)
	}
}

// free frees the reservations at all helpers concurrently, so that an unresponsive helper does not delay the others.
func (r *reservations) free(group *groupReservation) {
	ctx, cancel := context.WithTimeout(context.Background(), reservationCallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, h := range group.helpers {
		wg.Go(func() {
			if err := r.client.Unreserve(ctx, h.Address, group.id, group.request); err != nil {
				r.log.Debug("reservation not freed; it will expire", "reservation", group.id, "address", h.Address,
					"err", err)
			}
		})
	}
	wg.Wait()
}
