package edge

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/reach"
	"github.com/carobstile/carobstile/internal/routing"
)

// Guards against a daemon that asks only neighbours which are cut off with it, as a whole failure domain can be, and against fewer questions
// where there are few daemons.
func TestDaemonsOfOtherDomainsAreAsked(t *testing.T) {
	var members []*carobstilev1.EdgeMember
	add := func(domain string, names ...string) {
		for _, name := range names {
			members = append(members, &carobstilev1.EdgeMember{Name: name, FailureDomain: domain})
		}
	}
	asked := func() (own, others int) {
		for _, m := range chooseAsked(members, "self", "z1") {
			if m.GetFailureDomain() == "z1" {
				own++
			} else {
				others++
			}
			require.NotEqual(t, "self", m.GetName())
		}
		return own, others
	}
	add("z1", "self", "a", "b", "c", "d", "e")
	own, others := asked()
	require.Equal(t, []int{4, 0}, []int{own, others})
	add("z2", "f")
	own, others = asked()
	require.Equal(t, []int{3, 1}, []int{own, others})
	add("z3", "g", "h", "i")
	own, others = asked()
	require.Equal(t, []int{2, 2}, []int{own, others})
}

// probedEngines is an EngineClient that records probes.
type probedEngines struct {
	EngineClient
	paths chan string
}

func (e probedEngines) Probe(_ context.Context, address, path string) error {
	e.paths <- address + path
	return nil
}

// Guards against a daemon that is asked what it reaches and knows nothing as it has few requests, also of servers that only other cells use;
// and against one that is cut off itself and lets others take sound servers for down.
func TestDaemonSaysWhichServersItReaches(t *testing.T) {
	d := newFetchDaemon(t, "d", time.Hour)
	engines := probedEngines{paths: make(chan string, 9)}
	d.adapter.Engines = engines
	d.table.Store(routing.NewTable(routing.Config{Version: 7, Services: []routing.Service{{Name: "s", HealthPath: "/health"}, {Name: "none"}}}))
	for _, s := range []dispatch.Server{
		{ID: "used", Service: "s", Address: "used"},
		{ID: "elsewhere", Service: "s", Address: "elsewhere"},
		{ID: "unprobed", Service: "none"},
		{ID: "leaving", Service: "s", Leaving: true},
	} {
		d.servers.servers[s.ID] = s
	}
	d.relays.setServers([]dispatch.Server{d.servers.servers["used"], d.servers.servers["leaving"]})
	ask := func() *carobstilev1.ReachedResponse {
		resp, err := peerService{d}.Reached(t.Context(), connect.NewRequest(&carobstilev1.ReachedRequest{
			Servers: []string{"used", "elsewhere", "unprobed", "leaving", "unknown"},
		}))
		require.NoError(t, err)
		return resp.Msg
	}
	got := ask()
	require.Equal(t, int64(7), got.GetConfigVersion())
	require.Empty(t, got.GetReached())
	require.ElementsMatch(t, []string{"used/health", "elsewhere/health"}, []string{<-engines.paths, <-engines.paths})
	require.Eventually(t, func() bool { return len(ask().GetReached()) == 2 }, time.Second, time.Millisecond)
	require.Empty(t, engines.paths, "probes are bounded")

	d.relays.with(func(now core.Micros, v *reach.View) {
		v.Failed(now-5*core.Second, "used", true)
		v.PeerReached(now, "used")
		v.Failed(now, "used", true)
		_, _ = v.Update(now)
	})
	got = ask()
	require.True(t, got.GetCutOff())
	require.Empty(t, got.GetReached())
}
