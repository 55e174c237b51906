package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/fakeengine"
)

// localEngine returns the address of the engine in the host's failure domain, which the host's gate prefers.
func (d *deployment) localEngine(h devdeploy.Host) string {
	return d.Engines["engine-"+h.FailureDomain+"-1"]
}

// Guards against lost, repeated or foreign tokens, and against an incomplete answer that is reported as complete, when
// an engine violates the protocol in any way or refuses requests.
func TestEngineProtocolViolationsNeverReachCallers(t *testing.T) {
	runParallel(t)
	d := startDeployment(t, nil)
	faults := []fakeengine.Fault{
		{Kind: fakeengine.FaultProtocolViolation, Mode: fakeengine.ViolationMalformed, Count: 1},
		{Kind: fakeengine.FaultProtocolViolation, Mode: fakeengine.ViolationGap, Count: 1},
		{Kind: fakeengine.FaultProtocolViolation, Mode: fakeengine.ViolationRepeat, Count: 1},
		{Kind: fakeengine.FaultProtocolViolation, Mode: fakeengine.ViolationAttempt, Count: 1},
		{Kind: fakeengine.FaultProtocolViolation, Mode: fakeengine.ViolationEarlyDone, Count: 1},
		{Kind: fakeengine.FaultRefuse, Count: 1},
	}
	for i, f := range faults {
		h := d.Hosts[i%len(d.Hosts)] // each gate handles two faults; its retry budget allows three retries in 10 s
		d.injectFault(d.localEngine(h), f)
		prompt := promptWithAnswerLength("nonsense "+string(f.Kind)+string(f.Mode), answerTokens)
		a := chat(requestContext(t), h.Caller, devdeploy.CallerKey, prompt, answerTokens, "", nil)
		requireCompleteAnswer(t, prompt, a)
		d.injectFaultEverywhere(fakeengine.Fault{Kind: fakeengine.FaultClear}) // disarms a fault that was not triggered
	}
	d.requireMemoryFreed(orphanExpiry)
}

// Guards against answers that hang or are cut off when an engine's open connections stall permanently while new ones
// work, when they break, or when an engine delays every call.
func TestSilentBrokenAndSlowEngines(t *testing.T) {
	runParallel(t)
	d := startDeployment(t, nil)
	for i, kind := range []fakeengine.FaultKind{fakeengine.FaultSilent, fakeengine.FaultDrop} {
		prompt := promptWithAnswerLength("engine connection "+string(kind), answerTokens)
		var once sync.Once
		a := chat(requestContext(t), d.Hosts[i].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
			if n > 50 {
				once.Do(func() { d.injectFaultEverywhere(fakeengine.Fault{Kind: kind}) })
			}
		})
		requireCompleteAnswer(t, prompt, a)
	}
	d.injectFaultEverywhere(fakeengine.Fault{Kind: fakeengine.FaultDelay, Ms: 300})
	a := chat(requestContext(t), d.Hosts[2].Caller, devdeploy.CallerKey, "slow engine", answerTokens, "", nil)
	requireCompleteAnswer(t, "slow engine", a)
	d.requireMemoryFreed(orphanExpiry)
}

// longAnswerTokens is the length of an answer that takes an engine about 12 s at time scale 1.
const longAnswerTokens = 1900

// deadlineSlack allows for scheduling delays on shared cores. The gate itself enforces the deadline exactly.
const deadlineSlack = time.Second

