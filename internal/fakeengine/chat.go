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
	// cancelMemory is how long a cancel is remembered, so that it also holds for an attempt that arrives after it.
	cancelMemory = 30 * time.Second
)

// call is a parsed chat request with its headers.
type call struct {
	body        engine.ChatRequest
	prompt      string
	id          string
	reservation string
	attempt     int
	from        int
	seed        uint64
	priority    int
	reserve     int
	deadline    time.Duration
	version     string
	group       []string
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
		c.group = strings.Split(group, ",")
	}
	c.prompt = c.body.Prompt()
	return c, c.numbers(r.Header)
}

// numbers reads the numeric headers; a missing one is zero, except for the seed, which the body may hold.
func (c *call) numbers(h http.Header) error {
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
		engine.HeaderAttempt: &c.attempt, engine.HeaderResumeFrom: &c.from, engine.HeaderPriority: &c.priority,
		engine.HeaderReserve: &c.reserve, engine.HeaderDeadlineMs: &deadlineMs,
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
		refuse(w, http.StatusBadRequest, engine.CodeInvalidRequest, err.Error())
		return
	}
	lead, refused := e.joinGroup(r.Context(), c)
	if refused != nil {
		refuse(w, refused.status, refused.code, refused.message)
		return
	}
	req, cn, refused := e.start(c, lead)
	if refused != nil {
		lead.abandon(e)
		e.log.Info("request refused", evlog.KeyRequest, c.id, evlog.KeyAttempt, c.attempt, "code", refused.code)
		refuse(w, refused.status, refused.code, refused.message)
		return
	}
	e.log.Info("request accepted", evlog.KeyRequest, req.id, evlog.KeyAttempt, c.attempt, "resume_from", c.from,
		"prompt_tokens", req.promptTokens)
	if e.clock != nil {
		w.Header().Set(engine.HeaderClock, e.clock.Now().String())
	}
	e.write(r.Context(), newFrames(w, req, c.attempt), req, cn, c.from)
}

// start continues a stream that is kept, or admits a new request.
func (e *Engine) start(c *call, lead *groupLead) (*request, *conn, *refusalError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		panic(http.ErrAbortHandler)
	}
	if refused := e.faults.refuseNext(); refused != nil {
		return nil, nil, refused
	}
	if attempt, ok := e.cancelled[c.id]; ok && c.attempt <= attempt {
		return nil, nil, &refusalError{http.StatusConflict, engine.CodeCancelled, "the attempt was cancelled"}
	}
	cn := &conn{wake: make(chan struct{}, 1), nonsense: e.faults.nonsenseNext()}
	if kept, ok := e.requests[c.id]; ok {
		refused := e.resume(kept, c, cn)
		if refused == nil && lead != kept.group {
			lead.leave(e)
		}
		return kept, cn, refused
	}
	r, refused := e.newRequest(c)
	if refused != nil {
		return nil, nil, refused
	}
	r.group = lead
	if refused := e.admit(r, c.reserve, c.reservation); refused != nil {
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
		return &refusalError{http.StatusConflict, engine.CodeOldAttempt, "a later attempt was seen"}
	case r.promptHash != promptKey(c.body.Model, c.prompt) || r.seed != c.seed || c.from > r.tokens:
		return &refusalError{http.StatusBadRequest, engine.CodeInvalidRequest, "not the stream that is kept"}
	}
	e.attach(r, cn, c.attempt)
	e.setDeadline(r, c.deadline)
	return nil
}

func (e *Engine) setDeadline(r *request, left time.Duration) {
	if r.deadline != nil {
		r.deadline.Stop()
	}
	if left <= 0 || r.phase == phaseEnded {
		return
	}
	r.deadline = time.AfterFunc(left, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.phase != phaseEnded {
			e.end(r, engine.CodeDeadlineExceeded)
		}
	})
}

func (e *Engine) newRequest(c *call) (*request, *refusalError) {
	version, ok := e.servable(c.body.Model, c.version)
	if !ok {
		return nil, &refusalError{http.StatusServiceUnavailable, engine.CodeModelNotLoaded, c.body.Model}
	}
	answer := NewAnswer(c.prompt, c.body.Model, version, c.seed)
	tokens, finish := answer.Length(c.body.OutputBound())
	if c.from > tokens || c.prompt == "" {
		return nil, &refusalError{http.StatusBadRequest, engine.CodeInvalidRequest, "no prompt, or resumed after its end"}
	}
	marker := e.faults.crashMarker
	return &request{
		id: c.id, priority: c.priority, modelField: c.body.Model, version: version, seed: c.seed, answer: answer,
		tokens: tokens, finish: finish, promptTokens: engine.PromptTokens(len(c.prompt)),
		promptHash: promptKey(c.body.Model, c.prompt), crashes: marker != "" && strings.Contains(c.prompt, marker),
		hashes: engine.PrefixHashes(c.body.Model, version, c.prompt, 0),
	}, nil
}

// progress is what a connection's writer has to do next.
type progress struct {
	upto    int
	failure string
	whole   bool
	silent  bool
	drop    bool
}

func (e *Engine) progress(r *request, c *conn) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{upto: r.generated, failure: r.failure, whole: r.whole(), silent: c.silent, drop: c.drop}
}

// write sends the stream from token next on until it ends or the connection is gone.
func (e *Engine) write(ctx context.Context, out *frames, r *request, c *conn, next int) {
	defer e.detach(r, c)
	defer out.close()
	out.open()
	beat := time.NewTicker(heartbeatEvery)
	defer beat.Stop()
	for out.err == nil {
		p := e.progress(r, c)
		switch {
		case p.drop:
			panic(http.ErrAbortHandler)
		case p.silent:
			select { // only a drop or a crash can follow
			case <-ctx.Done():
				return
			case <-c.wake:
			}
			continue
		case next < p.upto:
			next = e.writeTokens(out, r, c, next, p.upto)
			beat.Reset(heartbeatEvery)
			continue
		case p.whole:
			out.finish(r)
			e.delivered(r, c, out.err)
			return
		case p.failure != "":
			out.failure(p.failure)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-beat.C:
			out.heartbeat()
		}
	}
}

func (e *Engine) writeTokens(out *frames, r *request, c *conn, from, to int) int {
	for ; from < to; from++ {
		if c.nonsense != "" {
			out.nonsense(c.nonsense, from, r.answer.Token(from))
			c.nonsense = ""
			continue
		}
		out.token(from, r.answer.Token(from))
	}
	out.flush()
	return from
}

func (e *Engine) delivered(r *request, c *conn, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil && r.conn == c {
		e.forget(r)
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	attempt, err := strconv.Atoi(r.URL.Query().Get("attempt"))
	if err != nil {
		refuse(w, http.StatusBadRequest, engine.CodeInvalidRequest, "expected ?attempt=N")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rememberCancel(id, attempt)
	req, ok := e.requests[id]
	switch {
	case !ok:
		refuse(w, http.StatusNotFound, engine.CodeNotFound, "no such request")
	case attempt < req.attempt:
		refuse(w, http.StatusConflict, engine.CodeOldAttempt, "a later attempt was seen")
	default:
		e.end(req, engine.CodeCancelled)
		e.forget(req)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *Engine) rememberCancel(id string, attempt int) {
	e.cancelled[id] = max(attempt, e.cancelled[id])
	memory := e.cancelled
	time.AfterFunc(cancelMemory, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if memory[id] <= attempt {
			delete(memory, id)
		}
	})
}
