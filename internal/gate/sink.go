package gate

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/carobstile/carobstile/internal/cursor"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// Fixed lines of the event stream.
const (
	sseDone      = "data: [DONE]\n\n"
	sseHeartbeat = ": hb\n\n"
)

// newSink returns the sink of a chat request, or nil if the random source fails.
func (g *Gate) newSink(w http.ResponseWriter, active *activeRequest) sink {
	if !active.model.stream {
		return &jsonSink{w: w, active: active}
	}
	sealer, err := g.opts.Cursors.NewSealer(lockedReader{g})
	if err != nil {
		return nil
	}
	return newSSESink(w, active, sealer, g.servedBy)
}

// servedBy returns the name of the engine that runs an attempt, and the model version of the answer.
func (g *Gate) servedBy(active *activeRequest, number int) (engine, version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := active.attempts[number]; a != nil {
		engine = a.engine
	}
	return engine, active.model.servedVersion
}

// sseSink writes server-sent events, each with a cursor as its id.
type sseSink struct {
	w           http.ResponseWriter
	rc          *http.ResponseController
	active      *activeRequest
	sealer      *cursor.Sealer
	servedBy    func(*activeRequest, int) (engine, version string)
	cursor      cursor.Cursor
	chunkPrefix []byte // JSON of a chunk up to the delta's content
	buf         []byte
	started     bool
}

func newSSESink(
	w http.ResponseWriter, active *activeRequest, sealer *cursor.Sealer,
	servedBy func(*activeRequest, int) (engine, version string),
) *sseSink {
	m := active.model
	s := &sseSink{w: w, rc: http.NewResponseController(w), active: active, sealer: sealer, servedBy: servedBy}
	s.cursor = cursor.Cursor{
		RequestID: active.requestID, Caller: active.identity.caller.Name, BodyHash: m.bodyHash, Delivered: m.delivered,
		Model: m.qualifiedName(), Seed: m.seed, Engine: m.preferred, Attempt: m.firstAttempt,
		Deadline: active.deadline,
	}
	return s
}

// setVersion sets the fields that depend on the model version, which is known from the first token on.
func (s *sseSink) setVersion(version string) {
	m := s.active.model
	s.cursor.Version = version
	if m.adapterVersion != "" {
		s.cursor.Version += "/" + m.adapterVersion
	}
	s.chunkPrefix = append(s.chunkPrefix[:0], `data: {"id":`...)
	s.chunkPrefix = appendJSON(s.chunkPrefix, "chatcmpl-"+s.active.requestID)
	s.chunkPrefix = append(s.chunkPrefix, `,"object":"chat.completion.chunk","created":`...)
	s.chunkPrefix = strconv.AppendInt(s.chunkPrefix, m.created, 10)
	s.chunkPrefix = append(s.chunkPrefix, `,"model":`...)
	s.chunkPrefix = appendJSON(s.chunkPrefix, m.qualifiedName())
	s.chunkPrefix = append(s.chunkPrefix, `,"system_fingerprint":`...)
	s.chunkPrefix = appendJSON(s.chunkPrefix, engine.Fingerprint(version, m.seed))
	s.chunkPrefix = append(s.chunkPrefix, `,"choices":[{"index":0,"delta":`...)
}

// appendJSON appends text as a JSON string.
func appendJSON(dst []byte, text string) []byte {
	quoted, err := json.Marshal(text)
	if err != nil { // strings always marshal
		return append(dst, `""`...)
	}
	return append(dst, quoted...)
}

func (s *sseSink) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// flushBuffer writes the buffer and flushes the connection.
func (s *sseSink) flushBuffer() error {
	s.writeHeader()
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return s.rc.Flush()
}

// appendEventID starts an event with its cursor as the id.
func (s *sseSink) appendEventID(attempt, delivered int) {
	if s.cursor.Attempt != attempt || s.cursor.Engine == "" || s.chunkPrefix == nil {
		name, version := s.servedBy(s.active, attempt)
		s.cursor.Engine = name
		s.setVersion(version)
	}
	s.cursor.Attempt, s.cursor.Delivered = attempt, delivered
	s.buf = append(s.buf, "id: "...)
	s.buf = s.sealer.AppendSeal(s.buf, &s.cursor)
	s.buf = append(s.buf, '\n')
}

func (s *sseSink) writeTokens(batch []gatecore.SendToken) error {
	s.buf = s.buf[:0]
	for _, t := range batch {
		s.appendEventID(t.Attempt, t.Offset+1)
		s.buf = append(s.buf, s.chunkPrefix...)
		if t.Offset == 0 {
			s.buf = append(s.buf, `{"role":"assistant","content":`...)
		} else {
			s.buf = append(s.buf, `{"content":`...)
		}
		s.buf = appendJSON(s.buf, t.Text)
		s.buf = append(s.buf, "},\"finish_reason\":null}]}\n\n"...)
	}
	return s.flushBuffer()
}

func (s *sseSink) writeFinish(f gatecore.Finish) error {
	s.buf = s.buf[:0]
	s.appendEventID(f.Attempt, f.Tokens)
	s.buf = append(s.buf, s.chunkPrefix...)
	s.buf = append(s.buf, `{},"finish_reason":`...)
	s.buf = appendJSON(s.buf, f.Reason)
	s.buf = append(s.buf, "}]}\n\n"+sseDone...)
	return s.flushBuffer()
}

func (s *sseSink) writeError(e endState) error {
	p := &problem{Failure: e.failure}
	if !s.started {
		p.write(s.w)
		return s.rc.Flush()
	}
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, p.body()...)
	s.buf = append(s.buf, "\n\n"...)
	return s.flushBuffer()
}

func (s *sseSink) bodyChunks() <-chan []byte { return nil }

func (s *sseSink) writeChunk([]byte) error { return nil }

func (s *sseSink) writeHeartbeat() error {
	s.buf = append(s.buf[:0], sseHeartbeat...)
	return s.flushBuffer()
}

// jsonSink collects the answer and writes it as one JSON object.
type jsonSink struct {
	w      http.ResponseWriter
	active *activeRequest
	text   strings.Builder
}

// chatCompletion is the response body of an answer that is not streamed.
type chatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int            `json:"index"`
	Message      engine.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (s *jsonSink) writeTokens(batch []gatecore.SendToken) error {
	for _, t := range batch {
		s.text.WriteString(t.Text)
	}
	return nil
}

func (s *jsonSink) writeFinish(f gatecore.Finish) error {
	m := s.active.model
	body, err := json.Marshal(chatCompletion{
		ID: "chatcmpl-" + s.active.requestID, Object: "chat.completion", Created: m.created, Model: m.qualifiedName(),
		Choices: []completionChoice{{
			Message: engine.Message{Role: "assistant", Content: engine.Content(s.text.String())}, FinishReason: f.Reason,
		}},
		Usage: completionUsage{
			PromptTokens: m.promptTokens, CompletionTokens: f.Tokens, TotalTokens: m.promptTokens + f.Tokens,
		},
	})
	if err != nil {
		return err
	}
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := s.w.Write(body); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *jsonSink) writeError(e endState) error {
	(&problem{Failure: e.failure}).write(s.w)
	return http.NewResponseController(s.w).Flush()
}

func (s *jsonSink) writeHeartbeat() error { return nil }

func (s *jsonSink) bodyChunks() <-chan []byte { return nil }

func (s *jsonSink) writeChunk([]byte) error { return nil }
