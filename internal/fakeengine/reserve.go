package fakeengine

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
)

// Bounds of the life of a reservation.
const (
	minTTL = 100 * time.Millisecond
	maxTTL = 10 * time.Minute
)

// reservation is memory held for a prompt that needs several engines.
type reservation struct {
	engine.Reservation
	timer   *time.Timer
	expires time.Time
}

// helperWork is this engine's share of another engine's prompt. It exists only beside its reservation.
type helperWork struct {
	id       string
	priority int
	arrival  uint64
	left     int
}

type helperChunk struct {
	work   *helperWork
	tokens int
}

func ttl(ms int) time.Duration {
	return min(max(time.Duration(ms)*time.Millisecond, minTTL), maxTTL)
}

func (e *Engine) handleReserve(w http.ResponseWriter, r *http.Request) {
	var in engine.Reservation
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.ID == "" || in.Owner == "" || in.Tokens <= 0 {
		refuse(w, http.StatusBadRequest, engine.CodeInvalidRequest, "expected id, owner, tokens and ttlMs")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.reserve(in); refused != nil {
		refuse(w, refused.status, refused.code, refused.message)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) reserve(in engine.Reservation) *refusalError {
	held, known := e.reservations[in.ID]
	if known && held.Owner != in.Owner {
		return &refusalError{http.StatusConflict, engine.CodeOtherOwner, "the reservation has another owner"}
	}
	if e.leaving && !known {
		return &refusalError{http.StatusServiceUnavailable, engine.CodeLeaving, "the engine is leaving"}
	}
	if !e.pool.resize(owner{ownerReservation, in.ID}, blocksFor(in.Tokens)) {
		return &refusalError{http.StatusTooManyRequests, engine.CodeOutOfMemory, "KV memory is short"}
	}
	if !known {
		held = &reservation{}
		e.reservations[in.ID] = held
	}
	held.Reservation = in
	e.extend(held, ttl(in.TTLMs))
	return nil
}

// extend moves the expiry of a reservation, never to an earlier point.
func (e *Engine) extend(held *reservation, life time.Duration) {
	expires := time.Now().Add(life)
	if expires.Before(held.expires) {
		return
	}
	held.expires = expires
	if held.timer != nil {
		held.timer.Stop()
	}
	held.timer = time.AfterFunc(life, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.reservations[held.ID] == held && !time.Now().Before(held.expires) {
			e.dropReservation(held.ID)
		}
	})
}

// dropReservation frees a reservation and the work that relies on it. Engine.mu is held.
func (e *Engine) dropReservation(id string) {
	held, ok := e.reservations[id]
	if !ok {
		return
	}
	held.timer.Stop()
	delete(e.reservations, id)
	delete(e.helped, id)
	e.pool.resize(owner{ownerReservation, id}, 0)
}

func (e *Engine) handleUnreserve(w http.ResponseWriter, r *http.Request) {
	id, by := r.URL.Query().Get("id"), r.URL.Query().Get("owner")
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.reservations[id]
	switch {
	case !ok:
		refuse(w, http.StatusNotFound, engine.CodeNotFound, "no such reservation")
	case held.Owner != by:
		refuse(w, http.StatusConflict, engine.CodeOtherOwner, "the reservation has another owner")
	default:
		e.dropReservation(id)
		w.WriteHeader(http.StatusNoContent)
	}
}

// handleGroup takes or renews a share of a lead's prompt.
func (e *Engine) handleGroup(w http.ResponseWriter, r *http.Request) {
	var in engine.GroupWork
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		refuse(w, http.StatusBadRequest, engine.CodeInvalidRequest, err.Error())
		return
	}
	id := r.PathValue("id")
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.reservations[id]
	if !ok {
		refuse(w, http.StatusNotFound, engine.CodeNotFound, "no such reservation")
		return
	}
	e.extend(held, ttl(in.TTLMs))
	work, ok := e.helped[id]
	if !ok {
		e.arrivals++
		work = &helperWork{id: id, priority: in.Priority, arrival: e.arrivals, left: in.PrefillTokens}
		e.helped[id] = work
		e.work.Broadcast()
	}
	reply(w, http.StatusOK, engine.GroupStatus{ReservedTokens: held.Tokens, PrefillDone: work.left <= 0})
}

func (e *Engine) handleUngroup(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropReservation(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

// helperOrder returns the shares that have work left by priority, then arrival.
func (e *Engine) helperOrder() []*helperWork {
	var out []*helperWork
	for _, h := range e.helped {
		if h.left > 0 {
			out = append(out, h)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].priority != out[j].priority {
			return out[i].priority > out[j].priority
		}
		return out[i].arrival < out[j].arrival
	})
	return out
}
