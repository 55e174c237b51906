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

// Time limits of writing a stream.
const (
	// heartbeatInterval is the longest time between two writes that the published protocol allows.
	heartbeatInterval = 500 * time.Millisecond
	// writeTimeout closes a connection whose client does not read.
	writeTimeout = 10 * time.Second
)

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func writeRefusal(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, engine.ErrorBody{Error: engine.ErrorInfo{Code: code, Message: message, Run: engine.RunNot}})
}

// sseWriter writes the SSE events of one connection. After the first write error, which it stores in err, it sends no
// more.
type sseWriter struct {
	w           http.ResponseWriter
	id          string
	attempt     int
	model       string
	fingerprint string
	created     int64
	// tokenPrefix and tokenSuffix are the JSON of a token's chunk before and after the token text, which needs no
	// escaping.
	tokenPrefix, tokenSuffix string
	buf                      bytes.Buffer
	err                      error
}

func newSSEWriter(w http.ResponseWriter, r *request, attempt int) *sseWriter {
	s := &sseWriter{
		w: w, id: r.id, attempt: attempt, model: r.modelField, created: time.Now().Unix(),
		fingerprint: engine.Fingerprint(r.version, r.seed),
	}
	const placeholder = "\x00"
	sample, _ := json.Marshal(s.chunk(engine.Choice{Delta: engine.Delta{Content: placeholder}}, nil))
	s.tokenPrefix, s.tokenSuffix, _ = strings.Cut(string(sample), `\u0000`)
	return s
}

func (s *sseWriter) open() {
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.heartbeat()
}

func (s *sseWriter) heartbeat() {
	s.buffer(": hb\n\n")
	s.flush()
}

func (s *sseWriter) buffer(parts ...string) {
	for _, p := range parts {
		s.buf.WriteString(p)
	}
}

// close removes the write deadline, which net/http would otherwise apply to the next request on the connection.
func (s *sseWriter) close() { _ = http.NewResponseController(s.w).SetWriteDeadline(time.Time{}) }

// flush sends the buffered events.
func (s *sseWriter) flush() {
	if s.err != nil {
		return
	}
	control := http.NewResponseController(s.w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, s.err = s.w.Write(s.buf.Bytes()); s.err == nil {
		s.err = control.Flush()
	}
	s.buf.Reset()
}

func (s *sseWriter) token(offset int, text string) {
	s.buffer("id: ", strconv.Itoa(s.attempt), ":", strconv.Itoa(offset), "\ndata: ", s.tokenPrefix, text, s.tokenSuffix, "\n\n")
}

func (s *sseWriter) finish(r *request) {
	usage := &engine.Usage{
		PromptTokens: r.promptTokens, CompletionTokens: r.answerTokens, TotalTokens: r.promptTokens + r.answerTokens,
		CachedTokens: r.cachedTokens,
	}
	data, _ := json.Marshal(s.chunk(engine.Choice{FinishReason: &r.finishReason}, usage))
	s.buffer(fmt.Sprintf("id: %d:%d\ndata: %s\n\n", s.attempt, r.answerTokens, data))
	s.buffer("data: [DONE]\n\n")
	s.flush()
}

func (s *sseWriter) failure(code string) {
	data, err := json.Marshal(engine.ErrorBody{Error: engine.ErrorInfo{Code: code, Run: engine.RunYes}})
	if err == nil {
		s.buffer(fmt.Sprintf("event: error\ndata: %s\n\n", data))
		s.flush()
	}
}

func (s *sseWriter) chunk(choice engine.Choice, usage *engine.Usage) engine.Chunk {
	return engine.Chunk{
		ID: "chatcmpl-" + s.id, Object: engine.ObjectChunk, Created: s.created, Model: s.model,
		SystemFingerprint: s.fingerprint, Choices: []engine.Choice{choice}, Usage: usage,
	}
}

// tokenWithViolation sends the next token with a protocol violation.
func (s *sseWriter) tokenWithViolation(mode ViolationMode, offset int, text string) {
	switch mode {
	case ViolationGap:
		s.token(offset+1, text)
	case ViolationRepeat:
		s.token(offset, text)
		s.token(offset, text)
	case ViolationAttempt:
		s.attempt++
		s.token(offset, text)
		s.attempt--
	case ViolationEarlyDone:
		s.buffer("data: [DONE]\n\n")
	default:
		s.buffer("id: x\ndata: {{{\n\n")
	}
	s.flush()
}
