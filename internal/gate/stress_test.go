package gate

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/gatecore"
)

const stressTokens = 300 // more than the outgoing buffer holds

// faulty answers calls with random faults, some before any token and some in mid-stream.
func faulty(call EngineCall) ([]FakeStep, error) {
	steps := FakeAnswer(call, stressTokens)
	at := rand.IntN(len(steps))
	switch rand.IntN(12) {
	case 0:
		return nil, &EngineError{Cause: gatecore.CauseRefused}
	case 1:
		return nil, &EngineError{Cause: gatecore.CauseConnectFailed}
	case 2:
		return append(steps[:at:at], FakeStep{Err: io.ErrUnexpectedEOF}), nil
	case 3:
		return append(steps[:at:at], FakeStep{Err: &EngineError{Cause: gatecore.CauseCrashed}}), nil
	case 4:
		steps[at].Event.Offset++
	case 5:
		steps[at].Event.Attempt++
	}
	return steps, nil
}

// Guards against answers mixed between callers, grants lost and sessions that do not replay, when many callers, leaving
// ones among them, meet engines with faults. A complete answer is whole, any other is a prefix with a typed error.
func TestManyCallersMeetFaultyEngines(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.engines.Script = faulty })
	whole := textOf(wholeStream())
	var callers sync.WaitGroup
	for range 40 {
		callers.Go(func() {
			for range 5 {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				if rand.IntN(6) == 0 {
					time.AfterFunc(time.Duration(rand.IntN(5000))*time.Microsecond, cancel)
				}
				req := f.request(http.MethodPost, "/v1/chat/completions", streamedBody, headerDeadline, "15000")
				resp, err := http.DefaultClient.Do(req.WithContext(ctx))
				if err == nil {
					checkAnswer(t, resp, whole)
				}
				cancel()
			}
		})
	}
	callers.Wait()
	f.eventuallyOpen(0, second)
}

func wholeStream() (events []sse) {
	for _, step := range FakeAnswer(EngineCall{}, stressTokens) {
		events = append(events, sse{data: `{"choices":[{"delta":{"content":"` + step.Event.Text + `"}}]}`})
	}
	return events
}

func checkAnswer(t *testing.T, resp *http.Response, whole string) {
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if err == nil && !strings.Contains(string(body), `"run":"`) {
			t.Errorf("untyped error: %s", body)
		}
		return
	}
	text := textOf(parseSSE(bytes.NewReader(body)))
	done := strings.Contains(string(body), "[DONE]")
	if done && text != whole || !strings.HasPrefix(whole, text) {
		t.Errorf("answer is not a prefix of the whole one, done=%v: %q", done, text)
	}
	if err == nil && !done && !strings.Contains(string(body), "event: error") {
		t.Errorf("answer ends without a sign: %q", text)
	}
}

// Guards the test above against a stand-in whose whole answer is empty.
func TestWholeStreamHasAllTokens(t *testing.T) {
	require.Len(t, strings.Fields(textOf(wholeStream())), stressTokens)
}
