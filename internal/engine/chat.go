package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"
)

// ChatRequest contains the fields of an OpenAI chat completion request that the response depends on.
type ChatRequest struct {
	// Model is "<model>" or "<model>/<adapter>".
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream,omitempty"`
	// MaxTokens and MaxCompletionTokens, its newer name, limit the response length; 0 means no limit by the caller.
	MaxTokens           int    `json:"max_tokens,omitempty"`
	MaxCompletionTokens int    `json:"max_completion_tokens,omitempty"`
	Seed                uint64 `json:"seed,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. On the wire it is a string or a list of parts of type "text".
type Content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	// Fast path for strings without escapes, which avoids scanning a prompt of a million tokens two more times.
	// encoding/json has already checked the syntax.
	if n := len(data); n >= 2 && data[0] == '"' && bytes.IndexByte(data, '\\') < 0 && utf8.Valid(data) {
		*c = Content(data[1 : n-1])
		return nil
	}
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content is neither a string nor a list of parts: %w", err)
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	*c = Content(b.String())
	return nil
}

// Prompt returns the contents of all messages, concatenated without a separator. PromptTokens applies to its length.
func (r *ChatRequest) Prompt() string {
	if len(r.Messages) == 1 {
		return string(r.Messages[0].Content)
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(string(m.Content))
	}
	return b.String()
}

// OutputBound returns the caller's limit on the response length in tokens; 0 means no limit.
func (r *ChatRequest) OutputBound() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// Chunk is one chat completion chunk of a stream.
type Chunk struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// SystemFingerprint is "fp_<version>_<seed>". Together with prompt and model it determines the response.
	SystemFingerprint string   `json:"system_fingerprint,omitempty"`
	Choices           []Choice `json:"choices"`
	Usage             *Usage   `json:"usage,omitempty"`
}

// Choice is the single choice of a chunk.
type Choice struct {
	Index int   `json:"index"`
	Delta Delta `json:"delta"`
	// FinishReason is nil except in the finish frame, which has FinishStop or FinishLength and no content.
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk appends to the response.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Usage is the token usage of a request, sent in the last chunk only.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	// CachedTokens is the number of prompt tokens served from the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Values of Choice.FinishReason.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// ObjectChunk is the value of Chunk.Object.
const ObjectChunk = "chat.completion.chunk"

// Fingerprint returns the value of Chunk.SystemFingerprint.
func Fingerprint(version string, seed uint64) string { return fmt.Sprintf("fp_%s_%d", version, seed) }

// ParseFingerprint parses a value in the format of Fingerprint.
func ParseFingerprint(s string) (version string, seed uint64, err error) {
	rest, ok := strings.CutPrefix(s, "fp_")
	cut := strings.LastIndexByte(rest, '_')
	if !ok || cut < 0 {
		return "", 0, fmt.Errorf("system fingerprint %q is not fp_<version>_<seed>", s)
	}
	if _, err := fmt.Sscanf(rest[cut+1:], "%d", &seed); err != nil {
		return "", 0, fmt.Errorf("seed of system fingerprint %q: %w", s, err)
	}
	return rest[:cut], seed, nil
}
