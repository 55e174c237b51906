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

// gateEngines adapts engine.Client to gate.Engines.
type gateEngines struct {
	client       engine.Client
	reservations *reservations
}

func newGateEngines(client engine.Client, log *slog.Logger) *gateEngines {
	return &gateEngines{client: client, reservations: newReservations(client, log)}
}

var causesByKind = map[engine.Kind]gatecore.Cause{
	engine.KindRefused:     gatecore.CauseRefused,
	engine.KindUnreachable: gatecore.CauseConnectFailed,
	engine.KindLost:        gatecore.CauseLost,
	engine.KindSilent:      gatecore.CauseSilent,
	engine.KindProtocol:    gatecore.CauseProtocol,
	engine.KindFailed:      gatecore.CauseFailed,
	engine.KindCancelled:   gatecore.CauseLost,
}

// engineError converts an error of the engine client to a *gate.EngineError with its cause. It returns nil and io.EOF
// unchanged.
func engineError(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	cause, ok := causesByKind[engine.KindOf(err)]
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
	group, err := e.reservations.acquire(ctx, call)
	if err != nil {
		return nil, engineError(err)
	}
	stream, err := e.client.Start(ctx, call.Address, engineRequest(call, group))
	if err != nil {
		if !mayRetainStream(err) {
			e.reservations.markStreamEnded(group)
		}
		e.reservations.release(group)
		return nil, engineError(err)
	}
	return &gateStream{stream: stream, reservations: e.reservations, group: group}, nil
}

func engineRequest(call gate.EngineCall, group *groupReservation) engine.Request {
	out := engine.Request{
		ID: call.RequestID, Attempt: call.Attempt, ResumeFrom: call.ResumeFrom, Seed: call.Seed, Priority: call.Priority,
		Version: call.Version,
		Group:   helperAddresses(call.Helpers), DeadlineMs: call.Deadline.Milliseconds(), ReserveTokens: call.ReservedTokens,
		Body: call.Body, NewConnection: call.Attempt > 1,
	}
	if group != nil {
		out.ReservationID = group.id
	}
	return out
}

// mayRetainStream reports whether an engine may still hold a stream that ended with err, so that it can be resumed
// within the resume window.
func mayRetainStream(err error) bool {
	switch engine.KindOf(err) {
	case engine.KindLost, engine.KindSilent, engine.KindCancelled:
		return true
	default:
		return false
	}
}

func helperAddresses(helpers []gate.Helper) []string {
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
		e.reservations.freeUnreachableLead(requestID, address)
	}
	return engineError(err)
}

// Incarnation implements gate.Engines.
func (e *gateEngines) Incarnation(ctx context.Context, address string) (string, error) {
	load, err := e.client.Load(ctx, address)
	return load.Incarnation, engineError(err)
}

// gateStream adapts engine.Stream to gate.EngineStream.
type gateStream struct {
	stream       engine.Stream
	reservations *reservations
	group        *groupReservation // nil for a prompt on a single engine
	versionSeen  bool
}

// Recv implements gate.EngineStream.
func (s *gateStream) Recv() (gate.EngineEvent, error) {
	frame, err := s.stream.Next()
	if err != nil && !mayRetainStream(err) || err == nil && (frame.Done || frame.Finish != "") {
		s.reservations.markStreamEnded(s.group)
	}
	if err != nil {
		return gate.EngineEvent{}, engineError(err)
	}
	if frame.Done {
		_, err := s.stream.Next() // reads the end of the body, so that the connection can be reused
		return gate.EngineEvent{}, engineError(err)
	}
	return gate.EngineEvent{
		Version:   s.version(frame),
		Heartbeat: frame.Heartbeat, Attempt: frame.Attempt, Offset: frame.Offset, Text: frame.Content, Finish: frame.Finish,
	}, nil
}

// version returns the model version from the first frame that has a fingerprint, and an empty string afterwards.
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
	s.reservations.release(s.group)
	return err
}
