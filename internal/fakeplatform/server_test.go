package fakeplatform

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/carobstile/carobstile/internal/platform"
	"github.com/stretchr/testify/require"
)

func newTestClient(t *testing.T, s Settings) (*platform.Client, *platform.Fake) {
	store := platform.NewFake()
	server := httptest.NewServer(New(s, store))
	t.Cleanup(server.Close)
	return platform.NewClient(strings.TrimPrefix(server.URL, "http://")), store
}

// Guards against a conditional update that is carried out unconditionally, and against a version conflict that is
// reported as an unknown outcome.
func TestConditionalUpdateOverHTTP(t *testing.T) {
	client, _ := newTestClient(t, Settings{})
	ctx := context.Background()
	version, err := client.PutIf(ctx, platform.KindLease, "controller", []byte("a"), 0)
	require.NoError(t, err)
	_, err = client.PutIf(ctx, platform.KindLease, "controller", []byte("b"), 0)
	require.ErrorIs(t, err, platform.ErrConflict)
	got, err := client.Get(ctx, platform.KindLease, "controller")
	require.NoError(t, err)
	require.Equal(t, "a", string(got.Value))
	require.Equal(t, version, got.Version)
	require.NoError(t, client.DeleteIf(ctx, platform.KindLease, "controller", version))
	_, err = client.Get(ctx, platform.KindLease, "controller")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// Guards against a lost answer that is reported as a rejection although the write took effect.
func TestLostAnswerIsUnknownOutcome(t *testing.T) {
	client, store := newTestClient(t, Settings{})
	store.SetFaults(platform.Faults{LoseWriteResponses: 1})
	_, err := client.PutIf(context.Background(), "claims", "c", []byte("a"), 0)
	require.ErrorIs(t, err, platform.ErrUnknown)
	got, err := client.Get(context.Background(), "claims", "c")
	require.NoError(t, err)
	require.Equal(t, "a", string(got.Value))
}

// Guards against a rejected write that is reported as an unknown outcome, which would block its request unnecessarily.
func TestOutageIsRejected(t *testing.T) {
	client, store := newTestClient(t, Settings{})
	store.SetFaults(platform.Faults{Outage: true})
	_, err := client.Put(context.Background(), "claims", "c", []byte("a"))
	require.ErrorIs(t, err, platform.ErrRejected)
	_, err = platform.NewClient("127.0.0.1:1").Put(context.Background(), "claims", "c", []byte("a"))
	require.ErrorIs(t, err, platform.ErrRejected, "nothing was sent")
}

// Guards against a watch that misses a change made during the wait.
func TestWatchReturnsChange(t *testing.T) {
	client, _ := newTestClient(t, Settings{})
	ctx := context.Background()
	go func() {
		time.Sleep(50 * time.Millisecond)
		_, _ = client.Put(ctx, platform.KindConfig, "root", []byte("1"))
	}()
	got, err := client.WatchAfter(ctx, platform.KindConfig, "", 0, 5*time.Second)
	require.NoError(t, err)
	require.Len(t, got.Objects, 1)
	later, err := client.WatchAfter(ctx, platform.KindConfig, "", got.Revision, 50*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, later.Objects)
}

// Guards against a fake that does not enforce the platform's rate limit.
func TestRateLimit(t *testing.T) {
	client, _ := newTestClient(t, Settings{WritesPerSecond: 1})
	_, err := client.Put(context.Background(), "status", "a", []byte("1"))
	require.NoError(t, err)
	_, err = client.Put(context.Background(), "status", "b", []byte("1"))
	require.ErrorIs(t, err, platform.ErrRejected)
}

// Guards against values that pass the tests although the platform would reject them as too large in production.
func TestValueSize(t *testing.T) {
	client, _ := newTestClient(t, Settings{})
	_, err := client.Put(context.Background(), "status", "a", make([]byte, platform.MaxValueBytes+1))
	require.ErrorIs(t, err, platform.ErrTooLarge)
}
