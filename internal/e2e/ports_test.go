package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/loopback"
)

// portsPerTest is the size of the range of ports of one deployment.
const portsPerTest = 150

// takePorts returns the first port of a range that is free now and that no other test of this process gets.
func takePorts(t *testing.T) int {
	base, err := loopback.EndToEnd.Block(portsPerTest)
	require.NoError(t, err)
	return base
}

// deploymentSlots bounds the deployments that run side by side: more of them on 10 shared cores delay processes until
// failure detection takes them for dead.
var deploymentSlots = make(chan struct{}, 4)

// parallel runs a test beside others.
func parallel(t *testing.T) {
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
}
