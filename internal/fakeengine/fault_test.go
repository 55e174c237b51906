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

// Guards against fault commands that do not have the effect by which tests of the gate rely on them.
func TestStreamFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		fault Fault
		kind  engine.Kind
	}{
		"silent":  {Fault{Kind: FaultSilent}, engine.KindSilent},
		"drop":    {Fault{Kind: FaultDrop}, engine.KindLost},
		"crash":   {Fault{Kind: FaultCrash}, engine.KindLost},
		"garbage": {Fault{Kind: FaultNonsense, Count: 1}, engine.KindProtocol},
		"done":    {Fault{Kind: FaultNonsense, Count: 1, Mode: NonsenseDone}, engine.KindProtocol},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, Settings{})
			if tc.fault.Kind == FaultNonsense {
				require.True(t, r.Inject(tc.fault))
			}
			s := r.start(engine.Request{ID: "r", Attempt: 1, Body: body("q", 250)})
			if tc.fault.Kind != FaultNonsense {
				_, _, err := read(t, s, 0, 3)
				require.NoError(t, err)
				require.True(t, r.Inject(tc.fault))
			}
			_, _, err := read(t, s, 3, 0)
			require.Equal(t, tc.kind, engine.KindOf(err), "%v", err)
			if tc.fault.Kind == FaultSilent {
				next := r.start(engine.Request{ID: "r", Attempt: 2, ResumeFrom: 3, Body: body("q", 250)})
				_, _, err := read(t, next, 3, 3)
				require.NoError(t, err, "a new connection works")
			}
		})
	}
}

// Guards against nonsense that follows the protocol after all.
func TestNonsenseOffsets(t *testing.T) {
	for mode, want := range map[NonsenseMode][]int{
		NonsenseGap: {1, 1, 2}, NonsenseRepeat: {0, 0, 1, 2}, NonsenseAttempt: {0, 1, 2},
	} {
		r := newRig(t, Settings{TimeScale: 10})
		require.True(t, r.Inject(Fault{Kind: FaultNonsense, Count: 1, Mode: mode}))
		s := r.start(engine.Request{ID: "r", Attempt: 1, Body: body("q", 3)})
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
		require.Equal(t, mode == NonsenseAttempt, attempts[0] == 2)
	}
}

// Guards against fault commands over HTTP that are dropped, and faults that outlive their count.
func TestRefuseAndDelayOverHTTP(t *testing.T) {
	r := newRig(t, Settings{})
	fault := func(in Fault) {
		data, err := json.Marshal(in)
		require.NoError(t, err)
		resp, err := http.Post("http://"+r.address+pathFault, "application/json", bytes.NewReader(data))
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
	}
	fault(Fault{Kind: FaultRefuse, Count: 1, Code: engine.CodeQueueFull})
	_, err := r.client.Start(t.Context(), r.address, engine.Request{ID: "r", Body: body("q", 1)})
	require.Equal(t, engine.CodeQueueFull, engine.CodeOf(err))
	fault(Fault{Kind: FaultDelay, Ms: 150})
	began := time.Now()
	_, _, err = read(t, r.start(engine.Request{ID: "r", Body: body("q", 1)}), 0, 0)
	require.Equal(t, io.EOF, err)
	require.GreaterOrEqual(t, time.Since(began), 150*time.Millisecond)
}

// Guards against a model that is ready without its weights, and a load that gives up while the store is over its rate.
func TestLoadWaitsForWeightStore(t *testing.T) {
	var calls atomic.Int32
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/v1/weights/n" || calls.Add(1) == 1 {
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}))
	defer store.Close()
	r := newRig(t, Settings{ModelLoadMs: 1, WeightStore: store.Listener.Addr().String()})
	require.NoError(t, r.client.Order(t.Context(), r.address, engine.Order{Op: engine.OrderLoad, Model: "n", Version: "v"}))
	require.Eventually(t, func() bool {
		load, err := r.client.Load(t.Context(), r.address)
		return err == nil && len(load.Models) == 2
	}, eventually, 10*time.Millisecond)
	require.EqualValues(t, 2, calls.Load())
}

