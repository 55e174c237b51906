package engine

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against prefix hashes that ignore the preceding text, model or version, and against hashes of partial blocks.
func TestPrefixHashes(t *testing.T) {
	const block = PrefixBlockTokens * BytesPerToken
	text := strings.Repeat("abcd", 3*block/4)
	hashes := PrefixHashes("m", "1", text, 0)
	require.Len(t, hashes, 3)
	require.NotEqual(t, hashes[0], hashes[1], "equal blocks at different positions")
	require.Equal(t, hashes[:2], PrefixHashes("m", "1", text[:3*block-1], 0))
	require.Equal(t, hashes[:2], PrefixHashes("m", "1", text, 2))
	for _, other := range [][]uint64{
		PrefixHashes("m", "1", "x"+text[1:], 0), PrefixHashes("m", "2", text, 0), PrefixHashes("m/a", "1", text, 0),
	} {
		for i, h := range other {
			require.NotEqual(t, hashes[i], h, "block %d", i)
		}
	}
	require.Empty(t, PrefixHashes("m", "1", "short", 0))
}

// Guards against contents that the fast path decodes differently from encoding/json.
func TestContentMatchesEncodingJSON(t *testing.T) {
	for _, text := range []string{
		`""`, `"plain"`, `"caf\u00e9 \"quoted\"\n"`, `"café"`, "\"broken \xff\"", `"\ud83c\udf0a \ud800"`, `null`,
	} {
		var want string
		require.NoError(t, json.Unmarshal([]byte(text), &want))
		var got Message
		require.NoError(t, json.Unmarshal([]byte(`{"content":`+text+`}`), &got))
		require.Equal(t, want, string(got.Content), text)
	}
	for _, text := range []string{`1`, `{}`, `[{"type":"image_url"}]`, "\"line\nbreak\""} {
		require.Error(t, json.Unmarshal([]byte(`{"content":`+text+`}`), new(Message)), text)
	}
}
