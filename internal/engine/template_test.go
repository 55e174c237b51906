package engine

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against chunks that the template decodes differently from a full JSON decoder: chunks with changes in other
// fields, texts with escapes, and keys inside texts.
func TestChunkTemplateMatchesFullDecoder(t *testing.T) {
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
	for i := range chunks {
		var template chunkTemplate
		var source Chunk
		require.NoError(t, json.Unmarshal([]byte(chunks[i]), &source))
		template.derive([]byte(chunks[i]), &source)
		for _, data := range chunks {
			content, ok := template.content([]byte(data))
			if !ok {
				continue
			}
			var decoded Chunk
			require.NoError(t, json.Unmarshal([]byte(data), &decoded))
			require.Equal(t, decoded.Choices[0].Delta.Content, content, data)
			require.Equal(t, decoded.SystemFingerprint, template.fingerprint, data)
			require.Nil(t, decoded.Choices[0].FinishReason, data)
		}
	}
	var template chunkTemplate
	var source Chunk
	require.NoError(t, json.Unmarshal([]byte(chunks[1]), &source))
	template.derive([]byte(chunks[1]), &source)
	_, ok := template.content([]byte(chunks[2]))
	require.True(t, ok, "no template was derived from a typical chunk")
	broken := `{"id":"a","system_fingerprint":"fp_1_7","choices":[{"index":0,"delta":{"content":"a","x":"b"},"finish_reason":null}]}`
	_, ok = template.content([]byte(broken))
	require.False(t, ok, "more than one string between prefix and suffix")
}
