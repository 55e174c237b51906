package alloccore

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

const testKV = 200_000

// harness drives a core through random events: engines with lagging reports, gates that may not release their grants,
// and timers. It checks the invariants after each step.
type harness struct {
	t    require.TestingT
	core *Core
	// replica, if set, receives the same events and must produce the same effects.
	replica *Core
	now     core.Micros
	timers  map[string]core.Micros

	engines      map[string]*testEngine
	names        []string
	pendingCalls map[uint64]core.Micros // latest time of the answer, by call
	grants       map[string]Granted
	grantIDs     []string
	lastCall     uint64
	queueLimit   int
	policy       Policy
	adopted      bool
}

// testEngine is the simulated state of an engine; pendingLoad is the load that the next report delivers.
type testEngine struct {
	incarnation string
	running     map[string]int
	pendingLoad engine.Load
	down        bool
}

func newHarness(t require.TestingT, policy Policy, engines, limit int) *harness {
	h := &harness{
		t: t, core: New(Options{Instance: "g", Policy: policy}), now: core.Hour, queueLimit: limit, policy: policy,
		timers:  map[string]core.Micros{},
		engines: map[string]*testEngine{}, pendingCalls: map[uint64]core.Micros{}, grants: map[string]Granted{},
	}
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		h.names = append(h.names, name)
		h.engines[name] = &testEngine{incarnation: name + "-0", running: map[string]int{}}
	}
	h.step(h.configEvent())
	return h
}

func (h *harness) configEvent() PoolConfigured {
	configs := make([]EngineConfig, 0, len(h.names))
	for _, name := range h.names {
		configs = append(configs, EngineConfig{Name: name, Address: name, KVTokens: testKV, PrefillRate: 20_000, DecodeRate: 50})
	}
	return PoolConfigured{Now: h.now, Engines: configs, QueueLimit: h.queueLimit, CrashLimit: 3}
}

// changeAllocator replaces the core by a new one that knows neither the queued requests nor the grants.
func (h *harness) changeAllocator() {
	h.core = New(Options{Instance: fmt.Sprint("g", h.now), Policy: h.policy})
	h.replica = New(Options{Instance: fmt.Sprint("g", h.now), Policy: h.policy})
	h.timers, h.pendingCalls, h.adopted = map[string]core.Micros{}, map[uint64]core.Micros{}, true
	h.step(h.configEvent())
}

// renewAll renews all grants as their gate would.
func (h *harness) renewAll() {
	var held []HeldGrant
	for _, id := range h.grantIDs {
		if g, ok := h.grants[id]; ok {
			held = append(held, HeldGrant{GrantID: id, RequestID: g.RequestID, Engines: g.Engines})
		}
	}
	h.step(GrantsRenewed{Now: h.now, Gate: "gate", Grants: held})
}

func (h *harness) step(ev Event) {
	effects := h.core.Step(ev)
	if h.replica != nil && !reflect.DeepEqual(effects, h.replica.Step(ev)) {
		require.Fail(h.t, "replica has different effects")
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case Granted:
			h.markAnswered(e.Call)
			h.grants[e.GrantID] = e
			h.grantIDs = append(h.grantIDs, e.GrantID)
			for _, s := range e.Engines {
				h.engines[s.Engine].running[e.RequestID] = s.Tokens
			}
		case Refused:
			h.markAnswered(e.Call)
		case SetTimer:
			h.timers[e.Key] = e.At
		}
	}
	h.checkInvariants()
}

func (h *harness) granted(call uint64) bool {
	for _, g := range h.grants {
		if g.Call == call {
			return true
		}
	}
	return false
}

func (h *harness) markAnswered(call uint64) {
	until, ok := h.pendingCalls[call]
	require.True(h.t, ok, "call %d was answered twice or never made", call)
	require.LessOrEqual(h.t, h.now, until, "call %d was answered after its max wait", call)
	delete(h.pendingCalls, call)
	delete(h.timers, fmt.Sprint(timerRequest, call))
}

func (h *harness) checkInvariants() {
	for _, e := range h.core.engines {
		sum := 0
		for _, alloc := range e.allocations {
			sum += alloc.tokens
		}
		// Plain comparisons, because a testify assertion costs more than the step under test.
		if sum != e.committed || !h.adopted && sum > testKV {
			require.Fail(h.t, "wrong commitments",
				"%s: allocations sum to %d tokens, committed is %d", e.cfg.Name, sum, e.committed)
		}
	}
	for call, until := range h.pendingCalls {
		if until < h.now {
			require.Fail(h.t, "late answer", "call %d is unanswered after its max wait", call)
		}
	}
}

