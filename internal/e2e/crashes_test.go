package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/devdeploy"
)

const crashMarker = "crash-the-engine"

// Guards against a request that its caller sends again until it has crashed the whole fleet, against innocent requests
// that are lost with the engines it crashed, and against a daemon that starts later and does not know the verdict.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	parallel(t)
	d := start(t, func(plan *devdeploy.Plan) {
		plan.EnginesPerDomain = 2
		plan.Engine.CrashMarker = crashMarker
	})
	restarts := d.superviseEngines()
	ctx, stop := context.WithCancel(requestContext(t))
	innocents := d.load(ctx, t, 6)
	poison := "please " + crashMarker
	refused := d.sendUntilRefused(t, poison)
	require.Equal(t, http.StatusUnprocessableEntity, refused.status)
	limit := config.Limits{}.WithDefaults().CrashLimit
	time.Sleep(2 * restartPause) // counts the last restart as well
	require.LessOrEqual(t, int(restarts.Load()), limit, "engines crashed")
	for _, h := range d.Hosts {
		d.requireRefused(t, h, poison)
	}
	stop()
	innocents.wait(t)

	last := d.Hosts[2]
	d.kill(last.Name)
	d.restart(last.Name)
	d.waitReady(last)
	d.requireRefused(t, last, poison)
	require.LessOrEqual(t, int(restarts.Load()), limit, "engines crashed")
}

// sendUntilRefused sends a request to all gates in turn until it is refused for its crashes.
func (d *deployment) sendUntilRefused(t *testing.T, prompt string) answer {
	var a answer
	for i := range 6 {
		a = chat(requestContext(t), d.Hosts[i%len(d.Hosts)].Caller, devdeploy.CallerKey, prompt, 50, "", nil)
		require.False(t, a.complete)
		if a.status != http.StatusOK && a.errorCode == "request_crashes_servers" {
			return a
		}
	}
	require.Equal(t, "request_crashes_servers", a.errorCode, "%d %s", a.status, a.body)
	return a
}

func (d *deployment) requireRefused(t *testing.T, h devdeploy.Host, prompt string) {
	t.Helper()
	a := chat(requestContext(t), h.Caller, devdeploy.CallerKey, prompt, 50, "", nil)
	require.Equal(t, "request_crashes_servers", a.errorCode, "%s: %d %s", h.Name, a.status, a.body)
	require.Equal(t, http.StatusUnprocessableEntity, a.status)
}

// loadRun is a load of requests that must all finish whole.
type loadRun struct {
	workers sync.WaitGroup
	mu      sync.Mutex
	done    int
	failed  []string
}

// loadTokens is the length of the answers of a load.
const loadTokens = 60

// load sends requests over all gates until ctx ends. The last requests finish.
func (d *deployment) load(ctx context.Context, t *testing.T, workers int) *loadRun {
	run := &loadRun{}
	for i := range workers {
		run.workers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("innocent question %d of worker %d", n, i)
				host := d.Hosts[(n+i)%len(d.Hosts)]
				a := chat(requestContext(t), host.Caller, devdeploy.CallerKey, prompt, loadTokens, "", nil)
				run.note(a, prompt)
			}
		})
	}
	return run
}

func (r *loadRun) note(a answer, prompt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done++
	if !a.complete || a.text() != expected(prompt, loadTokens) {
		r.failed = append(r.failed, fmt.Sprintf("%s: status %d, code %q, %v, %d tokens %s", prompt, a.status, a.errorCode,
			a.err, len(a.tokens), a.body))
	}
}

func (r *loadRun) wait(t *testing.T) {
	t.Helper()
	r.workers.Wait()
	require.Empty(t, r.failed, "of %d requests", r.done)
	require.Greater(t, r.done, 20)
}
