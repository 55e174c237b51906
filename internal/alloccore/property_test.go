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

// world drives a core through random events: engines with lagged reports, gates that may forget to release, and timers
// that are kept. It checks the invariants after each step.
type world struct {
	t    require.TestingT
	core *Core
	// twin, if set, takes the same events and must have the same effects.
	twin   *Core
	now    core.Micros
	timers map[string]core.Micros

	engines map[string]*testEngine
	names   []string
	asked   map[uint64]core.Micros // latest answer
	grants  map[string]Granted
	ids     []string
	nextAsk uint64
	limit   int
	policy  Policy
	adopted bool
}

// testEngine is the engine's own view; lagged is the last published one.
type testEngine struct {
	incarnation string
	running     map[string]int
	lagged      engine.Load
	down        bool
}

func newWorld(t require.TestingT, policy Policy, engines, limit int) *world {
	w := &world{
		t: t, core: New(Options{Instance: "g", Policy: policy}), now: core.Hour, limit: limit, policy: policy, timers: map[string]core.Micros{},
		engines: map[string]*testEngine{}, asked: map[uint64]core.Micros{}, grants: map[string]Granted{},
	}
	for i := range engines {
		name := fmt.Sprintf("e%d", i)
		w.names = append(w.names, name)
		w.engines[name] = &testEngine{incarnation: name + "-0", running: map[string]int{}}
	}
	w.step(w.configured())
	return w
}

func (w *world) configured() PoolConfigured {
	configs := make([]EngineConfig, 0, len(w.names))
	for _, name := range w.names {
		configs = append(configs, EngineConfig{Name: name, Address: name, KVTokens: testKV, PrefillRate: 20_000, DecodeRate: 50})
	}
	return PoolConfigured{Now: w.now, Engines: configs, QueueLimit: w.limit, CrashLimit: 3}
}

// changeAllocator replaces the core by a new one, which knows neither the requests that wait nor the grants.
func (w *world) changeAllocator() {
	w.core = New(Options{Instance: fmt.Sprint("g", w.now), Policy: w.policy})
	w.twin = New(Options{Instance: fmt.Sprint("g", w.now), Policy: w.policy})
	w.timers, w.asked, w.adopted = map[string]core.Micros{}, map[uint64]core.Micros{}, true
	w.step(w.configured())
}

// renewAll renews every grant as its gate would.
func (w *world) renewAll() {
	var held []HeldGrant
	for _, id := range w.ids {
		if g, ok := w.grants[id]; ok {
			held = append(held, HeldGrant{GrantID: id, RequestID: g.RequestID, Engines: g.Engines})
		}
	}
	w.step(GrantsRenewed{Now: w.now, Gate: "gate", Grants: held})
}

func (w *world) step(ev Event) {
	effects := w.core.Step(ev)
	if w.twin != nil && !reflect.DeepEqual(effects, w.twin.Step(ev)) {
		require.Fail(w.t, "a second run has other effects")
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case Granted:
			w.answered(e.Ask)
			w.grants[e.GrantID] = e
			w.ids = append(w.ids, e.GrantID)
			for _, s := range e.Engines {
				w.engines[s.Engine].running[e.RequestID] = s.Tokens
			}
		case Refused:
			w.answered(e.Ask)
		case SetTimer:
			w.timers[e.Key] = e.At
		}
	}
	w.check()
}

func (w *world) granted(ask uint64) bool {
	for _, g := range w.grants {
		if g.Ask == ask {
			return true
		}
	}
	return false
}

func (w *world) answered(ask uint64) {
	until, ok := w.asked[ask]
	require.True(w.t, ok, "ask %d was answered twice or never asked", ask)
	require.LessOrEqual(w.t, w.now, until, "ask %d was answered after its max wait", ask)
	delete(w.asked, ask)
	delete(w.timers, fmt.Sprint(timerAsk, ask))
}

func (w *world) check() {
	for _, e := range w.core.engines {
		sum := 0
		for _, h := range e.holdings {
			sum += h.tokens
		}
		// Plain comparisons, because an assertion of testify costs more than the step under test.
		if sum != e.committed || !w.adopted && sum > testKV {
			require.Fail(w.t, "wrong commitments", "%s: %d held, %d committed", e.cfg.Name, sum, e.committed)
		}
	}
	for ask, until := range w.asked {
		if until < w.now {
			require.Fail(w.t, "late answer", "ask %d", ask)
		}
	}
}

// pass lets time pass and fires the timers on the way, in order.
func (w *world) pass(span core.Micros) {
	end := w.now + span
	for {
		key, at := "", end+1
		for k, a := range w.timers {
			if a < at || a == at && k < key {
				key, at = k, a
			}
		}
		if key == "" {
			break
		}
		delete(w.timers, key)
		w.now = max(w.now, at)
		w.step(TimerFired{Now: w.now, Key: key})
	}
	w.now = end
}

// report delivers the published view of an engine and publishes the present one, which lags by one report.
func (w *world) report(name string) {
	e := w.engines[name]
	if e.down {
		w.step(EngineUnreachable{Now: w.now, Engine: name})
		return
	}
	if e.lagged.Incarnation == e.incarnation {
		w.step(EngineReported{Now: w.now, Engine: name, AskedAt: w.now, Load: e.lagged})
	}
	e.lagged = engine.Load{
		Incarnation: e.incarnation, State: engine.StateReady, Role: engine.RoleMixed, KVTokensTotal: testKV,
		Models: []engine.LoadedModel{{Name: "m", Adapters: []string{"a"}}},
	}
	for id, tokens := range e.running {
		e.lagged.KVTokensUsed += tokens
		e.lagged.Running = append(e.lagged.Running, engine.RunningRequest{RequestID: id, ReservedTokens: tokens})
	}
}

