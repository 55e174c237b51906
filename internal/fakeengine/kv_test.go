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

func (r *rig) kv(method, path string, in, out any) int {
	payload, err := json.Marshal(in)
	require.NoError(r.t, err)
	req, err := http.NewRequestWithContext(r.t.Context(), method, "http://"+r.address+engine.PathKV+path, bytes.NewReader(payload))
	require.NoError(r.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(r.t, err)
	defer resp.Body.Close()
	if out != nil {
		require.NoError(r.t, json.NewDecoder(resp.Body).Decode(out))
	}
	return resp.StatusCode
}

// Guards against a decode engine that computes what was imported, a transfer that takes no time, and imported blocks
// that are never given up.
func TestKVMovesBetweenEngines(t *testing.T) {
	from := newRig(t, Settings{Role: engine.RolePrefill})
	to := newRig(t, Settings{Role: engine.RoleDecode, KVBandwidth: 10_000})
	p := prompt("q", 2050)
	_, _, _ = read(t, from.start(engine.Request{ID: "r", Attempt: 1, Body: body(p, 1)}), 0, 0)
	_, err := from.client.Start(t.Context(), from.address, engine.Request{ID: "s", Attempt: 1, Body: body(p, 9)})
	require.Equal(t, engine.CodeWrongRole, engine.CodeOf(err))
	_, err = to.client.Start(t.Context(), to.address, engine.Request{ID: "r", Attempt: 2, Body: body(p, 9)})
	require.Equal(t, engine.CodeWrongRole, engine.CodeOf(err))

	hashes := engine.PrefixHashes("m", "v1", p, 0)
	last := fmt.Sprintf("%x", hashes[len(hashes)-1])
	var blocks engine.KVBlocks
	require.Equal(t, http.StatusOK, from.kv(http.MethodGet, last, nil, &blocks))
	require.Equal(t, hashes, blocks.Hashes)
	blocks.Owner, blocks.TTLMs = "r", 300
	began := time.Now()
	require.Equal(t, http.StatusNoContent, to.kv(http.MethodPut, last, blocks, nil))
	require.Greater(t, time.Since(began), 200*time.Millisecond, "2,048 tokens at 10,000 a second")
	require.Equal(t, 2048, to.held())
	_, usage, _ := read(t, to.start(engine.Request{ID: "r", Attempt: 2, Body: body(p, 9)}), 0, 0)
	require.Equal(t, 2048, usage.CachedTokens)
	to.requireFreed()
	from.requireFreed()
}
