package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/platform"
)

// inForceWithin is the users' bound for an accepted change.
const inForceWithin = 3 * time.Second

// change accepts a change of one workspace and returns its generation.
func (d *deployment) change(weight int) uint64 {
	store := confstore.New(platform.NewClient(d.Platform))
	base, err := store.Read(context.Background())
	require.NoError(d.t, err)
	doc, err := base.Clone()
	require.NoError(d.t, err)
	doc.Workspaces[0].Weight = weight
	after, err := store.Apply(context.Background(), base, doc, "e2e")
	require.NoError(d.t, err)
	return after.Root.Generation
}

// Guards against a change that is not in force everywhere within the users' bound.
func TestChangeIsInForceEverywhere(t *testing.T) {
	d := start(t, nil)
	for weight := 2; weight < 6; weight++ {
		generation := d.change(weight)
		accepted := time.Now()
		for _, h := range d.Hosts {
			for d.status(h).Generation < generation {
				require.Less(t, time.Since(accepted), inForceWithin, "%s is behind", h.Name)
				time.Sleep(poll)
			}
		}
	}
}

// Guards against a daemon that falls back to an older configuration after a restart with stale reads of the platform,
// or that cannot start while the platform is out.
func TestRestartNeverReverts(t *testing.T) {
	d := start(t, nil)
	d.change(2)
	generation := d.change(3)
	h := d.Hosts[2]
	for name, faults := range map[string]platform.Faults{"stale": {StaleReads: 1}, "out": {Outage: true}} {
		d.fault(d.Platform, faults)
		d.kill(h.Name)
		d.restart(h.Name)
		ready := time.Now().Add(startTimeout)
		for !d.status(h).Ready {
			require.True(t, time.Now().Before(ready), "not ready while the platform is %s", name)
			time.Sleep(poll)
		}
		require.GreaterOrEqual(t, d.status(h).Generation, generation, "platform is %s", name)
	}
}
