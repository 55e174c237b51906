package e2e

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// Ranges of ports. They are below the ports that the kernel gives to outgoing connections and below those that
// development deployments use.
const (
	firstPort    = 12_000
	lastPort     = 17_900
	portsPerTest = 150
)

// portRanges hands out ranges of ports, each to one deployment of this process.
type portRanges struct {
	mu   sync.Mutex
	next int
}

// ports starts at a place of its own in every process, so that test runs side by side seldom try the same range.
var ports = &portRanges{next: os.Getpid()}

// take returns the first port of a range that is free now.
func (r *portRanges) take(t *testing.T) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	const ranges = (lastPort - firstPort) / portsPerTest
	for range ranges {
		base := firstPort + r.next%ranges*portsPerTest
		r.next++
		if free(base) {
			return base
		}
	}
	t.Fatal("no free range of ports")
	return 0
}

func free(base int) bool {
	for port := base; port < base+portsPerTest; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
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