// advance advances the time and fires the timers that become due, in order.
func (h *harness) advance(span core.Micros) {
	end := h.now + span
	for {
		key, at := "", end+1
		for k, a := range h.timers {
			if a < at || a == at && k < key {
				key, at = k, a
			}
		}
		if key == "" {
			break
		}
		delete(h.timers, key)
		h.now = max(h.now, at)
		h.step(TimerFired{Now: h.now, Key: key})
	}
	h.now = end
}

// report delivers the stored load of an engine and stores the current one, so reports lag by one.
func (h *harness) report(name string) {
	e := h.engines[name]
	if e.down {
		h.step(EngineUnreachable{Now: h.now, Engine: name})
		return
	}
	if e.pendingLoad.Incarnation == e.incarnation {
		h.step(EngineReported{Now: h.now, Engine: name, PolledAt: h.now, Load: e.pendingLoad})
	}
	e.pendingLoad = engine.Load{
		Incarnation: e.incarnation, State: engine.StateReady, Role: engine.RoleMixed, KVTokensTotal: testKV,
		Models: []engine.LoadedModel{{Name: "m", Adapters: []string{"a"}}},
	}
	for id, tokens := range e.running {
		e.pendingLoad.KVTokensUsed += tokens
		e.pendingLoad.Running = append(e.pendingLoad.Running, engine.RunningRequest{RequestID: id, ReservedTokens: tokens})
	}
}

func (h *harness) reportAll() {
	for _, name := range h.names {
		h.report(name)
	}
}

func (h *harness) restart(name string) {
	e := h.engines[name]
	e.incarnation += "x"
	e.running = map[string]int{}
}

func (h *harness) requestGrant(r Request) {
	h.lastCall++
	r.RequestID = fmt.Sprintf("r%d", h.lastCall)
	h.pendingCalls[h.lastCall] = h.now + r.MaxWait
	h.step(GrantRequested{Now: h.now, Call: h.lastCall, Request: r})
}

// finish ends a request on its engines and, if release is set, releases its grant. Without a release it simulates a
// gate that died.
func (h *harness) finish(id string, outcome Outcome, release bool) {
	g := h.grants[id]
	for _, s := range g.Engines {
		delete(h.engines[s.Engine].running, g.RequestID)
	}
	delete(h.grants, id)
	if release {
		h.step(GrantReleased{Now: h.now, GrantID: id, Outcome: outcome})
	}
}

// drawPolicy disables random rules. OwnCommitments stays on, because without it memory is granted twice.
func drawPolicy(t *rapid.T) Policy {
	policy := DefaultPolicy()
	policy.Picker = rapid.SampledFrom([]Picker{PickBestScore, PickRoundRobin, PickLeastLoaded}).Draw(t, "picker")
	fields := reflect.ValueOf(&policy).Elem()
	for i := range fields.NumField() {
		if fields.Field(i).Kind() == reflect.Bool && rapid.IntRange(0, 5).Draw(t, fields.Type().Field(i).Name) == 5 {
			fields.Field(i).SetBool(false)
		}
	}
	policy.OwnCommitments = true
	return policy
}

func drawRequest(t *rapid.T) Request {
	prompt := rapid.SampledFrom([]int{100, 3_000, 20_000, 90_000, 150_000, 450_000, 2_000_000}).Draw(t, "prompt")
	r := Request{
		Workspace: rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(t, "workspace"),
		Priority:  rapid.IntRange(0, 9).Draw(t, "priority"),
		Model:     "m", PromptTokens: prompt, MaxOutputTokens: 500, PrefixBlock: 256, Attempt: 1,
		MaxWait:      core.Micros(rapid.IntRange(0, 20_000).Draw(t, "maxWaitMs")) * core.Millisecond,
		SuspectCount: max(0, rapid.IntRange(-4, 3).Draw(t, "suspects")),
	}
	if rapid.Bool().Draw(t, "prefix") {
		r.PrefixHashes = []uint64{1, 2, 3}
	}
	return r
}

