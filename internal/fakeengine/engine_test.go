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

// eventually is how long tests wait for a change of state.
const eventually = 3 * time.Second

type rig struct {
	*Engine
	t       *testing.T
	address string
	client  *engine.HTTP
}

// newRig serves an engine with the model "m", version "v1", over HTTP.
func newRig(t *testing.T, set Settings) *rig {
	set.Models = []engine.LoadedModel{{Name: "m", Version: "v1", Adapters: []string{"a"}}}
	e := New(set)
	server := httptest.NewServer(e)
	r := &rig{Engine: e, t: t, address: server.Listener.Addr().String(), client: engine.NewHTTP(time.Second)}
	t.Cleanup(func() {
		r.client.Close()
		e.Close()
		server.Close()
	})
	return r
}

func body(prompt string, tokens int) []byte {
	data, _ := json.Marshal(engine.ChatRequest{
		Model: "m", MaxTokens: tokens, Messages: []engine.Message{{Role: "user", Content: engine.Content(prompt)}},
	})
	return data
}

// prompt returns a prompt of the given tokens that starts with name.
func prompt(name string, tokens int) string {
	return name + strings.Repeat(".", tokens*engine.BytesPerToken-len(name))
}

func (r *rig) start(req engine.Request) engine.Stream {
	r.t.Helper()
	s, err := r.client.Start(r.t.Context(), r.address, req)
	require.NoError(r.t, err)
	r.t.Cleanup(func() { s.Close() })
	return s
}

// read reads tokens until limit (0: no limit) or the end of the stream. Offsets must continue from next.
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

func (r *rig) held() int {
	a := r.Accounting()
	sum := a.FreeTokens
	for _, o := range a.Owners {
		sum += o.Tokens
	}
	require.Equal(r.t, a.TotalTokens, sum)
	held := a.PinnedTokens
	for _, o := range a.Owners {
		if o.Kind != ownerCache {
			held += o.Tokens
		}
	}
	return held
}

func (r *rig) requireFreed() {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return r.held() == 0 && r.Accounting().Requests == 0 }, eventually,
		5*time.Millisecond)
}

// Guards against an answer that differs from the exported function, and a cached prefix that is computed again.
func TestAnswersAndPrefixCache(t *testing.T) {
	r := newRig(t, Settings{TimeScale: 50})
	p := prompt("q", 1000)
	for i, cached := range []int{0, 768} {
		s := r.start(engine.Request{ID: "r" + strconv.Itoa(i), Attempt: 1, Seed: 7, ResumeFrom: 5, Body: body(p, 20)})
		text, usage, err := read(t, s, 5, 0)
		require.Equal(t, io.EOF, err)
		require.Equal(t, NewAnswer(p, "m", "v1", 7).Text(5, 20), text)
		require.Equal(t, &engine.Usage{PromptTokens: 1000, CompletionTokens: 20, TotalTokens: 1020, CachedTokens: cached}, usage)
		r.requireFreed()
	}
	events, err := r.client.CacheEvents(t.Context(), r.address, 0)
	require.NoError(t, err)
	var stored []uint64
	for _, ev := range events.Events {
		stored = append(stored, ev.PrefixHash)
	}
	require.Equal(t, engine.PrefixHashes("m", "v1", p, 0), stored)
}

// Guards against a stream that cannot be continued, is continued with another's tokens, or outlives its window.
func TestResumeWindow(t *testing.T) {
	t.Parallel()
	r := newRig(t, Settings{})
	p := prompt("q", 100)
	s := r.start(engine.Request{ID: "r", Attempt: 1, Body: body(p, 200)})
	head, _, err := read(t, s, 0, 5)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	time.Sleep(100 * time.Millisecond)
	require.Positive(t, r.held(), "a closed stream is kept")
	_, err = r.client.Start(t.Context(), r.address, engine.Request{ID: "r", Attempt: 2, ResumeFrom: 5, Body: body("z", 200)})
	require.Equal(t, engine.CodeInvalidRequest, engine.CodeOf(err))
	s = r.start(engine.Request{ID: "r", Attempt: 2, ResumeFrom: 5, Body: body(p, 200)})
	_, err = r.client.Start(t.Context(), r.address, engine.Request{ID: "r", Attempt: 1, Body: body(p, 200)})
	require.Equal(t, engine.CodeOldAttempt, engine.CodeOf(err))
	tail, _, err := read(t, s, 5, 0)
	require.Equal(t, io.EOF, err)
	require.Equal(t, NewAnswer(p, "m", "v1", 0).Text(0, 200), head+tail)

	s = r.start(engine.Request{ID: "lost", Attempt: 1, Body: body(p, 2000)})
	_, _, err = read(t, s, 0, 5)
	require.NoError(t, err)
	require.NoError(t, s.Close())
	time.Sleep(resumeWindow - time.Second)
	require.Positive(t, r.held())
	r.requireFreed()
}

