package alloccore

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// The simulation runs one pool of six engines that share their prefill rate equally among concurrent prefills, and
// measures how much long prompts slow down short ones under several policies. Its results compare policies; they do not
// predict real engines.
const (
	simTick        = 5 * core.Millisecond
	simDuration    = 120 * core.Second
	simEngines     = 6
	simPrefillRate = 20_000
	simKVTokens    = 400_000
)

// job is one request or part of a request on an engine.
type job struct {
	id, grantID string
	short       bool
	arrived     core.Micros
	prefill     float64
	decodeEnds  core.Micros
	lead        bool
}

type simulation struct {
	core    *Core
	now     core.Micros
	timers  map[string]core.Micros
	jobs    map[uint64]*job
	running map[string][]*job
	// shortFirstTokenMs and longFirstTokenMs are the times to the first token of short and of all other requests.
	shortFirstTokenMs, longFirstTokenMs []float64
}

func (sim *simulation) step(ev Event) {
	for _, effect := range sim.core.Step(ev) {
		switch e := effect.(type) {
		case SetTimer:
			sim.timers[e.Key] = e.At
		case Granted:
			j := sim.jobs[e.Call]
			j.grantID = e.GrantID
			j.prefill /= float64(len(e.Engines))
			for i, s := range e.Engines {
				part := *j
				part.lead = i == 0
				sim.running[s.Engine] = append(sim.running[s.Engine], &part)
			}
		}
	}
}

func (sim *simulation) fireTimers() {
	for _, key := range []string{timerWarmUp, timerRetry, timerSweep} {
		if at := sim.timers[key]; at > 0 && at <= sim.now {
			delete(sim.timers, key)
			sim.step(TimerFired{Now: sim.now, Key: key})
		}
	}
}

// advanceEngine advances one engine by a tick and releases the grants of finished requests.
func (sim *simulation) advanceEngine(name string) {
	prefilling := 0
	for _, j := range sim.running[name] {
		if j.prefill > 0 {
			prefilling++
		}
	}
	var ended []string
	sim.running[name] = slices.DeleteFunc(sim.running[name], func(j *job) bool {
		if j.prefill > 0 {
			j.prefill -= simPrefillRate * seconds(simTick) / float64(prefilling)
			if j.prefill <= 0 {
				j.decodeEnds = sim.now + 4*core.Second
				sim.recordFirstToken(j)
			}
			return false
		}
		if sim.now >= j.decodeEnds && j.lead {
			ended = append(ended, j.grantID)
		}
		return sim.now >= j.decodeEnds
	})
	for _, id := range ended {
		sim.step(GrantReleased{Now: sim.now, GrantID: id, Outcome: OutcomeComplete})
	}
}

func (sim *simulation) recordFirstToken(j *job) {
	firstTokenMs := float64(sim.now-j.arrived) / 1000
	switch {
	case j.short:
		sim.shortFirstTokenMs = append(sim.shortFirstTokenMs, firstTokenMs)
	case j.lead:
		sim.longFirstTokenMs = append(sim.longFirstTokenMs, firstTokenMs)
	}
}

func (sim *simulation) report(name string) {
	load := engine.Load{
		Incarnation: name, State: engine.StateReady, KVTokensTotal: simKVTokens, Models: []engine.LoadedModel{{Name: "m"}},
	}
	for _, j := range sim.running[name] {
		load.QueuedPrefillTokens += int(max(0, j.prefill))
		load.Running = append(load.Running, engine.RunningRequest{RequestID: j.id})
	}
	sim.step(EngineReported{Now: sim.now, Engine: name, PolledAt: sim.now, Load: load})
}

func (sim *simulation) submit(call uint64, prompt int) {
	short := prompt <= 4_000
	sim.jobs[call] = &job{id: fmt.Sprint(call), short: short, arrived: sim.now, prefill: float64(prompt)}
	sim.step(GrantRequested{Now: sim.now, Call: call, Request: Request{
		RequestID: fmt.Sprint(call), Workspace: fmt.Sprint("w", call%10), Model: "m", PromptTokens: prompt,
		MaxOutputTokens: 500, MaxWait: 10 * core.Minute, Priority: 5,
	}})
}

