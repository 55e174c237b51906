package e2e

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pb "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/daemon"
	"github.com/carobstile/carobstile/internal/devdeploy"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/peer"
)

// strangerCredentials are of another authority.
func strangerCredentials(t *testing.T) peer.Credentials {
	ca, err := peer.NewAuthority(time.Hour)
	require.NoError(t, err)
	credentials, err := ca.Issue("stranger", net.IPv4(127, 0, 0, 1))
	require.NoError(t, err)
	return credentials
}

// Guards against a stranger who asks for grants, configuration, members or status, or reads or continues streams.
func TestStrangerGetsNothing(t *testing.T) {
	parallel(t)
	d := start(t, nil)
	pool, err := peer.NewPool(strangerCredentials(t), 0, evlog.NewClock(time.Now))
	require.NoError(t, err)
	defer pool.Close()
	ctx := requestContext(t)
	for _, h := range d.Hosts {
		_, err := pool.Grant(ctx, h.Peer, &pb.GrantRequest{})
		require.Error(t, err)
		_, err = pool.FetchConfig(ctx, h.Peer, &pb.FetchConfigRequest{})
		require.Error(t, err)
		_, err = pool.SyncMembers(ctx, h.Peer, &pb.SyncMembersRequest{})
		require.Error(t, err)
		_, err = pool.Status(ctx, h.Peer, &pb.StatusRequest{})
		require.Error(t, err)
		a := chat(ctx, h.Caller, "no-such-key", "a stranger's question", 10, "", nil)
		require.Equal(t, "unauthorized", a.errorCode)
		require.Empty(t, a.tokens)
	}
	d.requireCursorIsRefused(ctx, t)
}

// requireCursorIsRefused breaks a stream and continues it without the caller's key.
func (d *deployment) requireCursorIsRefused(ctx context.Context, t *testing.T) {
	broken, leave := context.WithCancel(ctx)
	prompt := "whose stream is this"
	a := chat(broken, d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n == 20 {
			leave()
		}
	})
	require.NotEmpty(t, a.lastID)
	for key, code := range map[string]string{"no-such-key": "unauthorized", devdeploy.OtherKey: "cursor_invalid"} {
		stolen := chat(ctx, d.Hosts[1].Caller, key, prompt, answerTokens, a.lastID, nil)
		require.Equal(t, code, stolen.errorCode)
		require.Empty(t, stolen.tokens)
	}
}

// Guards against a daemon with other keys that joins the membership, and against one that joins with the cluster key
// unknown but a valid address in the seeds.
func TestStrangerCannotJoin(t *testing.T) {
	parallel(t)
	d := start(t, nil)
	plan := d.process(d.Hosts[0].Name).plan
	data, err := os.ReadFile(plan.Settings)
	require.NoError(t, err)
	var s daemon.Settings
	require.NoError(t, json.Unmarshal(data, &s))
	key, err := peer.NewKey()
	require.NoError(t, err)
	s.Name, s.ClusterKeys, s.Credentials = "stranger", []string{key}, strangerCredentials(t)
	s.Seeds = append(s.Seeds, d.Hosts[0].Peer)
	var listeners []net.Listener
	for _, address := range []*string{&s.CallerAddress, &s.AdminAddress, &s.PeerAddress} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		*address = l.Addr().String()
	}
	for _, l := range listeners {
		require.NoError(t, l.Close())
	}
	data, err = json.Marshal(s)
	require.NoError(t, err)
	plan.Name, plan.Settings = "stranger", d.Dir+"/stranger.json"
	require.NoError(t, os.WriteFile(plan.Settings, data, 0o600))
	d.run(plan)
	require.True(t, d.process(plan.Name).started())
	time.Sleep(5 * time.Second) // several probes of every seed
	for _, h := range d.Hosts {
		status := d.status(h)
		require.Len(t, status.Members, len(d.Hosts))
		for _, m := range status.Members {
			require.NotEqual(t, "stranger", m.Name)
			require.Equal(t, "MEMBER_STATE_ALIVE", m.State)
		}
	}
	own := d.status(devdeploy.Host{Admin: s.AdminAddress})
	require.LessOrEqual(t, len(own.Members), 1, "the stranger learned the members")
}
