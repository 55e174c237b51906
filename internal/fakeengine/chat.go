package fakeengine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
)

// Limits of requests.
const (
	maxBodyBytes = 64 << 20
	// cancelRetention is how long a cancel is stored, so that it also applies to an attempt that arrives after it.
	cancelRetention = 30 * time.Second
)

// call is a chat request with its parsed headers.
type call struct {
	body          engine.ChatRequest
	prompt        string
	id            string
	reservation   string
	attempt       int
	resumeFrom    int
	seed          uint64
	priority      int
	reserveTokens int
	deadline      time.Duration
	version       string
	helpers       []string
}

func parseCall(r *http.Request) (*call, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	c := &call{id: r.Header.Get(engine.HeaderRequestID), version: r.Header.Get(engine.HeaderModelVersion)}
	if err := json.Unmarshal(data, &c.body); err != nil {
		return nil, err
	}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	if c.reservation = r.Header.Get(engine.HeaderReservation); c.reservation == "" {
		c.reservation = c.id
	}
	if group := r.Header.Get(engine.HeaderGroup); group != "" {
		c.helpers = strings.Split(group, ",")
	}
	c.prompt = c.body.Prompt()
	return c, c.parseNumericHeaders(r.Header)
}

// parseNumericHeaders reads the numeric headers. A missing header counts as 0, except that the seed defaults to that of
// the body.
func (c *call) parseNumericHeaders(h http.Header) error {
	c.seed = c.body.Seed
	if text := h.Get(engine.HeaderSeed); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return err
		}
		c.seed = seed
	}
	deadlineMs := 0
	for name, out := range map[string]*int{
		engine.HeaderAttempt: &c.attempt, engine.HeaderResumeFrom: &c.resumeFrom, engine.HeaderPriority: &c.priority,
		engine.HeaderReserve: &c.reserveTokens, engine.HeaderDeadlineMs: &deadlineMs,
	} {
		text := h.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return err
		}
		*out = int(n)
	}
	c.deadline = time.Duration(deadlineMs) * time.Millisecond
	return nil
}

func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	engine.ObserveClock(e.clock, r.Header)
	c, err := parseCall(r)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, engine.CodeInvalidRequest, err.Error())
		return
	}
	lead, refused := e.joinGroup(r.Context(), c)
	if refused != nil {
		writeRefusal(w, refused.status, refused.code, refused.message)
		return
	}
	req, cn, refused := e.openStream(c, lead)
	if refused != nil {
		lead.abandon(e)
		e.log.Info("request refused", evlog.KeyRequest, c.id, evlog.KeyAttempt, c.attempt, "code", refused.code)
		writeRefusal(w, refused.status, refused.code, refused.message)
		return
	}
	e.log.Info("request accepted", evlog.KeyRequest, req.id, evlog.KeyAttempt, c.attempt, "resume_from", c.resumeFrom,
		"prompt_tokens", req.promptTokens)
	if e.clock != nil {
		w.Header().Set(engine.HeaderClock, e.clock.Now().String())
	}
	e.writeStream(r.Context(), newSSEWriter(w, req, c.attempt), req, cn, c.resumeFrom)
}

// openStream resumes the existing stream of the request ID or admits a new request.
func (e *Engine) openStream(c *call, lead *groupLead) (*request, *conn, *refusalError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		panic(http.ErrAbortHandler)
	}
	if refused := e.faults.nextRefusal(); refused != nil {
		return nil, nil, refused
	}
	if attempt, ok := e.cancelled[c.id]; ok && c.attempt <= attempt {
		return nil, nil, &refusalError{http.StatusConflict, engine.CodeCancelled, "the attempt has been cancelled"}
	}
	cn := &conn{wake: make(chan struct{}, 1), violation: e.faults.nextViolation()}
	if existing, ok := e.requests[c.id]; ok {
		refused := e.resume(existing, c, cn)
		if refused == nil && lead != existing.group {
			lead.release(e)
		}
		return existing, cn, refused
	}
	r, refused := e.newRequest(c)
	if refused != nil {
		return nil, nil, refused
	}
	r.group = lead
	if refused := e.admit(r, c.reserveTokens, c.reservation); refused != nil {
		return nil, nil, refused
	}
	e.attach(r, cn, c.attempt)
	e.setDeadline(r, c.deadline)
	lead.start(e, r)
	return r, cn, nil
}

