package e2e

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/loopback"
)

// portsPerTest is the number of ports that is reserved for one deployment.
const portsPerTest = 150

// allocatePorts returns the first port of a range of portsPerTest ports that are currently free and that no other test
// of this process uses.
func allocatePorts(t *testing.T) int {
	base, err := loopback.EndToEnd.Block(portsPerTest)
	require.NoError(t, err)
	return base
}

// deploymentSlots limits the number of concurrent deployments. More than 4 on 10 shared cores delay processes so much
// that failure detection reports them dead.
var deploymentSlots = make(chan struct{}, 4)

// runParallel marks a test as parallel and waits for a deployment slot.
func runParallel(t *testing.T) {
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
}
