package gate

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/gatecore"
)

// serviceSink writes the response of a plain service.
type serviceSink struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	call    *serviceCall
	started bool
}

func (s *serviceSink) bodyChunks() <-chan []byte { return s.call.chunks }

func (s *serviceSink) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	header := s.w.Header()
	for name, values := range s.call.responseHeader {
		header[name] = values
	}
	s.closeIfUnread()
	s.w.WriteHeader(s.call.responseStatus)
}

// closeIfUnread ends the caller's connection with the answer if the request has not been read completely. net/http would read the rest
// after the handler, which panics on connections that are read while the answer is written.
func (s *serviceSink) closeIfUnread() {
	if !s.call.unread.atEndOfBody() {
		s.w.Header().Set("Connection", "close")
	}
}

func (s *serviceSink) writeChunk(chunk []byte) error {
	s.writeHeader()
	if _, err := s.w.Write(chunk); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	return s.rc.Flush()
}

func (s *serviceSink) writeFinish(gatecore.Finish) error {
	s.writeHeader()
	return s.rc.Flush()
}

// errAnswerStarted makes delivery abort the connection, since the response header has already been sent.
var errAnswerStarted = errors.New("response header already sent")

func (s *serviceSink) writeError(e endState) error {
	if s.started {
		return errAnswerStarted
	}
	s.started = true
	s.closeIfUnread()
	(&problem{Failure: e.failure}).write(s.w)
	return s.rc.Flush()
}

func (s *serviceSink) writeTokens([]gatecore.SendToken) error { return nil }

func (s *serviceSink) writeHeartbeat() error { return nil }
