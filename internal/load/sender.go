package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/engine"
)

// Outcomes of requests, in addition to the error codes that servers return.
const (
	OutcomeComplete = "complete"
	// OutcomeIncomplete means that the stream ended without [DONE] and without an error event.
	OutcomeIncomplete = "incomplete"
	OutcomeWrong      = "wrong_answer"
	// OutcomeUnverified means that the answer is complete, but neither the mix nor a system_fingerprint gave the model
	// version to verify it against.
	OutcomeUnverified = "unverified"
	OutcomeConnect    = "connect_failed"
	OutcomeTimeout    = "timeout"
	// OutcomeNotSent means that the request was not sent, normally because Runner.MaxOpen requests were open.
	OutcomeNotSent = "not_sent"
)

// Limits of one request.
const (
	maxLineBytes  = 1 << 20
	maxErrorBytes = 64 << 10
	// resumeDelay is the wait before a broken stream is resumed.
	resumeDelay = 100 * time.Millisecond
)

// observation is the measured result of one request. first and total count from the intended send time.
type observation struct {
	arrival  Arrival
	outcome  string
	reason   string // why the answer is wrong
	first    time.Duration
	total    time.Duration
	between  []time.Duration
	tokens   int
	resumes  int
	lateness time.Duration // delay of the send caused by this process
}

// sender sends requests to the targets of a Runner in rotation.
type sender struct {
	runner *Runner
	client *http.Client
}

// promptRequest is the state of one prompt across the original stream and its resumed streams.
type promptRequest struct {
	*sender
	arrival  Arrival
	body     []byte
	intended time.Time
	obs      observation
	verifier *verifier
	lastID   string
	lastAt   time.Time
	target   int
}

// errResumable marks a connection or stream failure after which the request can be resumed.
var errResumable = errors.New("stream broken")

func (s *sender) sendPrompt(ctx context.Context, a Arrival, body []byte, v *verifier, intended time.Time, target int) observation {
	p := &promptRequest{sender: s, arrival: a, body: body, verifier: v, intended: intended, target: target}
	p.obs = observation{arrival: a, lateness: time.Since(intended)}
	for {
		outcome, err := p.sendOnce(ctx)
		if err == nil || !s.canResume(ctx, p) {
			p.obs.outcome = outcome
			break
		}
		p.obs.resumes++
		p.target++
		sleep(ctx, resumeDelay)
	}
	p.obs.total = time.Since(intended)
	p.obs.tokens = v.nextToken
	p.obs.reason = v.wrongReason
	return p.obs
}

// canResume reports whether a broken stream is to be resumed. A stream that delivered nothing is requested again from
// the start; one that delivered tokens without an event ID cannot be resumed.
func (s *sender) canResume(ctx context.Context, p *promptRequest) bool {
	resumable := p.lastID != "" || p.lastAt.IsZero()
	return resumable && s.runner.Resume && p.obs.resumes < s.runner.MaxResumes && ctx.Err() == nil
}

// sendOnce sends the request or its resumption and reads the answer. It returns an error marked as errResumable if a
// resume may complete the answer.
func (p *promptRequest) sendOnce(ctx context.Context) (string, error) {
	req, err := p.newRequest(ctx)
	if err != nil {
		return OutcomeConnect, nil
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return transportOutcome(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorOutcome(resp), nil
	}
	return p.readStream(ctx, resp.Body)
}

func (p *promptRequest) newRequest(ctx context.Context) (*http.Request, error) {
	targets := p.runner.Targets
	url := "http://" + targets[p.target%len(targets)] + engine.PathChat
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(p.body))
	if err != nil {
		return nil, err
	}
	class, ws := p.runner.Mix.Classes[p.arrival.Class], p.runner.Mix.Workspaces[p.arrival.Workspace]
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+ws.Key)
	if class.DeadlineMs > 0 {
		req.Header.Set("X-Carobstile-Deadline-Ms", strconv.Itoa(class.DeadlineMs))
	}
	priority := ws.Priority
	if class.Priority > 0 {
		priority = class.Priority
	}
	req.Header.Set(engine.HeaderPriority, strconv.Itoa(priority))
	if p.lastID != "" {
		req.Header.Set("Last-Event-ID", p.lastID)
	}
	return req, nil
}

