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

// foreignCredentials returns credentials that another certificate authority issued.
func foreignCredentials(t *testing.T) peer.Credentials {
	ca, err := peer.NewAuthority(time.Hour)
	require.NoError(t, err)
	credentials, err := ca.Issue("stranger", net.IPv4(127, 0, 0, 1))
	require.NoError(t, err)
	return credentials
}

// Guards against an untrusted client that obtains grants, configuration, members or status, or that reads or resumes
// streams.
func TestUntrustedPeerIsRejected(t *testing.T) {
	runParallel(t)
	d := startDeployment(t, nil)
	pool, err := peer.NewPool(foreignCredentials(t), 0, evlog.NewClock(time.Now))
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
	d.requireCursorRejected(ctx, t)
}

// requireCursorRejected interrupts a stream and tries to resume it with an invalid key and with another caller's key.
func (d *deployment) requireCursorRejected(ctx context.Context, t *testing.T) {
	firstCtx, disconnect := context.WithCancel(ctx)
	prompt := "whose stream is this"
	a := chat(firstCtx, d.Hosts[0].Caller, devdeploy.CallerKey, prompt, answerTokens, "", func(n int) {
		if n == 20 {
			disconnect()
		}
	})
	require.NotEmpty(t, a.lastID)
	for key, code := range map[string]string{"no-such-key": "unauthorized", devdeploy.SecondCallerKey: "cursor_invalid"} {
		resumed := chat(ctx, d.Hosts[1].Caller, key, prompt, answerTokens, a.lastID, nil)
		require.Equal(t, code, resumed.errorCode)
		require.Empty(t, resumed.tokens)
	}
}

// Guards against a daemon with another cluster key and foreign credentials that joins the membership through a valid
// seed address.
func TestUntrustedDaemonCannotJoin(t *testing.T) {
	runParallel(t)
	d := startDeployment(t, nil)
	plan := d.process(d.Hosts[0].Name).plan
	data, err := os.ReadFile(plan.Settings)
	require.NoError(t, err)
	var s daemon.Settings
	require.NoError(t, json.Unmarshal(data, &s))
	key, err := peer.NewKey()
	require.NoError(t, err)
	s.Name, s.ClusterKeys, s.Credentials = "stranger", []string{key}, foreignCredentials(t)
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
	d.startProcess(plan)
	require.True(t, d.process(plan.Name).waitStarted())
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
	require.LessOrEqual(t, len(own.Members), 1, "the untrusted daemon received the membership table")
}
