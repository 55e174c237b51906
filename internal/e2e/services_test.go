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

type reply struct {
	status int
	body   string
	code   string
	run    string
}

func call(ctx context.Context, address, route, key, body string) reply {
	target := "http://" + address + "/services/" + route + "/ring"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return reply{body: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+devdeploy.CallerKey)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return reply{body: err.Error()}
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	var e errorBody
	_ = json.Unmarshal(data, &e)
	return reply{status: resp.StatusCode, body: string(data), code: e.Error.Code, run: e.Error.Run}
}

// runs returns how often the service ran a body.
func (d *deployment) runs(body string) int {
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

// Guards against a bell that rings twice because its answer was lost and the caller sent it again, to any gate.
func TestLostAnswerOfNonIdempotentCallIsNotRepeated(t *testing.T) {
	d := start(t, nil)
	d.fault(d.Service, fakeservice.Faults{DropAnswers: 1})
	first := call(requestContext(t), d.Hosts[0].Caller, devdeploy.BellsRoute, "bell-1", "north wing")
	require.NotEqual(t, http.StatusOK, first.status)
	require.Equal(t, "unknown", first.run)
	for _, h := range d.Hosts {
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		again := call(ctx, h.Caller, devdeploy.BellsRoute, "bell-1", "north wing")
		cancel()
		require.NotEqual(t, http.StatusOK, again.status)
		require.Equal(t, "unknown", again.run, again.body)
	}
	require.Equal(t, 1, d.runs("north wing"))
}

// Guards against a repeat that runs again, or gets another answer, after the first run was answered.
func TestRepeatOfAnsweredCallGetsItsOutcome(t *testing.T) {
	d := start(t, nil)
	first := call(requestContext(t), d.Hosts[0].Caller, devdeploy.BellsRoute, "bell-2", "gym")
	require.Equal(t, http.StatusOK, first.status, first.body)
	for _, h := range d.Hosts {
		again := call(requestContext(t), h.Caller, devdeploy.BellsRoute, "bell-2", "gym")
		require.Equal(t, first.status, again.status)
		require.Equal(t, first.body, again.body)
	}
	other := call(requestContext(t), d.Hosts[1].Caller, devdeploy.BellsRoute, "bell-2", "hall")
	require.Equal(t, "key_reused", other.code)
	require.Equal(t, 1, d.runs("gym"))
	require.Equal(t, 0, d.runs("hall"))
}

// Guards against a call that runs twice when its caller sends it to all gates at once.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	d := start(t, nil)
	d.fault(d.Service, fakeservice.Faults{DelayMs: 300})
	var all sync.WaitGroup
	for range 4 {
		for _, h := range d.Hosts {
			all.Add(1)
			go func() {
				defer all.Done()
				call(requestContext(t), h.Caller, devdeploy.BellsRoute, "bell-3", "yard")
			}()
		}
	}
	all.Wait()
	require.Equal(t, 1, d.runs("yard"))
}

// Guards against a non-idempotent call without a durable claim, and against an outage that stops what needs no claim.
func TestPlatformOutage(t *testing.T) {
	d := start(t, nil)
	d.fault(d.Platform, platform.Faults{Outage: true})
	refused := call(requestContext(t), d.Hosts[0].Caller, devdeploy.BellsRoute, "bell-4", "attic")
	require.Equal(t, "not_run", refused.run, refused.body)
	require.Equal(t, "platform_unavailable", refused.code)
	require.Equal(t, 0, d.runs("attic"))

	status := call(requestContext(t), d.Hosts[1].Caller, devdeploy.StatusRoute, "", "lights")
	require.Equal(t, http.StatusOK, status.status, status.body)
	a := chat(requestContext(t), d.Hosts[2].Caller, devdeploy.CallerKey, "short question", 20, "", nil)
	require.True(t, a.complete)

	d.fault(d.Platform, platform.Faults{})
	again := call(requestContext(t), d.Hosts[2].Caller, devdeploy.BellsRoute, "bell-4", "attic")
	require.Equal(t, http.StatusOK, again.status, again.body)
	require.Equal(t, 1, d.runs("attic"))
}

// Guards against a claim's lost answer that makes a call run twice or blocks its key.
func TestLostAnswerOfClaim(t *testing.T) {
	d := start(t, nil)
	d.fault(d.Platform, platform.Faults{LoseWriteResponses: 1})
	first := call(requestContext(t), d.Hosts[0].Caller, devdeploy.BellsRoute, "bell-5", "pool")
	require.Equal(t, http.StatusOK, first.status, first.body)
	again := call(requestContext(t), d.Hosts[1].Caller, devdeploy.BellsRoute, "bell-5", "pool")
	require.Equal(t, first.body, again.body)
	require.Equal(t, 1, d.runs("pool"))
}
