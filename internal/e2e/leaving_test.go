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

// Limits for the requirement that a leaving server receives no new work after a few seconds.
const (
	// hostListLag is the delay of the platform's host list.
	hostListLag = 2 * time.Second
	// hostListPropagationLimit is hostListLag plus one interval of reading the list (5 s) and one of polling the
	// engines (1 s).
	hostListPropagationLimit = hostListLag + 6*time.Second
	// reportPropagationLimit is two polling intervals of an engine's report.
	reportPropagationLimit = 2 * time.Second
)

const leavingEngine = "engine-domain-1-1"

// setHostsLeaving replaces the platform's host list by the given addresses, all in state leaving.
func (d *deployment) setHostsLeaving(addresses ...string) {
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

// recordEngineRequests polls an engine until stop is called, which returns the IDs of the requests that ran on it.
func (d *deployment) recordEngineRequests(name string) (stop func() map[string]bool) {
	seen := map[string]bool{}
	ctx, cancel := context.WithCancel(context.Background())
	var recording sync.WaitGroup
	recording.Go(func() {
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
		recording.Wait()
		return seen
	}
}

// requireNoNewRequests sends requests to all gates and fails if one of them runs on the engine. One running request is
// allowed: the one that started before the engine began to leave.
func (d *deployment) requireNoNewRequests(t *testing.T, name string) {
	t.Helper()
	stopRecording := d.recordEngineRequests(name)
	for i := range 12 {
		prompt := fmt.Sprintf("new work %d", i)
		a := chat(requestContext(t), d.Hosts[i%3].Caller, devdeploy.CallerKey, prompt, loadAnswerTokens, "", nil)
		require.True(t, a.complete, "%d %s", a.status, a.body)
		require.Equal(t, expectedAnswer(prompt, loadAnswerTokens), a.text())
	}
	require.LessOrEqual(t, len(stopRecording()), 1, "new requests run on the leaving engine")
}

// leavingCase is a way to make an engine leave, and the time limit after which the engine must receive no new requests.
type leavingCase struct {
	leave            func(d *deployment)
	propagationLimit time.Duration
}

// Guards against new requests on an engine that is leaving (by the platform's host list, by its own report during a
// platform outage, or by configuration), and against a running request that is cut off as a result.
func TestLeavingEngineReceivesNoNewRequests(t *testing.T) {
	for name, tc := range map[string]leavingCase{
		"listed by the platform": {
			func(d *deployment) { d.setHostsLeaving(d.Engines[leavingEngine]) },
			hostListPropagationLimit,
		},
		"own report": {func(d *deployment) {
			d.injectFault(d.Platform, platform.Faults{Outage: true})
			d.injectFault(d.Engines[leavingEngine], fakeengine.Fault{Kind: fakeengine.FaultLeaving})
		}, reportPropagationLimit},
		"drained": {func(d *deployment) { d.drainServer(leavingEngine) }, maxPropagationDelay},
	} {
		t.Run(name, func(t *testing.T) {
			runParallel(t)
			tc.run(t)
		})
	}
}

func (tc leavingCase) run(t *testing.T) {
	d := startDeployment(t, func(plan *devdeploy.Plan) { plan.Engine.TimeScale = 1 })
	const tokens = longAnswerTokens // takes longer than every propagation limit
	prompt := promptWithAnswerLength("runs while the engine leaves", tokens)
	var a answer
	var running sync.WaitGroup
	firstToken := make(chan struct{})
	var once sync.Once
	running.Go(func() {
		a = chat(requestContext(t), d.Hosts[0].Caller, devdeploy.CallerKey, prompt, tokens, "", func(int) {
			once.Do(func() { close(firstToken) })
		})
	})
	<-firstToken
	owners, err := d.memoryOwners(leavingEngine)
	require.NoError(t, err)
	require.Len(t, owners, 1, "the request runs on another engine")
	tc.leave(d)
	time.Sleep(tc.propagationLimit)
	d.requireNoNewRequests(t, leavingEngine)
	running.Wait()
	require.True(t, a.complete, "%s %v", a.errorCode, a.err)
	require.Equal(t, expectedAnswer(prompt, tokens), a.text())
}

// drainServer drains a backend server by a configuration change.
func (d *deployment) drainServer(name string) {
	store := confstore.New(platform.NewClient(d.Platform))
	base, err := store.Read(context.Background())
	require.NoError(d.t, err)
	doc, err := base.Clone()
	require.NoError(d.t, err)
	for i, b := range doc.BackendServers {
		doc.BackendServers[i] = withDrained(b, name)
	}
	_, err = store.Apply(context.Background(), base, doc, "e2e")
	require.NoError(d.t, err)
}

func withDrained(b config.BackendServer, name string) config.BackendServer {
	b.Drained = b.Drained || b.Name == name
	return b
}

// Guards against new calls to a plain service that is leaving, and against a running call that is cut off as a result.
func TestLeavingServiceReceivesNoNewCalls(t *testing.T) {
	runParallel(t)
	d := startDeployment(t, nil)
	d.injectFault(d.Service, fakeservice.Faults{DelayMs: int(hostListPropagationLimit.Milliseconds()) - 1000})
	var last serviceResponse
	var running sync.WaitGroup
	running.Go(func() {
		last = callService(requestContext(t), d.Hosts[0].Caller, devdeploy.NonIdempotentRoute, "leaving-1",
			"runs while it leaves")
	})
	require.Eventually(t, func() bool { return d.runCount("runs while it leaves") == 1 }, 2*time.Second, pollInterval)
	d.setHostsLeaving(d.Service)
	time.Sleep(hostListPropagationLimit)
	for i, h := range d.Hosts {
		body := fmt.Sprintf("new call %d", i)
		refused := callService(requestContext(t), h.Caller, devdeploy.NonIdempotentRoute, fmt.Sprintf("leaving-2-%d", i), body)
		require.Equal(t, "no_backend_server", refused.code, "%d %s", refused.status, refused.body)
		require.Equal(t, "not_run", refused.run)
		require.Equal(t, 0, d.runCount(body))
	}
	running.Wait()
	require.Equal(t, http.StatusOK, last.status, last.body)
}
