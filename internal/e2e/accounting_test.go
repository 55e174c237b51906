package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/fakeengine"
)

// orphanExpiry is the longest time for which an engine keeps memory that no gate uses any more: grants and reservations
// of a crashed gate expire after 15 s, and an engine drops an unread stream after its resume window of 5 s.
const orphanExpiry = 15 * time.Second

// accounting returns the owners of an engine's memory, or an error if the engine does not respond.
func (d *deployment) accounting(name string) (out fakeengine.Accounting, err error) {
	resp, err := http.Get("http://" + d.Engines[name] + "/debug/accounting")
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// memoryOwners returns the requests and reservations that hold memory of an engine.
func (d *deployment) memoryOwners(name string) ([]fakeengine.OwnerAccount, error) {
	a, err := d.accounting(name)
	var out []fakeengine.OwnerAccount
	for _, o := range a.Owners {
		if o.Kind != "cache" && o.Tokens != 0 {
			out = append(out, o)
		}
	}
	return out, err
}

// engineWithOwner returns an engine on which an owner of the given kind holds memory, or "" if there is none.
func (d *deployment) engineWithOwner(kind string) string {
	for name := range d.Engines {
		owners, _ := d.memoryOwners(name) // an engine that does not respond counts as one without owners
		for _, o := range owners {
			if o.Kind == kind {
				return name
			}
		}
	}
	return ""
}

// requireMemoryFreed fails the test unless all memory of all engines is free within the given time. Memory of the
// shared prefix cache counts as free if no request pins it.
func (d *deployment) requireMemoryFreed(within time.Duration) {
	d.t.Helper()
	var held string
	for limit := time.Now().Add(within); ; time.Sleep(pollInterval) {
		held = d.describeHeldMemory()
		if held == "" {
			return
		}
		if time.Now().After(limit) {
			break
		}
	}
	require.Empty(d.t, held, "memory is still held after %s", within)
}

// describeHeldMemory describes the memory that requests and reservations hold on all engines. It returns "" if they
// hold none.
func (d *deployment) describeHeldMemory() string {
	out := ""
	for name := range d.Engines {
		a, err := d.accounting(name)
		if err != nil {
			out += fmt.Sprintf("%s: %v; ", name, err)
			continue
		}
		owners, _ := d.memoryOwners(name)
		if len(owners) > 0 || a.PinnedTokens != 0 || a.Requests != 0 {
			out += fmt.Sprintf("%s: %+v, pinned %d, requests %d; ", name, owners, a.PinnedTokens, a.Requests)
		}
	}
	return out
}

// Guards against engine memory and open streams that remain after a caller disconnects.
func TestCallerDisconnectFreesMemory(t *testing.T) {
	runParallel(t)
	d := startDeployment(t, nil)
	ctx, disconnect := context.WithCancel(requestContext(t))
	a := chat(ctx, d.Hosts[0].Caller, devdeploy.CallerKey, promptWithAnswerLength("cancelled", longAnswerTokens),
		longAnswerTokens, "", func(n int) {
			if n == 20 {
				disconnect()
			}
		})
	require.False(t, a.complete)
	d.requireMemoryFreed(2 * time.Second) // the gate cancels at the engine at once, so the resume window does not apply
	require.Eventually(t, func() bool { return d.status(d.Hosts[0]).OpenStreams == 0 }, 2*time.Second, pollInterval)
}
