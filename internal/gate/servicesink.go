package gate

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/gatecore"
)

// serviceSink writes the answer of a plain service.
type serviceSink struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	call  *serviceCall
	begun bool
}

func (s *serviceSink) parts() <-chan []byte { return s.call.chunks }

func (s *serviceSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	header := s.w.Header()
	for name, values := range s.call.head {
		header[name] = values
	}
	s.w.WriteHeader(s.call.status)
}

func (s *serviceSink) part(chunk []byte) error {
	s.begin()
	if _, err := s.w.Write(chunk); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	return s.rc.Flush()
}

func (s *serviceSink) finish(gatecore.Finish) error {
	s.begin()
	return s.rc.Flush()
}

// errAnswerBegun makes the end of the connection the only sign of a failure, since the head of the answer was sent.
var errAnswerBegun = errors.New("the answer has begun")

func (s *serviceSink) fail(e ending) error {
	if s.begun {
		return errAnswerBegun
	}
	s.begun = true
	(&problem{Failure: e.failure}).write(s.w)
	return s.rc.Flush()
}

func (s *serviceSink) tokens([]gatecore.SendToken) error { return nil }

func (s *serviceSink) heartbeat() error { return nil }
