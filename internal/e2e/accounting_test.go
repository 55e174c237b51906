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

// expiry is the longest life of memory that nobody asks for any more: grants and reservations of a gate that died
// expire in 15 s, and an engine drops a stream that nobody reads after its resume window of 5 s.
const expiry = 15 * time.Second

// accounting returns who holds memory of an engine, or an error while the engine does not answer.
func (d *deployment) accounting(name string) (out fakeengine.Accounting, err error) {
	resp, err := http.Get("http://" + d.Engines[name] + "/debug/accounting")
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// holders returns the requests and reservations that hold memory of an engine.
func (d *deployment) holders(name string) ([]fakeengine.OwnerAccount, error) {
	a, err := d.accounting(name)
	var out []fakeengine.OwnerAccount
	for _, o := range a.Owners {
		if o.Kind != "cache" && o.Tokens != 0 {
			out = append(out, o)
		}
	}
	return out, err
}

// engineHolding returns an engine on which an owner of the kind holds memory, "" if there is none.
func (d *deployment) engineHolding(kind string) string {
	for name := range d.Engines {
		owners, _ := d.holders(name) // an engine that does not answer holds nothing
		for _, o := range owners {
			if o.Kind == kind {
				return name
			}
		}
	}
	return ""
}

// requireFreed fails unless all memory of all engines is free within a bound. Memory of the shared prefix cache counts
// as free when no request pins it.
func (d *deployment) requireFreed(within time.Duration) {
	d.t.Helper()
	var held string
	for limit := time.Now().Add(within); ; time.Sleep(poll) {
		held = d.held()
		if held == "" {
			return
		}
		if time.Now().After(limit) {
			break
		}
	}
	require.Empty(d.t, held, "memory is still held after %s", within)
}

// held describes the memory that requests and reservations hold.
func (d *deployment) held() string {
	out := ""
	for name := range d.Engines {
		a, err := d.accounting(name)
		if err != nil {
			out += fmt.Sprintf("%s: %v; ", name, err)
			continue
		}
		owners, _ := d.holders(name)
		if len(owners) > 0 || a.PinnedTokens != 0 || a.Requests != 0 {
			out += fmt.Sprintf("%s: %+v, pinned %d, requests %d; ", name, owners, a.PinnedTokens, a.Requests)
		}
	}
	return out
}

// Guards against memory that a cancelled caller or one that does not read keeps.
func TestCallerThatLeavesFreesMemory(t *testing.T) {
	parallel(t)
	d := start(t, nil)
	ctx, leave := context.WithCancel(requestContext(t))
	a := chat(ctx, d.Hosts[0].Caller, devdeploy.CallerKey, answered("cancelled", longAnswer), longAnswer, "", func(n int) {
		if n == 20 {
			leave()
		}
	})
	require.False(t, a.complete)
	d.requireFreed(2 * time.Second) // the gate cancels at the engine at once, so the resume window does not apply
	require.Eventually(t, func() bool { return d.status(d.Hosts[0]).OpenStreams == 0 }, 2*time.Second, poll)
}
