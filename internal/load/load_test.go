package load

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/fakeengine"
)

func testMix() Mix {
	return Mix{
		Name: "test", Seed: 4, Model: "m", RatePerSecond: 40, DurationSeconds: 0.6,
		Classes: []Class{
			{Name: "short", Share: 0.8, PromptTokens: Range{1000, 1200}, OutputTokens: Range{3, 8}},
			{Name: "medium", Share: 0.2, PromptTokens: Range{4001, 5000}, OutputTokens: Range{3, 8}},
		},
		Workspaces: []Workspace{{Name: "w", Key: "secret-key", Weight: 1}, {Name: "v", Key: "k", Weight: 3}},
		Bursts:     []Burst{{Class: "short", OffsetSeconds: 0.2, Requests: 10, OverSeconds: 0.1}},
	}
}

// runMix runs mix against a fake engine whose handler is wrapped by wrap.
func runMix(t *testing.T, mix Mix, resume bool, wrap func(http.Handler) http.Handler) *Result {
	t.Helper()
	e := fakeengine.New(fakeengine.Settings{
		TimeScale: 20, Models: []engine.LoadedModel{{Name: "m", Version: "v1"}},
	})
	defer e.Close()
	server := httptest.NewServer(wrap(e))
	defer server.Close()
	r := Runner{
		Mix: mix, Targets: []string{server.Listener.Addr().String()}, Resume: resume, MaxResumes: 3, MaxOpen: 100,
		RequestTimeout: 10 * time.Second,
	}
	return r.Run(t.Context())
}

func unchanged(h http.Handler) http.Handler { return h }

// Guards against requests that are lost, counted twice or not verified, and against API keys in the result.
func TestRunCountsEveryRequest(t *testing.T) {
	mix := testMix()
	res := runMix(t, mix, false, unchanged)
	require.Equal(t, map[string]int{OutcomeComplete: len(Schedule(mix, nil))}, res.Outcomes)
	require.Zero(t, res.Wrong())
	tokens := 0
	for _, a := range Schedule(mix, nil) {
		tokens += a.OutputTokens
	}
	require.Equal(t, tokens, res.Tokens)
	short := res.Lengths[LengthShort]
	require.EqualValues(t, short.Requests, short.FirstToken.Count)
	path := filepath.Join(t.TempDir(), "a.json")
	require.NoError(t, res.Write(path))
	stored, err := ReadResult(path)
	require.NoError(t, err)
	require.Empty(t, stored.Mix.Workspaces[0].Key)

	var table bytes.Buffer
	require.NoError(t, Table(&table, []NamedResult{{"a", stored}, {"b", res}}))
	require.Regexp(t, fmt.Sprintf(`b +a +%d( +1\.00){6}`, len(res.Short)), table.String())
	paths, err := Plots(t.TempDir(), "svg", []NamedResult{{"a", stored}, {"b", res}})
	require.NoError(t, err)
	require.Len(t, paths, 4)
}

// Guards against a baseline run, restricted to one class, whose requests differ from those of the full run.
func TestScheduleOfAClassDoesNotDependOnOthers(t *testing.T) {
	mix := testMix()
	var short []Arrival
	for _, a := range Schedule(mix, nil) {
		if a.Class == 0 {
			short = append(short, a)
		}
	}
	require.Equal(t, short, Schedule(mix, []string{"short"}))
	require.Len(t, Prompt(mix, short[0]), short[0].PromptTokens*engine.BytesPerToken)
	require.NotEqual(t, Prompt(mix, short[0])[:100], Prompt(mix, short[1])[:100])
}

// Guards against coordinated omission: a stalled server must not delay the sending of further requests, and the time
// that requests wait for it must count as latency.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	const stall = 400 * time.Millisecond
	var open, maxOpen atomic.Int64
	began := time.Now()
	res := runMix(t, testMix(), false, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer open.Add(-1)
			if n := open.Add(1); n > maxOpen.Load() {
				maxOpen.Store(n)
			}
			time.Sleep(time.Until(began.Add(prepareAhead + stall)))
			h.ServeHTTP(w, r)
		})
	})
	require.Greater(t, maxOpen.Load(), int64(10))
	require.Greater(t, res.Lengths[LengthShort].FirstToken.MaxMs, 200.0)
	require.Zero(t, res.Wrong())
}

// eventEditor modifies the SSE events that a handler writes. Events end with an empty line.
type eventEditor struct {
	http.ResponseWriter
	edit func(event string) string
}

func (e *eventEditor) Write(p []byte) (int, error) {
	for event := range strings.SplitAfterSeq(string(p), "\n\n") {
		if _, err := e.ResponseWriter.Write([]byte(e.edit(event))); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

func (e *eventEditor) Unwrap() http.ResponseWriter { return e.ResponseWriter }

func withEventEditor(edit func(event string) string) func(http.Handler) http.Handler {
	return func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(&eventEditor{w, edit}, r) })
	}
}

