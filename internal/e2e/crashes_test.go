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

// Guards against a request that crashes every engine because its caller keeps sending it, against unrelated requests
// that fail when their engine crashes, and against a daemon that restarts later and does not know that the request must
// be refused.
func TestRequestThatCrashesEnginesIsRefused(t *testing.T) {
	runParallel(t)
	d := startDeployment(t, func(plan *devdeploy.Plan) {
		plan.EnginesPerDomain = 2
		plan.Engine.CrashMarker = crashMarker
	})
	restarts := d.superviseEngines()
	ctx, stop := context.WithCancel(requestContext(t))
	otherRequests := d.startLoad(ctx, t, 6)
	crashingPrompt := "please " + crashMarker
	refused := d.sendUntilRefused(t, crashingPrompt)
	require.Equal(t, http.StatusUnprocessableEntity, refused.status)
	limit := config.Limits{}.WithDefaults().CrashLimit
	time.Sleep(2 * engineRestartDelay) // includes the last restart in the count
	require.LessOrEqual(t, int(restarts.Load()), limit, "engines crashed")
	for _, h := range d.Hosts {
		d.requireRefused(t, h, crashingPrompt)
	}
	stop()
	otherRequests.wait(t)

	last := d.Hosts[2]
	d.kill(last.Name)
	d.restart(last.Name)
	d.waitReady(last)
	d.requireRefused(t, last, crashingPrompt)
	require.LessOrEqual(t, int(restarts.Load()), limit, "engines crashed")
}

// sendUntilRefused sends a request to all gates in turn until it is refused because of the crashes that it caused.
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

// backgroundLoad is a load of requests, all of which must complete.
type backgroundLoad struct {
	workers sync.WaitGroup
	mu      sync.Mutex
	done    int
	failed  []string
}

// loadAnswerTokens is the maximum length of the answers to load requests.
const loadAnswerTokens = 60

// startLoad sends requests to all gates until ctx ends. Requests that are already running then complete.
func (d *deployment) startLoad(ctx context.Context, t *testing.T, workers int) *backgroundLoad {
	run := &backgroundLoad{}
	for i := range workers {
		run.workers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				prompt := fmt.Sprintf("innocent question %d of worker %d", n, i)
				host := d.Hosts[(n+i)%len(d.Hosts)]
				a := chat(requestContext(t), host.Caller, devdeploy.CallerKey, prompt, loadAnswerTokens, "", nil)
				run.record(a, prompt)
			}
		})
	}
	return run
}

func (r *backgroundLoad) record(a answer, prompt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done++
	if !a.complete || a.text() != expectedAnswer(prompt, loadAnswerTokens) {
		r.failed = append(r.failed, fmt.Sprintf("%s: status %d, code %q, %v, %d tokens %s", prompt, a.status, a.errorCode,
			a.err, len(a.tokens), a.body))
	}
}

func (r *backgroundLoad) wait(t *testing.T) {
	t.Helper()
	r.workers.Wait()
	require.Empty(t, r.failed, "of %d requests", r.done)
	require.Greater(t, r.done, 20)
}