// Guards against memory that stays held after a cancel or a deadline, and a cancel overtaken by its request.
func TestCancelAndDeadlineFreeMemory(t *testing.T) {
	r := newRig(t, Settings{})
	s := r.start(engine.Request{ID: "c", Attempt: 1, Body: body("q", 250)})
	require.NoError(t, r.client.Cancel(t.Context(), r.address, "c", 1))
	_, _, err := read(t, s, 0, 0)
	require.Equal(t, engine.CodeCancelled, engine.CodeOf(err))
	r.requireFreed()
	_, err = r.client.Start(t.Context(), r.address, engine.Request{ID: "c", Attempt: 1, Body: body("q", 1)})
	require.Equal(t, engine.KindRefused, engine.KindOf(err))
	s = r.start(engine.Request{ID: "d", Attempt: 1, DeadlineMs: 80, Body: body("q", 250)})
	_, _, err = read(t, s, 0, 0)
	require.Equal(t, engine.CodeDeadlineExceeded, engine.CodeOf(err))
	r.requireFreed()
}

// Guards against over-commitment of memory and of reservations that never end.
func TestMemoryIsRefusedAndReservationsExpire(t *testing.T) {
	r := newRig(t, Settings{KVTokens: 8 * engine.PrefixBlockTokens})
	hold := engine.Reservation{ID: "x", Owner: "o", Tokens: 5 * engine.PrefixBlockTokens, TTLMs: 200}
	require.NoError(t, r.client.Reserve(t.Context(), r.address, hold))
	req := engine.Request{ID: "r", Attempt: 1, Body: body(prompt("q", 1000), 20)}
	_, err := r.client.Start(t.Context(), r.address, req)
	require.Equal(t, engine.CodeOutOfMemory, engine.CodeOf(err))
	require.Equal(t, engine.KindRefused, engine.KindOf(err))
	other := hold
	other.Owner = "p"
	require.Equal(t, engine.CodeOtherOwner, engine.CodeOf(r.client.Reserve(t.Context(), r.address, other)))
	r.requireFreed()
	_, _, err = read(t, r.start(req), 0, 0)
	require.Equal(t, io.EOF, err)
	huge := engine.Request{ID: "h", Attempt: 1, Body: body(prompt("h", 3000), 1)}
	_, err = r.client.Start(t.Context(), r.address, huge)
	require.Equal(t, engine.CodeTooLarge, engine.CodeOf(err))
}

// Guards against a multi-engine prompt that runs without enough memory, or leaves the helpers' memory held.
func TestGroup(t *testing.T) {
	set := Settings{KVTokens: 12 * engine.PrefixBlockTokens, TimeScale: 10}
	lead, helper := newRig(t, set), newRig(t, set)
	req := engine.Request{
		ID: "r", Attempt: 1, Group: []string{helper.address}, ReserveTokens: 2560, Body: body(prompt("q", 4500), 20),
	}
	_, err := lead.client.Start(t.Context(), lead.address, req)
	require.Equal(t, engine.CodeHelperLost, engine.CodeOf(err), "no reservation")
	for _, tc := range []struct {
		tokens int
		code   string
	}{{1024, engine.CodeOutOfMemory}, {2560, ""}} {
		hold := engine.Reservation{ID: "r", Owner: "o", Tokens: tc.tokens, TTLMs: 60_000}
		require.NoError(t, helper.client.Reserve(t.Context(), helper.address, hold))
		s, err := lead.client.Start(t.Context(), lead.address, req)
		require.Equal(t, tc.code, engine.CodeOf(err))
		if err == nil {
			text, _, err := read(t, s, 0, 0)
			require.Equal(t, io.EOF, err)
			require.Equal(t, NewAnswer(prompt("q", 4500), "m", "v1", 0).Text(0, 20), text)
		}
		helper.requireFreed()
		lead.requireFreed()
	}
}

// generated returns the tokens that the engine has generated for a request that runs.
func (r *rig) generated(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Contains(r.t, r.requests, id)
	return r.requests[id].generated
}

// Guards against higher priority waiting behind lower, against a long prompt that stops all decoding, and against equal
// priority being served out of order.
func TestPriorityAndChunkedPrefill(t *testing.T) {
	r := newRig(t, Settings{KVTokens: 400_000})
	r.start(engine.Request{ID: "long", Attempt: 1, Priority: 1, Body: body(prompt("l", 100_000), 2000)})
	low := r.start(engine.Request{ID: "low", Attempt: 1, Priority: 1, Body: body(prompt("s", 3000), 2000)})
	high := r.start(engine.Request{ID: "high", Attempt: 1, Priority: 5, Body: body(prompt("h", 1000), 5)})
	_, _, err := read(t, high, 0, 0)
	require.Equal(t, io.EOF, err)
	require.Zero(t, r.generated("long"), "the long prompt takes over 2 s")
	_, _, err = read(t, low, 0, 1)
	require.NoError(t, err)
	require.Positive(t, r.generated("long"), "its prompt came first and takes the whole budget")
}

// Guards against a time line that shows what an engine did before the gate's order, or the gate's next event before the
// engine's, when their hosts' clocks differ.
func TestAnswerCarriesTheClock(t *testing.T) {
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
