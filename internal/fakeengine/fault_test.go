package fakeengine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/engine"
)

// Guards against fault commands without the effect that the tests of the gate rely on.
func TestStreamFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		fault Fault
		kind  engine.Kind
	}{
		"silent":  {Fault{Kind: FaultSilent}, engine.KindSilent},
		"drop":    {Fault{Kind: FaultDrop}, engine.KindLost},
		"crash":   {Fault{Kind: FaultCrash}, engine.KindLost},
		"garbage": {Fault{Kind: FaultProtocolViolation, Count: 1}, engine.KindProtocol},
		"done":    {Fault{Kind: FaultProtocolViolation, Count: 1, Mode: ViolationEarlyDone}, engine.KindProtocol},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newTestEngine(t, Settings{})
			if tc.fault.Kind == FaultProtocolViolation {
				require.True(t, e.Inject(tc.fault))
			}
			s := e.start(engine.Request{ID: "r", Attempt: 1, Body: chatBody("q", 250)})
			if tc.fault.Kind != FaultProtocolViolation {
				_, _, err := read(t, s, 0, 3)
				require.NoError(t, err)
				require.True(t, e.Inject(tc.fault))
			}
			_, _, err := read(t, s, 3, 0)
			require.Equal(t, tc.kind, engine.KindOf(err), "%v", err)
			if tc.fault.Kind == FaultSilent {
				next := e.start(engine.Request{ID: "r", Attempt: 2, ResumeFrom: 3, Body: chatBody("q", 250)})
				_, _, err := read(t, next, 3, 3)
				require.NoError(t, err, "a new connection works")
			}
		})
	}
}

// Guards against injected protocol violations that conform to the protocol.
func TestProtocolViolationOffsets(t *testing.T) {
	for mode, want := range map[ViolationMode][]int{
		ViolationGap: {1, 1, 2}, ViolationRepeat: {0, 0, 1, 2}, ViolationAttempt: {0, 1, 2},
	} {
		e := newTestEngine(t, Settings{TimeScale: 10})
		require.True(t, e.Inject(Fault{Kind: FaultProtocolViolation, Count: 1, Mode: mode}))
		s := e.start(engine.Request{ID: "r", Attempt: 1, Body: chatBody("q", 3)})
		var offsets, attempts []int
		for {
			f, err := s.Next()
			if err != nil || f.Finish != "" {
				break
			}
			if f.Content != "" {
				offsets, attempts = append(offsets, f.Offset), append(attempts, f.Attempt)
			}
		}
		require.Equal(t, want, offsets, mode)
		require.Equal(t, mode == ViolationAttempt, attempts[0] == 2)
	}
}

// Guards against fault commands over HTTP that have no effect, and against refusals beyond their count.
func TestRefuseAndDelayOverHTTP(t *testing.T) {
	e := newTestEngine(t, Settings{})
	injectOverHTTP := func(in Fault) {
		data, err := json.Marshal(in)
		require.NoError(t, err)
		resp, err := http.Post("http://"+e.address+pathFault, "application/json", bytes.NewReader(data))
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
	}
	injectOverHTTP(Fault{Kind: FaultRefuse, Count: 1, Code: engine.CodeQueueFull})
	_, err := e.client.Start(t.Context(), e.address, engine.Request{ID: "r", Body: chatBody("q", 1)})
	require.Equal(t, engine.CodeQueueFull, engine.CodeOf(err))
	injectOverHTTP(Fault{Kind: FaultDelay, Ms: 150})
	began := time.Now()
	_, _, err = read(t, e.start(engine.Request{ID: "r", Body: chatBody("q", 1)}), 0, 0)
	require.Equal(t, io.EOF, err)
	require.GreaterOrEqual(t, time.Since(began), 150*time.Millisecond)
}

// Guards against a model that is available before its weights were fetched, and against a load that fails on a rate
// limit of the weight store.
func TestLoadWaitsForWeightStore(t *testing.T) {
	var calls atomic.Int32
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/v1/weights/n" || calls.Add(1) == 1 {
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}))
	defer store.Close()
	e := newTestEngine(t, Settings{ModelLoadMs: 1, WeightStore: store.Listener.Addr().String()})
	require.NoError(t, e.client.Order(t.Context(), e.address, engine.Order{Op: engine.OrderLoad, Model: "n", Version: "v"}))
	require.Eventually(t, func() bool {
		load, err := e.client.Load(t.Context(), e.address)
		return err == nil && len(load.Models) == 2
	}, waitTimeout, 10*time.Millisecond)
	require.EqualValues(t, 2, calls.Load())
}

// Guards against lost cache events that leave no gap in the sequence numbers, and against losses that differ between
// runs with the same seed.
func TestLostCacheEventsLeaveGaps(t *testing.T) {
	sequences := func() (out []uint64) {
		e := newTestEngine(t, Settings{Seed: 3, TimeScale: 50, CacheEvents: CacheEventSettings{LossShare: 0.5}})
		_, _, err := read(t, e.start(engine.Request{ID: "r", Body: chatBody(prompt("q", 20_000), 1)}), 0, 0)
		require.Equal(t, io.EOF, err)
		events, err := e.client.CacheEvents(t.Context(), e.address, 0)
		require.NoError(t, err)
		for _, ev := range events.Events {
			out = append(out, ev.Sequence)
		}
		return out
	}
	first := sequences()
	require.Less(t, len(first), 60)
	require.Greater(t, first[len(first)-1], uint64(60))
	require.Equal(t, first, sequences())
}