func (e *Engine) resume(r *request, c *call, cn *conn) *refusalError {
	switch {
	case c.attempt < r.attempt:
		return &refusalError{http.StatusConflict, engine.CodeOldAttempt, "a later attempt has been received"}
	case r.promptHash != hashPrompt(c.body.Model, c.prompt) || r.seed != c.seed || c.resumeFrom > r.answerTokens:
		return &refusalError{
			http.StatusBadRequest, engine.CodeInvalidRequest, "model, prompt, seed or offset does not match the stream",
		}
	}
	e.attach(r, cn, c.attempt)
	e.setDeadline(r, c.deadline)
	return nil
}

func (e *Engine) setDeadline(r *request, left time.Duration) {
	if r.deadlineTimer != nil {
		r.deadlineTimer.Stop()
	}
	if left <= 0 || r.phase == phaseEnded {
		return
	}
	r.deadlineTimer = time.AfterFunc(left, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.phase != phaseEnded {
			e.endRequest(r, engine.CodeDeadlineExceeded)
		}
	})
}

func (e *Engine) newRequest(c *call) (*request, *refusalError) {
	version, ok := e.servingVersion(c.body.Model, c.version)
	if !ok {
		return nil, &refusalError{http.StatusServiceUnavailable, engine.CodeModelNotLoaded, c.body.Model}
	}
	answer := NewAnswer(c.prompt, c.body.Model, version, c.seed)
	tokens, finish := answer.Length(c.body.OutputBound())
	if c.resumeFrom > tokens || c.prompt == "" {
		return nil, &refusalError{
			http.StatusBadRequest, engine.CodeInvalidRequest, "empty prompt or resume offset past the end",
		}
	}
	marker := e.faults.crashMarker
	return &request{
		id: c.id, priority: c.priority, modelField: c.body.Model, version: version, seed: c.seed, answer: answer,
		answerTokens: tokens, finishReason: finish, promptTokens: engine.PromptTokens(len(c.prompt)),
		promptHash: hashPrompt(c.body.Model, c.prompt), triggersCrash: marker != "" && strings.Contains(c.prompt, marker),
		hashes: engine.PrefixHashes(c.body.Model, version, c.prompt, 0),
	}, nil
}

// progress is a snapshot of a request and a connection, from which the writer of the connection decides what to do
// next.
type progress struct {
	generated int
	failure   string
	complete  bool
	silent    bool
	drop      bool
}

func (e *Engine) progress(r *request, c *conn) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{generated: r.generated, failure: r.failure, complete: r.complete(), silent: c.silent, drop: c.drop}
}

// writeStream sends the stream, starting with token next, until it ends or the connection is closed.
func (e *Engine) writeStream(ctx context.Context, out *sseWriter, r *request, c *conn, next int) {
	defer e.detach(r, c)
	defer out.close()
	out.open()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for out.err == nil {
		p := e.progress(r, c)
		switch {
		case p.drop:
			panic(http.ErrAbortHandler)
		case p.silent:
			select { // a silent connection ends by a drop, a crash or the client
			case <-ctx.Done():
				return
			case <-c.wake:
			}
			continue
		case next < p.generated:
			next = e.writeTokens(out, r, c, next, p.generated)
			heartbeat.Reset(heartbeatInterval)
			continue
		case p.complete:
			out.finish(r)
			e.markDelivered(r, c, out.err)
			return
		case p.failure != "":
			out.failure(p.failure)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-heartbeat.C:
			out.heartbeat()
		}
	}
}

func (e *Engine) writeTokens(out *sseWriter, r *request, c *conn, from, to int) int {
	for ; from < to; from++ {
		if c.violation != "" {
			out.tokenWithViolation(c.violation, from, r.answer.Token(from))
			c.violation = ""
			continue
		}
		out.token(from, r.answer.Token(from))
	}
	out.flush()
	return from
}

func (e *Engine) markDelivered(r *request, c *conn, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil && r.conn == c {
		e.removeRequest(r)
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	attempt, err := strconv.Atoi(r.URL.Query().Get("attempt"))
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, engine.CodeInvalidRequest, "expected ?attempt=N")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordCancel(id, attempt)
	req, ok := e.requests[id]
	switch {
	case !ok:
		writeRefusal(w, http.StatusNotFound, engine.CodeNotFound, "no such request")
	case attempt < req.attempt:
		writeRefusal(w, http.StatusConflict, engine.CodeOldAttempt, "a later attempt has been received")
	default:
		e.endRequest(req, engine.CodeCancelled)
		e.removeRequest(req)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *Engine) recordCancel(id string, attempt int) {
	e.cancelled[id] = max(attempt, e.cancelled[id])
	cancelled := e.cancelled // a crash replaces the map
	time.AfterFunc(cancelRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if cancelled[id] <= attempt {
			delete(cancelled, id)
		}
	})
}
