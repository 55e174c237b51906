package fakeengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
)

// Limits of a stream's writer.
const (
	// heartbeatEvery is the longest pause between two writes, as published.
	heartbeatEvery = 500 * time.Millisecond
	// writeTimeout ends a connection whose reader does not read.
	writeTimeout = 10 * time.Second
)

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func refuse(w http.ResponseWriter, status int, code, message string) {
	reply(w, status, engine.ErrorBody{Error: engine.ErrorInfo{Code: code, Message: message, Run: engine.RunNot}})
}

// frames writes the SSE events of one connection. The first error sticks.
type frames struct {
	w           http.ResponseWriter
	id          string
	attempt     int
	model       string
	fingerprint string
	created     int64
	err         error
}

func newFrames(w http.ResponseWriter, r *request, attempt int) *frames {
	return &frames{
		w: w, id: r.id, attempt: attempt, model: r.modelField, created: time.Now().Unix(),
		fingerprint: engine.Fingerprint(r.version, r.seed),
	}
}

func (f *frames) open() {
	f.w.Header().Set("Content-Type", "text/event-stream")
	f.w.Header().Set("Cache-Control", "no-cache")
	f.heartbeat()
}

func (f *frames) heartbeat() {
	f.raw(": hb\n\n")
	f.flush()
}

func (f *frames) raw(text string) {
	if f.err == nil {
		_ = http.NewResponseController(f.w).SetWriteDeadline(time.Now().Add(writeTimeout))
		_, f.err = f.w.Write([]byte(text))
	}
}

// close lifts the write deadline, which net/http would keep for the next request on the connection.
func (f *frames) close() { _ = http.NewResponseController(f.w).SetWriteDeadline(time.Time{}) }

func (f *frames) flush() {
	if f.err == nil {
		f.err = http.NewResponseController(f.w).Flush()
	}
}

func (f *frames) token(offset int, text string) {
	f.chunk(offset, engine.Choice{Delta: engine.Delta{Content: text}}, nil)
}

func (f *frames) finish(r *request) {
	usage := &engine.Usage{
		PromptTokens: r.promptTokens, CompletionTokens: r.tokens, TotalTokens: r.promptTokens + r.tokens,
		CachedTokens: r.cachedTokens,
	}
	f.chunk(r.tokens, engine.Choice{FinishReason: &r.finish}, usage)
	f.raw("data: [DONE]\n\n")
	f.flush()
}

func (f *frames) failure(code string) {
	data, err := json.Marshal(engine.ErrorBody{Error: engine.ErrorInfo{Code: code, Run: engine.RunYes}})
	if err == nil {
		f.raw(fmt.Sprintf("event: error\ndata: %s\n\n", data))
		f.flush()
	}
}

func (f *frames) chunk(offset int, choice engine.Choice, usage *engine.Usage) {
	data, err := json.Marshal(engine.Chunk{
		ID: "chatcmpl-" + f.id, Object: engine.ObjectChunk, Created: f.created, Model: f.model,
		SystemFingerprint: f.fingerprint, Choices: []engine.Choice{choice}, Usage: usage,
	})
	if err == nil {
		f.raw(fmt.Sprintf("id: %d:%d\ndata: %s\n\n", f.attempt, offset, data))
	}
}

// nonsense writes the next token in a way that breaks the protocol.
func (f *frames) nonsense(mode NonsenseMode, offset int, text string) {
	switch mode {
	case NonsenseGap:
		f.token(offset+1, text)
	case NonsenseRepeat:
		f.token(offset, text)
		f.token(offset, text)
	case NonsenseAttempt:
		f.attempt++
		f.token(offset, text)
		f.attempt--
	case NonsenseDone:
		f.raw("data: [DONE]\n\n")
	default:
		f.raw("id: x\ndata: {{{\n\n")
	}
	f.flush()
}
