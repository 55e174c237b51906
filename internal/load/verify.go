package load

import (
	"strings"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/fakeengine"
)

// verifier checks an answer against the deterministic answers of the stand-in engines while it arrives.
type verifier struct {
	prompt, model string
	// fingerprint decides the answer; once set it must not change, also over a resume.
	fingerprint string
	answer      fakeengine.Answer
	bound       int
	known       bool
	next        int    // next token expected
	pending     string // received text that is not yet a whole token
	wrong       string // first reason why the answer is wrong
	finish      string
}

func newVerifier(prompt, model, version string, seed uint64, bound int) *verifier {
	v := &verifier{prompt: prompt, model: model, bound: bound}
	if version != "" {
		v.answer, v.known = fakeengine.NewAnswer(prompt, model, version, seed), true
	}
	return v
}

// chunk takes in one chunk of the answer and returns the number of whole tokens in it.
func (v *verifier) chunk(c engine.Chunk) int {
	if c.SystemFingerprint != "" {
		v.setFingerprint(c.SystemFingerprint)
	}
	before := v.next
	for _, choice := range c.Choices {
		v.text(choice.Delta.Content)
		if choice.FinishReason != nil {
			v.finish = *choice.FinishReason
		}
	}
	return v.next - before
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
	v.fingerprint, v.known = f, true
	v.answer = fakeengine.NewAnswer(v.prompt, v.model, version, seed)
}

func (v *verifier) text(content string) {
	v.pending += content
	for v.known && v.wrong == "" && v.pending != "" {
		want := v.answer.Token(v.next)
		rest, ok := strings.CutPrefix(v.pending, want)
		if !ok {
			if !strings.HasPrefix(want, v.pending) {
				v.fail("a token differs from the expected answer")
			}
			return
		}
		v.pending = rest
		v.next++
	}
}

func (v *verifier) fail(reason string) {
	if v.wrong == "" {
		v.wrong = reason
	}
}

// end checks the whole answer after its end was received.
func (v *verifier) end() {
	if !v.known {
		return
	}
	tokens, finish := v.answer.Length(v.bound)
	if v.next != tokens || v.pending != "" {
		v.fail("the answer was ended with the wrong number of tokens")
	}
	if v.finish != finish {
		v.fail("the finish reason is wrong")
	}
}
