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
	answerTokens = 400
	requestTime  = 40 * time.Second
)

func requestContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	t.Cleanup(cancel)
	return ctx
}

// busyEngine returns the engine that runs a request now, by the pools' grants.
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

func requireWhole(t *testing.T, prompt string, a answer) {
	t.Helper()
	require.NoError(t, a.err)
	require.True(t, a.complete, "status %d, code %q, %d tokens", a.status, a.errorCode, len(a.tokens))
	require.Equal(t, expected(prompt, answerTokens), a.text())
}

// Guards against tokens that are lost or repeated when the engine dies in mid-stream.
func TestEngineDiesInMidStream(t *testing.T) {
	d := start(t, nil)
	prompt := "how do tides follow the moon"
	var once sync.Once
	a := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n > 50 {
			once.Do(func() { d.kill(d.busyEngine()) })
		}
	})
	requireWhole(t, prompt, a)
}

// Guards against a stream that hangs when its engine's connection goes silent for good.
func TestEngineGoesSilentInMidStream(t *testing.T) {
	d := start(t, nil)
	prompt := "how do tides follow the moon"
	var once sync.Once
	a := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n > 50 {
			once.Do(func() { d.signal(d.busyEngine(), syscall.SIGSTOP) })
		}
	})
	requireWhole(t, prompt, a)
}

// Guards against a caller that cannot continue elsewhere when its gate dies, or gets tokens twice or not at all.
func TestGateDiesInMidStream(t *testing.T) {
	d := start(t, nil)
	prompt := "explain fall arrest harness checks"
	var once sync.Once
	first := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n > 50 {
			once.Do(func() { d.kill(d.Hosts[0].Name) })
		}
	})
	require.False(t, first.complete)
	require.NotEmpty(t, first.lastID)
	other := chat(requestContext(t), d.Hosts[1].Caller, devdeploy.OtherKey, prompt, answerTokens, first.lastID, nil)
	require.Equal(t, "cursor_invalid", other.errorCode, "another caller's cursor")
	rest := chat(requestContext(t), d.Hosts[1].Caller, devdeploy.CallerKey, prompt, answerTokens, first.lastID, nil)
	require.NoError(t, rest.err)
	require.True(t, rest.complete, "%d %s", rest.status, rest.body)
	require.Equal(t, expected(prompt, answerTokens), first.text()+rest.text())
}

// Guards against requests that fail together when two failures meet: a gate and then an engine die under one answer.
func TestGateAndEngineDieUnderOneAnswer(t *testing.T) {
	d := start(t, nil)
	prompt := "summarise the unit notes on rivers"
	var once, again sync.Once
	first := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n > 50 {
			once.Do(func() { d.kill(d.Hosts[0].Name) })
		}
	})
	rest := chat(requestContext(t), d.Hosts[1].Caller, devdeploy.CallerKey, prompt, answerTokens, first.lastID, func(n int) {
		if n > 50 {
			again.Do(func() { d.kill(d.busyEngine()) })
		}
	})
	require.True(t, rest.complete, "%+v", rest.errorCode)
	require.Equal(t, expected(prompt, answerTokens), first.text()+rest.text())
}

// Guards against requests that a planned stop cuts off: all daemons are restarted one after the other under load.
func TestRollingRestartCutsOffNothing(t *testing.T) {
	d := start(t, nil)
	ctx, stop := context.WithCancel(requestContext(t))
	var failed, done atomic.Int64
	var reports sync.Map
	var load sync.WaitGroup
	for i := range 6 {
		load.Add(1)
		go func() {
			defer load.Done()
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("question %d of worker %d", n, i)
				a := d.viaBalancer(requestContext(t), prompt)
				if !a.complete || a.text() != expected(prompt, 60) {
					failed.Add(1)
					reports.Store(prompt, fmt.Sprintf("%d %s %v %d tokens", a.status, a.errorCode, a.err, len(a.tokens)))
				}
				done.Add(1)
			}
		}()
	}
	for _, h := range d.Hosts {
		d.stop(h.Name)
		d.restart(h.Name)
		d.waitReady(h)
	}
	stop()
	load.Wait()
	reports.Range(func(k, v any) bool { t.Log(k, v); return true })
	require.Zero(t, failed.Load(), "of %d requests", done.Load())
	require.Greater(t, done.Load(), int64(20))
}

// Guards against a planned stop that waits for short requests only: the answer goes on for longer than the 5 s that the
// server's own shutdown allows.
func TestPlannedStopFinishesLongStream(t *testing.T) {
	d := start(t, func(plan *devdeploy.Plan) { plan.Engine.TimeScale = 0.5 })
	prompt := "review the whole incident report"
	const tokens = 700
	var once sync.Once
	stopped := make(chan struct{})
	a := chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, tokens, "", func(n int) {
		if n > 50 {
			once.Do(func() {
				go func() {
					d.stop(d.Hosts[0].Name)
					close(stopped)
				}()
			})
		}
	})
	require.True(t, a.complete, "%d tokens, %v", len(a.tokens), a.err)
	require.Equal(t, expected(prompt, tokens), a.text())
	<-stopped
}

// viaBalancer sends a request to a daemon that says it is ready, as the platform's balancer does. A refused connection
// goes to the next daemon.
func (d *deployment) viaBalancer(ctx context.Context, prompt string) answer {
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
		time.Sleep(poll)
	}
	return a
}
