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

// ownEngine returns the address of the engine in a host's failure domain, which its gate asks first.
func (d *deployment) ownEngine(h devdeploy.Host) string {
	return d.Engines["engine-"+h.FailureDomain+"-1"]
}

// Guards against tokens lost, repeated or foreign, and against an answer called whole, when an engine breaks the
// protocol in any way or refuses.
func TestNonsenseOfEnginesNeverReachesCallers(t *testing.T) {
	parallel(t)
	d := start(t, nil)
	faults := []fakeengine.Fault{
		{Kind: fakeengine.FaultNonsense, Mode: fakeengine.NonsenseGarbage, Count: 1},
		{Kind: fakeengine.FaultNonsense, Mode: fakeengine.NonsenseGap, Count: 1},
		{Kind: fakeengine.FaultNonsense, Mode: fakeengine.NonsenseRepeat, Count: 1},
		{Kind: fakeengine.FaultNonsense, Mode: fakeengine.NonsenseAttempt, Count: 1},
		{Kind: fakeengine.FaultNonsense, Mode: fakeengine.NonsenseDone, Count: 1},
		{Kind: fakeengine.FaultRefuse, Count: 1},
	}
	for i, f := range faults {
		h := d.Hosts[i%len(d.Hosts)] // two retries a gate: three are in its budget of 10 s
		d.fault(d.ownEngine(h), f)
		prompt := answered("nonsense "+string(f.Kind)+string(f.Mode), answerTokens)
		a := chat(requestContext(t), h.Caller, devdeploy.CallerKey, prompt, answerTokens, "", nil)
		requireWhole(t, prompt, a)
		d.faultAll(fakeengine.Fault{Kind: fakeengine.FaultClear}) // another engine may have answered
	}
	d.requireFreed(expiry)
}

// Guards against answers that hang or are cut off when open connections go silent for good while new ones work, break,
// or when an engine answers every call late.
func TestSilentBrokenAndSlowEngines(t *testing.T) {
	parallel(t)
	d := start(t, nil)
	for i, kind := range []fakeengine.FaultKind{fakeengine.FaultSilent, fakeengine.FaultDrop} {
		prompt := answered("engine connection "+string(kind), answerTokens)
		var once sync.Once
		a := chat(requestContext(t), d.Hosts[i].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
			if n > 50 {
				once.Do(func() { d.faultAll(fakeengine.Fault{Kind: kind}) })
			}
		})
		requireWhole(t, prompt, a)
	}
	d.faultAll(fakeengine.Fault{Kind: fakeengine.FaultDelay, Ms: 300})
	a := chat(requestContext(t), d.Hosts[2].Caller, devdeploy.CallerKey, "slow engine", answerTokens, "", nil)
	requireWhole(t, "slow engine", a)
	d.requireFreed(expiry)
}

// longAnswer is an answer of about 12 s at the engines' full time.
const longAnswer = 1900

// deadlineSlack is the allowance for scheduling on shared cores. The deadline itself is exact at the gate.
const deadlineSlack = time.Second

// timed sends a request with a deadline and returns its answer and how long it took.
func timed(t *testing.T, h devdeploy.Host, prompt string, maxTokens int, deadline time.Duration) (answer, time.Duration) {
	body, err := json.Marshal(map[string]any{
		"model": devdeploy.Model, "stream": true, "max_tokens": maxTokens, "seed": seed,
		"messages": []map[string]string{{"role": "user", "content": marked(prompt)}},
	})
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(requestContext(t), http.MethodPost, "http://"+h.Caller+"/v1/chat/completions",
		bytes.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+devdeploy.CallerKey)
	req.Header.Set("X-Carobstile-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	began := time.Now()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	a := readAnswer(resp, began, nil)
	return a, time.Since(began)
}

// Guards against requests that go on after their deadline, in mid-stream, at an engine that does not answer and in the
// queue, and against their memory being kept.
func TestDeadlineIsEnforced(t *testing.T) {
	parallel(t)
	d := startWith(t, func(plan *devdeploy.Plan) {
		plan.Engine.TimeScale = 1
		plan.Engine.KVTokens = 3_000
	}, func(doc *config.Document) {
		doc.Limits.MaxOutputTokens = longAnswer
		doc.Models[0].MaxPromptTokens = 500
	})
	const deadline = 1500 * time.Millisecond
	a, took := timed(t, d.Hosts[0], answered("deadline in mid-stream", longAnswer), longAnswer, deadline)
	require.Equal(t, "deadline_exceeded", a.errorCode)
	require.NotEmpty(t, a.tokens)
	require.Less(t, took, deadline+deadlineSlack)
	d.requireFreed(2 * time.Second)

	ctx, leave := context.WithCancel(requestContext(t))
	var load sync.WaitGroup
	fills := answered("fills the memory", longAnswer)
	for _, h := range d.Hosts { // these fill the memory of all engines
		load.Go(func() { chat(ctx, h.Caller, devdeploy.CallerKey, fills, longAnswer, "", nil) })
	}
	time.Sleep(time.Second)
	a, took = timed(t, d.Hosts[1], answered("deadline in the queue", longAnswer), longAnswer, deadline)
	require.False(t, a.complete)
	require.Contains(t, []string{"deadline_exceeded", "overloaded"}, a.errorCode, a.body)
	require.Equal(t, "not_run", a.run)
	require.Less(t, took, deadline+deadlineSlack)
	leave()
	load.Wait()
	d.requireFreed(2 * time.Second)

	d.faultAll(fakeengine.Fault{Kind: fakeengine.FaultDelay, Ms: 1900}) // just below the limit of silence
	a, took = timed(t, d.Hosts[2], "deadline at an engine that does not answer", 100, deadline)
	require.False(t, a.complete)
	require.Less(t, took, deadline+deadlineSlack)
	d.faultAll(fakeengine.Fault{Kind: fakeengine.FaultDelay})
	d.requireFreed(expiry)
}

// slowReaderCut is the time after which a caller that does not read is cut off.
const slowReaderCut = 10 * time.Second

// Guards against a caller that does not read and so keeps a stream and engine memory: the buffers on the way take its
// answer, or the gate cuts it off.
func TestCallerThatDoesNotReadKeepsNothing(t *testing.T) {
	parallel(t)
	d := start(t, nil)
	body, err := json.Marshal(map[string]any{
		"model": devdeploy.Model, "stream": true, "max_tokens": longAnswer, "seed": seed,
		"messages": []map[string]string{{"role": "user", "content": marked(answered("never read", longAnswer))}},
	})
	require.NoError(t, err)
	conn, err := net.Dial("tcp", d.Hosts[0].Caller)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer " +
		devdeploy.CallerKey + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + string(body)))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.engineHolding("request") != "" }, 2*time.Second, poll)
	const whole = 6 * time.Second // the engine's time for the whole answer, and as much again
	require.Eventually(t, func() bool { return d.status(d.Hosts[0]).OpenStreams == 0 }, slowReaderCut+whole, poll)
	d.requireFreed(2 * time.Second)
}
