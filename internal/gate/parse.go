package gate

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// Headers of the caller API.
const (
	headerDeadline       = "X-Carobstile-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEventID    = "Last-Event-ID"
	bearerPrefix         = "Bearer "
)

// affinityBytes is the length of the prompt prefix whose hash determines the order of pools.
const affinityBytes = 1024

// maxPrefixHashes limits the prefix hashes in a grant request. All hashes of a prompt of a million tokens would be 31
// KB, compared with a budget of 14 KB/s for all control traffic of a daemon.
const maxPrefixHashes = 32

// chatBody holds the fields of a chat request that the gate reads. Engines get the caller's body unchanged.
type chatBody struct {
	Model string `json:"model"`
	// Messages uses the types of package engine, so that gate and engine derive the same prompt.
	Messages            []engine.Message `json:"messages"`
	Stream              bool             `json:"stream"`
	MaxTokens           *int             `json:"max_tokens"`
	MaxCompletionTokens *int             `json:"max_completion_tokens"`
	Seed                *int64           `json:"seed"`
	N                   *int             `json:"n"`
}

// modelRequest is a validated chat request.
type modelRequest struct {
	body        []byte
	bodyHash    [sha256.Size]byte
	fingerprint Fingerprint
	stream      bool
	model       *config.Model
	adapter     string
	// adapterVersion is the configured version of the adapter; a resumed answer requires the same one.
	adapterVersion string
	// servedVersion is the model version that generated the tokens so far, empty before the first token. It differs from
	// the configured version while a new version is being loaded, and no answer may mix the two. It is guarded by Gate.mu
	// once the request is admitted.
	servedVersion     string
	promptTokens      int
	prefixHashes      []uint64
	prefixBlockTokens int // tokens between two prefix hashes
	affinity          uint64
	maxTokens         int
	seed              uint64
	seedGiven         bool
	created           int64
	// Set from a cursor: the number of tokens already delivered, the first attempt number and the engine that ran the
	// stream.
	delivered    int
	firstAttempt int
	preferred    string
}

// qualifiedName returns the model name as callers give it, including the adapter.
func (m *modelRequest) qualifiedName() string {
	if m.adapter == "" {
		return m.model.Name
	}
	return m.model.Name + "/" + m.adapter
}

func bearerKey(r *http.Request) (string, bool) {
	return strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
}

// bodyReadProblem converts an error from reading a caller's body to a problem.
func bodyReadProblem(err error) *problem {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return notRun(gatecore.CodeDeadlinePassed, "the request body did not arrive in time")
	}
	return notRun(gatecore.CodeInvalidRequest, "the request body broke off")
}

func tooLarge(limit int) *problem {
	return notRun(gatecore.CodeTooLarge, fmt.Sprintf("the request body is over %d bytes", limit))
}

// parseChat decodes a body and validates it against the configuration.
func parseChat(id identity, body []byte) (*modelRequest, *problem) {
	var in chatBody
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, notRun(gatecore.CodeInvalidRequest, "the body is not a valid chat request: "+err.Error())
	}
	m := &modelRequest{body: body, bodyHash: sha256.Sum256(body), stream: in.Stream, firstAttempt: 1}
	m.fingerprint = fingerprintOf(id.caller.Name, body)
	if in.N != nil && *in.N != 1 {
		return nil, notRun(gatecore.CodeInvalidRequest, "n: only one answer is offered").withParam("n")
	}
	if p := m.setModel(id, in.Model); p != nil {
		return nil, p
	}
	if p := m.setPrompt(id, in.Messages); p != nil {
		return nil, p
	}
	return m, m.setMaxTokens(id, in)
}

func (m *modelRequest) setModel(id identity, name string) *problem {
	base, adapter, _ := strings.Cut(name, "/")
	model, ok := id.index.Model(base)
	allowed := ok && slices.Contains(id.caller.Models, base)
	if adapter != "" {
		allowed = allowed && slices.Contains(id.caller.Adapters, name)
	}
	if !allowed {
		return notRun(gatecore.CodeModelNotFound, fmt.Sprintf("model %q is not offered to the caller", name)).withParam("model")
	}
	m.model, m.adapter = model, adapter
	if adapter == "" {
		return nil
	}
	at := slices.IndexFunc(model.Adapters, func(a config.Adapter) bool { return a.Name == adapter })
	if at < 0 {
		return notRun(gatecore.CodeModelNotFound, fmt.Sprintf("model %q has no such adapter", name)).withParam("model")
	}
	m.adapterVersion = model.Adapters[at].Version
	return nil
}

func (m *modelRequest) setPrompt(id identity, messages []engine.Message) *problem {
	if len(messages) == 0 {
		return notRun(gatecore.CodeInvalidRequest, "messages: expected at least one").withParam("messages")
	}
	prompt := (&engine.ChatRequest{Messages: messages}).Prompt()
	m.promptTokens = engine.PromptTokens(len(prompt))
	limit := m.model.MaxPromptTokens
	if w := id.workspace.MaxPromptTokens; w > 0 && (limit == 0 || w < limit) {
		limit = w
	}
	if limit > 0 && m.promptTokens > limit {
		message := fmt.Sprintf("the prompt has %d tokens, at most %d are allowed", m.promptTokens, limit)
		return notRun(gatecore.CodeTooLarge, message).withParam("messages")
	}
	hashes := engine.PrefixHashes(m.qualifiedName(), m.model.Version, prompt, 0)
	m.prefixHashes, m.prefixBlockTokens = engine.SamplePrefixes(hashes, maxPrefixHashes)
	m.affinity = xxhash.Sum64String(prompt[:min(len(prompt), affinityBytes)])
	return nil
}

func (m *modelRequest) setMaxTokens(id identity, in chatBody) *problem {
	m.maxTokens = id.index.Limits.MaxOutputTokens
	requested := in.MaxTokens
	if in.MaxCompletionTokens != nil {
		requested = in.MaxCompletionTokens
	}
	if in.Seed != nil {
		m.seed, m.seedGiven = uint64(*in.Seed), true
	}
	if requested == nil {
		return nil
	}
	if *requested < 1 || *requested > m.maxTokens {
		message := fmt.Sprintf("max_tokens: expected 1 to %d, got %d", m.maxTokens, *requested)
		return notRun(gatecore.CodeInvalidRequest, message).withParam("max_tokens")
	}
	m.maxTokens = *requested
	return nil
}

// fingerprintOf hashes caller and body. The caller's length is hashed first, so that no two pairs have the same input.
func fingerprintOf(caller string, body []byte) (f Fingerprint) {
	h := sha256.New()
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(caller)))
	h.Write(length[:])
	h.Write([]byte(caller))
	h.Write(body)
	copy(f[:], h.Sum(nil))
	return f
}

// requestDeadline returns the deadline of a request that arrived at now.
func requestDeadline(r *http.Request, limits config.Limits, now core.Micros) (core.Micros, *problem) {
	ms := int64(limits.DefaultDeadlineMs)
	if text := r.Header.Get(headerDeadline); text != "" {
		requestedMs, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			message := headerDeadline + ": expected milliseconds from arrival"
			return 0, notRun(gatecore.CodeInvalidRequest, message).withParam(headerDeadline)
		}
		if requestedMs <= 0 {
			return 0, notRun(gatecore.CodeDeadlinePassed, "the deadline had passed on arrival")
		}
		ms = requestedMs
	}
	ms = min(ms, int64(limits.MaxDeadlineMs))
	return now + core.FromDuration(time.Duration(ms)*time.Millisecond), nil
}
