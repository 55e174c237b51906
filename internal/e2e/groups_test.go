package e2e

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/engine"
)

const (
	groupEngineTokens = 20_000
	// groupPromptTokens is more than twice the memory of one engine (groupEngineTokens).
	groupPromptTokens = 42_000
	groupAnswerTokens = 400
)

// startGroupDeployment starts a deployment with one pool of three engines, all of which a long prompt needs.
func startGroupDeployment(t *testing.T) *deployment {
	return startDeployment(t, func(plan *devdeploy.Plan) {
		plan.Hosts, plan.Domains, plan.EnginesPerDomain = 2, 1, 3
		plan.Engine.KVTokens = groupEngineTokens
	})
}

// longPrompt returns a prompt of about groupPromptTokens tokens that begins with name and has an answer of
// groupAnswerTokens tokens.
func longPrompt(name string) string {
	const line = " the unit notes of the curriculum binder;"
	return promptWithAnswerLength(name+strings.Repeat(line, groupPromptTokens*engine.BytesPerToken/len(line)),
		groupAnswerTokens)
}

func (d *deployment) chatLong(t *testing.T, host int, prompt, lastID string, onToken func(n int)) answer {
	return chat(requestContext(t), d.Hosts[host].Caller, devdeploy.CallerKey, prompt, groupAnswerTokens, lastID, onToken)
}

func requireGroupAnswer(t *testing.T, prompt string, a answer) {
	t.Helper()
	require.NoError(t, a.err)
	require.True(t, a.complete, "status %d, code %q, %d tokens %s", a.status, a.errorCode, len(a.tokens), a.body)
	require.Equal(t, expectedAnswer(prompt, groupAnswerTokens), a.text())
}

// Guards against a prompt across several engines that is not served, and against a deadlock of two such prompts that
// wait for each other's memory.
func TestPromptAcrossSeveralEngines(t *testing.T) {
	runParallel(t)
	d := startGroupDeployment(t)
	helperHeldMemory := false
	prompt := longPrompt("binder")
	a := d.chatLong(t, 0, prompt, "", func(n int) {
		if n == 50 {
			helperHeldMemory = d.engineWithOwner("reservation") != ""
		}
	})
	requireGroupAnswer(t, prompt, a)
	require.True(t, helperHeldMemory, "no helping engine held memory")
	d.requireMemoryFreed(2 * time.Second)

	var running sync.WaitGroup
	var answers [2]answer
	prompts := [2]string{longPrompt("first"), longPrompt("second")}
	for i := range answers {
		running.Go(func() { answers[i] = d.chatLong(t, i, prompts[i], "", nil) })
	}
	running.Wait()
	for i, a := range answers {
		requireGroupAnswer(t, prompts[i], a)
	}
	d.requireMemoryFreed(2 * time.Second)
}

// Guards against a prompt that reserves memory on some of the engines that it needs while another engine lacks memory.
func TestGroupMemoryIsReservedAllOrNothing(t *testing.T) {
	runParallel(t)
	d := startGroupDeployment(t)
	const shortFor = 4 * time.Second
	d.reserveMemory("engine-domain-1-2", groupEngineTokens*3/4, shortFor)
	time.Sleep(1500 * time.Millisecond) // longer than the 1 s interval at which the allocator polls the engines
	prompt := longPrompt("all or nothing")
	var a answer
	var running sync.WaitGroup
	running.Go(func() { a = d.chatLong(t, 0, prompt, "", nil) })
	checkUntil := time.Now().Add(shortFor - 2*time.Second)
	for time.Now().Before(checkUntil) {
		for name := range d.Engines {
			owners, err := d.memoryOwners(name)
			require.NoError(t, err)
			for _, o := range owners {
				require.Equal(t, "short", o.ID, "%s holds memory for a prompt that does not fit", name)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	running.Wait()
	if a.status == http.StatusOK {
		requireGroupAnswer(t, prompt, a)
	} else {
		require.Equal(t, "not_run", a.run, a.body)
	}
	d.requireMemoryFreed(2 * time.Second)
}

// reserveMemory reserves memory of an engine so that the deployment cannot use it for the given time.
func (d *deployment) reserveMemory(name string, tokens int, ttl time.Duration) {
	body, err := json.Marshal(engine.Reservation{
		ID: "short", Owner: "test", Tokens: tokens, TTLMs: int(ttl.Milliseconds()),
	})
	require.NoError(d.t, err)
	resp, err := http.Post("http://"+d.Engines[name]+engine.PathReservations, "application/json", bytes.NewReader(body))
	require.NoError(d.t, err)
	defer resp.Body.Close()
	require.Equal(d.t, http.StatusNoContent, resp.StatusCode)
}

// Guards against an answer that is cut off, or memory that stays reserved, when a helping engine crashes in mid-stream.
func TestHelperDiesInMidStream(t *testing.T) {
	runParallel(t)
	d := startGroupDeployment(t)
	d.superviseEngines()
	prompt := longPrompt("helper dies")
	a := d.chatLong(t, 0, prompt, "", func(n int) {
		if n == 50 {
			d.kill(d.engineWithOwner("reservation"))
		}
	})
	requireGroupAnswer(t, prompt, a)
	d.requireMemoryFreed(orphanExpiry)
}

// Guards against memory of helping engines that stays reserved after the gate crashes, and against a caller that cannot
// resume at another gate while the engines still hold the stream.
func TestGateDiesDuringPromptAcrossSeveralEngines(t *testing.T) {
	runParallel(t)
	d := startGroupDeployment(t)
	prompt := longPrompt("gate dies")
	killGate := func(n int) {
		if n == 50 {
			d.kill(d.Hosts[0].Name)
		}
	}
	first := d.chatLong(t, 0, prompt, "", killGate)
	require.False(t, first.complete)
	resumed := d.chatLong(t, 1, prompt, first.lastID, nil)
	require.True(t, resumed.complete, "status %d, code %q %s", resumed.status, resumed.errorCode, resumed.body)
	require.Equal(t, expectedAnswer(prompt, groupAnswerTokens), first.text()+resumed.text())
	d.requireMemoryFreed(2 * time.Second)

	d.restart(d.Hosts[0].Name)
	d.waitReady(d.Hosts[0])
	require.False(t, d.chatLong(t, 0, longPrompt("nobody returns"), "", killGate).complete)
	d.requireMemoryFreed(orphanExpiry)
}
