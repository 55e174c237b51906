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

// Times of reservations on helping engines. Two renewals in a row may be lost before one expires.
const (
	reservationTTL   = 15 * time.Second
	reservationRenew = 5 * time.Second
	reservationCall  = 2 * time.Second
)

// reservations makes, renews and frees the memory that prompts over several engines hold on helping engines.
//
// A reservation is named by the request and the attempt that made it, so that a late free of a former attempt, by this
// gate or by the former lead, cannot free the next attempt's. An attempt that may resume the stream that its lead still
// holds keeps the name, because the lead goes on with the reservations that it was given.
type reservations struct {
	client engine.Client
	log    *slog.Logger

	mu sync.Mutex
	// current are the reservations of the latest attempt by request, also after its end while its lead may still hold
	// the stream.
	current map[string]*groupReservation
}

// groupReservation is the reservations of one attempt on its helpers.
type groupReservation struct {
	request string
	id      string
	lead    string
	helpers []gate.Helper
	// adopted is true when a former attempt made the reservations.
	adopted bool
	// over is true when the lead surely does not hold the stream any more. It is guarded by reservations.mu.
	over bool
	stop context.CancelFunc
}

func newReservations(client engine.Client, log *slog.Logger) *reservations {
	return &reservations{client: client, log: log, current: map[string]*groupReservation{}}
}

func reservationID(request string, attempt int) string { return request + "." + strconv.Itoa(attempt) }

// acquire reserves memory on the helpers of a call, all or nothing, and renews it. It returns nil for a call without
// helpers.
func (r *reservations) acquire(ctx context.Context, call gate.EngineCall) (*groupReservation, error) {
	group := r.group(call)
	if len(call.Helpers) == 0 {
		return nil, nil
	}
	for _, h := range call.Helpers {
		if err := r.client.Reserve(ctx, h.Address, group.reservation(h)); err != nil {
			r.giveUp(group)
			return nil, err
		}
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	group.stop = stop
	r.put(group)
	go r.renew(renewing, group)
	return group, nil
}

// group names the reservations of a call. Those of a former attempt that this call cannot resume are freed first,
// because the call may need their memory.
func (r *reservations) group(call gate.EngineCall) *groupReservation {
	out := &groupReservation{
		request: call.RequestID, id: reservationID(call.RequestID, call.Attempt), lead: call.Address,
		helpers: call.Helpers, stop: func() {},
	}
	former, over := r.take(call.RequestID)
	switch {
	case former != nil && former.lead == call.Address && !over:
		out.id, out.adopted = former.id, true
	case former != nil:
		r.free(former)
	case call.HeldAttempt > 0:
		out.id, out.adopted = reservationID(call.RequestID, call.HeldAttempt), true
	}
	return out
}

// giveUp ends an acquisition of which some reservations were made, the last of them perhaps with a lost answer.
func (r *reservations) giveUp(group *groupReservation) {
	if !group.adopted {
		r.free(group)
		return
	}
	r.put(group) // the lead may still rely on them
	r.forgetLater(group)
}

// leadDropped notes that the lead of a group does not hold the stream any more.
func (r *reservations) leadDropped(group *groupReservation) {
	if group == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	group.over = true
}

// release ends the renewals. The reservations are freed unless the lead may still hold the stream; then the lead frees
// them when it drops the stream, or they expire. Those that a later attempt took over are the later attempt's matter.
func (r *reservations) release(group *groupReservation) {
	if group == nil {
		return
	}
	group.stop()
	r.mu.Lock()
	latest, over := r.current[group.request] == group, group.over
	if latest && over {
		delete(r.current, group.request)
	}
	r.mu.Unlock()
	switch {
	case latest && over:
		go r.free(group)
	case latest:
		r.forgetLater(group)
	}
}

func (r *reservations) put(group *groupReservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current[group.request] = group
}

// forgetLater drops the name of a group once its reservations have expired.
func (r *reservations) forgetLater(group *groupReservation) {
	time.AfterFunc(reservationTTL, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.current[group.request] == group {
			delete(r.current, group.request)
		}
	})
}

// take ends the renewals of the latest attempt's reservations and hands them over.
func (r *reservations) take(request string) (group *groupReservation, over bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	group = r.current[request]
	if group == nil {
		return nil, false
	}
	delete(r.current, request)
	group.stop()
	return group, group.over
}

// leadGone frees what was kept for a lead that does not accept connections any more.
func (r *reservations) leadGone(request, lead string) {
	r.mu.Lock()
	group := r.current[request]
	kept := group != nil && group.lead == lead
	if kept {
		delete(r.current, request)
	}
	r.mu.Unlock()
	if kept {
		group.stop()
		r.free(group)
	}
}

func (g *groupReservation) reservation(h gate.Helper) engine.Reservation {
	return engine.Reservation{ID: g.id, Owner: g.request, Tokens: h.Reserve, TTLMs: int(reservationTTL.Milliseconds())}
}

func (r *reservations) renew(ctx context.Context, group *groupReservation) {
	shell.Every(ctx, reservationRenew, func(ctx context.Context) {
		for _, h := range group.helpers {
			r.renewAt(ctx, group, h)
		}
	})
}

// renewAt renews one reservation within reservationCall, so that a silent helper does not keep the others from renewal.
func (r *reservations) renewAt(ctx context.Context, group *groupReservation, h gate.Helper) {
	call, cancel := context.WithTimeout(ctx, reservationCall)
	defer cancel()
	if err := r.client.Reserve(call, h.Address, group.reservation(h)); err != nil && ctx.Err() == nil {
		r.log.Warn("reservation not renewed", "reservation", group.id, "address", h.Address, "err", err)
	}
}

// free frees the reservations at all helpers side by side, so that one silent helper does not delay the others.
func (r *reservations) free(group *groupReservation) {
	ctx, cancel := context.WithTimeout(context.Background(), reservationCall)
	defer cancel()
	var all sync.WaitGroup
	for _, h := range group.helpers {
		all.Go(func() {
			if err := r.client.Unreserve(ctx, h.Address, group.id, group.request); err != nil {
				r.log.Debug("reservation not freed, it will expire", "reservation", group.id, "address", h.Address,
					"err", err)
			}
		})
	}
	all.Wait()
}
