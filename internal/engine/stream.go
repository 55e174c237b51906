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

// maxLineBytes bounds one line of a stream; a chunk with one token takes about 300 bytes.
const maxLineBytes = 64 << 10

// lineBufferBytes holds some events of one token each, which take about 350 bytes.
const lineBufferBytes = 1 << 10

var errSilent = errors.New("no byte from the engine within the silence limit")

// httpStream parses the SSE body of an answer.
type httpStream struct {
	address  string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	silence  time.Duration
	watchdog *time.Timer
	body     io.ReadCloser
	lines    *bufio.Reader
	finished bool // the finish frame was seen
	done     bool // [DONE] was seen
	shape    chunkShape
	close    sync.Once
}

func (s *httpStream) onSilence() { s.cancel(errSilent) }

func (s *httpStream) open(resp *http.Response) error {
	s.body = resp.Body
	media, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if media != "text/event-stream" {
		return s.protocol("content type %q instead of text/event-stream", media)
	}
	s.lines = bufio.NewReaderSize(&liveReader{s}, lineBufferBytes)
	return nil
}

// liveReader restarts the silence limit with every read that returns bytes.
type liveReader struct{ s *httpStream }

func (r *liveReader) Read(p []byte) (int, error) {
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
		// Reads the end of the body, without which net/http closes the connection instead of using it again.
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
			return s.frame(ev)
		case line[0] == ':':
			if ev.empty() {
				return Frame{Heartbeat: true}, nil
			}
		default:
			if !ev.add(line) {
				return Frame{}, s.protocol("unexpected line %.80q", line)
			}
		}
	}
}

// line returns the next line without its end, valid until the next call.
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
			return nil, s.broken(err)
		}
		if len(out) > maxLineBytes {
			return nil, s.protocol("line over %d bytes", maxLineBytes)
		}
	}
}

// broken classifies the end of the body before [DONE].
func (s *httpStream) broken(err error) error {
	e := &Error{Kind: KindLost, Address: s.address, Err: err}
	switch {
	case errors.Is(context.Cause(s.ctx), errSilent):
		e.Kind, e.Err = KindSilent, errSilent
	case s.ctx.Err() != nil:
		e.Kind = KindCancelled
	}
	return e
}

func (s *httpStream) protocol(format string, args ...any) error {
	return &Error{Kind: KindProtocol, Address: s.address, Err: errors.Newf(format, args...)}
}

func (s *httpStream) frame(ev sseEvent) (Frame, error) {
	if ev.event == "error" {
		return Frame{}, s.errorEvent(ev.data)
	}
	if string(ev.data) == "[DONE]" {
		return s.doneFrame()
	}
	f := Frame{Data: ev.data}
	if !parseID(ev.id, &f) {
		return Frame{}, s.protocol("id %.40q is not <attempt>:<offset>", ev.id)
	}
	if content, ok := s.shape.content(ev.data); ok {
		f.Content, f.Fingerprint = content, s.shape.fingerprint
		return f, nil
	}
	var chunk Chunk
	if err := json.Unmarshal(ev.data, &chunk); err != nil {
		return Frame{}, s.protocol("chunk: %v", err)
	}
	if len(chunk.Choices) != 1 {
		return Frame{}, s.protocol("chunk with %d choices", len(chunk.Choices))
	}
	s.shape.learn(ev.data, &chunk)
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
		return Frame{}, s.protocol("[DONE] without a finish frame")
	}
	s.done = true
	s.watchdog.Stop()
	return Frame{Done: true}, nil
}

func (s *httpStream) errorEvent(data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil || body.Error.Code == "" {
		return s.protocol("error event without an error body")
	}
	e := &Error{Kind: KindFailed, Address: s.address, Code: body.Error.Code, Status: http.StatusOK}
	if body.Error.Message != "" {
		e.Err = errors.New(body.Error.Message)
	}
	return e
}

// sseEvent collects the fields of one event.
type sseEvent struct {
	id    string
	event string
	data  []byte
}

func (e *sseEvent) empty() bool { return e.id == "" && e.event == "" && e.data == nil }

// add takes one field line and reports whether the field is known.
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

func parseID(id string, f *Frame) bool {
	attempt, offset, ok := bytes.Cut([]byte(id), []byte(":"))
	if !ok {
		return false
	}
	var err1, err2 error
	f.Attempt, err1 = strconv.Atoi(string(attempt))
	f.Offset, err2 = strconv.Atoi(string(offset))
	return err1 == nil && err2 == nil && f.Attempt >= 0 && f.Offset >= 0
}
