package edge

import (
	"bytes"
	"log/slog"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/forward"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/retrybudget"
	"github.com/carobstile/carobstile/internal/routing"
)

// limitsCodec decodes configurations that only have a limit of bodies.
type limitsCodec struct {
	Codec
	version, bodyBytes int64
}

func (c limitsCodec) Config([]byte) (routing.Config, error) {
	return routing.Config{Version: c.version, Limits: routing.Limits{BodyBytes: c.bodyBytes}}, nil
}

// Guards against a host whose memory is too small for a body within the limit, which would be refused without a hint of the cause,
// and against a line for each configuration.
func TestTooLittleMemoryForABodyIsLogged(t *testing.T) {
	var log bytes.Buffer
	s := validSettings()
	s.MemoryMB = 100
	d := &Daemon{settings: &s, log: slog.New(slog.NewTextHandler(&log, nil))}
	d.latestSettings.Store(&s)
	d.budget = retrybudget.New(s.Retry.limits(), func() core.Micros { return 1 })
	d.handler = &forward.Handler{Bodies: s.newBodyBudget(nil)}
	version := int64(0)
	warnings := func(bodyBytes int64) int {
		version++
		d.adapter.Codec = limitsCodec{version: version, bodyBytes: bodyBytes}
		require.True(t, d.adoptConfig(0, platform.Object{Version: uint64(version)}))
		return strings.Count(log.String(), "memoryMB is too small")
	}
	require.Equal(t, 0, warnings(20<<20))
	require.Equal(t, 1, warnings(20<<20+1))
	require.Contains(t, log.String(), "required_mb=101")
	require.Equal(t, 1, warnings(20<<20+1))
	require.Equal(t, 1, warnings(4<<20))
	require.Equal(t, 1, warnings(0), "16 MiB without a limit")

	s.MemoryMB = 79
	path := filepath.Join(t.TempDir(), "settings.json")
	writeSettings(t, path, s)
	s.MemoryMB = 100
	d.reload(path, "test")
	require.Equal(t, 2, strings.Count(log.String(), "memoryMB is too small"))
}