func (h *harness) randomEvent(t *rapid.T) {
	name := rapid.SampledFrom(h.names).Draw(t, "engine")
	switch rapid.IntRange(0, 14).Draw(t, "event") {
	case 0, 1, 2, 3:
		h.requestGrant(drawRequest(t))
	case 4, 5:
		h.advance(core.Micros(rapid.IntRange(1, 3_000).Draw(t, "passMs")) * core.Millisecond)
	case 6, 7:
		h.report(name)
	case 8:
		h.engines[name].down = rapid.Bool().Draw(t, "down")
	case 9:
		h.restart(name)
	case 10:
		h.renewAll()
	case 11:
		if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
			h.changeAllocator()
		}
	case 12:
		key := rapid.SampledFrom([]string{timerWarmUp, timerRetry, timerSweep, timerRequest + "1", timerRequest, "x"}).Draw(t, "timer")
		h.step(TimerFired{Now: h.now, Key: key})
	default:
		if len(h.grantIDs) > 0 {
			id := rapid.SampledFrom(h.grantIDs).Draw(t, "grant")
			outcome := rapid.SampledFrom([]Outcome{OutcomeComplete, OutcomeLost, OutcomeRefused}).Draw(t, "outcome")
			h.finish(id, outcome, rapid.Bool().Draw(t, "release"))
		}
	}
}

// Guards against memory granted twice, requests answered twice, late or never, memory not freed after gates and engines
// died, effects of stale timers, and effects that depend on map order.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, drawPolicy(t), rapid.IntRange(1, 6).Draw(t, "engines"), 20)
		h.changeAllocator()
		h.adopted = false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.randomEvent(t)
		}
		h.drain()
		require.Empty(t, h.pendingCalls, "unanswered")
		require.Zero(t, h.core.View(h.now).Grants)
		for _, e := range h.core.engines {
			require.Zero(t, e.committed, e.cfg.Name)
			require.Zero(t, e.suspects)
			require.Nil(t, e.trial)
			require.Zero(t, sum(&e.byClass))
		}
		require.Nil(t, h.core.reserved.head)
		require.Empty(t, h.core.queue.lanes)
	})
}

// drain ends all requests on the engines without a release, as if all gates had died, and advances the time by 60 s.
func (h *harness) drain() {
	for range 60 {
		for id := range h.grants {
			h.finish(id, OutcomeLost, false)
		}
		for _, e := range h.engines {
			e.running = map[string]int{}
		}
		h.reportAll()
		h.advance(core.Second)
	}
}

// Guards against starvation: under a constant load of short requests of the highest priority, a queued request of the
// lowest priority must be granted within 90 s, whatever its size.
func TestNoStarvation(t *testing.T) {
	for _, prompt := range []int{3_000, 50_000, 95_000, 250_000, 350_000} {
		for _, hold := range []int{3, 15} {
			t.Run(fmt.Sprintf("%d tokens, held for %d s", prompt, hold), func(t *testing.T) {
				checkNotStarved(t, prompt, hold)
			})
		}
	}
}

func checkNotStarved(t *testing.T, prompt, hold int) {
	const rate = 40 // requests per second; four engines can prefill 20 of them
	policy := DefaultPolicy()
	policy.EarlyRefusal = false
	h := newHarness(t, policy, 4, 500)
	h.reportAll()
	h.advance(2 * core.Second)
	h.reportAll()
	h.flood(rate, hold, 20)
	h.requestGrant(Request{
		Workspace: "low", Model: "m", PromptTokens: prompt, MaxOutputTokens: 500, MaxWait: 10 * core.Minute, Attempt: 1,
	})
	waiting := h.lastCall
	for range 90 {
		h.flood(rate, hold, 1)
		if _, ok := h.pendingCalls[waiting]; !ok {
			require.True(t, h.granted(waiting), "refused")
			return
		}
	}
	t.Fatal("request was not granted within 90 s")
}

// flood submits short requests of priority 9 for secs seconds. Each grant ends after hold seconds and counts as renewed
// until then.
func (h *harness) flood(rate, hold, secs int) {
	for range secs {
		for range rate {
			h.requestGrant(Request{
				Workspace: "high", Priority: 9, Model: "m", PromptTokens: 3_900, MaxOutputTokens: 4_000,
				MaxWait: 3 * core.Second, Attempt: 1,
			})
			h.advance(core.Second / core.Micros(rate))
		}
		h.reportAll()
		for _, id := range h.grantIDs {
			if g, ok := h.grants[id]; ok && g.Expires-grantTTL+core.Micros(hold)*core.Second <= h.now {
				h.finish(id, OutcomeComplete, true)
			}
		}
	}
}
