package fakeengine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
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
	// head and tail are the parts of a token's chunk around its text, which needs no JSON escapes.
	head, tail string
	buf        bytes.Buffer
	err        error
}

func newFrames(w http.ResponseWriter, r *request, attempt int) *frames {
	f := &frames{
		w: w, id: r.id, attempt: attempt, model: r.modelField, created: time.Now().Unix(),
		fingerprint: engine.Fingerprint(r.version, r.seed),
	}
	const mark = "\x00"
	sample, _ := json.Marshal(f.body(engine.Choice{Delta: engine.Delta{Content: mark}}, nil))
	f.head, f.tail, _ = strings.Cut(string(sample), `\u0000`)
	return f
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

func (f *frames) raw(parts ...string) {
	for _, p := range parts {
		f.buf.WriteString(p)
	}
}

// close lifts the write deadline, which net/http would keep for the next request on the connection.
func (f *frames) close() { _ = http.NewResponseController(f.w).SetWriteDeadline(time.Time{}) }

// flush sends what was written.
func (f *frames) flush() {
	if f.err != nil {
		return
	}
	control := http.NewResponseController(f.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, f.err = f.w.Write(f.buf.Bytes()); f.err == nil {
		f.err = control.Flush()
	}
	f.buf.Reset()
}

func (f *frames) token(offset int, text string) {
	f.raw("id: ", strconv.Itoa(f.attempt), ":", strconv.Itoa(offset), "\ndata: ", f.head, text, f.tail, "\n\n")
}

func (f *frames) finish(r *request) {
	usage := &engine.Usage{
		PromptTokens: r.promptTokens, CompletionTokens: r.tokens, TotalTokens: r.promptTokens + r.tokens,
		CachedTokens: r.cachedTokens,
	}
	data, _ := json.Marshal(f.body(engine.Choice{FinishReason: &r.finish}, usage))
	f.raw(fmt.Sprintf("id: %d:%d\ndata: %s\n\n", f.attempt, r.tokens, data))
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

func (f *frames) body(choice engine.Choice, usage *engine.Usage) engine.Chunk {
	return engine.Chunk{
		ID: "chatcmpl-" + f.id, Object: engine.ObjectChunk, Created: f.created, Model: f.model,
		SystemFingerprint: f.fingerprint, Choices: []engine.Choice{choice}, Usage: usage,
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