// simPolicy returns the default policy for engines that prefill concurrently.
func simPolicy() Policy {
	policy := DefaultPolicy()
	policy.SharedPrefill = true
	return policy
}

// runSimulation submits 25 short prompts per second (a third of the prefill rate) and, if long is set, long ones
// (another third). It returns the simulation with sorted times to the first token.
func runSimulation(policy Policy, long bool) *simulation {
	sim := &simulation{
		core: New(Options{Instance: "g", Policy: policy}), now: core.Second, timers: map[string]core.Micros{},
		jobs: map[uint64]*job{}, running: map[string][]*job{},
	}
	var configs []EngineConfig
	var names []string
	for i := range simEngines {
		names = append(names, fmt.Sprint("e", i))
		configs = append(configs, EngineConfig{Name: names[i], KVTokens: simKVTokens, PrefillRate: simPrefillRate, DecodeRate: 50})
	}
	sim.step(PoolConfigured{Now: sim.now, Engines: configs, QueueLimit: 512, CrashLimit: 3})
	random := rand.New(rand.NewPCG(1, 2))
	call := uint64(0)
	for tick := 0; sim.now < simDuration; tick++ {
		sim.now += simTick
		for i, name := range names {
			if tick%200 == 10*i {
				sim.report(name)
			}
			sim.advanceEngine(name)
		}
		sim.fireTimers()
		shortNow, longNow := random.Float64() < 25*seconds(simTick), random.Float64() < 0.4*seconds(simTick)
		shortPrompt, longPrompt := 1_000+random.IntN(1_200), 20_000+random.IntN(160_000)
		if shortNow {
			call++
			sim.submit(call, shortPrompt)
		}
		if longNow && long {
			call++
			sim.submit(call, longPrompt)
		}
	}
	slices.Sort(sim.shortFirstTokenMs)
	slices.Sort(sim.longFirstTokenMs)
	return sim
}

func percentile(sorted []float64, p float64) float64 { return sorted[int(p*float64(len(sorted)-1))] }

// Guards against a default policy that lets long prompts slow down short ones more than the alternatives do. The p95
// time to the first token of short prompts beside long ones, relative to that without long ones, must be below 1.5.
func TestSlowdownByLongPromptsIsBounded(t *testing.T) {
	baseline := runSimulation(simPolicy(), false).shortFirstTokenMs
	slowdown := func(name string, change func(*Policy)) float64 {
		policy := simPolicy()
		change(&policy)
		sim := runSimulation(policy, true)
		at := func(p float64) float64 { return percentile(sim.shortFirstTokenMs, p) / percentile(baseline, p) }
		t.Logf("%-15s short: slowdown p50 %.2f p95 %.2f p99 %.2f; long: %d done, p50 %.1f s, p95 %.1f s", name,
			at(.5), at(.95), at(.99), len(sim.longFirstTokenMs),
			percentile(sim.longFirstTokenMs, .5)/1000, percentile(sim.longFirstTokenMs, .95)/1000)
		return at(.95)
	}
	defaultSlowdown := slowdown("default", func(*Policy) {})
	for name, change := range map[string]func(*Policy){
		"noPrefillShares": func(p *Policy) { p.PrefillShares = false },
		"noPrefillSpread": func(p *Policy) { p.PrefillSpread = false },
		"noSharedPrefill": func(p *Policy) { p.SharedPrefill = false },
		"noEngineQueue":   func(p *Policy) { p.EngineQueue = false },
		"leastLoaded":     func(p *Policy) { p.Picker = PickLeastLoaded },
		"roundRobin":      func(p *Policy) { p.Picker = PickRoundRobin },
	} {
		require.LessOrEqual(t, defaultSlowdown, slowdown(name, change), name)
	}
	require.Less(t, defaultSlowdown, 1.5)
}
