package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/platform"
)

// maxPropagationDelay is the required maximum time from the acceptance of a configuration change until all daemons use
// it.
const maxPropagationDelay = 3 * time.Second

// applyWeight applies a new weight for the first workspace and returns the generation of the configuration.
func (d *deployment) applyWeight(weight int) uint64 {
	store := confstore.New(platform.NewClient(d.Platform))
	base, err := store.Read(context.Background())
	require.NoError(d.t, err)
	doc, err := base.Clone()
	require.NoError(d.t, err)
	doc.Workspaces[0].Weight = weight
	applied, err := store.Apply(context.Background(), base, doc, "e2e")
	require.NoError(d.t, err)
	return applied.Root.Generation
}

// Guards against a configuration change that does not reach every daemon within maxPropagationDelay.
func TestConfigChangeReachesAllDaemons(t *testing.T) {
	d := startDeployment(t, nil)
	for weight := 2; weight < 6; weight++ {
		generation := d.applyWeight(weight)
		accepted := time.Now()
		for _, h := range d.Hosts {
			for d.status(h).Generation < generation {
				require.Less(t, time.Since(accepted), maxPropagationDelay, "%s is behind", h.Name)
				time.Sleep(pollInterval)
			}
		}
	}
}

// Guards against a daemon that reverts to an older configuration when it restarts during stale reads of the platform,
// or that cannot start during a platform outage.
func TestRestartKeepsLatestConfig(t *testing.T) {
	d := startDeployment(t, nil)
	d.applyWeight(2)
	generation := d.applyWeight(3)
	h := d.Hosts[2]
	for name, faults := range map[string]platform.Faults{"stale": {StaleReads: 1}, "out": {Outage: true}} {
		d.injectFault(d.Platform, faults)
		d.kill(h.Name)
		d.restart(h.Name)
		limit := time.Now().Add(startTimeout)
		for !d.status(h).Ready {
			require.True(t, time.Now().Before(limit), "not ready while the platform is %s", name)
			time.Sleep(pollInterval)
		}
		require.GreaterOrEqual(t, d.status(h).Generation, generation, "platform is %s", name)
	}
}
