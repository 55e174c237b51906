package fakeengine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/engine"
)

func (e *testEngine) callKV(method, path string, in, out any) int {
	payload, err := json.Marshal(in)
	require.NoError(e.t, err)
	req, err := http.NewRequestWithContext(e.t.Context(), method, "http://"+e.address+engine.PathKV+path, bytes.NewReader(payload))
	require.NoError(e.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(e.t, err)
	defer resp.Body.Close()
	if out != nil {
		require.NoError(e.t, json.NewDecoder(resp.Body).Decode(out))
	}
	return resp.StatusCode
}

// Guards against a decode engine that computes imported blocks again, against a transfer that takes no time, and
// against imported blocks that stay pinned after their expiry.
func TestKVTransferBetweenEngines(t *testing.T) {
	from := newTestEngine(t, Settings{Role: engine.RolePrefill})
	to := newTestEngine(t, Settings{Role: engine.RoleDecode, KVBandwidth: 10_000})
	p := prompt("q", 2050)
	_, _, _ = read(t, from.start(engine.Request{ID: "r", Attempt: 1, Body: chatBody(p, 1)}), 0, 0)
	_, err := from.client.Start(t.Context(), from.address, engine.Request{ID: "s", Attempt: 1, Body: chatBody(p, 9)})
	require.Equal(t, engine.CodeWrongRole, engine.CodeOf(err))
	_, err = to.client.Start(t.Context(), to.address, engine.Request{ID: "r", Attempt: 2, Body: chatBody(p, 9)})
	require.Equal(t, engine.CodeWrongRole, engine.CodeOf(err))

	hashes := engine.PrefixHashes("m", "v1", p, 0)
	last := fmt.Sprintf("%x", hashes[len(hashes)-1])
	var blocks engine.KVBlocks
	require.Equal(t, http.StatusOK, from.callKV(http.MethodGet, last, nil, &blocks))
	require.Equal(t, hashes, blocks.Hashes)
	blocks.Owner, blocks.TTLMs = "r", 300
	began := time.Now()
	require.Equal(t, http.StatusNoContent, to.callKV(http.MethodPut, last, blocks, nil))
	require.Greater(t, time.Since(began), 200*time.Millisecond, "transfer of 2,048 tokens at 10,000 tokens per second")
	require.Equal(t, 2048, to.heldTokens())
	_, usage, _ := read(t, to.start(engine.Request{ID: "r", Attempt: 2, Body: chatBody(p, 9)}), 0, 0)
	require.Equal(t, 2048, usage.CachedTokens)
	to.requireMemoryFreed()
	from.requireMemoryFreed()
}