func (w *world) reportAll() {
	for _, name := range w.names {
		w.report(name)
	}
}

func (w *world) restart(name string) {
	e := w.engines[name]
	e.incarnation += "x"
	e.running = map[string]int{}
}

func (w *world) ask(r Request) {
	w.nextAsk++
	r.RequestID = fmt.Sprintf("r%d", w.nextAsk)
	w.asked[w.nextAsk] = w.now + r.MaxWait
	w.step(GrantAsked{Now: w.now, Ask: w.nextAsk, Request: r})
}

// finish ends a request on its engines and, unless the gate died, releases its grant.
func (w *world) finish(id string, outcome Outcome, release bool) {
	g := w.grants[id]
	for _, s := range g.Engines {
		delete(w.engines[s.Engine].running, g.RequestID)
	}
	delete(w.grants, id)
	if release {
		w.step(GrantReleased{Now: w.now, GrantID: id, Outcome: outcome})
	}
}

// drawPolicy switches rules off at random. Own commitments stay on, as without them memory is given twice.
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

func (w *world) randomEvent(t *rapid.T) {
	name := rapid.SampledFrom(w.names).Draw(t, "engine")
	switch rapid.IntRange(0, 14).Draw(t, "event") {
	case 0, 1, 2, 3:
		w.ask(drawRequest(t))
	case 4, 5:
		w.pass(core.Micros(rapid.IntRange(1, 3_000).Draw(t, "passMs")) * core.Millisecond)
	case 6, 7:
		w.report(name)
	case 8:
		w.engines[name].down = rapid.Bool().Draw(t, "down")
	case 9:
		w.restart(name)
	case 10:
		w.renewAll()
	case 11:
		if rapid.IntRange(0, 3).Draw(t, "change") == 0 {
			w.changeAllocator()
		}
	case 12:
		key := rapid.SampledFrom([]string{timerWarmUp, timerRetry, timerSweep, timerAsk + "1", timerAsk, "x"}).Draw(t, "timer")
		w.step(TimerFired{Now: w.now, Key: key})
	default:
		if len(w.ids) > 0 {
			id := rapid.SampledFrom(w.ids).Draw(t, "grant")
			outcome := rapid.SampledFrom([]Outcome{OutcomeComplete, OutcomeLost, OutcomeRefused}).Draw(t, "outcome")
			w.finish(id, outcome, rapid.Bool().Draw(t, "release"))
		}
	}
}

// Guards against memory given twice, answers given twice, late or never, memory that never comes back after gates and
// engines died, harm by stale timers, and effects that depend on map order.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, drawPolicy(t), rapid.IntRange(1, 6).Draw(t, "engines"), 20)
		w.changeAllocator()
		w.adopted = false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.randomEvent(t)
		}
		w.drain()
		require.Empty(t, w.asked, "unanswered")
		require.Zero(t, w.core.View(w.now).Grants)
		for _, e := range w.core.engines {
			require.Zero(t, e.committed, e.cfg.Name)
			require.Zero(t, e.suspects)
			require.Nil(t, e.trial)
			require.Zero(t, sum(&e.byClass))
		}
		require.Nil(t, w.core.reserved.head)
		require.Empty(t, w.core.queue.lanes)
	})
}

// drain ends all requests on the engines without a release, as if all gates had died, and lets 60 s pass.
func (w *world) drain() {
	for range 60 {
		for id := range w.grants {
			w.finish(id, OutcomeLost, false)
		}
		for _, e := range w.engines {
			e.running = map[string]int{}
		}
		w.reportAll()
		w.pass(core.Second)
	}
}

// Guards against a request that is passed over for ever: under a steady stream of short requests of the highest
// priority, a waiting request of the lowest one, of any size, is granted in bounded time.
func TestNoStarvation(t *testing.T) {
	for _, prompt := range []int{3_000, 50_000, 95_000, 250_000, 350_000} {
		for _, hold := range []int{3, 15} {
			t.Run(fmt.Sprintf("%d tokens, held for %d s", prompt, hold), func(t *testing.T) { starve(t, prompt, hold) })
		}
	}
}

func starve(t *testing.T, prompt, hold int) {
	const rate = 40 // a second; four engines prefill 20 of them
	policy := DefaultPolicy()
	policy.EarlyRefusal = false
	w := newWorld(t, policy, 4, 500)
	w.reportAll()
	w.pass(2 * core.Second)
	w.reportAll()
	w.flood(rate, hold, 20)
	w.ask(Request{
		Workspace: "low", Model: "m", PromptTokens: prompt, MaxOutputTokens: 500, MaxWait: 10 * core.Minute, Attempt: 1,
	})
	waiting := w.nextAsk
	for range 90 {
		w.flood(rate, hold, 1)
		if _, ok := w.asked[waiting]; !ok {
			require.True(t, w.granted(waiting), "refused")
			return
		}
	}
	t.Fatal("the request waited for 90 s")
}

// flood offers short requests of priority 9 for some seconds; each grant ends after hold seconds and is renewed till
// then.
func (w *world) flood(rate, hold, secs int) {
	for range secs {
		for range rate {
			w.ask(Request{
				Workspace: "high", Priority: 9, Model: "m", PromptTokens: 3_900, MaxOutputTokens: 4_000,
				MaxWait: 3 * core.Second, Attempt: 1,
			})
			w.pass(core.Second / core.Micros(rate))
		}
		w.reportAll()
		for _, id := range w.ids {
			if g, ok := w.grants[id]; ok && g.Expires-grantLife+core.Micros(hold)*core.Second <= w.now {
				w.finish(id, OutcomeComplete, true)
			}
		}
	}
}
