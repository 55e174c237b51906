package gate

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// chat serves POST /v1/chat/completions.
func (g *Gate) chat(w http.ResponseWriter, r *http.Request) {
	arrived := g.now()
	active, p := g.prepareChat(w, r, arrived)
	if p != nil {
		g.reject(w, r, p)
		return
	}
	w.Header().Set(engine.HeaderRequestID, active.requestID)
	sink := g.newSink(w, active)
	if sink == nil {
		active.body.Release()
		g.reject(w, r, notRun(gatecore.CodeBackendFailed, "no random source"))
		return
	}
	g.logReceived(active)
	g.admit(active, gatecore.RequestArrived{
		Now: g.now(), Kind: gatecore.KindModel, Workspace: active.identity.workspace.Name,
		MaxConcurrent: active.identity.workspace.MaxConcurrent, Deadline: active.deadline,
		Suspects: g.opts.Crashes.Count(active.model.fingerprint), CrashLimit: active.identity.index.Limits.CrashLimit,
		FirstAttempt: active.model.firstAttempt, Delivered: active.model.delivered, MaxTokens: active.model.maxTokens,
	})
	g.deliver(w, r, active, sink)
}

func (g *Gate) logReceived(active *activeRequest) {
	m := active.model
	message := "request received"
	if m.firstAttempt > 1 {
		message = "request resumed"
	}
	g.opts.Log.Info(message, evlog.KeyRequest, active.requestID, "workspace", active.identity.workspace.Name,
		"model", m.qualifiedName(), "prompt_tokens", m.promptTokens, "max_tokens", m.maxTokens, "delivered", m.delivered)
}

// prepareChat reads and validates a chat request.
func (g *Gate) prepareChat(w http.ResponseWriter, r *http.Request, arrived core.Micros) (active *activeRequest, p *problem) {
	id, p := g.authenticate(r)
	if p != nil {
		return nil, p
	}
	deadline, p := requestDeadline(r, id.index.Limits, arrived)
	if p != nil {
		return nil, p
	}
	body, p := g.readBody(w, r, id.index.Limits.MaxBodyBytes, deadline, false)
	if p != nil {
		return nil, p
	}
	defer func() {
		if active == nil { // also after a panic, which ends only this request
			body.Release()
		}
	}()
	var m *modelRequest
	if p := g.withWholeBody(r.Context(), body, func(whole []byte) (p *problem) {
		m, p = parseChat(id, whole)
		return p
	}); p != nil {
		return nil, p
	}
	m.created = int64(arrived / core.Second)
	prepared := &activeRequest{identity: id, model: m, arrived: arrived, deadline: deadline, body: body}
	if p := g.assignIDAndSeed(prepared, r); p != nil {
		return nil, p
	}
	return prepared, nil
}

// assignIDAndSeed sets the request id and the seed. A resumed request takes them from its cursor.
func (g *Gate) assignIDAndSeed(active *activeRequest, r *http.Request) *problem {
	if text := r.Header.Get(headerLastEventID); text != "" {
		return g.resume(active, text)
	}
	id, err := g.newID()
	if err != nil {
		return notRun(gatecore.CodeBackendFailed, "no random source")
	}
	active.requestID = id
	if active.model.seedGiven {
		return nil
	}
	var seed [8]byte
	if _, err := io.ReadFull(lockedReader{g}, seed[:]); err != nil {
		return notRun(gatecore.CodeBackendFailed, "no random source")
	}
	active.model.seed = binary.LittleEndian.Uint64(seed[:])
	return nil
}

// resume restores the state of an answer from its cursor. Without a valid cursor it is unknown what the earlier gate
// did, so the error does not say that the request was not run.
func (g *Gate) resume(active *activeRequest, text string) *problem {
	invalid := &problem{Failure: gatecore.Failure{
		Code: gatecore.CodeCursorInvalid, Run: gatecore.RunStatusUnknown,
		Message: headerLastEventID + ": the cursor does not belong to this request or has expired",
	}, param: headerLastEventID}
	c, err := g.opts.Cursors.Open(text)
	if err != nil {
		return invalid
	}
	m := active.model
	if err := c.Check(active.identity.caller.Name, m.bodyHash, g.now()); err != nil {
		return invalid
	}
	served, adapterVersion, _ := strings.Cut(c.Version, "/")
	if c.Model != m.qualifiedName() || adapterVersion != m.adapterVersion {
		invalid.Run = gatecore.RunStatusRun
		invalid.Message = headerLastEventID + ": the adapter version of the answer is no longer served"
		return invalid
	}
	m.servedVersion = served
	active.requestID, active.deadline = c.RequestID, c.Deadline
	m.seed, m.delivered, m.preferred = c.Seed, c.Delivered, c.Engine
	m.firstAttempt = c.Attempt + gatecore.MaxAttemptNumbers
	return nil
}

// modelEntry is one entry of the response to GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models serves GET /v1/models: the models and adapters that the caller may use, in the order of the configuration.
func (g *Gate) models(w http.ResponseWriter, r *http.Request) {
	id, p := g.authenticate(r)
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
	_ = json.NewEncoder(w).Encode(list) // the caller may have disconnected
}
