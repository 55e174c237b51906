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

const stressTokens = 300 // more than the output buffer holds

// randomFaults answers calls with random faults, some before the first token and some in mid-stream.
func randomFaults(call EngineCall) ([]FakeStep, error) {
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

// Guards against answers mixed between callers, lost grants and sessions that do not replay when many callers, some of
// which disconnect, use faulty engines. An answer must be complete, or a prefix of the complete one that ends with a
// typed error or a broken connection.
func TestConcurrentCallersWithFaultyEngines(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.engines.Script = randomFaults })
	complete := textOf(completeAnswerEvents())
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
					checkAnswer(t, resp, complete)
				}
				cancel()
			}
		})
	}
	callers.Wait()
	f.requireOpenRequests(0, second)
}

func completeAnswerEvents() (events []sseEvent) {
	for _, step := range FakeAnswer(EngineCall{}, stressTokens) {
		events = append(events, sseEvent{data: `{"choices":[{"delta":{"content":"` + step.Event.Text + `"}}]}`})
	}
	return events
}

func checkAnswer(t *testing.T, resp *http.Response, complete string) {
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
	if done && text != complete || !strings.HasPrefix(complete, text) {
		t.Errorf("answer is not a prefix of the complete one, done=%v: %q", done, text)
	}
	if err == nil && !done && !strings.Contains(string(body), "event: error") {
		t.Errorf("answer ends without [DONE] or an error event: %q", text)
	}
}

// Guards against an empty reference answer, with which the test above would check nothing.
func TestCompleteAnswerEventsHaveAllTokens(t *testing.T) {
	require.Len(t, strings.Fields(textOf(completeAnswerEvents())), stressTokens)
}
