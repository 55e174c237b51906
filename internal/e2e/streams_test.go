package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/devdeploy"
)

const (
	answerTokens   = 400
	requestTimeout = 40 * time.Second
)

func requestContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	t.Cleanup(cancel)
	return ctx
}

// busyEngine returns the engine that currently runs a request, according to the pools' grants. It returns "" if there
// is none.
func (d *deployment) busyEngine() string {
	for _, h := range d.Hosts {
		for _, p := range d.status(h).Pools {
			if p.Grants > 0 {
				return "engine-" + strings.TrimPrefix(p.Pool, "pool-") + "-1"
			}
		}
	}
	return ""
}

func requireCompleteAnswer(t *testing.T, prompt string, a answer) {
	t.Helper()
	require.NoError(t, a.err)
	require.True(t, a.complete, "status %d, code %q, %d tokens", a.status, a.errorCode, len(a.tokens))
	require.Equal(t, expectedAnswer(prompt, answerTokens), a.text())
}

// Guards against lost or repeated tokens when the engine crashes in mid-stream.
func TestEngineDiesInMidStream(t *testing.T) {
	d := startDeployment(t, nil)
	prompt := "how do tides follow the moon"
	var once sync.Once
	a := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n > 50 {
			once.Do(func() { d.kill(d.busyEngine()) })
		}
	})
	requireCompleteAnswer(t, prompt, a)
}

// Guards against a stream that hangs when the connection to its engine stalls permanently.
func TestEngineGoesSilentInMidStream(t *testing.T) {
	d := startDeployment(t, nil)
	prompt := "how do tides follow the moon"
	var once sync.Once
	a := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n > 50 {
			once.Do(func() { d.signal(d.busyEngine(), syscall.SIGSTOP) })
		}
	})
	requireCompleteAnswer(t, prompt, a)
}

// Guards against a caller that cannot resume its stream at another gate when its gate crashes, or that receives tokens
// twice or not at all.
func TestGateDiesInMidStream(t *testing.T) {
	d := startDeployment(t, nil)
	prompt := "explain fall arrest harness checks"
	var killGate sync.Once
	first := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n > 50 {
			killGate.Do(func() { d.kill(d.Hosts[0].Name) })
		}
	})
	require.False(t, first.complete)
	require.NotEmpty(t, first.lastID)
	other := chat(requestContext(t), d.Hosts[1].Caller, devdeploy.SecondCallerKey, prompt, answerTokens, first.lastID, nil)
	require.Equal(t, "cursor_invalid", other.errorCode, "another caller's cursor")
	resumed := chat(requestContext(t), d.Hosts[1].Caller, devdeploy.CallerKey, prompt, answerTokens, first.lastID, nil)
	require.NoError(t, resumed.err)
	require.True(t, resumed.complete, "%d %s", resumed.status, resumed.body)
	require.Equal(t, expectedAnswer(prompt, answerTokens), first.text()+resumed.text())
}

// Guards against requests that fail on two successive failures: a gate and then an engine crash during the same answer.
func TestGateAndEngineDieDuringOneAnswer(t *testing.T) {
	d := startDeployment(t, nil)
	prompt := "summarise the unit notes on rivers"
	var killGate, killEngine sync.Once
	first := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n > 50 {
			killGate.Do(func() { d.kill(d.Hosts[0].Name) })
		}
	})
	resumed := chat(requestContext(t), d.Hosts[1].Caller, devdeploy.CallerKey, prompt, answerTokens, first.lastID, func(n int) {
		if n > 50 {
			killEngine.Do(func() { d.kill(d.busyEngine()) })
		}
	})
	require.True(t, resumed.complete, "%+v", resumed.errorCode)
	require.Equal(t, expectedAnswer(prompt, answerTokens), first.text()+resumed.text())
}

// Guards against requests that a graceful stop cuts off: all daemons are restarted one after the other under load.
func TestRollingRestartCompletesAllRequests(t *testing.T) {
	d := startDeployment(t, nil)
	ctx, stop := context.WithCancel(requestContext(t))
	var failed, done atomic.Int64
	var failures sync.Map
	var load sync.WaitGroup
	for i := range 6 {
		load.Add(1)
		go func() {
			defer load.Done()
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("question %d of worker %d", n, i)
				a := d.chatViaBalancer(requestContext(t), prompt)
				if !a.complete || a.text() != expectedAnswer(prompt, 60) {
					failed.Add(1)
					failures.Store(prompt, fmt.Sprintf("%d %s %v %d tokens", a.status, a.errorCode, a.err, len(a.tokens)))
				}
				done.Add(1)
			}
		}()
	}
	for _, h := range d.Hosts {
		d.stopGracefully(h.Name)
		d.restart(h.Name)
		d.waitReady(h)
	}
	stop()
	load.Wait()
	failures.Range(func(k, v any) bool { t.Log(k, v); return true })
	require.Zero(t, failed.Load(), "of %d requests", done.Load())
	require.Greater(t, done.Load(), int64(20))
}

// Guards against a graceful stop that only waits for short requests: the answer takes longer than the 5 s that the
// server's own shutdown allows.
func TestGracefulStopFinishesLongStream(t *testing.T) {
	d := startDeployment(t, func(plan *devdeploy.Plan) { plan.Engine.TimeScale = 0.5 })
	prompt := "review the whole incident report"
	const tokens = 700
	var once sync.Once
	stopped := make(chan struct{})
	a := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, tokens, "", func(n int) {
		if n > 50 {
			once.Do(func() {
				go func() {
					d.stopGracefully(d.Hosts[0].Name)
					close(stopped)
				}()
			})
		}
	})
	require.True(t, a.complete, "%d tokens, %v", len(a.tokens), a.err)
	require.Equal(t, expectedAnswer(prompt, tokens), a.text())
	<-stopped
}

// chatViaBalancer sends a request to a daemon that reports itself ready, as the platform's load balancer does. If the
// request fails before the first token, it is sent to the next daemon.
func (d *deployment) chatViaBalancer(ctx context.Context, prompt string) answer {
	var a answer
	for range 20 {
		for _, h := range d.Hosts {
			if !d.status(h).Ready {
				continue
			}
			a = chat(ctx, h.Caller, devdeploy.CallerKey, prompt, 60, "", nil)
			if a.err == nil || len(a.tokens) > 0 {
				return a
			}
		}
		time.Sleep(pollInterval)
	}
	return a
}
