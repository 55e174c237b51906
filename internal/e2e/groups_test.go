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
	// groupPromptTokens is more than twice the memory of one engine.
	groupPromptTokens = 42_000
	groupAnswer       = 400
)

// startGroups starts one pool of three engines that a long prompt needs together.
func startGroups(t *testing.T) *deployment {
	return start(t, func(plan *devdeploy.Plan) {
		plan.Hosts, plan.Domains, plan.EnginesPerDomain = 2, 1, 3
		plan.Engine.KVTokens = groupEngineTokens
	})
}

// longPrompt returns a prompt of groupPromptTokens that begins with name and has an answer of groupAnswer tokens.
func longPrompt(name string) string {
	const line = " the unit notes of the curriculum binder;"
	return answered(name+strings.Repeat(line, groupPromptTokens*engine.BytesPerToken/len(line)), groupAnswer)
}

func (d *deployment) long(t *testing.T, host int, prompt, lastID string, each func(n int)) answer {
	return chat(requestContext(t), d.Hosts[host].Caller, devdeploy.CallerKey, prompt, groupAnswer, lastID, each)
}

func requireGroupAnswer(t *testing.T, prompt string, a answer) {
	t.Helper()
	require.NoError(t, a.err)
	require.True(t, a.complete, "status %d, code %q, %d tokens %s", a.status, a.errorCode, len(a.tokens), a.body)
	require.Equal(t, expected(prompt, groupAnswer), a.text())
}

// Guards against a prompt over several engines that is not served, and against two of them at once that wait for each
// other's memory.
func TestPromptOverSeveralEngines(t *testing.T) {
	parallel(t)
	d := startGroups(t)
	helped := false
	prompt := longPrompt("binder")
	a := d.long(t, 0, prompt, "", func(n int) {
		if n == 50 {
			helped = d.engineHolding("reservation") != ""
		}
	})
	requireGroupAnswer(t, prompt, a)
	require.True(t, helped, "no helping engine held memory")
	d.requireFreed(2 * time.Second)

	var both sync.WaitGroup
	var answers [2]answer
	prompts := [2]string{longPrompt("first"), longPrompt("second")}
	for i := range answers {
		both.Go(func() { answers[i] = d.long(t, i, prompts[i], "", nil) })
	}
	both.Wait()
	for i, a := range answers {
		requireGroupAnswer(t, prompts[i], a)
	}
	d.requireFreed(2 * time.Second)
}

// Guards against a prompt that takes a part of the engines that it needs while memory is short on another one.
func TestGroupMemoryIsTakenAllOrNothing(t *testing.T) {
	parallel(t)
	d := startGroups(t)
	const shortFor = 4 * time.Second
	d.reserveAt("engine-domain-1-2", groupEngineTokens*3/4, shortFor)
	time.Sleep(1500 * time.Millisecond) // the allocator polls the engines every second
	prompt := longPrompt("all or nothing")
	var a answer
	var run sync.WaitGroup
	run.Go(func() { a = d.long(t, 0, prompt, "", nil) })
	until := time.Now().Add(shortFor - 2*time.Second)
	for time.Now().Before(until) {
		for name := range d.Engines {
			owners, err := d.holders(name)
			require.NoError(t, err)
			for _, o := range owners {
				require.Equal(t, "short", o.ID, "%s holds memory for a prompt that does not fit", name)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	run.Wait()
	if a.status == http.StatusOK {
		requireGroupAnswer(t, prompt, a)
	} else {
		require.Equal(t, "not_run", a.run, a.body)
	}
	d.requireFreed(2 * time.Second)
}

// reserveAt takes memory of an engine away from the deployment.
func (d *deployment) reserveAt(name string, tokens int, life time.Duration) {
	body, err := json.Marshal(engine.Reservation{ID: "short", Owner: "test", Tokens: tokens, TTLMs: int(life.Milliseconds())})
	require.NoError(d.t, err)
	resp, err := http.Post("http://"+d.Engines[name]+engine.PathReservations, "application/json", bytes.NewReader(body))
	require.NoError(d.t, err)
	defer resp.Body.Close()
	require.Equal(d.t, http.StatusNoContent, resp.StatusCode)
}

// Guards against an answer that is cut off, or memory that stays reserved, when a helping engine dies in mid-stream.
func TestHelperDiesInMidStream(t *testing.T) {
	parallel(t)
	d := startGroups(t)
	d.superviseEngines()
	prompt := longPrompt("helper dies")
	a := d.long(t, 0, prompt, "", func(n int) {
		if n == 50 {
			d.kill(d.engineHolding("reservation"))
		}
	})
	requireGroupAnswer(t, prompt, a)
	d.requireFreed(expiry)
}

// Guards against helpers' memory that is reserved for ever when the gate dies, and against a caller that cannot go on
// at another gate while the engines still hold the stream.
func TestGateDiesDuringPromptOverSeveralEngines(t *testing.T) {
	parallel(t)
	d := startGroups(t)
	prompt := longPrompt("gate dies")
	kill := func(n int) {
		if n == 50 {
			d.kill(d.Hosts[0].Name)
		}
	}
	first := d.long(t, 0, prompt, "", kill)
	require.False(t, first.complete)
	rest := d.long(t, 1, prompt, first.lastID, nil)
	require.True(t, rest.complete, "status %d, code %q %s", rest.status, rest.errorCode, rest.body)
	require.Equal(t, expected(prompt, groupAnswer), first.text()+rest.text())
	d.requireFreed(2 * time.Second)

	d.restart(d.Hosts[0].Name)
	d.waitReady(d.Hosts[0])
	require.False(t, d.long(t, 0, longPrompt("nobody returns"), "", kill).complete)
	d.requireFreed(expiry)
}
