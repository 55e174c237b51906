package fakeengine

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
)

// Bounds of the time to live of reservations and imports.
const (
	minTTL = 100 * time.Millisecond
	maxTTL = 10 * time.Minute
)

// reservation is KV memory reserved for a request, normally for a prompt on several engines.
type reservation struct {
	engine.Reservation
	timer   *time.Timer
	expires time.Time
}

// helperWork is the part of another engine's prompt that this engine computes as a helper. It is dropped together with
// its reservation.
type helperWork struct {
	id         string
	priority   int
	arrival    uint64
	tokensLeft int
}

type helperChunk struct {
	work   *helperWork
	tokens int
}

func clampTTL(ms int) time.Duration {
	return min(max(time.Duration(ms)*time.Millisecond, minTTL), maxTTL)
}

func (e *Engine) handleReserve(w http.ResponseWriter, r *http.Request) {
	var in engine.Reservation
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.ID == "" || in.Owner == "" || in.Tokens <= 0 {
		writeRefusal(w, http.StatusBadRequest, engine.CodeInvalidRequest, "expected id, owner and ttlMs, and tokens above 0")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.reserve(in); refused != nil {
		writeRefusal(w, refused.status, refused.code, refused.message)
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
		return &refusalError{http.StatusTooManyRequests, engine.CodeOutOfMemory, "not enough free KV memory"}
	}
	if !known {
		held = &reservation{}
		e.reservations[in.ID] = held
	}
	held.Reservation = in
	e.extend(held, clampTTL(in.TTLMs))
	return nil
}

// extend sets the expiry of a reservation to now plus ttl, unless it already expires later.
func (e *Engine) extend(held *reservation, ttl time.Duration) {
	expires := time.Now().Add(ttl)
	if expires.Before(held.expires) {
		return
	}
	held.expires = expires
	if held.timer != nil {
		held.timer.Stop()
	}
	held.timer = time.AfterFunc(ttl, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.reservations[held.ID] == held && !time.Now().Before(held.expires) {
			e.releaseReservation(held.ID)
		}
	})
}

// releaseReservation frees a reservation and drops the helper work that uses it. Engine.mu is held.
func (e *Engine) releaseReservation(id string) {
	held, ok := e.reservations[id]
	if !ok {
		return
	}
	held.timer.Stop()
	delete(e.reservations, id)
	delete(e.helperWork, id)
	e.pool.resize(owner{ownerReservation, id}, 0)
}

func (e *Engine) handleReleaseReservation(w http.ResponseWriter, r *http.Request) {
	id, ownerID := r.URL.Query().Get("id"), r.URL.Query().Get("owner")
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.reservations[id]
	switch {
	case !ok:
		writeRefusal(w, http.StatusNotFound, engine.CodeNotFound, "no such reservation")
	case held.Owner != ownerID:
		writeRefusal(w, http.StatusConflict, engine.CodeOtherOwner, "the reservation has another owner")
	default:
		e.releaseReservation(id)
		w.WriteHeader(http.StatusNoContent)
	}
}

// handleAssignGroupWork accepts a part of a lead engine's prompt, or renews its reservation if it was accepted before.
func (e *Engine) handleAssignGroupWork(w http.ResponseWriter, r *http.Request) {
	var in engine.GroupWork
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeRefusal(w, http.StatusBadRequest, engine.CodeInvalidRequest, err.Error())
		return
	}
	id := r.PathValue("id")
	e.mu.Lock()
	defer e.mu.Unlock()
	held, ok := e.reservations[id]
	if !ok {
		writeRefusal(w, http.StatusNotFound, engine.CodeNotFound, "no such reservation")
		return
	}
	e.extend(held, clampTTL(in.TTLMs))
	work, ok := e.helperWork[id]
	if !ok {
		e.arrivalCount++
		work = &helperWork{id: id, priority: in.Priority, arrival: e.arrivalCount, tokensLeft: in.PrefillTokens}
		e.helperWork[id] = work
		e.workCond.Broadcast()
	}
	writeJSON(w, http.StatusOK, engine.GroupStatus{ReservedTokens: held.Tokens, PrefillDone: work.tokensLeft <= 0})
}

func (e *Engine) handleReleaseGroupWork(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseReservation(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

// pendingHelperWork returns the unfinished helper work in order of priority, then arrival.
func (e *Engine) pendingHelperWork() []*helperWork {
	var out []*helperWork
	for _, h := range e.helperWork {
		if h.tokensLeft > 0 {
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
