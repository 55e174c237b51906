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

// Outcomes besides the error codes of the answer.
const (
	OutcomeComplete = "complete"
	// OutcomeIncomplete: the stream ended without [DONE] and without an error event.
	OutcomeIncomplete = "incomplete"
	OutcomeWrong      = "wrong_answer"
	// OutcomeUnverified: complete, but nothing told which answer to expect.
	OutcomeUnverified = "unverified"
	OutcomeConnect    = "connect_failed"
	OutcomeTimeout    = "timeout"
	// OutcomeNotSent: too many requests were open.
	OutcomeNotSent = "not_sent"
)

// Limits of one request.
const (
	maxLineBytes  = 1 << 20
	maxErrorBytes = 64 << 10
	// resumePause is the wait before a broken stream is resumed.
	resumePause = 100 * time.Millisecond
)

// observation is what one request showed. Times count from the intended send time.
type observation struct {
	arrival  Arrival
	outcome  string
	reason   string // of a wrong answer
	first    time.Duration
	total    time.Duration
	between  []time.Duration
	tokens   int
	resumes  int
	lateness time.Duration // of the send, caused by this process
}

// sender sends requests to the targets in rotation.
type sender struct {
	run    *Runner
	client *http.Client
}

// attempt is the state of one prompt over its resumed streams.
type attempt struct {
	*sender
	a        Arrival
	body     []byte
	intended time.Time
	obs      observation
	v        *verifier
	lastID   string
	lastAt   time.Time
	target   int
}

// errBroken marks an end that a resume can follow.
var errBroken = errors.New("stream broken")

func (s *sender) prompt(ctx context.Context, a Arrival, body []byte, v *verifier, intended time.Time, target int) observation {
	t := &attempt{sender: s, a: a, body: body, v: v, intended: intended, target: target}
	t.obs = observation{arrival: a, lateness: time.Since(intended)}
	for {
		outcome, err := t.once(ctx)
		if err == nil || !s.again(ctx, t) {
			t.obs.outcome = outcome
			break
		}
		t.obs.resumes++
		t.target++
		sleep(ctx, resumePause)
	}
	t.obs.total = time.Since(intended)
	t.obs.tokens = v.next
	t.obs.reason = v.wrong
	return t.obs
}

// again reports whether a broken stream is to be resumed. One that delivered nothing is sent again from its start; one
// that delivered tokens without an event id cannot be resumed.
func (s *sender) again(ctx context.Context, t *attempt) bool {
	resumable := t.lastID != "" || t.lastAt.IsZero()
	return resumable && s.run.Resume && t.obs.resumes < s.run.MaxResumes && ctx.Err() == nil
}

// once sends the request, or its continuation, and reads the answer. It returns errBroken when the answer may go on.
func (t *attempt) once(ctx context.Context) (string, error) {
	req, err := t.request(ctx)
	if err != nil {
		return OutcomeConnect, nil
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return transportOutcome(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorOutcome(resp), nil
	}
	return t.read(ctx, resp.Body)
}

func (t *attempt) request(ctx context.Context) (*http.Request, error) {
	targets := t.run.Targets
	url := "http://" + targets[t.target%len(targets)] + engine.PathChat
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(t.body))
	if err != nil {
		return nil, err
	}
	class, ws := t.run.Mix.Classes[t.a.Class], t.run.Mix.Workspaces[t.a.Workspace]
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
	if t.lastID != "" {
		req.Header.Set("Last-Event-ID", t.lastID)
	}
	return req, nil
}

func transportOutcome(ctx context.Context, err error) (string, error) {
	if ctx.Err() != nil {
		return OutcomeTimeout, nil
	}
	return OutcomeConnect, errors.Mark(err, errBroken)
}

func errorOutcome(resp *http.Response) string {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return errorCode(data, fmt.Sprintf("http_%d", resp.StatusCode))
}

func errorCode(data []byte, otherwise string) string {
	var body engine.ErrorBody
	if json.Unmarshal(data, &body) != nil || body.Error.Code == "" {
		return otherwise
	}
	return body.Error.Code
}

// read reads the SSE events of one stream.
func (t *attempt) read(ctx context.Context, body io.Reader) (string, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	var event, id, data string
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case scanner.Text() == "" && data != "":
			outcome := t.event(event, id, data)
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
	return OutcomeIncomplete, errBroken
}

// event takes one event in and returns the outcome when it is the last one.
func (t *attempt) event(event, id, data string) string {
	if event == "error" {
		return errorCode([]byte(data), "error_event")
	}
	if data == "[DONE]" {
		return t.done()
	}
	var chunk engine.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		t.v.fail("a chunk does not parse")
		return OutcomeWrong
	}
	t.v.chunk(chunk)
	if id != "" {
		t.lastID = id
	}
	if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
		t.arrived()
	}
	if t.v.wrong != "" {
		return OutcomeWrong
	}
	return ""
}

func (t *attempt) arrived() {
	now := time.Now()
	if t.lastAt.IsZero() {
		t.obs.first = now.Sub(t.intended)
	} else {
		t.obs.between = append(t.obs.between, now.Sub(t.lastAt))
	}
	t.lastAt = now
}

func (t *attempt) done() string {
	t.v.end()
	switch {
	case t.v.wrong != "":
		return OutcomeWrong
	case !t.v.known:
		return OutcomeUnverified
	default:
		return OutcomeComplete
	}
}

// service makes one service call, and its repeats with the same key.
func (s *sender) service(ctx context.Context, a Arrival, intended time.Time, target int) observation {
	obs := observation{arrival: a, lateness: time.Since(intended)}
	repeats := s.run.Mix.Services[a.Service].Repeats
	for i := range repeats + 1 {
		outcome := s.serviceOnce(ctx, a, target+i)
		if i == 0 {
			obs.outcome = outcome
			obs.total = time.Since(intended)
		}
	}
	return obs
}

func (s *sender) serviceOnce(ctx context.Context, a Arrival, target int) string {
	svc := s.run.Mix.Services[a.Service]
	targets := s.run.Targets
	url := "http://" + targets[target%len(targets)] + "/services/" + svc.Route + svc.Path
	payload := strings.Repeat("x", svc.BodyBytes)
	req, err := http.NewRequestWithContext(ctx, svc.Method, url, strings.NewReader(payload))
	if err != nil {
		return OutcomeConnect
	}
	req.Header.Set("Authorization", "Bearer "+s.run.Mix.Workspaces[a.Workspace].Key)
	if svc.NonIdempotent {
		req.Header.Set("Idempotency-Key", s.run.keyPrefix+a.ID)
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
