package fakeengine

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
)

// waitTimeout is how long tests wait for an expected change of state.
const waitTimeout = 3 * time.Second

type testEngine struct {
	*Engine
	t       *testing.T
	address string
	client  *engine.HTTP
}

// newTestEngine starts an engine with model "m", version "v1" and adapter "a", and serves it over HTTP.
func newTestEngine(t *testing.T, cfg Settings) *testEngine {
	cfg.Models = []engine.LoadedModel{{Name: "m", Version: "v1", Adapters: []string{"a"}}}
	e := New(cfg)
	server := httptest.NewServer(e)
	served := &testEngine{Engine: e, t: t, address: server.Listener.Addr().String(), client: engine.NewHTTP(time.Second)}
	t.Cleanup(func() {
		served.client.Close()
		e.Close()
		server.Close()
	})
	return served
}

func chatBody(prompt string, tokens int) []byte {
	data, _ := json.Marshal(engine.ChatRequest{
		Model: "m", MaxTokens: tokens, Messages: []engine.Message{{Role: "user", Content: engine.Content(prompt)}},
	})
	return data
}

// prompt returns a prompt with the given number of tokens that starts with name.
func prompt(name string, tokens int) string {
	return name + strings.Repeat(".", tokens*engine.BytesPerToken-len(name))
}

func (e *testEngine) start(req engine.Request) engine.Stream {
	e.t.Helper()
	s, err := e.client.Start(e.t.Context(), e.address, req)
	require.NoError(e.t, err)
	e.t.Cleanup(func() { s.Close() })
	return s
}

// read reads up to limit tokens (0: no limit) or to the end of the stream. Offsets must be consecutive, starting at
// next.
func read(t *testing.T, s engine.Stream, next, limit int) (text string, usage *engine.Usage, err error) {
	t.Helper()
	for n := 0; limit == 0 || n < limit; {
		f, err := s.Next()
		if err != nil {
			return text, usage, err
		}
		if f.Usage != nil {
			usage = f.Usage
		}
		if f.Content != "" {
			require.Equal(t, next, f.Offset)
			next++
			n++
			text += f.Content
		}
	}
	return text, usage, nil
}

func (e *testEngine) heldTokens() int {
	a := e.Accounting()
	sum := a.FreeTokens
	for _, o := range a.Owners {
		sum += o.Tokens
	}
	require.Equal(e.t, a.TotalTokens, sum)
	held := a.PinnedTokens
	for _, o := range a.Owners {
		if o.Kind != ownerCache {
			held += o.Tokens
		}
	}
	return held
}

func (e *testEngine) requireMemoryFreed() {
	e.t.Helper()
	require.Eventually(e.t, func() bool { return e.heldTokens() == 0 && e.Accounting().Requests == 0 }, waitTimeout,
		5*time.Millisecond)
}

// Guards against a stream that differs from NewAnswer, and against computing a cached prefix again.
func TestAnswersAndPrefixCache(t *testing.T) {
	e := newTestEngine(t, Settings{TimeScale: 50})
	p := prompt("q", 1000)
	for i, cached := range []int{0, 768} {
		s := e.start(engine.Request{ID: "r" + strconv.Itoa(i), Attempt: 1, Seed: 7, ResumeFrom: 5, Body: chatBody(p, 20)})
		text, usage, err := read(t, s, 5, 0)
		require.Equal(t, io.EOF, err)
		require.Equal(t, NewAnswer(p, "m", "v1", 7).Text(5, 20), text)
		require.Equal(t, &engine.Usage{PromptTokens: 1000, CompletionTokens: 20, TotalTokens: 1020, CachedTokens: cached}, usage)
		e.requireMemoryFreed()
	}
	events, err := e.client.CacheEvents(t.Context(), e.address, 0)
	require.NoError(t, err)
	var stored []uint64
	for _, ev := range events.Events {
		stored = append(stored, ev.PrefixHash)
	}
	require.Equal(t, engine.PrefixHashes("m", "v1", p, 0), stored)
}

