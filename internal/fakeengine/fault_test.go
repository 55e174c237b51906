package fakeengine

import (
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
	require.EqualError(t, err, `1:1 /listen: expected an IP address and port
2:14 /timeScale: expected a number above 0
3:9 /role: expected mixed, prefill or decode
4:12 /models/0: expected a name and a version`)
}
