package load

import (
	"strings"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/fakeengine"
)

// verifier checks an answer incrementally against the deterministic answers of package fakeengine.
type verifier struct {
	prompt, model string
	// fingerprint holds the model version and seed, which determine the answer. It must not change once it is set, not
	// even when the stream is resumed.
	fingerprint string
	answer      fakeengine.Answer
	maxTokens   int
	answerKnown bool
	nextToken   int    // index of the next expected token
	pending     string // received text that was not matched yet
	wrongReason string // first difference found; empty if none
	finish      string
}

func newVerifier(prompt, model, version string, seed uint64, maxTokens int) *verifier {
	v := &verifier{prompt: prompt, model: model, maxTokens: maxTokens}
	if version != "" {
		v.answer, v.answerKnown = fakeengine.NewAnswer(prompt, model, version, seed), true
	}
	return v
}

// addChunk verifies one chunk of the answer and returns the number of tokens that it completed.
func (v *verifier) addChunk(c engine.Chunk) int {
	if c.SystemFingerprint != "" {
		v.setFingerprint(c.SystemFingerprint)
	}
	before := v.nextToken
	for _, choice := range c.Choices {
		v.addText(choice.Delta.Content)
		if choice.FinishReason != nil {
			v.finish = *choice.FinishReason
		}
	}
	return v.nextToken - before
}

func (v *verifier) setFingerprint(f string) {
	if v.fingerprint == f {
		return
	}
	if v.fingerprint != "" {
		v.fail("the system fingerprint changed within the answer")
		return
	}
	version, seed, err := engine.ParseFingerprint(f)
	if err != nil {
		v.fail(err.Error())
		return
	}
	v.fingerprint, v.answerKnown = f, true
	v.answer = fakeengine.NewAnswer(v.prompt, v.model, version, seed)
}

func (v *verifier) addText(content string) {
	v.pending += content
	for v.answerKnown && v.wrongReason == "" && v.pending != "" {
		want := v.answer.Token(v.nextToken)
		rest, ok := strings.CutPrefix(v.pending, want)
		if !ok {
			if !strings.HasPrefix(want, v.pending) {
				v.fail("a token differs from the expected answer")
			}
			return
		}
		v.pending = rest
		v.nextToken++
	}
}

// fail records why the answer is wrong. Only the first reason is kept.
func (v *verifier) fail(reason string) {
	if v.wrongReason == "" {
		v.wrongReason = reason
	}
}

// checkEnd checks the length and the finish reason after the end of the answer was received.
func (v *verifier) checkEnd() {
	if !v.answerKnown {
		return
	}
	tokens, finish := v.answer.Length(v.maxTokens)
	if v.nextToken != tokens || v.pending != "" {
		v.fail("the answer was ended with the wrong number of tokens")
	}
	if v.finish != finish {
		v.fail("the finish reason is wrong")
	}
}