// Guards against a closed stream that cannot be resumed, is resumed by a request with another prompt or by an older
// attempt, or keeps its memory after the resume window.
func TestResumeWindow(t *testing.T) {
	t.Parallel()
	e := newTestEngine(t, Settings{})
	p := prompt("q", 100)
	s := e.start(engine.Request{ID: "r", Attempt: 1, Body: chatBody(p, 200)})
	head, _, err := read(t, s, 0, 5)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	time.Sleep(100 * time.Millisecond)
	require.Positive(t, e.heldTokens(), "the engine keeps a closed stream")
	_, err = e.client.Start(t.Context(), e.address, engine.Request{ID: "r", Attempt: 2, ResumeFrom: 5, Body: chatBody("z", 200)})
	require.Equal(t, engine.CodeInvalidRequest, engine.CodeOf(err))
	s = e.start(engine.Request{ID: "r", Attempt: 2, ResumeFrom: 5, Body: chatBody(p, 200)})
	_, err = e.client.Start(t.Context(), e.address, engine.Request{ID: "r", Attempt: 1, Body: chatBody(p, 200)})
	require.Equal(t, engine.CodeOldAttempt, engine.CodeOf(err))
	tail, _, err := read(t, s, 5, 0)
	require.Equal(t, io.EOF, err)
	require.Equal(t, NewAnswer(p, "m", "v1", 0).Text(0, 200), head+tail)

	s = e.start(engine.Request{ID: "lost", Attempt: 1, Body: chatBody(p, 2000)})
	_, _, err = read(t, s, 0, 5)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	time.Sleep(resumeWindow - time.Second)
	require.Positive(t, e.heldTokens())
	e.requireMemoryFreed()
}

// Guards against memory that is not freed after a cancel or a deadline, and against running a request whose cancel
// arrived first.
func TestCancelAndDeadlineFreeMemory(t *testing.T) {
	e := newTestEngine(t, Settings{})
	s := e.start(engine.Request{ID: "c", Attempt: 1, Body: chatBody("q", 250)})
	require.NoError(t, e.client.Cancel(t.Context(), e.address, "c", 1))
	_, _, err := read(t, s, 0, 0)
	require.Equal(t, engine.CodeCancelled, engine.CodeOf(err))
	e.requireMemoryFreed()
	_, err = e.client.Start(t.Context(), e.address, engine.Request{ID: "c", Attempt: 1, Body: chatBody("q", 1)})
	require.Equal(t, engine.KindRefused, engine.KindOf(err))
	s = e.start(engine.Request{ID: "d", Attempt: 1, DeadlineMs: 80, Body: chatBody("q", 250)})
	_, _, err = read(t, s, 0, 0)
	require.Equal(t, engine.CodeDeadlineExceeded, engine.CodeOf(err))
	e.requireMemoryFreed()
}

// Guards against overcommitted KV memory, and against reservations that never expire.
func TestMemoryLimitAndReservationExpiry(t *testing.T) {
	e := newTestEngine(t, Settings{KVTokens: 8 * engine.PrefixBlockTokens})
	hold := engine.Reservation{ID: "x", Owner: "o", Tokens: 5 * engine.PrefixBlockTokens, TTLMs: 200}
	require.NoError(t, e.client.Reserve(t.Context(), e.address, hold))
	req := engine.Request{ID: "r", Attempt: 1, Body: chatBody(prompt("q", 1000), 20)}
	_, err := e.client.Start(t.Context(), e.address, req)
	require.Equal(t, engine.CodeOutOfMemory, engine.CodeOf(err))
	require.Equal(t, engine.KindRefused, engine.KindOf(err))
	other := hold
	other.Owner = "p"
	require.Equal(t, engine.CodeOtherOwner, engine.CodeOf(e.client.Reserve(t.Context(), e.address, other)))
	e.requireMemoryFreed()
	_, _, err = read(t, e.start(req), 0, 0)
	require.Equal(t, io.EOF, err)
	huge := engine.Request{ID: "h", Attempt: 1, Body: chatBody(prompt("h", 3000), 1)}
	_, err = e.client.Start(t.Context(), e.address, huge)
	require.Equal(t, engine.CodeTooLarge, engine.CodeOf(err))
}

