package gate

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// chat serves POST /v1/chat/completions.
func (g *Gate) chat(w http.ResponseWriter, r *http.Request) {
	arrived := g.now()
	f, p := g.prepareChat(w, r, arrived)
	if p != nil {
		g.reject(w, r, p)
		return
	}
	w.Header().Set(engine.HeaderRequestID, f.requestID)
	sink := g.newSink(w, f)
	if sink == nil {
		g.reject(w, r, notRun(gatecore.CodeBackendFailed, "no random source"))
		return
	}
	g.logReceived(f)
	g.admit(f, gatecore.RequestArrived{
		Now: g.now(), Kind: gatecore.KindModel, Workspace: f.identity.workspace.Name,
		MaxConcurrent: f.identity.workspace.MaxConcurrent, Deadline: f.deadline,
		Suspects: g.opts.Crashes.Count(f.model.fingerprint), CrashLimit: f.identity.index.Limits.CrashLimit,
		FirstAttempt: f.model.firstAttempt, Delivered: f.model.delivered, MaxTokens: f.model.maxTokens,
	})
	g.deliver(w, r, f, sink)
}

func (g *Gate) logReceived(f *flight) {
	m := f.model
	message := "request received"
	if m.firstAttempt > 1 {
		message = "request resumed"
	}
	g.opts.Log.Info(message, evlog.KeyRequest, f.requestID, "workspace", f.identity.workspace.Name, "model", m.name(),
		"prompt_tokens", m.promptTokens, "max_tokens", m.maxTokens, "delivered", m.delivered)
}

// prepareChat reads and checks a chat request.
func (g *Gate) prepareChat(w http.ResponseWriter, r *http.Request, arrived core.Micros) (f *flight, p *problem) {
	id, p := g.identify(r)
	if p != nil {
		return nil, p
	}
	deadline, p := deadlineOf(r, id.index.Limits, arrived)
	if p != nil {
		return nil, p
	}
	body, held, p := g.readBodyBefore(w, r, id.index.Limits.MaxBodyBytes, deadline)
	if p != nil {
		return nil, p
	}
	defer func() {
		if p != nil {
			g.bodies.give(held)
		}
	}()
	m, p := g.bodies.parse(r.Context(), len(body), func() (*modelRequest, *problem) { return parseChat(id, body) })
	if p != nil {
		return nil, p
	}
	m.created = int64(arrived / core.Second)
	f = &flight{identity: id, model: m, arrived: arrived, deadline: deadline, heldBytes: held}
	if p := g.identifyAnswer(f, r); p != nil {
		return nil, p
	}
	return f, nil
}

// bodyTimeout bounds the time that a caller may take to send a body, so that one that sends slowly holds little. The
// largest body takes well under a second from a caller 1 ms away.
const bodyTimeout = 30 * time.Second

// limitBodyTime sets the deadline for reading the body and returns the function that changes it.
func (g *Gate) limitBodyTime(w http.ResponseWriter, deadline core.Micros) func(time.Time) {
	rc := http.NewResponseController(w)
	// Writers without deadlines (test recorders) have the body already.
	set := func(at time.Time) { _ = rc.SetReadDeadline(at) }
	set(g.opts.Clock.Now().Add(min((deadline - g.now()).Duration(), bodyTimeout)))
	return set
}

// readBodyBefore reads a whole body within the time of the request and counts it among the bodies held.
func (g *Gate) readBodyBefore(
	w http.ResponseWriter, r *http.Request, limit int, deadline core.Micros,
) (body []byte, held int64, p *problem) {
	limitRead := g.limitBodyTime(w, deadline)
	body, held, p = g.bodies.read(w, r, limit)
	if p == nil {
		limitRead(zeroTime)
	}
	return body, held, p
}

// identifyAnswer sets request id and seed: from the cursor of a resumed request, else new ones.
func (g *Gate) identifyAnswer(f *flight, r *http.Request) *problem {
	if text := r.Header.Get(headerLastEventID); text != "" {
		return g.resume(f, text)
	}
	id, err := g.newID()
	if err != nil {
		return notRun(gatecore.CodeBackendFailed, "no random source")
	}
	f.requestID = id
	if f.model.seedGiven {
		return nil
	}
	var seed [8]byte
	if _, err := io.ReadFull(lockedReader{g}, seed[:]); err != nil {
		return notRun(gatecore.CodeBackendFailed, "no random source")
	}
	f.model.seed = binary.LittleEndian.Uint64(seed[:])
	return nil
}

// resume continues the answer that a cursor describes. What the former gate did is unknown unless the cursor opens, so
// the refusal does not say that the request was not run.
func (g *Gate) resume(f *flight, text string) *problem {
	invalid := &problem{Failure: gatecore.Failure{
		Code: gatecore.CodeCursorInvalid, Run: gatecore.RunUnknown,
		Message: headerLastEventID + ": the cursor does not belong to this request or has expired",
	}, param: headerLastEventID}
	c, err := g.opts.Cursors.Open(text)
	if err != nil {
		return invalid
	}
	m := f.model
	if err := c.Check(f.identity.caller.Name, m.bodyHash, g.now()); err != nil {
		return invalid
	}
	served, adapterVersion, _ := strings.Cut(c.Version, "/")
	if c.Model != m.name() || adapterVersion != m.adapterVersion {
		invalid.Run = gatecore.RunDone
		invalid.Message = headerLastEventID + ": the adapter version of the answer is no longer served"
		return invalid
	}
	m.served = served
	f.requestID, f.deadline = c.RequestID, c.Deadline
	m.seed, m.delivered, m.preferred = c.Seed, c.Delivered, c.Engine
	m.firstAttempt = c.Attempt + gatecore.MaxAttemptNumbers
	return nil
}

// modelEntry is one model of GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models serves GET /v1/models: the models and adapters that the caller may use, in the order of the configuration.
func (g *Gate) models(w http.ResponseWriter, r *http.Request) {
	id, p := g.identify(r)
	if p != nil {
		g.reject(w, r, p)
		return
	}
	list := struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{Object: "list", Data: []modelEntry{}}
	for _, name := range append(append([]string(nil), id.caller.Models...), id.caller.Adapters...) {
		if (&modelRequest{}).setModel(id, name) == nil {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "carobstile"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // a caller that left needs no error
}