// chatWithDeadline sends a streamed chat request with a deadline and returns the answer and the time until it ended.
func chatWithDeadline(
	t *testing.T, h devdeploy.Host, prompt string, maxTokens int, deadline time.Duration,
) (answer, time.Duration) {
	body, err := json.Marshal(map[string]any{
		"model": devdeploy.Model, "stream": true, "max_tokens": maxTokens, "seed": seed,
		"messages": []map[string]string{{"role": "user", "content": withPromptMarker(prompt)}},
	})
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(requestContext(t), http.MethodPost, "http://"+h.Caller+"/v1/chat/completions",
		bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+devdeploy.CallerKey)
	req.Header.Set("X-Carobstile-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	sentAt := time.Now()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	a := readAnswer(resp, sentAt, nil)
	return a, time.Since(sentAt)
}

// Guards against requests that continue after their deadline (in mid-stream, in the queue, or at an engine that does
// not respond), and against engine memory that they keep.
func TestDeadlineIsEnforced(t *testing.T) {
	runParallel(t)
	d := startDeploymentWith(t, func(plan *devdeploy.Plan) {
		plan.Engine.TimeScale = 1
		plan.Engine.KVTokens = 3_000
	}, func(doc *config.Document) {
		doc.Limits.MaxOutputTokens = longAnswerTokens
		doc.Models[0].MaxPromptTokens = 500
	})
	const deadline = 1500 * time.Millisecond
	a, elapsed := chatWithDeadline(t, d.Hosts[0], promptWithAnswerLength("deadline in mid-stream", longAnswerTokens),
		longAnswerTokens, deadline)
	require.Equal(t, "deadline_exceeded", a.errorCode)
	require.NotEmpty(t, a.tokens)
	require.Less(t, elapsed, deadline+deadlineSlack)
	d.requireMemoryFreed(2 * time.Second)

	ctx, disconnect := context.WithCancel(requestContext(t))
	var load sync.WaitGroup
	loadPrompt := promptWithAnswerLength("fills the memory", longAnswerTokens)
	for _, h := range d.Hosts { // together, these requests fill the memory of all engines
		load.Go(func() { chat(ctx, h.Caller, devdeploy.CallerKey, loadPrompt, longAnswerTokens, "", nil) })
	}
	time.Sleep(time.Second)
	a, elapsed = chatWithDeadline(t, d.Hosts[1], promptWithAnswerLength("deadline in the queue", longAnswerTokens),
		longAnswerTokens, deadline)
	require.False(t, a.complete)
	require.Contains(t, []string{"deadline_exceeded", "overloaded"}, a.errorCode, a.body)
	require.Equal(t, "not_run", a.run)
	require.Less(t, elapsed, deadline+deadlineSlack)
	disconnect()
	load.Wait()
	d.requireMemoryFreed(2 * time.Second)

	// Just below the silence timeout of 2 s.
	d.injectFaultEverywhere(fakeengine.Fault{Kind: fakeengine.FaultDelay, Ms: 1900})
	a, elapsed = chatWithDeadline(t, d.Hosts[2], "deadline at an engine that does not answer", 100, deadline)
	require.False(t, a.complete)
	require.Less(t, elapsed, deadline+deadlineSlack)
	d.injectFaultEverywhere(fakeengine.Fault{Kind: fakeengine.FaultDelay})
	d.requireMemoryFreed(orphanExpiry)
}

// slowReaderTimeout is the time after which a gate disconnects a caller that does not read.
const slowReaderTimeout = 10 * time.Second

// Guards against a caller that does not read its answer and thereby holds a stream and engine memory indefinitely.
// Either the buffers in between absorb the answer, or the gate disconnects the caller.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	runParallel(t)
	d := startDeployment(t, nil)
	body, err := json.Marshal(map[string]any{
		"model": devdeploy.Model, "stream": true, "max_tokens": longAnswerTokens, "seed": seed,
		"messages": []map[string]string{{"role": "user", "content": withPromptMarker(promptWithAnswerLength("never read", longAnswerTokens))}},
	})
	require.NoError(t, err)
	conn, err := net.Dial("tcp", d.Hosts[0].Caller)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer " +
		devdeploy.CallerKey + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body)))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.engineWithOwner("request") != "" }, 2*time.Second, pollInterval)
	const answerAllowance = 6 * time.Second // twice the engine's time for the complete answer
	require.Eventually(t, func() bool { return d.status(d.Hosts[0]).OpenStreams == 0 },
		slowReaderTimeout+answerAllowance, pollInterval)
	d.requireMemoryFreed(2 * time.Second)
}
