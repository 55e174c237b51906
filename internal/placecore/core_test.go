package placecore

import (
	"fmt"
	"testing"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/golden"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var codec = golden.NewCodec(Tick{}, LeaseRead{}, LeaseWritten{}, IntentChanged{}, EngineReported{}, OrderDone{},
	StopRequested{}, ReadLease{}, WriteLease{}, SendOrder{}, RoleChanged{})

// Guards against changes of the effects in the recorded sessions.
func TestSessions(t *testing.T) {
	golden.Check(t, "testdata/*.session", codec, func(string) func(any) []any {
		c := New("host-a")
		return func(event any) []any {
			var out []any
			for _, effect := range c.Step(event.(Event)) {
				out = append(out, effect)
			}
			return out
		}
	})
}

// leaseSimulation is a lease store with several controllers, which share a clock and may be paused.
type leaseSimulation struct {
	t       *rapid.T
	now     core.Micros
	version uint64
	lease   Lease
	cores   []*Core
	paused  []core.Micros
	ids     int
	epochs  map[uint64]int
}

func (s *leaseSimulation) execute(i int, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ReadLease:
			failed := rapid.IntRange(0, 9).Draw(s.t, "read") == 0
			s.execute(i, s.cores[i].Step(LeaseRead{Now: s.now, Version: s.version, Lease: s.lease, Failed: failed}))
		case WriteLease:
			s.execute(i, s.cores[i].Step(s.write(e)))
		case RoleChanged:
			if e.Active {
				if holder, ok := s.epochs[e.Epoch]; ok && holder != i {
					s.t.Fatalf("controllers %d and %d both hold epoch %d", holder, i, e.Epoch)
				}
				s.epochs[e.Epoch] = i
			}
		}
	}
}

func (s *leaseSimulation) write(e WriteLease) LeaseWritten {
	fault := rapid.IntRange(0, 9).Draw(s.t, "write")
	if fault == 0 {
		return LeaseWritten{Now: s.now, Result: WriteRejected}
	}
	if e.IfVersion != s.version {
		return LeaseWritten{Now: s.now, Result: WriteConflict}
	}
	if fault == 1 {
		return LeaseWritten{Now: s.now, Result: WriteUnknown}
	}
	s.version++
	s.lease = e.Lease
	if fault == 2 {
		return LeaseWritten{Now: s.now, Result: WriteUnknown}
	}
	return LeaseWritten{Now: s.now, Version: s.version, Result: WriteOK}
}

// Guards against two controllers that are active at the same time after pauses, failed reads, rejected writes or lost
// responses.
func TestAtMostOneControllerActs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &leaseSimulation{t: rt, now: core.Second, epochs: map[uint64]int{}, paused: make([]core.Micros, 3)}
		for i := range 3 {
			s.cores = append(s.cores, New(fmt.Sprintf("host-%d", i)))
		}
		for range 150 {
			s.now += core.Second
			active := 0
			for i, c := range s.cores {
				if s.paused[i] > s.now {
					continue
				}
				if rapid.IntRange(0, 40).Draw(rt, "pause") == 0 {
					s.paused[i] = s.now + core.Micros(rapid.IntRange(1, 60).Draw(rt, "seconds"))*core.Second
				}
				s.ids++
				s.execute(i, c.Step(Tick{Now: s.now, Candidate: true, AttemptID: fmt.Sprint(s.ids)}))
			}
			for _, c := range s.cores {
				if c.Active(s.now) {
					active++
				}
			}
			if active > 1 {
				rt.Fatalf("%d controllers are active at %d", active, s.now)
			}
		}
	})
}

// harness drives one controller that holds the lease.
type harness struct {
	t   *testing.T
	c   *Core
	now core.Micros
}

func newHarness(t *testing.T, intent Intent) *harness {
	h := &harness{t: t, c: New("host-a"), now: core.Second}
	h.c.Step(IntentChanged{Now: h.now, Intent: intent})
	h.c.Step(Tick{Now: h.now, Candidate: true, AttemptID: "x"})
	h.c.Step(LeaseRead{Now: h.now})
	h.now += readInterval
	effects := h.c.Step(Tick{Now: h.now, Candidate: true, AttemptID: "x"})
	require.IsType(t, WriteLease{}, effects[0])
	h.c.Step(LeaseWritten{Now: h.now, Version: 1, Result: WriteOK})
	require.True(t, h.c.Active(h.now))
	return h
}

func (h *harness) report(name string, state engine.State, models ...engine.LoadedModel) {
	h.c.Step(EngineReported{Now: h.now, Engine: name, State: state, Models: models})
}

