package fakeengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/carobstile/carobstile/internal/engine"
)

// heartbeat is the longest pause between two writes of a stream, as published.
const heartbeat = 500 * time.Millisecond

// Engine is one emulated engine.
type Engine struct {
	set     Settings
	mux     *http.ServeMux
	mu      sync.Mutex
	boot    string
	seq     uint64
	running map[string]*request
}

type request struct {
	id       string
	attempt  int
	reserved int
	cancel   context.CancelFunc
}

// New returns a running engine.
func New(set Settings) *Engine {
	e := &Engine{
		set: set.WithDefaults(), mux: http.NewServeMux(), boot: uuid.NewString(), running: map[string]*request{},
	}
	e.mux.HandleFunc("POST "+engine.PathChat, e.chat)
	e.mux.HandleFunc("DELETE "+engine.PathRequests+"{id}", e.cancelRequest)
	e.mux.HandleFunc("GET "+engine.PathLoad, e.load)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close ends all requests.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.running {
		r.cancel()
	}
}

func (e *Engine) version(model string) (string, bool) {
	for _, m := range e.set.Models {
		if m.Name == model {
			return m.Version, true
		}
	}
	return "", false
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var body engine.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest, engine.CodeInvalidRequest, err.Error())
		return
	}
	version, ok := e.version(body.Model)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, engine.CodeModelNotLoaded, body.Model)
		return
	}
	seed, _ := strconv.ParseUint(r.Header.Get(engine.HeaderSeed), 10, 64)
	from, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeFrom))
	attempt, _ := strconv.Atoi(r.Header.Get(engine.HeaderAttempt))
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	prompt := body.Prompt()
	answer := NewAnswer(prompt, body.Model, version, seed)
	tokens, finish := answer.Length(body.OutputBound())
	req := &request{
		id: r.Header.Get(engine.HeaderRequestID), attempt: attempt, cancel: cancel,
		reserved: engine.PromptTokens(len(prompt)) + tokens,
	}
	e.mu.Lock()
	e.running[req.id] = req
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, req.id)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	out := &frames{w: w, id: req.id, attempt: attempt, model: body.Model, fingerprint: engine.Fingerprint(version, seed)}
	prefill := time.Duration(float64(engine.PromptTokens(len(prompt))) * e.set.Step.PrefillTokenMicros * 1e3 / e.set.TimeScale)
	step := time.Duration(e.set.Step.BaseMicros * 1e3 / e.set.TimeScale)
	out.heartbeat()
	for wait := prefill; wait > 0; wait -= heartbeat {
		sleep(ctx, min(wait, heartbeat))
		out.heartbeat()
	}
	for i := from; i < tokens && ctx.Err() == nil; i++ {
		sleep(ctx, step)
		out.token(i, answer.Token(i))
		out.flush()
	}
	if ctx.Err() == nil {
		out.finish(tokens, finish, engine.PromptTokens(len(prompt)), 0)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (e *Engine) cancelRequest(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	req, ok := e.running[r.PathValue("id")]
	if !ok {
		refuse(w, http.StatusNotFound, engine.CodeNotFound, "no such request")
		return
	}
	req.cancel()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	report := engine.Load{
		Incarnation: e.boot, Sequence: e.seq, State: engine.StateReady, Role: e.set.Role, Models: e.set.Models,
		KVTokensTotal: e.set.KVTokens, ReportedAtMicros: time.Now().UnixMicro(),
	}
	for _, r := range e.running {
		report.KVTokensUsed += r.reserved
		report.Running = append(report.Running, engine.RunningRequest{
			RequestID: r.id, Attempt: r.attempt, ReservedTokens: r.reserved,
		})
	}
	reply(w, http.StatusOK, report)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	reply(w, status, engine.ErrorBody{Error: engine.ErrorInfo{Code: code, Message: message, Run: engine.RunNot}})
}

// frames writes the SSE events of one answer.
type frames struct {
	w           http.ResponseWriter
	id          string
	attempt     int
	model       string
	fingerprint string
}

func (f *frames) heartbeat() {
	fmt.Fprint(f.w, ": hb\n\n")
	f.flush()
}

func (f *frames) flush() { _ = http.NewResponseController(f.w).Flush() }

func (f *frames) token(i int, text string) {
	f.write(i, engine.Choice{Delta: engine.Delta{Content: text}}, nil)
}

func (f *frames) finish(tokens int, reason string, prompt, cached int) {
	usage := &engine.Usage{
		PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens, CachedTokens: cached,
	}
	f.write(tokens, engine.Choice{FinishReason: &reason}, usage)
	fmt.Fprint(f.w, "data: [DONE]\n\n")
	f.flush()
}

func (f *frames) write(offset int, choice engine.Choice, usage *engine.Usage) {
	data, err := json.Marshal(engine.Chunk{
		ID: "chatcmpl-" + f.id, Object: engine.ObjectChunk, Created: time.Now().Unix(), Model: f.model,
		SystemFingerprint: f.fingerprint, Choices: []engine.Choice{choice}, Usage: usage,
	})
	if err != nil {
		return
	}
	fmt.Fprintf(f.w, "id: %d:%d\ndata: %s\n\n", f.attempt, offset, data)
}
