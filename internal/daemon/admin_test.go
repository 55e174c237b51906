package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/carobstile/carobstile/internal/telemetry"

	"github.com/stretchr/testify/require"
)

// Guards against profiles that are served without the setting: they show what the process has in memory.
func TestProfilesAreServedOnlyWithTheSetting(t *testing.T) {
	for enabled, status := range map[bool]int{false: http.StatusNotFound, true: http.StatusOK} {
		d := &Daemon{settings: &Settings{Profiling: enabled}, metrics: telemetry.New()}
		for _, path := range []string{"/debug/pprof/", "/debug/pprof/goroutine", "/debug/pprof/heap"} {
			answer := httptest.NewRecorder()
			d.adminHandler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, path, nil))
			require.Equal(t, status, answer.Code, path)
		}
	}
}