// Guards against a wrong or incomplete answer that is counted as complete.
func TestFaultyAnswersAreDetected(t *testing.T) {
	dropEvents := func(part string) func(string) string {
		return func(event string) string {
			if strings.Contains(event, part) {
				return ""
			}
			return event
		}
	}
	for name, tc := range map[string]struct {
		edit    func(string) string
		outcome string
	}{
		"token left out":   {dropEvents(":1\ndata"), OutcomeWrong},
		"no end":           {dropEvents("[DONE]"), OutcomeIncomplete},
		"no finish reason": {func(s string) string { return strings.Replace(s, `"length"`, "null", 1) }, OutcomeWrong},
		"other seed":       {func(s string) string { return strings.Replace(s, `"fp_v1_`, `"fp_v1_1`, 1) }, OutcomeWrong},
		"no fingerprint":   {func(s string) string { return strings.Replace(s, `"fp_`, `"`, 1) }, OutcomeWrong},
	} {
		t.Run(name, func(t *testing.T) {
			mix := testMix()
			mix.DurationSeconds, mix.Bursts = 0.2, nil
			res := runMix(t, mix, false, withEventEditor(tc.edit))
			require.Equal(t, map[string]int{tc.outcome: res.Requests}, res.Outcomes)
			require.Equal(t, res.Requests, res.Wrong())
		})
	}
}

// Guards against a resume that repeats or loses tokens, and against a resume when Runner.Resume is off.
func TestResumeByLastEventID(t *testing.T) {
	cutStream := func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if last := r.Header.Get("Last-Event-ID"); last != "" {
				n, _ := strconv.Atoi(last[strings.IndexByte(last, ':')+1:])
				r.Header.Set(engine.HeaderResumeFrom, strconv.Itoa(n+1))
				h.ServeHTTP(w, r)
				return
			}
			h.ServeHTTP(&eventEditor{w, func(event string) string {
				if strings.Contains(event, ":2\ndata") {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
				return event
			}}, r)
		})
	}
	mix := testMix()
	res := runMix(t, mix, true, cutStream)
	require.Equal(t, map[string]int{OutcomeComplete: res.Requests}, res.Outcomes)
	require.Equal(t, res.Requests, res.Resumes)
	res = runMix(t, mix, false, cutStream)
	require.Equal(t, map[string]int{OutcomeIncomplete: res.Requests}, res.Outcomes)
}

// Guards against repeats with another idempotency key than the first call, and against two runs that use the same keys.
func TestServiceCalls(t *testing.T) {
	mix := testMix()
	mix.Classes, mix.Bursts = nil, nil
	mix.Services = []Service{{Route: "bells", Path: "/a", Method: http.MethodPost, Share: 1, NonIdempotent: true, Repeats: 1}}
	var mu sync.Mutex
	calls := map[string]int{}
	service := func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			if r.URL.Path != "/services/bells/a" || !strings.HasPrefix(r.Header.Get("Authorization"), "Bearer ") {
				w.WriteHeader(http.StatusNotFound)
			}
			calls[r.Header.Get("Idempotency-Key")]++
		})
	}
	requests := 0
	for range 2 {
		res := runMix(t, mix, false, service)
		require.Equal(t, map[string]int{OutcomeComplete: res.Requests}, res.Outcomes)
		require.EqualValues(t, res.Requests, res.Lengths[LengthService].Total.Count)
		requests += res.Requests
	}
	require.Len(t, calls, requests)
	for _, n := range calls {
		require.Equal(t, 2, n)
	}
}

// Guards against example mixes that do not parse, and against reporting only one of several errors in a mix.
func TestMixFiles(t *testing.T) {
	paths, err := filepath.Glob("../../examples/mixes/*.json")
	require.NoError(t, err)
	require.Len(t, paths, 3)
	for _, path := range paths {
		mix, err := ReadMix(path)
		require.NoError(t, err, path)
		require.NotEmpty(t, Schedule(mix, nil))
	}
	_, err = ParseMix([]byte(`{"model": "m", "durationSeconds": 1, "ratePerSecond": -1, "classes": [{"name": "a", "share": 2,
"promptTokens": {"min": 1, "max": 2}, "outputTokens": {"min": 0, "max": 2}}], "workspaces": []}`))
	require.EqualError(t, err, `1:55 /ratePerSecond: expected a number, at least 0
1:94 /classes/0/share: expected a number from 0 to 1
2:55 /classes/0/outputTokens: expected min, at least 1, and max, at least min
2:93 /workspaces: expected at least one workspace`)
}

// Guards against a slowdown that compares requests with different IDs.
func TestSlowdownMatchesRequests(t *testing.T) {
	series := Series{P50Ms: 2, P95Ms: 4, P99Ms: 8}
	result := func(factor int64, ids ...string) *Result {
		r := &Result{Lengths: map[string]*LengthResult{LengthShort: {Total: series, FirstToken: series}}}
		for _, id := range ids {
			r.Short = append(r.Short, Sample{ID: id, FirstMicros: 10 * factor, TotalMicros: 100 * factor * factor})
		}
		return r
	}
	s := NewSlowdown(result(2, "a", "b", "c"), result(1, "b", "c", "d"), "base")
	require.Equal(t, &Slowdown{
		Baseline: "base", Matched: 2, Total: Ratios{4, 4, 4}, First: Ratios{2, 2, 2},
		TotalQuantiles: Ratios{1, 1, 1}, FirstQuantiles: Ratios{1, 1, 1},
	}, s)
	require.Nil(t, NewSlowdown(result(1, "a"), result(1, "b"), "base"))
}
