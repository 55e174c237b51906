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
	chaosSeed   = 20260104
	chaosTime   = 8 * time.Second
	chaosPause  = 500 * time.Millisecond
	chaosWorker = 6
)

// Guards against engine memory that is lost for good under kills of gates, allocators and engines, broken and silent
// connections, and callers that leave, all at once.
func TestNoMemoryIsLostUnderFaults(t *testing.T) {
	parallel(t)
	d := start(t, func(plan *devdeploy.Plan) {
		plan.Domains, plan.EnginesPerDomain = 2, 3
		plan.Engine.KVTokens = groupEngineTokens
	})
	d.superviseEngines()
	ctx, stop := context.WithTimeout(requestContext(t), chaosTime)
	defer stop()
	var load sync.WaitGroup
	var wrong sync.Map
	for i := range chaosWorker {
		load.Go(func() { d.chaoticCaller(ctx, i, &wrong) })
	}
	random := rand.New(rand.NewPCG(chaosSeed, 0))
	for ctx.Err() == nil {
		d.randomFault(random)
		time.Sleep(chaosPause)
	}
	load.Wait()
	for _, h := range d.Hosts {
		d.waitReady(h)
	}
	d.requireFreed(expiry)
	wrong.Range(func(prompt, got any) bool { t.Errorf("%s: %s", prompt, got); return true })
}

// chaoticCaller sends short and long prompts and leaves some of them. An answer that is whole must be right, and an
// answer that is not whole must be a part of the right one.
func (d *deployment) chaoticCaller(ctx context.Context, worker int, wrong *sync.Map) {
	random := rand.New(rand.NewPCG(chaosSeed, uint64(worker)+1))
	for n := 0; ctx.Err() == nil; n++ {
		prompt := fmt.Sprintf("chaos %d of worker %d", n, worker)
		if worker == 0 {
			prompt = longPrompt(prompt)
		}
		one, leave := context.WithCancel(ctx)
		leaveAt := random.IntN(3 * loadTokens) // most callers stay
		a := chat(one, d.Hosts[random.IntN(len(d.Hosts))].Caller, devdeploy.CallerKey, prompt, loadTokens, "", func(n int) {
			if n == leaveAt {
				leave()
			}
		})
		leave()
		whole := expected(prompt, loadTokens)
		if got := a.text(); a.complete && got != whole || len(got) > len(whole) || got != whole[:len(got)] {
			wrong.Store(prompt[:20], fmt.Sprintf("complete %v, %d tokens, not the right answer", a.complete, len(a.tokens)))
		}
	}
}

// randomFault kills a gate (which is also an allocator) and restarts it, kills an engine, or breaks or silences
// connections of an engine.
func (d *deployment) randomFault(random *rand.Rand) {
	name := fmt.Sprintf("engine-domain-%d-%d", random.IntN(2)+1, random.IntN(3)+1)
	switch random.IntN(4) {
	case 0:
		host := d.Hosts[random.IntN(len(d.Hosts))].Name
		d.kill(host)
		d.restart(host)
	case 1:
		if p := d.process(name); !p.ended() {
			_ = p.cmd.Process.Kill() // may have ended since
		}
	case 2:
		d.tryFault(name, fakeengine.FaultDrop)
	default:
		d.tryFault(name, fakeengine.FaultSilent)
	}
}

// tryFault sends a fault command to an engine that may be down.
func (d *deployment) tryFault(name string, kind fakeengine.FaultKind) {
	if _, err := d.accounting(name); err == nil {
		d.fault(d.Engines[name], fakeengine.Fault{Kind: kind})
	}
}

// faultAll sends a fault command to all engines.
func (d *deployment) faultAll(command fakeengine.Fault) {
	for _, address := range d.Engines {
		d.fault(address, command)
	}
}