func transportOutcome(ctx context.Context, err error) (string, error) {
	if ctx.Err() != nil {
		return OutcomeTimeout, nil
	}
	return OutcomeConnect, errors.Mark(err, errResumable)
}

func errorOutcome(resp *http.Response) string {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return errorCode(data, fmt.Sprintf("http_%d", resp.StatusCode))
}

func errorCode(data []byte, fallback string) string {
	var body engine.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return fallback
	}
	return body.Error.Code
}

// readStream reads the SSE events of one stream and returns the outcome.
func (p *promptRequest) readStream(ctx context.Context, body io.Reader) (string, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	var event, id, data string
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case scanner.Text() == "" && data != "":
			outcome := p.handleEvent(event, id, data)
			if outcome != "" {
				return outcome, nil
			}
			event, id, data = "", "", ""
		case name == "event":
			event = value
		case name == "id":
			id = value
		case name == "data":
			data += value
		}
	}
	if ctx.Err() != nil {
		return OutcomeTimeout, nil
	}
	return OutcomeIncomplete, errResumable
}

// handleEvent processes one event. It returns the outcome if the event ends the stream, else "".
func (p *promptRequest) handleEvent(event, id, data string) string {
	if event == "error" {
		return errorCode([]byte(data), "error_event")
	}
	if data == "[DONE]" {
		return p.finish()
	}
	var chunk engine.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		p.verifier.fail("a chunk does not parse")
		return OutcomeWrong
	}
	p.verifier.addChunk(chunk)
	if id != "" {
		p.lastID = id
	}
	if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
		p.recordToken()
	}
	if p.verifier.wrongReason != "" {
		return OutcomeWrong
	}
	return ""
}

// recordToken records the arrival time of a chunk with content.
func (p *promptRequest) recordToken() {
	now := time.Now()
	if p.lastAt.IsZero() {
		p.obs.first = now.Sub(p.intended)
	} else {
		p.obs.between = append(p.obs.between, now.Sub(p.lastAt))
	}
	p.lastAt = now
}

func (p *promptRequest) finish() string {
	p.verifier.checkEnd()
	switch {
	case p.verifier.wrongReason != "":
		return OutcomeWrong
	case !p.verifier.answerKnown:
		return OutcomeUnverified
	default:
		return OutcomeComplete
	}
}

// callService makes one service call and its repeats with the same idempotency key. Only the first call is measured.
func (s *sender) callService(ctx context.Context, a Arrival, intended time.Time, target int) observation {
	obs := observation{arrival: a, lateness: time.Since(intended)}
	repeats := s.runner.Mix.Services[a.Service].Repeats
	for i := range repeats + 1 {
		outcome := s.callServiceOnce(ctx, a, target+i)
		if i == 0 {
			obs.outcome = outcome
			obs.total = time.Since(intended)
		}
	}
	return obs
}

func (s *sender) callServiceOnce(ctx context.Context, a Arrival, target int) string {
	svc := s.runner.Mix.Services[a.Service]
	targets := s.runner.Targets
	url := "http://" + targets[target%len(targets)] + "/services/" + svc.Route + svc.Path
	payload := strings.Repeat("x", svc.BodyBytes)
	req, err := http.NewRequestWithContext(ctx, svc.Method, url, strings.NewReader(payload))
	if err != nil {
		return OutcomeConnect
	}
	req.Header.Set("Authorization", "Bearer "+s.runner.Mix.Workspaces[a.Workspace].Key)
	if svc.NonIdempotent {
		req.Header.Set("Idempotency-Key", s.runner.keyPrefix+a.ID)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		outcome, _ := transportOutcome(ctx, err)
		return outcome
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errorOutcome(resp)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return OutcomeComplete
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
