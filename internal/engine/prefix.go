package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixHashes returns the hashes of the full prefix blocks of a prompt, at most limit of them (0: all). Each hash covers
// the model ("<model>" or "<model>/<adapter>"), its version and all text up to the end of its block, as the hashes in
// CacheEvent do.
func PrefixHashes(model, version, prompt string, limit int) []uint64 {
	const blockBytes = PrefixBlockTokens * BytesPerToken
	n := len(prompt) / blockBytes
	if limit > 0 {
		n = min(n, limit)
	}
	out := make([]uint64, 0, n)
	last := xxhash.Sum64String(model + "@" + version)
	d := xxhash.New()
	for i := range n {
		var word [8]byte
		binary.LittleEndian.PutUint64(word[:], last)
		d.Reset()
		_, _ = d.Write(word[:])
		_, _ = d.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		last = d.Sum64()
		out = append(out, last)
	}
	return out
}

// SamplePrefixes keeps at most most of the prefix hashes of a prompt: those of every 2^k-th block, for the least k that
// suffices. It returns them with the tokens of the blocks between two of them. Prompts of different lengths with the same
// start keep hashes of the same blocks, because the strides are powers of two.
func SamplePrefixes(hashes []uint64, most int) (sampled []uint64, blockTokens int) {
	stride := 1
	for len(hashes)/stride > most {
		stride *= 2
	}
	sampled = make([]uint64, 0, len(hashes)/stride)
	for i := stride - 1; i < len(hashes); i += stride {
		sampled = append(sampled, hashes[i])
	}
	return sampled, stride * PrefixBlockTokens
}
