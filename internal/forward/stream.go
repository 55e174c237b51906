package forward

import (
	"bufio"
	"bytes"
	"mime"
	"net/http"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/routing"
	"github.com/carobstile/carobstile/internal/upstream"
)

const (
	// maxEventBytes bounds one event of a stream together with the comments in front of it; more counts as an invalid response of
	// the server.
	maxEventBytes = 256 << 10
	// streamBufferBytes is the size of the buffer of a stream. Events up to this size are not counted among the answers that are
	// buffered.
	streamBufferBytes = 4 << 10
)

var (
	errEventTooLarge = errors.Mark(
		errors.Newf("event of the stream exceeds %d bytes", maxEventBytes), upstream.ErrInvalidResponse)
	// errBuffersFull says nothing about the server, since the memory is held for other callers.
	errBuffersFull = errors.New("no memory is left for large events and answers")
)

// streamState is the progress of the stream to the caller.
type streamState struct {
	eventCount     int    // events with an id written to the caller
	lastEventID    string // id of the last event written to the caller
	weightsVersion string
	mediaType      string // of the response whose header the caller got
	// firstEventAt is when the first event arrived, 0 before; firstEventLate is set if it missed the route's target.
	firstEventAt   core.Micros
	firstEventLate bool
	// lastEventAt is when the last event arrived; longestGap is the longest time between two events.
	lastEventAt, longestGap core.Micros
}

// relayStream forwards the events of a stream as they arrive. It forwards only complete events, so that another server
// can resume the stream after the last one.
func (q *request) relayStream(
	detector *stallDetector, plan dispatch.Plan, id uint64, resp *upstream.Response, a ServerResponse,
) outcome {
	if !q.headerSent {
		q.stream.weightsVersion = a.Version
	}
	reader := bufio.NewReaderSize(resp, streamBufferBytes)
	run := streamRun{resumed: q.headerSent || q.LastEventID != ""}
	// An event is held until it is written, for which a caller that does not read may take until the time limit.
	reserved := q.bufferedBytes
	releaseEvent := func() { q.releaseBuffer(q.bufferedBytes - reserved) }
	defer releaseEvent()
	for {
		releaseEvent()
		event, err := readEvent(reader, q.reserveBuffer)
		if err != nil {
			return q.handleStreamEnd(detector, plan, id, resp, run, event, err)
		}
		detector.recordProgress()
		if !run.begun {
			run.begun = true
			q.h.pending.remove(detector)
			q.crashes().RecordAnswer(q.traits, q.sinceSent())
			q.h.Scheduler.RecordFirstEvent(id)
			q.recordFirstEvent()
		}
		q.recordEvent()
		ok, err := q.writeEvent(event, resp)
		if err != nil {
			q.h.Scheduler.RecordCancellation(id)
			q.reason = q.reasonUnwritten()
			return outcomeAborted
		}
		if !ok {
			return q.failStream(plan, id, dispatch.FaultBroken, "event of the stream is missing")
		}
		if reader.Buffered() == 0 && !q.flush() {
			q.h.Scheduler.RecordCancellation(id)
			q.reason = q.reasonUnwritten()
			return outcomeAborted
		}
	}
}

// streamRun is one server's part of a stream.
type streamRun struct {
	// resumed is set if the caller has events of an earlier part.
	resumed bool
	// begun is set once the server has sent an event.
	begun bool
}

// reserveBuffer counts bytes of an answer or event that are held in memory. It returns false if all of them together exceed
// Handler.MaxBufferedBytes.
func (q *request) reserveBuffer(n int64) bool {
	q.bufferedBytes += n
	return q.h.bufferedBytes.Add(n) <= q.h.MaxBufferedBytes
}

func (q *request) releaseBuffer(n int64) {
	q.bufferedBytes -= n
	q.h.bufferedBytes.Add(-n)
}

// readEvent returns the next event including the blank line that ends it, and the comments and blank lines in front of it, which
// are no events: they show no progress of the server. On an error it returns what was read so far. It calls reserve before it
// needs a larger buffer than streamBufferBytes.
func readEvent(r *bufio.Reader, reserve func(n int64) bool) ([]byte, error) {
	var event []byte
	counted := streamBufferBytes
	begun, lineBegins := false, true // begun is set after a line that is neither blank nor a comment
	for {
		line, err := r.ReadSlice('\n')
		if len(event)+len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if need := len(event) + len(line); need > counted {
			size := max(need, 2*counted)
			if !reserve(int64(size - counted)) {
				return nil, errBuffersFull
			}
			event, counted = slices.Grow(event, size-len(event)), size
		}
		event = append(event, line...)
		blank := lineBegins && len(bytes.TrimRight(line, "\r\n")) == 0
		begun = begun || lineBegins && !blank && line[0] != ':'
		lineBegins = err == nil
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return event, err
		}
		if begun && blank {
			return event, nil
		}
	}
}

