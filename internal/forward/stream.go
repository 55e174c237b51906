package forward

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/routing"
	"github.com/carobstile/carobstile/internal/upstream"
)

// maxEvent bounds one event of a stream; a longer one counts as a broken stream.
const maxEvent = 1 << 20

// streamState is what the caller has of a stream.
type streamState struct {
	events  int
	last    string // id of the last event delivered
	version string
	// firstAt is when the first event came, 0 before; late says that it was late.
	firstAt core.Micros
	late    bool
	// lastAt is when the last event came, and longestGap the longest pause between two.
	lastAt, longestGap core.Micros
}

// relay passes the events of a stream on as they arrive. Only whole events are passed on, so that another server can
// continue after the last one.
func (q *request) relay(watch *watch, plan dispatch.Plan, id uint64, resp *upstream.Response, a Answer) verdict {
	if !q.started {
		q.stream.version = a.Version
	}
	reader := bufio.NewReaderSize(resp, streamBuffer)
	first := true
	for {
		event, err := readEvent(reader)
		if err != nil {
			return q.streamEnded(watch, plan, id, resp, event)
		}
		watch.progress()
		if first {
			first = false
			q.h.Scheduler.First(id)
			q.firstEvent()
		}
		q.eventCame()
		ok, err := q.pass(event, resp)
		if err != nil {
			q.h.Scheduler.Cancelled(id)
			q.reason = "caller left"
			return cutOff
		}
		if !ok {
			return q.broken(plan, id, dispatch.FaultBroken, "event of the stream is missing")
		}
		if reader.Buffered() == 0 && !q.flush() {
			q.h.Scheduler.Cancelled(id)
			q.reason = "caller left"
			return cutOff
		}
	}
}

const streamBuffer = 4 << 10 // bytes; an event takes about 100

// readEvent returns the next event with the blank line that ends it. At the end of the stream it returns what is left.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(event) < maxEvent {
			continue
		}
		if err != nil {
			return event, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

// eventID returns the id of an event, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// pass writes an event to the caller. It returns false if events before it are missing.
func (q *request) pass(event []byte, resp *upstream.Response) (bool, error) {
	id := eventID(event)
	switch q.follows(id) {
	case duplicate:
		return true, nil
	case gap:
		return false, nil
	case next:
	}
	q.startStream(resp)
	if _, err := q.w.Write(event); err != nil {
		return true, err
	}
	if id != "" {
		q.stream.events++
		q.stream.last = id
	}
	return true, nil
}

// order is the place of an event after the last one delivered.
type order int

const (
	next order = iota
	duplicate
	gap
)

// follows compares the number of an event with that of the last one that the caller has. Events without a number, and
// the first one of a new stream, are taken as they come.
func (q *request) follows(id string) order {
	before := q.stream.last
	if before == "" {
		before = q.LastEvent
	}
	last, errLast := strconv.ParseInt(before, 10, 64)
	this, errThis := strconv.ParseInt(id, 10, 64)
	if errLast != nil || errThis != nil {
		return next
	}
	switch {
	case this <= last:
		return duplicate
	case this > last+1:
		return gap
	}
	return next
}

// startStream sends the headers of the first server.
func (q *request) startStream(resp *upstream.Response) {
	if q.started {
		return
	}
	q.started = true
	copyHeader(q.w.Header(), resp.Header)
	q.w.Header().Del("Content-Length") // another server may continue with other lengths
	q.w.WriteHeader(resp.Status)
}

func (q *request) flush() bool { return http.NewResponseController(q.w).Flush() == nil }

// streamEnded handles the end of a server's stream; rest is what follows the last whole event.
func (q *request) streamEnded(
	watch *watch, plan dispatch.Plan, id uint64, resp *upstream.Response, rest []byte,
) verdict {
	if resp.Whole() && len(bytes.TrimSpace(rest)) == 0 {
		q.h.Scheduler.Finished(id)
		q.startStream(resp)
		q.ended(resp.Status)
		return done
	}
	if q.ctx.Err() != nil {
		q.h.Scheduler.Cancelled(id)
		if q.started {
			q.reason = "caller left or time is up"
			return cutOff
		}
		return again
	}
	if watch.stalled() {
		return q.broken(plan, id, dispatch.FaultSilent, "stream stalled")
	}
	q.h.Suspects.Crashed(q.fingerprint, plan.Lead.ID)
	return q.broken(plan, id, dispatch.FaultBroken, "stream broke off")
}

// broken ends a server's part in a stream.
func (q *request) broken(plan dispatch.Plan, id uint64, f dispatch.Fault, reason string) verdict {
	q.h.Scheduler.Cancelled(id)
	q.exclude = append(q.exclude, plan.Lead.ID)
	q.reason = reason
	q.fault(plan, f)
	if q.started && q.route.Repeat != routing.RunResumed {
		return cutOff
	}
	return again
}