// Guards against memory leaks when concurrent requests complete, are cancelled or exceed their deadline.
func TestAccountingWithMixedRequestEnds(t *testing.T) {
	e := newTestEngine(t, Settings{TimeScale: 5, KVTokens: 30_000})
	var wg sync.WaitGroup
	var refused atomic.Int32
	for i := range 80 {
		wg.Go(func() {
			id := strconv.Itoa(i)
			req := engine.Request{ID: id, Attempt: 1, Priority: i % 3, Body: chatBody(prompt("p"+strconv.Itoa(i%7), 900), 60)}
			if i%4 == 0 {
				req.DeadlineMs = int64(5 + i)
			}
			s, err := e.client.Start(t.Context(), e.address, req)
			if err != nil {
				refused.Add(1)
				return
			}
			defer s.Close()
			if i%4 == 1 {
				_, _ = s.Next()
				_ = e.client.Cancel(t.Context(), e.address, id, 1)
			}
			for err == nil {
				_, err = s.Next()
			}
		})
	}
	wg.Wait()
	require.Less(t, refused.Load(), int32(80))
	e.requireMemoryFreed()
}

// Guards against a crash that leaves streams or the engine alive, and against a restart that keeps the memory or the
// incarnation.
func TestCrashOnMarker(t *testing.T) {
	e := newTestEngine(t, Settings{CrashMarker: "poison"})
	before, err := e.client.Load(t.Context(), e.address)
	require.NoError(t, err)
	other := e.start(engine.Request{ID: "b", Attempt: 1, Body: chatBody(prompt("b", 1000), 250)})
	s := e.start(engine.Request{ID: "r", Attempt: 1, Body: chatBody("some poison", 10)})
	for _, stream := range []engine.Stream{s, other} {
		_, _, err = read(t, stream, 0, 0)
		require.Equal(t, engine.KindLost, engine.KindOf(err))
	}
	_, err = e.client.Load(t.Context(), e.address)
	require.Equal(t, engine.KindLost, engine.KindOf(err))
	e.Restart()
	after, err := e.client.Load(t.Context(), e.address)
	require.NoError(t, err)
	require.NotEqual(t, before.Incarnation, after.Incarnation)
	e.requireMemoryFreed()
}

// Guards against executing orders of a former controller, against a load that completes too early, and against serving
// the wrong version.
func TestOrders(t *testing.T) {
	e := newTestEngine(t, Settings{ModelLoadMs: 100})
	order := func(fence uint64, op engine.OrderOp, version string) error {
		return e.client.Order(t.Context(), e.address, engine.Order{Fence: fence, Op: op, Model: "m", Version: version})
	}
	require.NoError(t, order(5, engine.OrderLoad, "v2"))
	require.Equal(t, engine.CodeOldFence, engine.CodeOf(order(4, engine.OrderUnload, "v1")))
	load, err := e.client.Load(t.Context(), e.address)
	require.NoError(t, err)
	require.Len(t, load.Models, 1)
	require.Len(t, load.Loading, 1)
	require.Eventually(t, func() bool {
		load, err := e.client.Load(t.Context(), e.address)
		return err == nil && len(load.Models) == 2 && len(load.Loading) == 0
	}, waitTimeout, 10*time.Millisecond)
	require.NoError(t, order(5, engine.OrderUnload, "v1"))
	_, err = e.client.Start(t.Context(), e.address, engine.Request{ID: "r", Version: "v1", Body: chatBody("q", 3)})
	require.Equal(t, engine.CodeModelNotLoaded, engine.CodeOf(err))
	text, _, _ := read(t, e.start(engine.Request{ID: "r", Body: chatBody("q", 3)}), 0, 0)
	require.Equal(t, NewAnswer("q", "m", "v2", 0).Text(0, 3), text)
	require.True(t, e.Inject(Fault{Kind: FaultIgnoreFence}))
	require.NoError(t, order(1, engine.OrderLoad, "v3"))
	require.True(t, e.Inject(Fault{Kind: FaultLeaving}))
	_, err = e.client.Start(t.Context(), e.address, engine.Request{ID: "n", Body: chatBody("q", 3)})
	require.Equal(t, engine.CodeLeaving, engine.CodeOf(err))
}

// Guards against load reports and cache events that are published before the configured lag.
func TestReportsAndEventsLag(t *testing.T) {
	e := newTestEngine(t, Settings{ReportLagMs: 600, CacheEvents: CacheEventSettings{LagMs: 600}})
	time.Sleep(50 * time.Millisecond)
	_, _, err := read(t, e.start(engine.Request{ID: "r", Attempt: 1, Body: chatBody(prompt("q", 600), 250)}), 0, 2)
	require.NoError(t, err)
	seen := func() (running, events int) {
		load, err := e.client.Load(t.Context(), e.address)
		require.NoError(t, err)
		cache, err := e.client.CacheEvents(t.Context(), e.address, 0)
		require.NoError(t, err)
		return len(load.Running), len(cache.Events)
	}
	running, events := seen()
	require.Zero(t, running+events)
	require.Eventually(t, func() bool {
		running, events := seen()
		return running == 1 && events == 2
	}, waitTimeout, 20*time.Millisecond)
}

// Guards against reporting only one of several errors in the settings.
func TestSettingsFindings(t *testing.T) {
	_, err := ParseSettings([]byte("{\n\"timeScale\": -1,\n\"role\": \"x\",\n\"models\": [{\"name\": \"m\"}]}"))
	require.EqualError(t, err, `1:1 /listen: expected an IP address and port such as 127.0.0.1:8080, got ""
2:14 /timeScale: expected a number above 0
3:9 /role: expected mixed, prefill or decode
4:12 /models/0: expected a name and a version`)
}
