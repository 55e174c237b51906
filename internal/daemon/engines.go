package daemon

import (
	"context"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/gate"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// gateEngines offers engine.Client to the gate.
type gateEngines struct {
	client   engine.Client
	reserved *reservations
}

func newGateEngines(client engine.Client, log *slog.Logger) *gateEngines {
	return &gateEngines{client: client, reserved: newReservations(client, log)}
}

var causes = map[engine.Kind]gatecore.Cause{
	engine.KindRefused:     gatecore.CauseRefused,
	engine.KindUnreachable: gatecore.CauseConnectFailed,
	engine.KindLost:        gatecore.CauseLost,
	engine.KindSilent:      gatecore.CauseSilent,
	engine.KindProtocol:    gatecore.CauseProtocol,
	engine.KindFailed:      gatecore.CauseFailed,
	engine.KindCancelled:   gatecore.CauseLost,
}

func typed(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	cause, ok := causes[engine.KindOf(err)]
	if !ok {
		cause = gatecore.CauseLost
	}
	if cause == gatecore.CauseRefused && engine.CodeOf(err) == engine.CodeInvalidRequest {
		cause = gatecore.CauseRejected
	}
	return &gate.EngineError{Cause: cause, Message: err.Error()}
}

// Open implements gate.Engines. For a prompt over several engines it first reserves memory on the helping engines, all
// or nothing, and renews the reservations until the stream is closed.
func (e *gateEngines) Open(ctx context.Context, call gate.EngineCall) (gate.EngineStream, error) {
	group, err := e.reserved.acquire(ctx, call)
	if err != nil {
		return nil, typed(err)
	}
	stream, err := e.client.Start(ctx, call.Address, request(call, group))
	if err != nil {
		if !mayHold(err) {
			e.reserved.leadDropped(group)
		}
		e.reserved.release(group)
		return nil, typed(err)
	}
	return &gateStream{stream: stream, reserved: e.reserved, group: group}, nil
}

func request(call gate.EngineCall, group *groupReservation) engine.Request {
	out := engine.Request{
		ID: call.RequestID, Attempt: call.Attempt, ResumeFrom: call.ResumeFrom, Seed: call.Seed, Priority: call.Priority,
		Version: call.Version,
		Group:   addresses(call.Helpers), DeadlineMs: call.Deadline.Milliseconds(), ReserveTokens: call.Reserve,
		Body: call.Body, NewConnection: call.Attempt > 1,
	}
	if group != nil {
		out.ReservationID = group.id
	}
	return out
}

// mayHold reports whether an engine may keep a stream that ended with err for its resume window.
func mayHold(err error) bool {
	switch engine.KindOf(err) {
	case engine.KindLost, engine.KindSilent, engine.KindCancelled:
		return true
	default:
		return false
	}
}

func addresses(helpers []gate.Helper) []string {
	var out []string
	for _, h := range helpers {
		out = append(out, h.Address)
	}
	return out
}

// Cancel implements gate.Engines.
func (e *gateEngines) Cancel(ctx context.Context, address, requestID string, attempt int) error {
	err := e.client.Cancel(ctx, address, requestID, attempt)
	if engine.KindOf(err) == engine.KindUnreachable {
		e.reserved.leadGone(requestID, address)
	}
	return typed(err)
}

// Incarnation implements gate.Engines.
func (e *gateEngines) Incarnation(ctx context.Context, address string) (string, error) {
	load, err := e.client.Load(ctx, address)
	return load.Incarnation, typed(err)
}

// gateStream offers engine.Stream to the gate.
type gateStream struct {
	stream      engine.Stream
	reserved    *reservations
	group       *groupReservation // nil for a prompt of one engine
	versionSeen bool
}

// Recv implements gate.EngineStream.
func (s *gateStream) Recv() (gate.EngineEvent, error) {
	frame, err := s.stream.Next()
	if err != nil && !mayHold(err) || err == nil && (frame.Done || frame.Finish != "") {
		s.reserved.leadDropped(s.group)
	}
	if err != nil {
		return gate.EngineEvent{}, typed(err)
	}
	if frame.Done {
		_, err := s.stream.Next() // reads the end, so that the connection can be used again
		return gate.EngineEvent{}, typed(err)
	}
	return gate.EngineEvent{
		Version:   s.version(frame),
		Heartbeat: frame.Heartbeat, Attempt: frame.Attempt, Offset: frame.Offset, Text: frame.Content, Finish: frame.Finish,
	}, nil
}

// version returns the model version with the first frame that names it, then nothing.
func (s *gateStream) version(frame engine.Frame) string {
	if s.versionSeen || frame.Fingerprint == "" {
		return ""
	}
	s.versionSeen = true
	version, _, err := engine.ParseFingerprint(frame.Fingerprint)
	if err != nil {
		return ""
	}
	return version
}

// Close implements gate.EngineStream.
func (s *gateStream) Close() error {
	err := s.stream.Close()
	s.reserved.release(s.group)
	return err
}
