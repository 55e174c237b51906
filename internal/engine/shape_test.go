package engine

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against chunks that the short way reads otherwise than a decoder of the whole chunk: other fields that change,
// texts that need unescaping, and keys inside texts.
func TestChunkShapeReadsWhatADecoderReads(t *testing.T) {
	chunks := []string{
		`{"id":"a","system_fingerprint":"fp_1_7","choices":[{"index":0,"delta":{"role":"assistant","content":"x"},"finish_reason":null}]}`,
		`{"id":"a","system_fingerprint":"fp_1_7","choices":[{"index":0,"delta":{"content":"one"},"finish_reason":null}]}`,
		`{"id":"a","system_fingerprint":"fp_1_7","choices":[{"index":0,"delta":{"content":"caf\u00e9 \"q\" \n"},"finish_reason":null}]}`,
		`{"id":"a","system_fingerprint":"fp_1_7","choices":[{"index":0,"delta":{"content":"\"content\":"},"finish_reason":null}]}`,
		`{"id":"a","system_fingerprint":"fp_1_7","choices":[{"index":0,"delta":{"content":"y"},"finish_reason":"stop"}]}`,
		`{"id":"a","system_fingerprint":"fp_2_7","choices":[{"index":0,"delta":{"content":"z"},"finish_reason":null}]}`,
		`{"id":"a","system_fingerprint":"fp_1_7","choices":[{"index":0,"delta":{"content":"a","content":"b"},"finish_reason":null}]}`,
		`{"id":"a","system_fingerprint":"fp_1_7","choices":[{"index":0,"delta":{"content":"q"},"finish_reason":null}],"note":{"content":"w"}}`,
	}
	for first := range chunks {
		var shape chunkShape
		var learned Chunk
		require.NoError(t, json.Unmarshal([]byte(chunks[first]), &learned))
		shape.learn([]byte(chunks[first]), &learned)
		for _, text := range chunks {
			content, ok := shape.content([]byte(text))
			if !ok {
				continue
			}
			var whole Chunk
			require.NoError(t, json.Unmarshal([]byte(text), &whole))
			require.Equal(t, whole.Choices[0].Delta.Content, content, text)
			require.Equal(t, whole.SystemFingerprint, shape.fingerprint, text)
			require.Nil(t, whole.Choices[0].FinishReason, text)
		}
	}
	var shape chunkShape
	var learned Chunk
	require.NoError(t, json.Unmarshal([]byte(chunks[1]), &learned))
	shape.learn([]byte(chunks[1]), &learned)
	_, ok := shape.content([]byte(chunks[2]))
	require.True(t, ok, "the shape of a usual chunk is not learned")
	broken := `{"id":"a","system_fingerprint":"fp_1_7","choices":[{"index":0,"delta":{"content":"a","x":"b"},"finish_reason":null}]}`
	_, ok = shape.content([]byte(broken))
	require.False(t, ok, "more than one string between head and tail")
}
