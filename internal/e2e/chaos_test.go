package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/fakeengine"
)

const (
	chaosSeed          = 20260104
	chaosDuration      = 8 * time.Second
	chaosFaultInterval = 500 * time.Millisecond
	chaosWorkers       = 6
)

// Guards against engine memory that is never freed when gates, allocators and engines are killed, connections break or
// stall, and callers disconnect, all concurrently.
func TestNoEngineMemoryLeaksUnderFaults(t *testing.T) {
	runParallel(t)
	d := startDeployment(t, func(plan *devdeploy.Plan) {
		plan.Domains, plan.EnginesPerDomain = 2, 3
		plan.Engine.KVTokens = groupEngineTokens
	})
	d.superviseEngines()
	ctx, stop := context.WithTimeout(requestContext(t), chaosDuration)
	defer stop()
	var load sync.WaitGroup
	var wrongAnswers sync.Map
	for i := range chaosWorkers {
		load.Go(func() { d.runChaosCaller(ctx, i, &wrongAnswers) })
	}
	random := rand.New(rand.NewPCG(chaosSeed, 0))
	for ctx.Err() == nil {
		d.injectRandomFault(random)
		time.Sleep(chaosFaultInterval)
	}
	load.Wait()
	for _, h := range d.Hosts {
		d.waitReady(h)
	}
	d.requireMemoryFreed(orphanExpiry)
	wrongAnswers.Range(func(prompt, got any) bool { t.Errorf("%s: %s", prompt, got); return true })
}

// runChaosCaller sends short and long prompts and disconnects during some of the answers. It stores an error in
// wrongAnswers unless a complete answer equals the expected one and an incomplete answer is a prefix of it.
func (d *deployment) runChaosCaller(ctx context.Context, worker int, wrongAnswers *sync.Map) {
	random := rand.New(rand.NewPCG(chaosSeed, uint64(worker)+1))
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("chaos %d of worker %d", n, worker)
		if worker == 0 {
			prompt = longPrompt(prompt)
		}
		requestCtx, disconnect := context.WithCancel(ctx)
		disconnectAfter := random.IntN(3 * loadAnswerTokens) // beyond the end of the answer in most cases
		a := chat(requestCtx, d.Hosts[random.IntN(len(d.Hosts))].Caller, devdeploy.CallerKey, prompt,
			loadAnswerTokens, "", func(n int) {
				if n == disconnectAfter {
					disconnect()
				}
			})
		disconnect()
		want := expectedAnswer(prompt, loadAnswerTokens)
		if got := a.text(); a.complete && got != want || len(got) > len(want) || got != want[:len(got)] {
			wrongAnswers.Store(prompt[:20], fmt.Sprintf("complete %v, %d tokens, not the expected answer", a.complete,
				len(a.tokens)))
		}
	}
}

// injectRandomFault kills and restarts a gate (which is also an allocator), kills an engine, or breaks or stalls the
// connections of an engine.
func (d *deployment) injectRandomFault(random *rand.Rand) {
	name := fmt.Sprintf("engine-domain-%d-%d", random.IntN(2)+1, random.IntN(3)+1)
	switch random.IntN(4) {
	case 0:
		host := d.Hosts[random.IntN(len(d.Hosts))].Name
		d.kill(host)
		d.restart(host)
	case 1:
		if p := d.process(name); !p.ended() {
			_ = p.cmd.Process.Kill() // the process may have ended in the meantime
		}
	case 2:
		d.injectFaultIfUp(name, fakeengine.FaultDrop)
	default:
		d.injectFaultIfUp(name, fakeengine.FaultSilent)
	}
}

// injectFaultIfUp sends a fault command to an engine unless the engine is down.
func (d *deployment) injectFaultIfUp(name string, kind fakeengine.FaultKind) {
	if _, err := d.accounting(name); err == nil {
		d.injectFault(d.Engines[name], fakeengine.Fault{Kind: kind})
	}
}

// injectFaultEverywhere sends a fault command to all engines.
func (d *deployment) injectFaultEverywhere(command fakeengine.Fault) {
	for _, address := range d.Engines {
		d.injectFault(address, command)
	}
}
