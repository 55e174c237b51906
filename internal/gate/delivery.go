package gate

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/gatecore"
)

// sink writes an answer in the format that the caller requested. Its errors normally come from the caller's connection.
type sink interface {
	writeTokens(batch []gatecore.SendToken) error
	// bodyChunks delivers the response body of a plain service and is nil for model answers. writeChunk writes one chunk
	// of the body.
	bodyChunks() <-chan []byte
	writeChunk(chunk []byte) error
	writeFinish(f gatecore.Finish) error
	writeError(e endState) error
	writeHeartbeat() error
}

// delivery writes the answer of one request to its caller, in the goroutine of the HTTP handler.
type delivery struct {
	gate             *Gate
	request          *http.Request
	active           *activeRequest
	sink             sink
	setWriteDeadline func(time.Time)
	heartbeat        *time.Ticker
	// idle is true if nothing was written since the last heartbeat tick.
	idle bool
	// batch is small because each waiting stream holds one. A caller that keeps up gets single tokens.
	batch [maxBatchTokens]gatecore.SendToken
}

// deliver writes to the caller until the request has ended.
func (g *Gate) deliver(w http.ResponseWriter, r *http.Request, active *activeRequest, s sink) {
	rc := http.NewResponseController(w)
	d := &delivery{
		gate: g, request: r, active: active, sink: s, heartbeat: time.NewTicker(g.heartbeatInterval),
		// Response writers without deadlines (test recorders) never block.
		setWriteDeadline: func(at time.Time) { _ = rc.SetWriteDeadline(at) },
	}
	defer d.heartbeat.Stop()
	complete := d.run()
	active.output.clearInterrupt()
	if !complete {
		// Aborts the connection, so that the caller does not take a truncated answer for a complete one.
		panic(http.ErrAbortHandler)
	}
	g.boundWrites(w, 0) // the last bytes are written after the handler has returned
}

// run reports whether the answer or its error has been written completely.
func (d *delivery) run() bool {
	for {
		batch, end := d.active.output.peek(&d.batch)
		switch {
		case len(batch) > 0:
			if err := d.write(func() error { return d.sink.writeTokens(batch) }); err != nil {
				return d.callerFailed(err)
			}
			d.active.output.discard(len(batch))
			clear(batch)
		case end.kind == endDisconnect:
			return false
		case end.kind != endNone:
			return d.writeEnd(end)
		default:
			if err := d.wait(); err != nil {
				return d.callerFailed(err)
			}
		}
	}
}

// write calls f under the write deadline.
func (d *delivery) write(f func() error) error {
	d.idle = false
	d.active.output.setWriteDeadline(d.gate.opts.Clock.Now(), d.gate.writeTimeout, d.setWriteDeadline)
	return f()
}

// wait waits for output. Meanwhile it writes the response chunks of plain services, and heartbeats.
func (d *delivery) wait() error {
	select {
	case <-d.active.output.wake:
		return nil
	case chunk := <-d.sink.bodyChunks():
		return d.write(func() error { return d.sink.writeChunk(chunk) })
	case <-d.request.Context().Done():
		return d.request.Context().Err()
	case <-d.heartbeat.C:
		var err error
		if d.idle {
			err = d.write(d.sink.writeHeartbeat)
		}
		d.idle = true
		return err
	}
}

// writeEnd writes the end of the answer and notifies the reducer.
func (d *delivery) writeEnd(end endState) bool {
	err := d.write(func() error {
		switch end.kind {
		case endFinish:
			return d.sink.writeFinish(end.finish)
		case endReplay:
			return d.gate.replay(d.active, d.sink)
		default:
			return d.sink.writeError(end)
		}
	})
	if err != nil {
		return d.callerFailed(err)
	}
	d.gate.step(gatecore.AnswerWritten{Now: d.gate.now(), Request: d.active.handle})
	return true
}

// callerFailed notifies the reducer that the caller has disconnected or reads too slowly.
func (d *delivery) callerFailed(err error) bool {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		d.gate.step(gatecore.CallerWriteTimeout{Now: d.gate.now(), Request: d.active.handle})
		return false
	}
	d.gate.step(gatecore.CallerDisconnected{Now: d.gate.now(), Request: d.active.handle})
	return false
}
