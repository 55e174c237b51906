package forward

import (
	"fmt"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/upstream"
)

const (
	// maxAnswerBytes bounds one answer that is buffered before it is forwarded. Handler.MaxBufferedBytes bounds all of them and all
	// large events together.
	maxAnswerBytes = 8 << 20
	// Answers are read and counted in a chunk of firstChunkBytes and further ones of answerChunkBytes.
	firstChunkBytes  = 4 << 10
	answerChunkBytes = 32 << 10
)

// bufferedAnswer is a complete answer held in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   [][]byte
}

// handleBuffered reads an answer that is not a stream and forwards it. A server error is returned instead, since
// another server may still run the request successfully.
func (q *request) handleBuffered(detector *stallDetector, plan dispatch.Plan, id uint64, resp *upstream.Response) (outcome, *bufferedAnswer) {
	reserved := q.bufferedBytes
	body, err := q.readAnswer(resp)
	if err != nil || !resp.Complete() {
		q.releaseBuffer(q.bufferedBytes - reserved) // the answer is not kept
		q.h.Scheduler.RecordCancellation(id)
		q.excludedServers = append(q.excludedServers, plan.Lead.ID)
		q.failAnswer(detector, plan, err)
		return outcomeRetry, nil
	}
	q.crashes().RecordCompletion(q.traits, q.sinceSent())
	answer := &bufferedAnswer{status: resp.Status, header: resp.Header, body: body}
	if resp.Status < http.StatusInternalServerError {
		q.h.Scheduler.RecordFinish(id)
		q.forwardAnswer(answer)
		return outcomeDone, nil
	}
	q.h.Scheduler.RecordCancellation(id)
	q.recordFault(plan, dispatch.FaultErrored)
	q.excludedServers = append(q.excludedServers, plan.Lead.ID)
	return outcomeServerError, answer
}

// failAnswer records why an answer that is not a stream was not read to its end.
func (q *request) failAnswer(detector *stallDetector, plan dispatch.Plan, err error) {
	if errors.Is(err, errBuffersFull) {
		q.reason = err.Error()
		return
	}
	q.reason = "answer of the server ended early"
	valid := !errors.Is(err, errAnswerTooLarge) && !errors.Is(err, upstream.ErrInvalidResponse)
	if !valid {
		q.reason = err.Error()
	}
	if q.ctx.Err() != nil {
		return
	}
	if detector.stalled() {
		q.reason = errStalled.Error()
		q.recordFault(plan, dispatch.FaultStalled)
		return
	}
	q.recordFault(plan, dispatch.FaultBroken)
	if valid && !isTimeout(err) {
		q.recordBreak(plan, true)
	}
}

var errAnswerTooLarge = errors.New("answer of the server is too large to be buffered")

// readAnswer reads a whole answer into memory, in chunks, so that it takes no more memory than is counted. After an error nothing of
// it is counted any more.
func (q *request) readAnswer(answer io.Reader) (body [][]byte, err error) {
	reserved := q.bufferedBytes
	defer func() {
		if err != nil {
			q.releaseBuffer(q.bufferedBytes - reserved)
		}
	}()
	for size, chunk := 0, firstChunkBytes; ; chunk = answerChunkBytes {
		if size >= maxAnswerBytes {
			return nil, errAnswerTooLarge
		}
		if !q.reserveBuffer(int64(chunk)) {
			return nil, errBuffersFull
		}
		data := make([]byte, chunk)
		n, err := io.ReadFull(answer, data)
		size += n
		body = append(body, data[:n])
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return body, nil // Response.Complete tells whether the answer was cut off
		}
		if err != nil {
			return nil, err
		}
	}
}

// promisesNotRun reports whether a status tells callers that a request has not been run and will not be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// forwardAnswer forwards a server's answer to the caller. The server has run the request, as it did not say otherwise. If the request may
// run only once, a status that promises that it has not been run is replaced by an answer of the daemon: the caller would send it again.
func (q *request) forwardAnswer(answer *bufferedAnswer) {
	if !q.route.RetryMode.Repeatable() && promisesNotRun(answer.status) {
		q.reject(http.StatusBadGateway, fmt.Sprintf("server answered %d and did not say that the request was not run", answer.status))
		return
	}
	q.progress.enter(stageAnswer, q.lastServer)
	copyHeader(q.w.Header(), answer.header)
	q.sayRelaySends()
	q.endConnection()
	q.w.WriteHeader(answer.status)
	for _, chunk := range answer.body {
		if _, err := q.w.Write(chunk); err != nil {
			q.reason = q.reasonUnwritten()
			break
		}
	}
	q.recordEnd(answer.status)
}
