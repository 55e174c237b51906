package gate

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/engine"
)

// Guards against a streamed answer without all its tokens, cursors or the final [DONE] event.
func TestStreamedAnswer(t *testing.T) {
	f := newFixture(t, nil)
	resp, body := f.chat(streamedBody)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "text/event-stream", resp.Header.Get("Content-Type"))
	events := parseSSE(bytes.NewReader(body))
	require.Equal(t, "0 1 2 3 4 ", textOf(events))
	require.Equal(t, "[DONE]", events[len(events)-1].data)
	for _, e := range events[:len(events)-1] {
		require.NotEmpty(t, e.id)
	}
}

// Guards against a non-streamed answer that is incomplete or lacks its usage.
func TestNonStreamedAnswer(t *testing.T) {
	f := newFixture(t, nil)
	resp, body := f.chat(nonStreamedBody)
	require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
	require.Contains(t, string(body), `"content":"0 1 2 3 4 "`)
	require.Contains(t, string(body), `"completion_tokens":5`)
}

// Guards against invalid requests that reach the reducer or get a wrong error code.
func TestInvalidRequestsAreRejected(t *testing.T) {
	f := newFixture(t, func(f *fixture) { f.doc.Limits.MaxBodyBytes, f.doc.Workspaces[0].MaxPromptTokens = 2048, 5 })
	cases := []struct {
		name, body string
		headers    []string
		status     int
		code       string
	}{
		{"malformed JSON", `{"model":`, nil, 400, "invalid_request"},
		{"unknown model", `{"model":"m2","messages":[{"content":"x"}]}`, nil, 404, "model_not_found"},
		{"prompt too long", `{"model":"m1","messages":[{"content":"123456789012345678901"}]}`, nil, 413, "too_large"},
		{"content part that is not text", `{"model":"m1","messages":[{"content":[{"type":"image_url"}]}]}`, nil, 400, "invalid_request"},
		{"no messages", `{"model":"m1"}`, nil, 400, "invalid_request"},
		{"max_tokens over the limit", `{"model":"m1","max_tokens":99999,"messages":[{"content":"x"}]}`, nil, 400, "invalid_request"},
		{"wrong key", nonStreamedBody, []string{"Authorization", "Bearer wrong"}, 401, "unauthorized"},
		{"deadline in the past", nonStreamedBody, []string{headerDeadline, "0"}, 408, "deadline_passed"},
		{"deadline not a number", nonStreamedBody, []string{headerDeadline, "soon"}, 400, "invalid_request"},
		{"body too large", `{"model":"` + strings.Repeat("x", 4096), nil, 413, "too_large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, body := f.chat(c.body, c.headers...)
			requireError(t, resp, body, c.status, c.code, "not_run")
		})
	}
	calls, _ := f.engines.Calls()
	require.Empty(t, calls)
}

// Guards against a gate that derives another prompt than the engine from the content formats of client libraries, or
// requests a grant with hashes that are not in the engine's cache.
func TestPromptAndPrefixHashesMatchEngine(t *testing.T) {
	f := newFixture(t, nil)
	long, escaped := strings.Repeat("tides ", 500), strings.Repeat("caf\u00e9 \"x\"\n", 300)
	texts, err := json.Marshal([]any{
		map[string]any{"role": "system", "content": escaped},
		map[string]any{"role": "assistant", "content": nil},
		map[string]any{"role": "user", "content": []map[string]string{{"type": "text", "text": long}, {"type": "text", "text": escaped}}},
	})
	require.NoError(t, err)
	_, body := f.chat(`{"model":"m1","messages":` + string(texts) + `}`)
	require.Contains(t, string(body), `"finish_reason"`)
	calls, _ := f.engines.Calls()
	require.Len(t, calls, 1)
	var atEngine engine.ChatRequest
	require.NoError(t, json.Unmarshal(calls[0].Body, &atEngine))
	require.Equal(t, escaped+long+escaped, atEngine.Prompt())
	request := f.grants.Requests()[0].Request
	require.EqualValues(t, engine.PromptTokens(len(atEngine.Prompt())), request.PromptTokens)
	require.NotEmpty(t, request.PrefixHashes)
	require.Equal(t, engine.PrefixHashes(atEngine.Model, "1", atEngine.Prompt(), 0), request.PrefixHashes)
}
