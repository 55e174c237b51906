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

// answer is a streamed answer as the caller sees it.
type answer struct {
	status   int
	body     string
	tokens   []string
	lastID   string
	complete bool
	err      error
	// errorCode is the code of an error event or of an error body.
	errorCode string
	run       string
	first     time.Duration
}

func (a answer) text() string { return strings.Join(a.tokens, "") }

// seed of all chat requests, so that every engine gives the same answer to a prompt.
const seed = 7

// expected is the whole answer to a prompt, which may end before maxTokens.
func expected(prompt string, maxTokens int) string {
	whole := fakeengine.NewAnswer(marked(prompt), devdeploy.Model, "1", seed)
	tokens, _ := whole.Length(maxTokens)
	return whole.Text(0, tokens)
}

// answered returns a prompt that begins with name and whose answer has maxTokens tokens.
func answered(name string, maxTokens int) string {
	for i := 0; ; i++ {
		prompt := fmt.Sprintf("%s, version %d", name, i)
		whole := fakeengine.NewAnswer(marked(prompt), devdeploy.Model, "1", seed)
		if tokens, _ := whole.Length(maxTokens); tokens == maxTokens {
			return prompt
		}
	}
}

func marked(prompt string) string { return promptMark + " " + prompt }

// chat sends a streamed chat request. each, if set, is called with the number of tokens received so far.
func chat(ctx context.Context, address, key, prompt string, maxTokens int, lastID string, each func(n int)) answer {
	body, _ := json.Marshal(map[string]any{
		"model": devdeploy.Model, "stream": true, "max_tokens": maxTokens, "seed": seed,
		"messages": []map[string]string{{"role": "user", "content": marked(prompt)}},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if lastID != "" {
		req.Header.Set("Last-Event-ID", lastID)
	}
	began := time.Now()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	return readAnswer(resp, began, each)
}

type errorBody struct {
	Error struct{ Code, Run, Message string }
}

func readAnswer(resp *http.Response, began time.Time, each func(n int)) answer {
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
			a.data(strings.TrimPrefix(line, "data: "), failed, began, each)
		}
	}
	a.err = lines.Err()
	return a
}

func (a *answer) data(text string, failed bool, began time.Time, each func(n int)) {
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
		a.first = time.Since(began)
	}
	a.tokens = append(a.tokens, chunk.Choices[0].Delta.Content)
	if each != nil {
		each(len(a.tokens))
	}
}
