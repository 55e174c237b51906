package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/carobstile/carobstile/internal/telemetry"

	"github.com/stretchr/testify/require"
)

// Guards against serving profiles without the setting: they show memory contents of the process.
func TestProfilingRequiresSetting(t *testing.T) {
	for enabled, status := range map[bool]int{false: http.StatusNotFound, true: http.StatusOK} {
		d := &Daemon{settings: &Settings{Profiling: enabled}, metrics: telemetry.New()}
		for _, path := range []string{"/debug/pprof/", "/debug/pprof/goroutine", "/debug/pprof/heap"} {
			recorder := httptest.NewRecorder()
			d.adminHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
			require.Equal(t, status, recorder.Code, path)
		}
	}
}
