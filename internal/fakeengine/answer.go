// Package fakeengine is a stand-in for the platform's model engines: it speaks their published protocol (docs/design.md,
// section 5.2) and emulates their timing, memory and faults.
package fakeengine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/engine"
)

// Length of an answer that no bound cuts off, in tokens.
const (
	minNaturalTokens  = 256
	naturalTokensSpan = 2048
)

// Answer is the answer to a prompt. It is a pure function of prompt, model, version and seed, so that a test can tell
// whether an answer is whole and belongs to its request.
type Answer struct {
	key uint64
}

// NewAnswer returns the answer. model is "<model>" or "<model>/<adapter>".
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

// Token returns the text of token i, counted from 0: a word of two syllables and a space.
func (a Answer) Token(i int) string {
	const consonants, vowels = "bdfghjklmnprstvw", "aeiou"
	h := a.hash(uint64(i))
	return string([]byte{
		consonants[h%16], vowels[(h>>8)%5], consonants[(h>>16)%16], vowels[(h>>24)%5], consonants[(h>>32)%16], ' ',
	})
}

// Length returns the number of tokens of the answer under a bound (0: none) and the finish reason.
func (a Answer) Length(bound int) (tokens int, finish string) {
	natural := minNaturalTokens + int(a.hash(^uint64(0))%naturalTokensSpan)
	if bound > 0 && bound < natural {
		return bound, engine.FinishLength
	}
	return natural, engine.FinishStop
}

// Text returns tokens from to to, exclusive, as one string.
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
