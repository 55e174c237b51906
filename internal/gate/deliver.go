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

// delivery is the work of one handler: it writes to the caller until the request has ended.
type delivery struct {
	gate      *Gate
	request   *http.Request
	flight    *flight
	sink      sink
	set       func(time.Time) // sets the connection's write deadline
	heartbeat *time.Ticker
	// quiet is true when nothing was written since the last tick of heartbeat.
	quiet bool
	// batch is small, since it stays with a waiting stream; a caller that reads gets single tokens.
	batch [batchTokens]gatecore.SendToken
}

// deliver writes to the caller until the request has ended.
func (g *Gate) deliver(w http.ResponseWriter, r *http.Request, f *flight, s sink) {
	rc := http.NewResponseController(w)
	d := &delivery{
		gate: g, request: r, flight: f, sink: s, heartbeat: time.NewTicker(g.heartbeatInterval),
		// Writers without deadlines (test recorders) never block.
		set: func(at time.Time) { _ = rc.SetWriteDeadline(at) },
	}
	defer d.heartbeat.Stop()
	complete := d.run()
	f.out.disarm()
	if !complete {
		// Cuts the connection: the caller must not take its orderly end for the end of the answer.
		panic(http.ErrAbortHandler)
	}
	d.set(zeroTime)
}

// run returns true when the answer or its error has been written whole.
func (d *delivery) run() bool {
	for {
		batch, end := d.flight.out.peek(&d.batch)
		switch {
		case len(batch) > 0:
			if err := d.write(func() error { return d.sink.tokens(batch) }); err != nil {
				return d.failed(err)
			}
			d.flight.out.taken(len(batch))
			clear(batch)
		case end.kind == endDrop:
			return false
		case end.kind != endNone:
			return d.writeEnd(end)
		default:
			if err := d.wait(); err != nil {
				return d.failed(err)
			}
		}
	}
}

// write does a write under the write deadline.
func (d *delivery) write(f func() error) error {
	d.quiet = false
	d.flight.out.armWrite(d.gate.opts.Clock.Now(), d.gate.writeTimeout, d.set)
	return f()
}

// wait waits for something to write, and writes parts of plain services' answers and heartbeats.
func (d *delivery) wait() error {
	select {
	case <-d.flight.out.wake:
		return nil
	case chunk := <-d.sink.parts():
		return d.write(func() error { return d.sink.part(chunk) })
	case <-d.request.Context().Done():
		return d.request.Context().Err()
	case <-d.heartbeat.C:
		var err error
		if d.quiet {
			err = d.write(d.sink.heartbeat)
		}
		d.quiet = true
		return err
	}
}

// writeEnd writes the end of the request and tells the reducer.
func (d *delivery) writeEnd(end ending) bool {
	err := d.write(func() error {
		switch end.kind {
		case endFinish:
			return d.sink.finish(end.finish)
		case endReplay:
			return d.gate.replay(d.flight, d.sink)
		default:
			return d.sink.fail(end)
		}
	})
	if err != nil {
		return d.failed(err)
	}
	d.gate.step(gatecore.AnswerWritten{Now: d.gate.now(), Request: d.flight.handle})
	return true
}

// failed tells the reducer that the caller left or reads too slowly.
func (d *delivery) failed(err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		d.gate.step(gatecore.CallerSlow{Now: d.gate.now(), Request: d.flight.handle})
		return false
	}
	d.gate.step(gatecore.CallerGone{Now: d.gate.now(), Request: d.flight.handle})
	return false
}
