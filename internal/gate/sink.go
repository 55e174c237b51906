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

// Lines of server-sent events.
const (
	sseDone      = "data: [DONE]\n\n"
	sseHeartbeat = ": hb\n\n"
)

// newSink returns the sink of a chat request, nil when the random source fails.
func (g *Gate) newSink(w http.ResponseWriter, f *flight) sink {
	if !f.model.stream {
		return &wholeSink{w: w, f: f}
	}
	sealer, err := g.opts.Cursors.NewSealer(lockedReader{g})
	if err != nil {
		return nil
	}
	return newStreamSink(w, f, sealer, g.servedBy)
}

// servedBy returns the name of the engine that serves an attempt, and the model version of the answer.
func (g *Gate) servedBy(f *flight, number int) (engine, version string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := f.attempts[number]; a != nil {
		engine = a.engine
	}
	return engine, f.model.served
}

// streamSink writes server-sent events, each with a cursor as its id.
type streamSink struct {
	w        http.ResponseWriter
	rc       *http.ResponseController
	f        *flight
	sealer   *cursor.Sealer
	servedBy func(*flight, int) (engine, version string)
	cursor   cursor.Cursor
	head     []byte // of a chunk, up to the delta's content
	buf      []byte
	begun    bool
}

func newStreamSink(
	w http.ResponseWriter, f *flight, sealer *cursor.Sealer, servedBy func(*flight, int) (engine, version string),
) *streamSink {
	m := f.model
	s := &streamSink{w: w, rc: http.NewResponseController(w), f: f, sealer: sealer, servedBy: servedBy}
	s.cursor = cursor.Cursor{
		RequestID: f.requestID, Caller: f.identity.caller.Name, BodyHash: m.bodyHash, Delivered: m.delivered,
		Model: m.name(), Seed: m.seed, Engine: m.preferred, Attempt: m.firstAttempt,
		Deadline: f.deadline,
	}
	return s
}

// setVersion completes what depends on the model version, which is known with the first token.
func (s *streamSink) setVersion(version string) {
	m := s.f.model
	s.cursor.Version = version
	if m.adapterVersion != "" {
		s.cursor.Version += "/" + m.adapterVersion
	}
	s.head = append(s.head[:0], `data: {"id":`...)
	s.head = appendJSON(s.head, "chatcmpl-"+s.f.requestID)
	s.head = append(s.head, `,"object":"chat.completion.chunk","created":`...)
	s.head = strconv.AppendInt(s.head, m.created, 10)
	s.head = append(s.head, `,"model":`...)
	s.head = appendJSON(s.head, m.name())
	s.head = append(s.head, `,"system_fingerprint":`...)
	s.head = appendJSON(s.head, engine.Fingerprint(version, m.seed))
	s.head = append(s.head, `,"choices":[{"index":0,"delta":`...)
}

// appendJSON appends a string as JSON.
func appendJSON(dst []byte, text string) []byte {
	quoted, err := json.Marshal(text)
	if err != nil { // strings always marshal
		return append(dst, `""`...)
	}
	return append(dst, quoted...)
}

func (s *streamSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

// send writes the buffer and hands it to the connection.
func (s *streamSink) send() error {
	s.begin()
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return s.rc.Flush()
}

// appendID starts an event with its cursor.
func (s *streamSink) appendID(attempt, delivered int) {
	if s.cursor.Attempt != attempt || s.cursor.Engine == "" || s.head == nil {
		name, version := s.servedBy(s.f, attempt)
		s.cursor.Engine = name
		s.setVersion(version)
	}
	s.cursor.Attempt, s.cursor.Delivered = attempt, delivered
	s.buf = append(s.buf, "id: "...)
	s.buf = s.sealer.AppendSeal(s.buf, &s.cursor)
	s.buf = append(s.buf, '\n')
}

func (s *streamSink) tokens(batch []gatecore.SendToken) error {
	s.buf = s.buf[:0]
	for _, t := range batch {
		s.appendID(t.Attempt, t.Offset+1)
		s.buf = append(s.buf, s.head...)
		if t.Offset == 0 {
			s.buf = append(s.buf, `{"role":"assistant","content":`...)
		} else {
			s.buf = append(s.buf, `{"content":`...)
		}
		s.buf = appendJSON(s.buf, t.Text)
		s.buf = append(s.buf, "},\"finish_reason\":null}]}\n\n"...)
	}
	return s.send()
}

func (s *streamSink) finish(f gatecore.Finish) error {
	s.buf = s.buf[:0]
	s.appendID(f.Attempt, f.Tokens)
	s.buf = append(s.buf, s.head...)
	s.buf = append(s.buf, `{},"finish_reason":`...)
	s.buf = appendJSON(s.buf, f.Reason)
	s.buf = append(s.buf, "}]}\n\n"+sseDone...)
	return s.send()
}

func (s *streamSink) fail(e ending) error {
	p := &problem{Failure: e.failure}
	if !s.begun {
		p.write(s.w)
		return s.rc.Flush()
	}
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, p.body()...)
	s.buf = append(s.buf, "\n\n"...)
	return s.send()
}

func (s *streamSink) parts() <-chan []byte { return nil }

func (s *streamSink) part([]byte) error { return nil }

func (s *streamSink) heartbeat() error {
	s.buf = append(s.buf[:0], sseHeartbeat...)
	return s.send()
}

// wholeSink assembles the answer and writes it whole.
type wholeSink struct {
	w    http.ResponseWriter
	f    *flight
	text strings.Builder
}

// wholeAnswer is a chat completion.
type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   wholeUsage    `json:"usage"`
}

type wholeChoice struct {
	Index        int            `json:"index"`
	Message      engine.Message `json:"message"`
	FinishReason string         `json:"finish_reason"`
}

type wholeUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (s *wholeSink) tokens(batch []gatecore.SendToken) error {
	for _, t := range batch {
		s.text.WriteString(t.Text)
	}
	return nil
}

func (s *wholeSink) finish(f gatecore.Finish) error {
	m := s.f.model
	body, err := json.Marshal(wholeAnswer{
		ID: "chatcmpl-" + s.f.requestID, Object: "chat.completion", Created: m.created, Model: m.name(),
		Choices: []wholeChoice{{
			Message: engine.Message{Role: "assistant", Content: engine.Content(s.text.String())}, FinishReason: f.Reason,
		}},
		Usage: wholeUsage{
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

func (s *wholeSink) fail(e ending) error {
	(&problem{Failure: e.failure}).write(s.w)
	return http.NewResponseController(s.w).Flush()
}

func (s *wholeSink) heartbeat() error { return nil }

func (s *wholeSink) parts() <-chan []byte { return nil }

func (s *wholeSink) part([]byte) error { return nil }
