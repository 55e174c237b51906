package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixHashes returns the hashes of the first limit full prefix blocks of a prompt, or of all if limit is 0. Each hash
// covers the model ("<model>" or "<model>/<adapter>"), its version and all text up to the end of its block, as in
// CacheEvent.PrefixHash.
func PrefixHashes(model, version, prompt string, limit int) []uint64 {
	const blockBytes = PrefixBlockTokens * BytesPerToken
	n := len(prompt) / blockBytes
	if limit > 0 {
		n = min(n, limit)
	}
	out := make([]uint64, 0, n)
	hash := xxhash.Sum64String(model + "@" + version)
	digest := xxhash.New()
	for i := range n {
		var buf [8]byte
		binary.LittleEndian.PutUint64(buf[:], hash)
		digest.Reset()
		_, _ = digest.Write(buf[:])
		_, _ = digest.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		hash = digest.Sum64()
		out = append(out, hash)
	}
	return out
}

// SamplePrefixes returns at most limit of the prefix hashes of a prompt: those of every 2^k-th block for the smallest
// sufficient k. blockTokens is the number of tokens between two of them. Because the strides are powers of two, samples
// of prompts with a common prefix but different lengths have hashes of the same blocks.
func SamplePrefixes(hashes []uint64, limit int) (sampled []uint64, blockTokens int) {
	stride := 1
	for len(hashes)/stride > limit {
		stride *= 2
	}
	sampled = make([]uint64, 0, len(hashes)/stride)
	for i := stride - 1; i < len(hashes); i += stride {
		sampled = append(sampled, hashes[i])
	}
	return sampled, stride * PrefixBlockTokens
}
