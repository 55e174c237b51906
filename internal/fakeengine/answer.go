// Package fakeengine implements a fake of the platform's model engines. It speaks their published protocol
// (docs/design.md, section 5.2) and emulates their timing, memory use and faults.
package fakeengine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/engine"
)

// Without an output bound, answers have minNaturalTokens to minNaturalTokens+naturalTokensSpan-1 tokens.
const (
	minNaturalTokens  = 256
	naturalTokensSpan = 2048
)

// Answer is the answer to a prompt. It is a pure function of prompt, model, version and seed, so that tests can verify
// that an answer is complete and belongs to its request.
type Answer struct {
	key uint64
}

// NewAnswer returns the answer to a prompt. model is "<model>" or "<model>/<adapter>".
func NewAnswer(prompt, model, version string, seed uint64) Answer {
	d := xxhash.New()
	for _, part := range []string{prompt, model, version} {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(part)
	}
	var word [8]byte
	binary.LittleEndian.PutUint64(word[:], seed)
	_, _ = d.Write(word[:])
	return Answer{key: d.Sum64()}
}

// Token returns the text of token i, counted from 0: a word of five letters and a space.
func (a Answer) Token(i int) string {
	const consonants, vowels = "bdfghjklmnprstvw", "aeiou"
	h := a.hash(uint64(i))
	return string([]byte{
		consonants[h%16], vowels[(h>>8)%5], consonants[(h>>16)%16], vowels[(h>>24)%5], consonants[(h>>32)%16], ' ',
	})
}

// Length returns the number of tokens of the answer and the finish reason. bound limits the tokens; 0 means no limit.
func (a Answer) Length(bound int) (tokens int, finish string) {
	natural := minNaturalTokens + int(a.hash(^uint64(0))%naturalTokensSpan)
	if bound > 0 && bound < natural {
		return bound, engine.FinishLength
	}
	return natural, engine.FinishStop
}

// Text returns the concatenated text of the tokens with index from (inclusive) to to (exclusive).
func (a Answer) Text(from, to int) string {
	var out []byte
	for i := from; i < to; i++ {
		out = append(out, a.Token(i)...)
	}
	return string(out)
}

func (a Answer) hash(i uint64) uint64 {
	var word [16]byte
	binary.LittleEndian.PutUint64(word[:8], a.key)
	binary.LittleEndian.PutUint64(word[8:], i)
	return xxhash.Sum64(word[:])
}