// tick advances the clock by one second, confirms lease writes and orders, and returns the orders.
func (h *harness) tick() []SendOrder {
	h.now += core.Second
	var out []SendOrder
	for _, e := range h.c.Step(Tick{Now: h.now, Candidate: true, AttemptID: "x"}) {
		switch e := e.(type) {
		case WriteLease:
			h.c.Step(LeaseWritten{Now: h.now, Version: e.IfVersion + 1, Result: WriteOK})
		case SendOrder:
			out = append(out, e)
			h.c.Step(OrderDone{Now: h.now, Engine: e.Engine})
		}
	}
	return out
}

func loadedVersion(version string) engine.LoadedModel {
	return engine.LoadedModel{Name: "m", Version: version}
}

func twoEngineIntent(version string) Intent {
	return Intent{
		Generation: 1, LoadsPerMinute: 2, MaxConcurrentLoads: 1,
		Models:  []Model{{Name: "m", Version: version, MinReplicas: 2}},
		Engines: []Engine{{Name: "e1", Address: "1", MaxModels: 1}, {Name: "e2", Address: "2", MaxModels: 1}},
	}
}

// Guards against more concurrent loads than the weight store allows.
func TestLoadsRespectMaxConcurrentLoads(t *testing.T) {
	h := newHarness(t, twoEngineIntent("1"))
	h.report("e1", engine.StateReady)
	h.report("e2", engine.StateReady)
	require.Len(t, h.tick(), 1)
	h.report("e1", engine.StateLoading)
	require.Empty(t, h.tick())
	h.report("e1", engine.StateReady, loadedVersion("1"))
	orders := h.tick()
	require.Len(t, orders, 1)
	require.Equal(t, "e2", orders[0].Engine)
	require.Equal(t, uint64(1), orders[0].Order.Fence)
}

// Guards against an upgrade that unloads every copy of a model before the new version is ready.
func TestUpgradeKeepsOneCopy(t *testing.T) {
	h := newHarness(t, twoEngineIntent("2"))
	h.report("e1", engine.StateReady, loadedVersion("1"))
	h.report("e2", engine.StateReady, loadedVersion("1"))
	first := h.tick()
	require.Len(t, first, 1)
	require.Equal(t, engine.OrderUnload, first[0].Order.Op)
	for range 15 {
		h.report("e1", engine.StateReady, loadedVersion("1")) // the report does not show the order yet
		h.report("e2", engine.StateReady, loadedVersion("1"))
		require.Empty(t, h.tick(), "the second copy must stay while the first engine's report is stale")
	}
}

// Guards against an upgrade that unloads the only copy of a model because no engine has room for the new version.
func TestUpgradeKeepsTheOnlyCopy(t *testing.T) {
	intent := twoEngineIntent("2")
	intent.Models[0].MinReplicas = 1
	intent.Engines = intent.Engines[:1]
	h := newHarness(t, intent)
	for range 5 {
		h.report("e1", engine.StateReady, loadedVersion("1"))
		require.Empty(t, h.tick())
	}
}

// Guards against orders that are based on earlier orders instead of the engines' reports.
func TestFormerHoldersOrderIsCorrected(t *testing.T) {
	h := newHarness(t, twoEngineIntent("2"))
	h.report("e1", engine.StateReady, loadedVersion("2"))
	h.report("e2", engine.StateReady, loadedVersion("2"))
	require.Empty(t, h.tick())
	// A former controller resumes after a pause, and an engine that ignores fencing numbers unloads its copy on its order.
	h.report("e2", engine.StateReady)
	orders := h.tick()
	require.Len(t, orders, 1)
	require.Equal(t, "e2", orders[0].Engine)
	require.Equal(t, engine.OrderLoad, orders[0].Order.Op)
}

// Guards against a holder that stays active after an engine has received a higher fencing number.
func TestRefusedFenceDeactivatesController(t *testing.T) {
	h := newHarness(t, twoEngineIntent("1"))
	h.c.Step(OrderDone{Now: h.now, Engine: "e1", Refused: true})
	require.False(t, h.c.Active(h.now))
}

// Guards against a successor whose loads, together with its predecessor's, exceed the rate limit of the weight store.
func TestSuccessorWaitsForLoadRateWindow(t *testing.T) {
	c := New("host-b")
	c.Step(IntentChanged{Now: 1, Intent: twoEngineIntent("1")})
	now := core.Second
	c.Step(Tick{Now: now, Candidate: true, AttemptID: "b"})
	c.Step(LeaseRead{Now: now, Version: 4, Lease: Lease{Holder: "", AttemptID: "a", Epoch: 7}})
	now += readInterval
	c.Step(Tick{Now: now, Candidate: true, AttemptID: "b"})
	c.Step(LeaseWritten{Now: now, Version: 5, Result: WriteOK})
	h := &harness{t: t, c: c, now: now}
	for range 50 {
		h.report("e1", engine.StateReady)
		require.Empty(t, h.tick())
	}
	for range 9 {
		require.Empty(t, h.tick())
	}
	h.report("e1", engine.StateReady)
	require.NotEmpty(t, append(h.tick(), h.tick()...), "loads resume after one minute")
}