// Guards against a multi-engine prompt that runs without enough reserved memory, or does not free the helpers' memory.
func TestMultiEnginePrompt(t *testing.T) {
	cfg := Settings{KVTokens: 12 * engine.PrefixBlockTokens, TimeScale: 10}
	lead, helper := newTestEngine(t, cfg), newTestEngine(t, cfg)
	req := engine.Request{
		ID: "r1", Attempt: 1, Group: []string{helper.address}, ReserveTokens: 2560, Body: chatBody(prompt("q", 4500), 20),
	}
	_, err := lead.client.Start(t.Context(), lead.address, req)
	require.Equal(t, engine.CodeHelperLost, engine.CodeOf(err), "no reservation")
	for _, tc := range []struct {
		id     string
		tokens int
		code   string
	}{{"r2", 1024, engine.CodeOutOfMemory}, {"r3", 2560, ""}} {
		// The lead releases the reservation of a refused request in the background, which could remove a later
		// reservation of the same ID.
		req.ID = tc.id
		hold := engine.Reservation{ID: tc.id, Owner: "o", Tokens: tc.tokens, TTLMs: 60_000}
		require.NoError(t, helper.client.Reserve(t.Context(), helper.address, hold))
		s, err := lead.client.Start(t.Context(), lead.address, req)
		require.Equal(t, tc.code, engine.CodeOf(err))
		if err == nil {
			text, _, err := read(t, s, 0, 0)
			require.Equal(t, io.EOF, err)
			require.Equal(t, NewAnswer(prompt("q", 4500), "m", "v1", 0).Text(0, 20), text)
		}
		helper.requireMemoryFreed()
		lead.requireMemoryFreed()
	}
}

// generated returns the number of tokens that the engine has generated for a running request.
func (e *testEngine) generated(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Contains(e.t, e.requests, id)
	return e.requests[id].generated
}

// Guards against a request that waits behind lower priorities, against a long prompt that blocks decoding, and against
// requests of equal priority that are not served in order of arrival.
func TestPriorityAndChunkedPrefill(t *testing.T) {
	e := newTestEngine(t, Settings{KVTokens: 400_000})
	e.start(engine.Request{ID: "long", Attempt: 1, Priority: 1, Body: chatBody(prompt("l", 100_000), 2000)})
	low := e.start(engine.Request{ID: "low", Attempt: 1, Priority: 1, Body: chatBody(prompt("s", 3000), 2000)})
	high := e.start(engine.Request{ID: "high", Attempt: 1, Priority: 5, Body: chatBody(prompt("h", 1000), 5)})
	_, _, err := read(t, high, 0, 0)
	require.Equal(t, io.EOF, err)
	require.Zero(t, e.generated("long"), "the prefill of the long prompt takes over 2 s")
	_, _, err = read(t, low, 0, 1)
	require.NoError(t, err)
	require.Positive(t, e.generated("long"), "the long prompt arrived first and uses the whole token budget")
}

// Guards against a timeline that, when the clocks of the hosts differ, shows the work of an engine before the gate's
// request, or the gate's next event before the engine's.
func TestClockIsExchangedWithCaller(t *testing.T) {
	ahead := evlog.NewClock(func() time.Time { return time.Now().Add(10 * time.Second) })
	behind := evlog.NewClock(func() time.Time { return time.Now().Add(-10 * time.Second) })
	e := New(Settings{Listen: "127.0.0.1:0", Models: []engine.LoadedModel{{Name: "m", Version: "v1"}}}, WithClock(behind))
	server := httptest.NewServer(e)
	t.Cleanup(func() { e.Close(); server.Close() })
	client := engine.NewHTTP(time.Second)
	client.Clock = ahead
	sent := ahead.Now()
	stream, err := client.Start(t.Context(), server.Listener.Addr().String(), engine.Request{
		ID: "r", Attempt: 1, Body: []byte(`{"model":"m","max_tokens":1,"messages":[{"content":"x"}]}`),
	})
	require.NoError(t, err)
	defer stream.Close()
	atEngine := behind.Now()
	require.True(t, sent.Less(atEngine))
	require.Less(t, atEngine.WallMicros, sent.WallMicros+int64(5*time.Second/time.Microsecond))
	client.Clock = behind
	e.clock = ahead
	again, err := client.Start(t.Context(), server.Listener.Addr().String(), engine.Request{
		ID: "s", Attempt: 1, Body: []byte(`{"model":"m","max_tokens":1,"messages":[{"content":"x"}]}`),
	})
	require.NoError(t, err)
	defer again.Close()
	require.GreaterOrEqual(t, behind.Now().WallMicros, sent.WallMicros)
}
