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

// The experiment drives one pool of six engines that share their prefill rate equally among the requests they prefill,
// and compares how much long prompts slow short ones under several policies. It is a model: it says how policies
// compare, not what engines do.
const (
	labTick    = 5 * core.Millisecond
	labSpan    = 120 * core.Second
	labEngines = 6
	labRate    = 20_000
	labKV      = 400_000
)

// job is a request on an engine.
type job struct {
	id, grantID string
	short       bool
	arrived     core.Micros
	prefill     float64
	decodeEnds  core.Micros
	lead        bool
}

type lab struct {
	core    *Core
	now     core.Micros
	timers  map[string]core.Micros
	arrived map[uint64]*job
	running map[string][]*job
	// firstToken collects the times to the first token of short requests, long those of the others, in ms.
	firstToken, long []float64
}

func (l *lab) step(ev Event) {
	for _, effect := range l.core.Step(ev) {
		switch e := effect.(type) {
		case SetTimer:
			l.timers[e.Key] = e.At
		case Granted:
			j := l.arrived[e.Ask]
			j.grantID = e.GrantID
			j.prefill /= float64(len(e.Engines))
			for i, s := range e.Engines {
				part := *j
				part.lead = i == 0
				l.running[s.Engine] = append(l.running[s.Engine], &part)
			}
		}
	}
}

func (l *lab) fireTimers() {
	for _, key := range []string{timerWarmUp, timerRetry, timerSweep} {
		if at := l.timers[key]; at > 0 && at <= l.now {
			delete(l.timers, key)
			l.step(TimerFired{Now: l.now, Key: key})
		}
	}
}

// work advances one engine by a tick and releases what ends.
func (l *lab) work(name string) {
	busy := 0
	for _, j := range l.running[name] {
		if j.prefill > 0 {
			busy++
		}
	}
	var ended []string
	l.running[name] = slices.DeleteFunc(l.running[name], func(j *job) bool {
		if j.prefill > 0 {
			j.prefill -= labRate * seconds(labTick) / float64(busy)
			if j.prefill <= 0 {
				j.decodeEnds = l.now + 4*core.Second
				l.note(j)
			}
			return false
		}
		if l.now >= j.decodeEnds && j.lead {
			ended = append(ended, j.grantID)
		}
		return l.now >= j.decodeEnds
	})
	for _, id := range ended {
		l.step(GrantReleased{Now: l.now, GrantID: id, Outcome: OutcomeComplete})
	}
}

func (l *lab) note(j *job) {
	took := float64(l.now-j.arrived) / 1000
	switch {
	case j.short:
		l.firstToken = append(l.firstToken, took)
	case j.lead:
		l.long = append(l.long, took)
	}
}

func (l *lab) report(name string) {
	load := engine.Load{
		Incarnation: name, State: engine.StateReady, KVTokensTotal: labKV, Models: []engine.LoadedModel{{Name: "m"}},
	}
	for _, j := range l.running[name] {
		load.QueuedPrefillTokens += int(max(0, j.prefill))
		load.Running = append(load.Running, engine.RunningRequest{RequestID: j.id})
	}
	l.step(EngineReported{Now: l.now, Engine: name, AskedAt: l.now, Load: load})
}

func (l *lab) arrive(ask uint64, prompt int) {
	short := prompt <= 4_000
	l.arrived[ask] = &job{id: fmt.Sprint(ask), short: short, arrived: l.now, prefill: float64(prompt)}
	l.step(GrantAsked{Now: l.now, Ask: ask, Request: Request{
		RequestID: fmt.Sprint(ask), Workspace: fmt.Sprint("w", ask%10), Model: "m", PromptTokens: prompt,
		MaxOutputTokens: 500, MaxWait: 10 * core.Minute, Priority: 5,
	}})
}

// labPolicy is the default policy for engines that prefill side by side.
func labPolicy() Policy {
	policy := DefaultPolicy()
	policy.SharedPrefill = true
	return policy
}

// runLab offers 25 short prompts a second (a third of the prefill rate), and long ones if wanted (another third), and
// returns the sorted times to the first token.
func runLab(policy Policy, long bool) *lab {
	l := &lab{
		core: New(Options{Instance: "g", Policy: policy}), now: core.Second, timers: map[string]core.Micros{},
		arrived: map[uint64]*job{}, running: map[string][]*job{},
	}
	var configs []EngineConfig
	var names []string
	for i := range labEngines {
		names = append(names, fmt.Sprint("e", i))
		configs = append(configs, EngineConfig{Name: names[i], KVTokens: labKV, PrefillRate: labRate, DecodeRate: 50})
	}
	l.step(PoolConfigured{Now: l.now, Engines: configs, QueueLimit: 512, CrashLimit: 3})
	random := rand.New(rand.NewPCG(1, 2))
	ask := uint64(0)
	for tick := 0; l.now < labSpan; tick++ {
		l.now += labTick
		for i, name := range names {
			if tick%200 == 10*i {
				l.report(name)
			}
			l.work(name)
		}
		l.fireTimers()
		shortNow, longNow := random.Float64() < 25*seconds(labTick), random.Float64() < 0.4*seconds(labTick)
		shortPrompt, longPrompt := 1_000+random.IntN(1_200), 20_000+random.IntN(160_000)
		if shortNow {
			ask++
			l.arrive(ask, shortPrompt)
		}
		if longNow && long {
			ask++
			l.arrive(ask, longPrompt)
		}
	}
	slices.Sort(l.firstToken)
	slices.Sort(l.long)
	return l
}

func percentile(sorted []float64, p float64) float64 { return sorted[int(p*float64(len(sorted)-1))] }

// Guards against a policy that lets long prompts slow short ones more than the baselines do. The time to the first token
// of short prompts, beside long ones, is compared with that of the same short prompts alone.
func TestLongPromptsHardlySlowShortOnes(t *testing.T) {
	alone := runLab(labPolicy(), false).firstToken
	slowdown := func(name string, change func(*Policy)) float64 {
		policy := labPolicy()
		change(&policy)
		l := runLab(policy, true)
		at := func(p float64) float64 { return percentile(l.firstToken, p) / percentile(alone, p) }
		t.Logf("%-15s short: slowdown p50 %.2f p95 %.2f p99 %.2f; long: %d done, p50 %.1f s, p95 %.1f s", name,
			at(.5), at(.95), at(.99), len(l.long), percentile(l.long, .5)/1000, percentile(l.long, .95)/1000)
		return at(.95)
	}
	best := slowdown("default", func(*Policy) {})
	for name, change := range map[string]func(*Policy){
		"noPrefillShares": func(p *Policy) { p.PrefillShares = false },
		"noPrefillSpread": func(p *Policy) { p.PrefillSpread = false },
		"noSharedPrefill": func(p *Policy) { p.SharedPrefill = false },
		"noEngineQueue":   func(p *Policy) { p.EngineQueue = false },
		"leastLoaded":     func(p *Policy) { p.Picker = PickLeastLoaded },
		"roundRobin":      func(p *Policy) { p.Picker = PickRoundRobin },
	} {
		require.LessOrEqual(t, best, slowdown(name, change), name)
	}
	require.Less(t, best, 1.5)
}
