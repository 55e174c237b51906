// Package enginecost implements the published cost model of an engine with continuous batching. An engine works in
// passes: a pass with decoding requests produces Stride tokens for each of them and prefills waiting prompts between the
// decode steps.
package enginecost

// Model holds the parameters of the engines of a service. Times are in milliseconds.
type Model struct {
	// Slots is the maximum number of requests that an engine runs concurrently.
	Slots int
	// KVTokens is the KV cache capacity of an engine in tokens.
	KVTokens int
	// Stride is the number of decode steps in a pass with decoding requests.
	Stride int
	// StepMs is the base cost of a decode step. PerSequenceMs is added for each decoding request, ContextMsPerK for
	// each 1,000 tokens of their contexts.
	StepMs, PerSequenceMs, ContextMsPerK float64
	// PrefillTokensPerMs is the prefill throughput. AttentionMsPerMPairs is the attention cost of a million pairs of a
	// token and an earlier token.
	PrefillTokensPerMs, AttentionMsPerMPairs float64
}

// PrefillMs returns the time that one engine needs to prefill a prompt, without interleaved decode steps. It is 0 if
// the prefill throughput is unknown.
func (m *Model) PrefillMs(tokens int) float64 {
	if m.PrefillTokensPerMs <= 0 {
		return 0
	}
	n := float64(tokens)
	return n/m.PrefillTokensPerMs + m.AttentionMsPerMPairs*n*n/2/1e6
}

// PassMs returns the length of a pass that only decodes. sequences is the number of decoding requests, context the sum of
// their contexts in tokens.
func (m *Model) PassMs(sequences, context int) float64 {
	step := m.StepMs + float64(sequences)*m.PerSequenceMs + float64(context)/1000*m.ContextMsPerK
	return step * float64(max(1, m.Stride))
}

// AnswerMs returns the time to decode an answer of some tokens on an engine with the given number of decoding requests and context,
// without prefill of other prompts.
func (m *Model) AnswerMs(tokens, sequences, context int) float64 {
	stride := max(1, m.Stride)
	return float64((tokens+stride-1)/stride) * m.PassMs(sequences, context)
}

// SetDefaults sets missing parameters to those of a small engine, so that predictions stay finite.
func (m *Model) SetDefaults() {
	const (
		defaultSlots    = 8
		defaultKVTokens = 100_000
		defaultStride   = 1
		defaultStepMs   = 10
	)
	if m.Slots <= 0 {
		m.Slots = defaultSlots
	}
	if m.KVTokens <= 0 {
		m.KVTokens = defaultKVTokens
	}
	if m.Stride <= 0 {
		m.Stride = defaultStride
	}
	if m.StepMs <= 0 {
		m.StepMs = defaultStepMs
	}
}