// Guards against lost cache events that leave no gap, and losses that a seed does not repeat.
func TestLostCacheEventsLeaveGaps(t *testing.T) {
	sequences := func() (out []uint64) {
		r := newRig(t, Settings{Seed: 3, TimeScale: 50, CacheEvents: CacheEventSettings{LossShare: 0.5}})
		_, _, err := read(t, r.start(engine.Request{ID: "r", Body: body(prompt("q", 20_000), 1)}), 0, 0)
		require.Equal(t, io.EOF, err)
		events, err := r.client.CacheEvents(t.Context(), r.address, 0)
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

// Guards against memory that leaks when requests end in different ways at once.
func TestAccountingUnderChurn(t *testing.T) {
	r := newRig(t, Settings{TimeScale: 5, KVTokens: 30_000})
	var wg sync.WaitGroup
	var refused atomic.Int32
	for i := range 80 {
		wg.Go(func() {
			id := strconv.Itoa(i)
			req := engine.Request{ID: id, Attempt: 1, Priority: i % 3, Body: body(prompt("p"+strconv.Itoa(i%7), 900), 60)}
			if i%4 == 0 {
				req.DeadlineMs = int64(5 + i)
			}
			s, err := r.client.Start(t.Context(), r.address, req)
			if err != nil {
				refused.Add(1)
				return
			}
			defer s.Close()
			if i%4 == 1 {
				_, _ = s.Next()
				_ = r.client.Cancel(t.Context(), r.address, id, 1)
			}
			for err == nil {
				_, err = s.Next()
			}
		})
	}
	wg.Wait()
	require.Less(t, refused.Load(), int32(80))
	r.requireFreed()
}

// Guards against a crash that spares the engine, or a restart that keeps memory or its incarnation.
func TestCrashOnMarker(t *testing.T) {
	r := newRig(t, Settings{CrashMarker: "poison"})
	before, err := r.client.Load(t.Context(), r.address)
	require.NoError(t, err)
	bystander := r.start(engine.Request{ID: "b", Attempt: 1, Body: body(prompt("b", 1000), 250)})
	s := r.start(engine.Request{ID: "r", Attempt: 1, Body: body("some poison", 10)})
	for _, stream := range []engine.Stream{s, bystander} {
		_, _, err = read(t, stream, 0, 0)
		require.Equal(t, engine.KindLost, engine.KindOf(err))
	}
	_, err = r.client.Load(t.Context(), r.address)
	require.Equal(t, engine.KindLost, engine.KindOf(err))
	r.Restart()
	after, err := r.client.Load(t.Context(), r.address)
	require.NoError(t, err)
	require.NotEqual(t, before.Incarnation, after.Incarnation)
	r.requireFreed()
}

// Guards against an old controller's order taking effect, a load that is ready too early, and a wrong version.
func TestOrders(t *testing.T) {
	r := newRig(t, Settings{ModelLoadMs: 100})
	order := func(fence uint64, op engine.OrderOp, version string) error {
		return r.client.Order(t.Context(), r.address, engine.Order{Fence: fence, Op: op, Model: "m", Version: version})
	}
	require.NoError(t, order(5, engine.OrderLoad, "v2"))
	require.Equal(t, engine.CodeOldFence, engine.CodeOf(order(4, engine.OrderUnload, "v1")))
	load, err := r.client.Load(t.Context(), r.address)
	require.NoError(t, err)
	require.Len(t, load.Models, 1)
	require.Len(t, load.Loading, 1)
	require.Eventually(t, func() bool {
		load, err := r.client.Load(t.Context(), r.address)
		return err == nil && len(load.Models) == 2 && len(load.Loading) == 0
	}, eventually, 10*time.Millisecond)
	require.NoError(t, order(5, engine.OrderUnload, "v1"))
	_, err = r.client.Start(t.Context(), r.address, engine.Request{ID: "r", Version: "v1", Body: body("q", 3)})
	require.Equal(t, engine.CodeModelNotLoaded, engine.CodeOf(err))
	text, _, _ := read(t, r.start(engine.Request{ID: "r", Body: body("q", 3)}), 0, 0)
	require.Equal(t, NewAnswer("q", "m", "v2", 0).Text(0, 3), text)
	require.True(t, r.Inject(Fault{Kind: FaultIgnoreFence}))
	require.NoError(t, order(1, engine.OrderLoad, "v3"))
	require.True(t, r.Inject(Fault{Kind: FaultLeaving}))
	_, err = r.client.Start(t.Context(), r.address, engine.Request{ID: "n", Body: body("q", 3)})
	require.Equal(t, engine.CodeLeaving, engine.CodeOf(err))
}

// Guards against reports and cache events that are fresher than the settings say.
func TestReportsAndEventsLag(t *testing.T) {
	r := newRig(t, Settings{ReportLagMs: 600, CacheEvents: CacheEventSettings{LagMs: 600}})
	time.Sleep(50 * time.Millisecond)
	_, _, err := read(t, r.start(engine.Request{ID: "r", Attempt: 1, Body: body(prompt("q", 600), 250)}), 0, 2)
	require.NoError(t, err)
	seen := func() (running, events int) {
		load, err := r.client.Load(t.Context(), r.address)
		require.NoError(t, err)
		cache, err := r.client.CacheEvents(t.Context(), r.address, 0)
		require.NoError(t, err)
		return len(load.Running), len(cache.Events)
	}
	running, events := seen()
	require.Zero(t, running+events)
	require.Eventually(t, func() bool {
		running, events := seen()
		return running == 1 && events == 2
	}, eventually, 20*time.Millisecond)
}

// Guards against settings that are wrong in several places being reported one at a time.
func TestSettingsFindings(t *testing.T) {
	_, err := ParseSettings([]byte("{\n\"timeScale\": -1,\n\"role\": \"x\",\n\"models\": [{\"name\": \"m\"}]}"))
	require.EqualError(t, err, `1:1 /listen: expected an IP address and port such as 127.0.0.1:8080, got ""
2:14 /timeScale: expected a number above 0
3:9 /role: expected mixed, prefill or decode
4:12 /models/0: expected a name and a version`)
}
