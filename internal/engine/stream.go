package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of a line of a stream. A chunk with one token takes about 300 bytes.
const maxLineBytes = 64 << 10

// lineBufferBytes is the size of a stream's line buffer. An event with one token takes about 350 bytes.
const lineBufferBytes = 1 << 10

var errSilent = errors.New("no bytes from the engine within the silence timeout")

// httpStream parses the SSE body of a response.
type httpStream struct {
	address  string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	silence  time.Duration
	watchdog *time.Timer
	body     io.ReadCloser
	lines    *bufio.Reader
	finished bool // the finish frame was received
	done     bool // [DONE] was received
	template chunkTemplate
	close    sync.Once
}

func (s *httpStream) onSilence() { s.cancel(errSilent) }

func (s *httpStream) openBody(resp *http.Response) error {
	s.body = resp.Body
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if media != "text/event-stream" {
		return s.protocolError("content type is %q, expected text/event-stream", media)
	}
	s.lines = bufio.NewReaderSize(&watchdogReader{s}, lineBufferBytes)
	return nil
}

// watchdogReader reads the body and restarts the silence timeout whenever bytes arrive.
type watchdogReader struct{ s *httpStream }

func (r *watchdogReader) Read(p []byte) (int, error) {
	n, err := r.s.body.Read(p)
	if n > 0 {
		r.s.watchdog.Reset(r.s.silence)
	}
	return n, err
}

// Close implements Stream.
func (s *httpStream) Close() error {
	s.close.Do(func() {
		s.watchdog.Stop()
		s.cancel(nil)
		if s.body != nil {
			s.body.Close()
		}
	})
	return nil
}

// Next implements Stream.
func (s *httpStream) Next() (Frame, error) {
	if s.done {
		// Read the end of the body; otherwise net/http closes the connection instead of reusing it.
		_, _ = s.lines.ReadByte()
		return Frame{}, io.EOF
	}
	var ev sseEvent
	for {
		line, err := s.line()
		if err != nil {
			return Frame{}, err
		}
		switch {
		case len(line) == 0 && ev.empty():
		case len(line) == 0:
			return s.parseFrame(ev)
		case line[0] == ':':
			if ev.empty() {
				return Frame{Heartbeat: true}, nil
			}
		default:
			if !ev.add(line) {
				return Frame{}, s.protocolError("unexpected line %.80q", line)
			}
		}
	}
}

// line returns the next line without its line ending. The slice is valid until the next call.
func (s *httpStream) line() ([]byte, error) {
	var out []byte
	for {
		part, err := s.lines.ReadSlice('\n')
		if err == nil && out == nil {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		out = append(out, part...)
		if err == nil {
			return bytes.TrimRight(out, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, s.readError(err)
		}
		if len(out) > maxLineBytes {
			return nil, s.protocolError("line exceeds %d bytes", maxLineBytes)
		}
	}
}

// readError classifies an error of reading the body before [DONE].
func (s *httpStream) readError(err error) error {
	e := &Error{Kind: KindLost, Address: s.address, Err: err}
	switch {
	case errors.Is(context.Cause(s.ctx), errSilent):
		e.Kind, e.Err = KindSilent, errSilent
	case s.ctx.Err() != nil:
		e.Kind = KindCancelled
	}
	return e
}

func (s *httpStream) protocolError(format string, args ...any) error {
	return &Error{Kind: KindProtocol, Address: s.address, Err: errors.Newf(format, args...)}
}

func (s *httpStream) parseFrame(ev sseEvent) (Frame, error) {
	if ev.event == "error" {
		return Frame{}, s.parseErrorEvent(ev.data)
	}
	if string(ev.data) == "[DONE]" {
		return s.doneFrame()
	}
	f := Frame{Data: ev.data}
	if !parseID(ev.id, &f) {
		return Frame{}, s.protocolError("event id %.40q is not <attempt>:<offset>", ev.id)
	}
	if content, ok := s.template.content(ev.data); ok {
		f.Content, f.Fingerprint = content, s.template.fingerprint
		return f, nil
	}
	var chunk Chunk
	if err := json.Unmarshal(ev.data, &chunk); err != nil {
		return Frame{}, s.protocolError("decode chunk: %v", err)
	}
	if len(chunk.Choices) != 1 {
		return Frame{}, s.protocolError("chunk has %d choices, expected 1", len(chunk.Choices))
	}
	s.template.derive(ev.data, &chunk)
	f.Content = chunk.Choices[0].Delta.Content
	f.Fingerprint = chunk.SystemFingerprint
	f.Usage = chunk.Usage
	if reason := chunk.Choices[0].FinishReason; reason != nil {
		f.Finish = *reason
		s.finished = true
	}
	return f, nil
}

func (s *httpStream) doneFrame() (Frame, error) {
	if !s.finished {
		return Frame{}, s.protocolError("[DONE] before the finish frame")
	}
	s.done = true
	s.watchdog.Stop()
	return Frame{Done: true}, nil
}

func (s *httpStream) parseErrorEvent(data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return s.protocolError("error event without a valid error body")
	}
	e := &Error{Kind: KindFailed, Address: s.address, Code: body.Error.Code, Status: http.StatusOK}
	if body.Error.Message != "" {
		e.Err = errors.New(body.Error.Message)
	}
	return e
}

// sseEvent holds the fields of one SSE event.
type sseEvent struct {
	id    string
	event string
	data  []byte
}

func (e *sseEvent) empty() bool { return e.id == "" && e.event == "" && e.data == nil }

// add parses a field line and returns false if the field is unknown.
func (e *sseEvent) add(line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id = string(value)
	case "event":
		e.event = string(value)
	case "data":
		e.data = append(e.data, value...)
	case "retry":
	default:
		return false
	}
	return true
}

// parseID parses an event ID of the form <attempt>:<offset> into f.
func parseID(id string, f *Frame) bool {
	attempt, offset, ok := bytes.Cut([]byte(id), []byte(":"))
	if !ok {
		return false
	}
	var attemptErr, offsetErr error
	f.Attempt, attemptErr = strconv.Atoi(string(attempt))
	f.Offset, offsetErr = strconv.Atoi(string(offset))
	return attemptErr == nil && offsetErr == nil && f.Attempt >= 0 && f.Offset >= 0
}
