package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/fakeengine"
)

// answer is a streamed answer as received by the caller.
type answer struct {
	status   int
	body     string
	tokens   []string
	lastID   string
	complete bool
	err      error
	// errorCode is the code from an error event or from an error response.
	errorCode        string
	run              string
	timeToFirstToken time.Duration
}

func (a answer) text() string { return strings.Join(a.tokens, "") }

// seed is sent with all chat requests so that every engine generates the same answer to a prompt.
const seed = 7

// expectedAnswer returns the complete answer to a prompt. It may have fewer than maxTokens tokens.
func expectedAnswer(prompt string, maxTokens int) string {
	generated := fakeengine.NewAnswer(withPromptMarker(prompt), devdeploy.Model, "1", seed)
	tokens, _ := generated.Length(maxTokens)
	return generated.Text(0, tokens)
}

// promptWithAnswerLength returns a prompt that begins with name and whose answer has exactly maxTokens tokens.
func promptWithAnswerLength(name string, maxTokens int) string {
	for i := 0; ; i++ {
		prompt := fmt.Sprintf("%s, version %d", name, i)
		generated := fakeengine.NewAnswer(withPromptMarker(prompt), devdeploy.Model, "1", seed)
		if tokens, _ := generated.Length(maxTokens); tokens == maxTokens {
			return prompt
		}
	}
}

func withPromptMarker(prompt string) string { return promptMarker + " " + prompt }

// chat sends a streamed chat request. onToken, if set, is called after each token with the number of tokens received so
// far.
func chat(ctx context.Context, address, key, prompt string, maxTokens int, lastID string, onToken func(n int)) answer {
	body, _ := json.Marshal(map[string]any{
		"model": devdeploy.Model, "stream": true, "max_tokens": maxTokens, "seed": seed,
		"messages": []map[string]string{{"role": "user", "content": withPromptMarker(prompt)}},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions",
		bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if lastID != "" {
		req.Header.Set("Last-Event-ID", lastID)
	}
	sentAt := time.Now()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	return readAnswer(resp, sentAt, onToken)
}

type errorBody struct {
	Error struct{ Code, Run, Message string }
}

func readAnswer(resp *http.Response, sentAt time.Time, onToken func(n int)) answer {
	a := answer{status: resp.StatusCode}
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		a.body = string(data)
		var e errorBody
		_ = json.Unmarshal(data, &e)
		a.errorCode, a.run = e.Error.Code, e.Error.Run
		return a
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	failed := false
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			a.lastID = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "event: error"):
			failed = true
		case line == "data: [DONE]":
			a.complete = true
		case strings.HasPrefix(line, "data: "):
			a.handleData(strings.TrimPrefix(line, "data: "), failed, sentAt, onToken)
		}
	}
	a.err = lines.Err()
	return a
}

func (a *answer) handleData(text string, failed bool, sentAt time.Time, onToken func(n int)) {
	if failed {
		var e errorBody
		_ = json.Unmarshal([]byte(text), &e)
		a.errorCode, a.run = e.Error.Code, e.Error.Run
		return
	}
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(text), &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return
	}
	if len(a.tokens) == 0 {
		a.timeToFirstToken = time.Since(sentAt)
	}
	a.tokens = append(a.tokens, chunk.Choices[0].Delta.Content)
	if onToken != nil {
		onToken(len(a.tokens))
	}
}
