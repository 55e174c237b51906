package e2e

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/fakeservice"
	"github.com/carobstile/carobstile/internal/platform"
)

type serviceResponse struct {
	status int
	body   string
	code   string
	run    string
}

func callService(ctx context.Context, address, route, key, body string) serviceResponse {
	target := "http://" + address + "/services/" + route + "/ring"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return serviceResponse{body: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+devdeploy.CallerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return serviceResponse{body: err.Error()}
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	var e errorBody
	_ = json.Unmarshal(data, &e)
	return serviceResponse{status: resp.StatusCode, body: string(data), code: e.Error.Code, run: e.Error.Run}
}

// runCount returns how many times the service ran a call with the given body.
func (d *deployment) runCount(body string) int {
	resp, err := http.Get("http://" + d.Service + "/debug/calls")
	require.NoError(d.t, err)
	defer resp.Body.Close()
	var calls []fakeservice.Call
	require.NoError(d.t, json.NewDecoder(resp.Body).Decode(&calls))
	for _, c := range calls {
		if c.Body == body {
			return c.Runs
		}
	}
	return 0
}

// Guards against a non-idempotent call that runs twice because its response was lost and the caller sent it again, to
// any gate.
func TestLostAnswerOfNonIdempotentCallIsNotRepeated(t *testing.T) {
	d := startDeployment(t, nil)
	d.injectFault(d.Service, fakeservice.Faults{DropAnswers: 1})
	first := callService(requestContext(t), d.Hosts[0].Caller, devdeploy.NonIdempotentRoute, "bell-1", "north wing")
	require.NotEqual(t, http.StatusOK, first.status)
	require.Equal(t, "unknown", first.run)
	for _, h := range d.Hosts {
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		repeated := callService(ctx, h.Caller, devdeploy.NonIdempotentRoute, "bell-1", "north wing")
		cancel()
		require.NotEqual(t, http.StatusOK, repeated.status)
		require.Equal(t, "unknown", repeated.run, repeated.body)
	}
	require.Equal(t, 1, d.runCount("north wing"))
}

// Guards against a repeated call that runs again, or gets a different response, after the first call completed.
func TestRepeatOfAnsweredCallGetsItsOutcome(t *testing.T) {
	d := startDeployment(t, nil)
	first := callService(requestContext(t), d.Hosts[0].Caller, devdeploy.NonIdempotentRoute, "bell-2", "gym")
	require.Equal(t, http.StatusOK, first.status, first.body)
	for _, h := range d.Hosts {
		repeated := callService(requestContext(t), h.Caller, devdeploy.NonIdempotentRoute, "bell-2", "gym")
		require.Equal(t, first.status, repeated.status)
		require.Equal(t, first.body, repeated.body)
	}
	other := callService(requestContext(t), d.Hosts[1].Caller, devdeploy.NonIdempotentRoute, "bell-2", "hall")
	require.Equal(t, "key_reused", other.code)
	require.Equal(t, 1, d.runCount("gym"))
	require.Equal(t, 0, d.runCount("hall"))
}

// Guards against a call that runs more than once when its caller sends it to all gates concurrently.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	d := startDeployment(t, nil)
	d.injectFault(d.Service, fakeservice.Faults{DelayMs: 300})
	var calls sync.WaitGroup
	for range 4 {
		for _, h := range d.Hosts {
			calls.Add(1)
			go func() {
				defer calls.Done()
				callService(requestContext(t), h.Caller, devdeploy.NonIdempotentRoute, "bell-3", "yard")
			}()
		}
	}
	calls.Wait()
	require.Equal(t, 1, d.runCount("yard"))
}

// Guards against a non-idempotent call that runs without a durable claim, and against a platform outage that blocks
// requests that need no claim.
func TestPlatformOutage(t *testing.T) {
	d := startDeployment(t, nil)
	d.injectFault(d.Platform, platform.Faults{Outage: true})
	refused := callService(requestContext(t), d.Hosts[0].Caller, devdeploy.NonIdempotentRoute, "bell-4", "attic")
	require.Equal(t, "not_run", refused.run, refused.body)
	require.Equal(t, "platform_unavailable", refused.code)
	require.Equal(t, 0, d.runCount("attic"))

	status := callService(requestContext(t), d.Hosts[1].Caller, devdeploy.IdempotentRoute, "", "lights")
	require.Equal(t, http.StatusOK, status.status, status.body)
	a := chat(requestContext(t), d.Hosts[2].Caller, devdeploy.CallerKey, "short question", 20, "", nil)
	require.True(t, a.complete)

	d.injectFault(d.Platform, platform.Faults{})
	retried := callService(requestContext(t), d.Hosts[2].Caller, devdeploy.NonIdempotentRoute, "bell-4", "attic")
	require.Equal(t, http.StatusOK, retried.status, retried.body)
	require.Equal(t, 1, d.runCount("attic"))
}

// Guards against a lost response to the write of a claim that makes a call run twice or blocks its idempotency key.
func TestLostClaimWriteResponse(t *testing.T) {
	d := startDeployment(t, nil)
	d.injectFault(d.Platform, platform.Faults{LoseWriteResponses: 1})
	first := callService(requestContext(t), d.Hosts[0].Caller, devdeploy.NonIdempotentRoute, "bell-5", "pool")
	require.Equal(t, http.StatusOK, first.status, first.body)
	repeated := callService(requestContext(t), d.Hosts[1].Caller, devdeploy.NonIdempotentRoute, "bell-5", "pool")
	require.Equal(t, first.body, repeated.body)
	require.Equal(t, 1, d.runCount("pool"))
}
