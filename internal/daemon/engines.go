package daemon

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/gate"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// Times of reservations on helping engines. Two renewals in a row may be lost before one expires.
const (
	reservationTTL   = 15 * time.Second
	reservationRenew = 5 * time.Second
	reservationCall  = 2 * time.Second
)

// gateEngines offers engine.Client to the gate.
type gateEngines struct {
	client engine.Client
	owner  string
	log    *slog.Logger
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
// or nothing, and keeps the reservations until the stream is closed.
func (e *gateEngines) Open(ctx context.Context, call gate.EngineCall) (gate.EngineStream, error) {
	release, err := e.reserve(ctx, call)
	if err != nil {
		return nil, typed(err)
	}
	stream, err := e.client.Start(ctx, call.Address, engine.Request{
		ID: call.RequestID, Attempt: call.Attempt, ResumeFrom: call.ResumeFrom, Seed: call.Seed, Priority: call.Priority,
		Version: call.Version,
		Group:   addresses(call.Helpers), DeadlineMs: call.Deadline.Milliseconds(), ReserveTokens: call.Reserve,
		Body: call.Body, NewConnection: call.Attempt > 1,
	})
	if err != nil {
		release()
		return nil, typed(err)
	}
	return &gateStream{stream: stream, release: release}, nil
}

func addresses(helpers []gate.Helper) []string {
	var out []string
	for _, h := range helpers {
		out = append(out, h.Address)
	}
	return out
}

// reserve returns a function that frees what was reserved.
func (e *gateEngines) reserve(ctx context.Context, call gate.EngineCall) (func(), error) {
	if len(call.Helpers) == 0 {
		return func() {}, nil
	}
	for i, h := range call.Helpers {
		if err := e.client.Reserve(ctx, h.Address, e.reservation(call, h)); err != nil {
			e.free(call, call.Helpers[:i+1]) // the answer of the last one may have been lost
			return nil, err
		}
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	go e.renew(renewing, call)
	return func() {
		stop()
		go e.free(call, call.Helpers)
	}, nil
}

// reservation is named by request and attempt, so that a late call of a former attempt cannot free the next one's.
func (e *gateEngines) reservation(call gate.EngineCall, h gate.Helper) engine.Reservation {
	return engine.Reservation{
		ID: call.RequestID, Owner: call.RequestID, Tokens: h.Reserve, TTLMs: int(reservationTTL.Milliseconds()),
	}
}

func (e *gateEngines) renew(ctx context.Context, call gate.EngineCall) {
	ticker := time.NewTicker(reservationRenew)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, h := range call.Helpers {
			if err := e.client.Reserve(ctx, h.Address, e.reservation(call, h)); err != nil && ctx.Err() == nil {
				e.log.Warn("reservation not renewed", "request", call.RequestID, "address", h.Address, "err", err)
			}
		}
	}
}

func (e *gateEngines) free(call gate.EngineCall, helpers []gate.Helper) {
	ctx, cancel := context.WithTimeout(context.Background(), reservationCall)
	defer cancel()
	for _, h := range helpers {
		r := e.reservation(call, h)
		if err := e.client.Unreserve(ctx, h.Address, r.ID, r.Owner); err != nil {
			e.log.Debug("reservation not freed, it will expire", "request", call.RequestID, "address", h.Address, "err", err)
		}
	}
}

// Cancel implements gate.Engines.
func (e *gateEngines) Cancel(ctx context.Context, address, requestID string, attempt int) error {
	return typed(e.client.Cancel(ctx, address, requestID, attempt))
}

// Incarnation implements gate.Engines.
func (e *gateEngines) Incarnation(ctx context.Context, address string) (string, error) {
	load, err := e.client.Load(ctx, address)
	return load.Incarnation, typed(err)
}

// gateStream offers engine.Stream to the gate.
type gateStream struct {
	stream      engine.Stream
	release     func()
	versionSeen bool
}

// Recv implements gate.EngineStream.
func (s *gateStream) Recv() (gate.EngineEvent, error) {
	frame, err := s.stream.Next()
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
	s.release()
	return s.stream.Close()
}
