// Package enginecost is the published cost model of an engine with continuous batching. An engine works in passes: a
// pass with writers makes Stride tokens for each of them and reads waiting prompts between the steps.
package enginecost

// Model holds the parameters of the engines of a service. Times are in milliseconds.
type Model struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// KVTokens is the memory of an engine in tokens.
	KVTokens int
	// Stride is the number of token steps of a pass that includes writers.
	Stride int
	// StepMs is the cost of a step, PerSequenceMs what each writer adds to it, and ContextMsPerK what each 1,000 tokens
	// of a writer's context add.
	StepMs, PerSequenceMs, ContextMsPerK float64
	// ReadTokensPerMs is the speed of reading a prompt; PairMsPerM is the cost of a million pairs of a token and an
	// earlier one.
	ReadTokensPerMs, PairMsPerM float64
}

// ReadMs returns the time that one engine needs to read a prompt, without the steps of writers in between.
func (m *Model) ReadMs(tokens int) float64 {
	if m.ReadTokensPerMs <= 0 {
		return 0
	}
	n := float64(tokens)
	return n/m.ReadTokensPerMs + m.PairMsPerM*n*n/2/1e6
}

// PassMs returns the length of a pass with the given writers and nothing to read. context is the sum of the writers'
// contexts in tokens.
func (m *Model) PassMs(writers, context int) float64 {
	step := m.StepMs + float64(writers)*m.PerSequenceMs + float64(context)/1000*m.ContextMsPerK
	return step * float64(max(1, m.Stride))
}

// Fill replaces parameters that a configuration does not state by those of a small engine, so that predictions stay
// finite.
func (m *Model) Fill() {
	const (
		defaultSlots  = 8
		defaultKV     = 100_000
		defaultStride = 1
		defaultStepMs = 10
	)
	if m.Slots <= 0 {
		m.Slots = defaultSlots
	}
	if m.KVTokens <= 0 {
		m.KVTokens = defaultKV
	}
	if m.Stride <= 0 {
		m.Stride = defaultStride
	}
	if m.StepMs <= 0 {
		m.StepMs = defaultStepMs
	}
}
