package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/fakeengine"
)

// Times of the controller's lease.
const (
	leaseLife = 15 * time.Second
	leaseWait = 5 * time.Second // a new holder waits it out after the old lease
	// reconciled bounds the correction of an engine: an order is decided on reports at most a few seconds old.
	reconciled = 8 * time.Second
	// placed bounds the first placement: the lease, the first reports and the load of two models.
	placed = 12 * time.Second
)

func (d *deployment) getJSON(address string, out any) error {
	resp, err := http.Get("http://" + address)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// activeController returns the host whose controller says that it is active, except the one left out.
func (d *deployment) activeController(except string) string {
	for _, h := range d.Hosts {
		if h.Name == except {
			continue
		}
		var status struct{ Active bool }
		if d.getJSON(h.ControllerAdmin+"/status", &status) == nil && status.Active {
			return h.Name
		}
	}
	return ""
}

func (d *deployment) engineLoad(name string) engine.Load {
	client := engine.NewHTTP(0)
	defer client.Close()
	load, err := client.Load(context.Background(), d.Engines[name])
	require.NoError(d.t, err)
	return load
}

func (d *deployment) hasModel(name, version string) bool {
	for _, m := range d.engineLoad(name).Models {
		if m.Name == devdeploy.Model && m.Version == version {
			return true
		}
	}
	return false
}

// order sends an order to an engine as a controller does and returns the HTTP status.
func (d *deployment) order(name string, o engine.Order) int {
	body, err := json.Marshal(o)
	require.NoError(d.t, err)
	resp, err := http.Post("http://"+d.Engines[name]+engine.PathOrders, "application/json", bytes.NewReader(body))
	require.NoError(d.t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

func (d *deployment) weightLoadsRefused() int {
	var counts struct{ WeightLoadsRefused int }
	require.NoError(d.t, d.getJSON(d.Platform+"/debug/counts", &counts))
	return counts.WeightLoadsRefused
}

// Guards against empty engines that stay empty, against two controllers that fight after one was paused beyond its
// lease, against an old order that wins at an engine, and against loads over the weight store's rate.
func TestPausedControllerIsReplaced(t *testing.T) {
	parallel(t)
	const ignoring, checking = "engine-domain-1-1", "engine-domain-2-1"
	d := startWith(t, func(plan *devdeploy.Plan) {
		plan.EmptyEngines = true
		plan.Engine.ModelLoadMs = 1000
	}, func(doc *config.Document) {
		doc.Models[0].MinReplicas = 2
		doc.BackendServers[0].ChecksFence = false
	})
	d.fault(d.Engines[ignoring], fakeengine.Fault{Kind: fakeengine.FaultIgnoreFence})
	bothPlaced := func() bool { return d.hasModel(ignoring, "1") && d.hasModel(checking, "1") }
	require.Eventually(t, bothPlaced, placed, poll, "models are not placed")
	old := d.activeController("")
	require.NotEmpty(t, old)
	oldFence := d.engineLoad(checking).Fence
	d.signal(old+"-controller", syscall.SIGSTOP)
	require.Eventually(t, func() bool { return d.activeController(old) != "" }, leaseLife+leaseWait+2*time.Second, poll)
	d.signal(old+"-controller", syscall.SIGCONT)
	d.requireOldOrdersLose(t, ignoring, checking, oldFence)
	require.NotEqual(t, old, d.activeController(""), "the old controller is active again")
	require.Zero(t, d.weightLoadsRefused())
}

// requireOldOrdersLose sends orders with the old fence, as a controller that was paused in mid-order does. The wrong
// order is a load, which the new holder corrects with an unload: it gives no order to load in its first minute, because
// it does not know its predecessor's use of the weight store.
func (d *deployment) requireOldOrdersLose(t *testing.T, ignoring, checking string, fence uint64) {
	t.Helper()
	wrong := engine.Order{Fence: fence, Op: engine.OrderLoad, Model: devdeploy.Model, Version: "0"}
	require.Equal(t, http.StatusAccepted, d.order(ignoring, wrong))
	require.Eventually(t, func() bool { return d.hasModel(ignoring, "0") }, 4*time.Second, poll)
	// The engine learns the new fence with the first order of the new holder; this one changes nothing else.
	known := engine.Order{Fence: fence + 1, Op: engine.OrderLoad, Model: devdeploy.Model, Version: "1"}
	require.Equal(t, http.StatusAccepted, d.order(checking, known))
	require.Equal(t, http.StatusConflict, d.order(checking, wrong))
	require.False(t, d.hasModel(checking, "0"))
	require.Eventually(t, func() bool { return !d.hasModel(ignoring, "0") }, reconciled, poll, "not corrected")
	require.True(t, d.hasModel(ignoring, "1"))
	require.True(t, d.hasModel(checking, "1"))
}
