package gate

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/gatecore"
)

var zeroTime time.Time

// sink writes an answer in the form that the caller asked for. Errors are those of the connection.
type sink interface {
	tokens(batch []gatecore.SendToken) error
	// parts delivers the body of a plain service's answer, part writes a piece of it.
	parts() <-chan []byte
	part(chunk []byte) error
	finish(f gatecore.Finish) error
	fail(e ending) error
	heartbeat() error
}

// deliver writes to the caller until the request has ended.
func (g *Gate) deliver(w http.ResponseWriter, r *http.Request, f *flight, s sink) {
	rc := http.NewResponseController(w)
	// Writers without deadlines (test recorders) never block.
	set := func(at time.Time) { _ = rc.SetWriteDeadline(at) }
	complete := g.deliverAll(r, f, s, set)
	f.out.disarm(func(time.Time) {})
	if !complete {
		// Cuts the connection: the caller must not take its orderly end for the end of the answer.
		panic(http.ErrAbortHandler)
	}
	set(zeroTime)
}

// deliverAll returns true when the answer or its error has been written whole.
func (g *Gate) deliverAll(r *http.Request, f *flight, s sink, set func(time.Time)) bool {
	buf := make([]gatecore.SendToken, 0, batchTokens)
	heartbeat := time.NewTicker(g.heartbeatInterval)
	defer heartbeat.Stop()
	quiet := true
	for {
		batch, end := f.out.peek(buf)
		if len(batch) > 0 || end.kind != endNone {
			quiet = false
		}
		switch {
		case len(batch) > 0:
			f.out.armWrite(g.opts.Clock.Now(), g.writeTimeout, set)
			if err := s.tokens(batch); err != nil {
				return g.writeFailed(f, err)
			}
			f.out.taken(len(batch))
		case end.kind == endDrop:
			return false
		case end.kind != endNone:
			f.out.armWrite(g.opts.Clock.Now(), g.writeTimeout, set)
			return g.writeEnd(f, s, end)
		default:
			select {
			case <-f.out.wake:
			case chunk := <-s.parts():
				f.out.armWrite(g.opts.Clock.Now(), g.writeTimeout, set)
				if err := s.part(chunk); err != nil {
					return g.writeFailed(f, err)
				}
			case <-r.Context().Done():
				g.step(gatecore.CallerGone{Now: g.now(), Request: f.handle})
				return false
			case <-heartbeat.C:
				if !quiet {
					quiet = true
					continue
				}
				f.out.armWrite(g.opts.Clock.Now(), g.writeTimeout, set)
				if err := s.heartbeat(); err != nil {
					return g.writeFailed(f, err)
				}
			}
		}
	}
}

// writeEnd writes the end of the request and tells the reducer.
func (g *Gate) writeEnd(f *flight, s sink, end ending) bool {
	var err error
	switch end.kind {
	case endFinish:
		err = s.finish(end.finish)
	case endReplay:
		err = g.replay(f, s)
	default:
		err = s.fail(end)
	}
	if err != nil {
		return g.writeFailed(f, err)
	}
	g.step(gatecore.AnswerWritten{Now: g.now(), Request: f.handle})
	return true
}

// writeFailed tells the reducer that the caller left or reads too slowly.
func (g *Gate) writeFailed(f *flight, err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		g.step(gatecore.CallerSlow{Now: g.now(), Request: f.handle})
		return false
	}
	g.step(gatecore.CallerGone{Now: g.now(), Request: f.handle})
	return false
}
