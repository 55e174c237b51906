package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/devdeploy"
)

// Guards against any failure on the complete request path: caller, gate, allocator, engine and back.
func TestRequestPath(t *testing.T) {
	d := startDeployment(t, nil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, h := range d.Hosts {
		a := chat(ctx, h.Caller, devdeploy.CallerKey, "plan a lesson on tides", 20, "", nil)
		require.NoError(t, a.err)
		require.True(t, a.complete, "%+v", a)
		require.Len(t, a.tokens, 20)
	}
}