// hasField reports whether a part of a stream has a line that is neither blank nor a comment, which begins an event.
func hasField(text []byte) bool {
	for line := range bytes.Lines(text) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventID returns the id field of an event, or "".
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// writeEvent writes an event to the caller, unless the caller already has it. It returns false if events before it are
// missing.
func (q *request) writeEvent(event []byte, resp *upstream.Response) (bool, error) {
	id := eventID(event)
	switch q.compareEventID(id) {
	case eventDuplicate:
		return true, nil
	case eventGap:
		return false, nil
	case eventInOrder:
	}
	q.writeStreamHeader(resp)
	if _, err := q.w.Write(event); err != nil {
		return true, err
	}
	if id != "" {
		q.stream.eventCount++
		q.stream.lastEventID = id
	}
	return true, nil
}

// eventOrder is the position of an event relative to the last one that the caller has.
type eventOrder int

const (
	eventInOrder eventOrder = iota
	eventDuplicate
	eventGap
)

// compareEventID compares the number of an event with that of the last one that the caller has. Events without a number
// and the first event of a new stream count as in order.
func (q *request) compareEventID(id string) eventOrder {
	previous := q.stream.lastEventID
	if previous == "" {
		previous = q.LastEventID
	}
	last, errLast := strconv.ParseInt(previous, 10, 64)
	current, errCurrent := strconv.ParseInt(id, 10, 64)
	if errLast != nil || errCurrent != nil {
		return eventInOrder
	}
	switch {
	case current <= last:
		return eventDuplicate
	case current > last+1:
		return eventGap
	}
	return eventInOrder
}

// writeStreamHeader sends the response header of the first server, once per request.
func (q *request) writeStreamHeader(resp *upstream.Response) {
	if q.headerSent {
		return
	}
	q.headerSent = true
	q.progress.enter(stageAnswer, q.lastServer)
	q.stream.mediaType = mediaType(resp)
	copyHeader(q.w.Header(), resp.Header)
	q.sayRelaySends()
	q.endConnection()
	q.w.Header().Del("Content-Length") // the length can differ if another server resumes the stream
	q.w.WriteHeader(resp.Status)
}

// continuesStream reports whether the body of a response can follow what the caller has. The media type of a text that is no
// stream differs, also if its status says success.
func (q *request) continuesStream(resp *upstream.Response) bool {
	return !q.headerSent || mediaType(resp) == q.stream.mediaType
}

// mediaType returns the media type of a response without its parameters, "" if it is not readable.
func mediaType(resp *upstream.Response) string {
	name, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return name
}

func (q *request) flush() bool { return http.NewResponseController(q.w).Flush() == nil }

// handleStreamEnd handles the end of a server's stream; rest is what follows the last complete event, and err is the error of
// the last read.
func (q *request) handleStreamEnd(
	detector *stallDetector, plan dispatch.Plan, id uint64, resp *upstream.Response, run streamRun, rest []byte, err error,
) outcome {
	if resp.Complete() && !hasField(rest) {
		if !run.resumed { // the end of an answer does not show that its beginning crashes no server
			q.crashes().RecordCompletion(q.traits, q.sinceSent())
		}
		q.h.Scheduler.RecordFinish(id)
		q.writeStreamHeader(resp)
		if _, err := q.w.Write(rest); err != nil {
			q.reason = q.reasonUnwritten()
		}
		q.recordEnd(resp.Status)
		return outcomeDone
	}
	if q.ctx.Err() != nil {
		q.h.Scheduler.RecordCancellation(id)
		if q.headerSent {
			q.reason = q.reasonOfEnd()
			return outcomeAborted
		}
		return outcomeRetry
	}
	if detector.blocked() {
		q.h.Scheduler.RecordCancellation(id)
		return outcomeRetry
	}
	if detector.stalled() {
		return q.failStream(plan, id, dispatch.FaultStalled, "stream stalled")
	}
	if errors.Is(err, errBuffersFull) {
		return q.abandonStream(plan, id, err.Error())
	}
	if errors.Is(err, upstream.ErrInvalidResponse) {
		return q.failStream(plan, id, dispatch.FaultBroken, err.Error())
	}
	q.recordBreak(plan, run.begun)
	return q.failStream(plan, id, dispatch.FaultBroken, "stream broke off")
}

// failStream records the failure of a server during a stream and returns whether the stream is retried or aborted.
func (q *request) failStream(plan dispatch.Plan, id uint64, f dispatch.Fault, reason string) outcome {
	result := q.abandonStream(plan, id, reason)
	q.recordFault(plan, f)
	return result
}

// abandonStream ends the part of a stream that a server sends and returns whether the stream is retried or aborted.
func (q *request) abandonStream(plan dispatch.Plan, id uint64, reason string) outcome {
	q.h.Scheduler.RecordCancellation(id)
	q.excludedServers = append(q.excludedServers, plan.Lead.ID)
	q.reason = reason
	if q.headerSent && q.route.RetryMode != routing.Resumable {
		return outcomeAborted
	}
	return outcomeRetry
}
