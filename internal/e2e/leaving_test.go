package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/fakeengine"
	"github.com/carobstile/carobstile/internal/fakeservice"
	"github.com/carobstile/carobstile/internal/platform"
)

// Bounds of "no new work after a few seconds".
const (
	// listLag is the lag of the platform's host list.
	listLag = 2 * time.Second
	// listedWithin is the list's lag, one interval of its reading (5 s) and one of the engines' polling (1 s).
	listedWithin = listLag + 6*time.Second
	// reportedWithin is two polls of an engine's report.
	reportedWithin = 2 * time.Second
)

const leavingEngine = "engine-domain-1-1"

// setLeaving puts addresses on the platform's list as leaving.
func (d *deployment) setLeaving(addresses ...string) {
	var hosts []platform.Host
	for _, address := range addresses {
		hosts = append(hosts, platform.Host{Address: address, FailureDomain: "domain-1", State: platform.HostLeaving})
	}
	body, err := json.Marshal(hosts)
	require.NoError(d.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+d.Platform+"/v1/hosts", bytes.NewReader(body))
	require.NoError(d.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(d.t, err)
	defer resp.Body.Close()
	require.Equal(d.t, http.StatusOK, resp.StatusCode)
}

// watchEngine returns the requests that an engine runs, seen from now until stop is called.
func (d *deployment) watchEngine(name string) (stop func() map[string]bool) {
	seen := map[string]bool{}
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() {
		client := engine.NewHTTP(0)
		defer client.Close()
		for ctx.Err() == nil {
			load, err := client.Load(ctx, d.Engines[name])
			for _, r := range load.Running {
				seen[r.RequestID] = err == nil
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	return func() map[string]bool {
		cancel()
		watching.Wait()
		return seen
	}
}

// requireNoNewWork sends requests to all gates and fails when one of them runs on the engine. The one that runs there
// already is known.
func (d *deployment) requireNoNewWork(t *testing.T, name string) {
	t.Helper()
	stop := d.watchEngine(name)
	for i := range 12 {
		prompt := fmt.Sprintf("new work %d", i)
		a := chat(requestContext(t), d.Hosts[i%3].Caller, devdeploy.CallerKey, prompt, loadTokens, "", nil)
		require.True(t, a.complete, "%d %s", a.status, a.body)
		require.Equal(t, expected(prompt, loadTokens), a.text())
	}
	require.LessOrEqual(t, len(stop()), 1, "new requests run on the leaving engine")
}

// leavingCase makes an engine leave and says how soon it must get no new work.
type leavingCase struct {
	leave  func(d *deployment)
	within time.Duration
}

// Guards against new work for an engine that leaves, by the platform's list, by its own report while the platform is
// out or by configuration, and against a running request that is cut off by that.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	for name, tc := range map[string]leavingCase{
		"listed by the platform": {func(d *deployment) { d.setLeaving(d.Engines[leavingEngine]) }, listedWithin},
		"own report": {func(d *deployment) {
			d.fault(d.Platform, platform.Faults{Outage: true})
			d.fault(d.Engines[leavingEngine], fakeengine.Fault{Kind: fakeengine.FaultLeaving})
		}, reportedWithin},
		"drained": {func(d *deployment) { d.drain(leavingEngine) }, inForceWithin},
	} {
		t.Run(name, func(t *testing.T) {
			parallel(t)
			tc.run(t)
		})
	}
}

func (tc leavingCase) run(t *testing.T) {
	d := start(t, func(plan *devdeploy.Plan) { plan.Engine.TimeScale = 1 })
	const tokens = longAnswer // longer than every bound
	prompt := answered("runs while the engine leaves", tokens)
	var a answer
	var running sync.WaitGroup
	begun := make(chan struct{})
	var once sync.Once
	running.Go(func() {
		a = chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, tokens, "", func(int) {
			once.Do(func() { close(begun) })
		})
	})
	<-begun
	owners, err := d.holders(leavingEngine)
	require.NoError(t, err)
	require.Len(t, owners, 1, "the request runs on another engine")
	tc.leave(d)
	time.Sleep(tc.within)
	d.requireNoNewWork(t, leavingEngine)
	running.Wait()
	require.True(t, a.complete, "%s %v", a.errorCode, a.err)
	require.Equal(t, expected(prompt, tokens), a.text())
}

// drain drains a backend server by configuration.
func (d *deployment) drain(name string) {
	store := confstore.New(platform.NewClient(d.Platform))
	base, err := store.Read(context.Background())
	require.NoError(d.t, err)
	doc, err := base.Clone()
	require.NoError(d.t, err)
	for i, b := range doc.BackendServers {
		doc.BackendServers[i] = drained(b, name)
	}
	_, err = store.Apply(context.Background(), base, doc, "e2e")
	require.NoError(d.t, err)
}

func drained(b config.BackendServer, name string) config.BackendServer {
	b.Drained = b.Drained || b.Name == name
	return b
}

// Guards against new calls to a plain service that leaves, and against a running call that is cut off by that.
func TestLeavingServiceGetsNoNewCalls(t *testing.T) {
	parallel(t)
	d := start(t, nil)
	d.fault(d.Service, fakeservice.Faults{DelayMs: int(listedWithin.Milliseconds()) - 1000})
	var last reply
	var running sync.WaitGroup
	running.Go(func() {
		last = call(requestContext(t), d.Hosts[0].Caller, devdeploy.BellsRoute, "leaving-1", "runs while it leaves")
	})
	require.Eventually(t, func() bool { return d.runs("runs while it leaves") == 1 }, 2*time.Second, poll)
	d.setLeaving(d.Service)
	time.Sleep(listedWithin)
	for i, h := range d.Hosts {
		body := fmt.Sprintf("new call %d", i)
		refused := call(requestContext(t), h.Caller, devdeploy.BellsRoute, fmt.Sprintf("leaving-2-%d", i), body)
		require.Equal(t, "no_backend_server", refused.code, "%d %s", refused.status, refused.body)
		require.Equal(t, "not_run", refused.run)
		require.Equal(t, 0, d.runs(body))
	}
	running.Wait()
	require.Equal(t, http.StatusOK, last.status, last.body)
}
