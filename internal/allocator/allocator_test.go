package allocator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/engine"
)

const testAddress = "127.0.0.1:1"

func testIndex() *config.Index {
	return config.NewIndex(1, &config.Document{BackendServers: []config.BackendServer{{
		Name: "e1", Address: testAddress, Kind: config.KindEngine, Region: "r", FailureDomain: "d", Pool: "p",
		KVTokens: 100_000, PrefillTokensPerSecond: 10_000, DecodeTokensPerSecond: 50,
	}}})
}

func testLoad() engine.Load {
	return engine.Load{
		Incarnation: "i1", State: engine.StateReady, Role: engine.RoleMixed, KVTokensTotal: 100_000,
		Models: []engine.LoadedModel{{Name: "m"}},
	}
}

func grantRequest(id string) *carobstilev1.GrantRequest {
	return &carobstilev1.GrantRequest{
		Pool: "p", RequestId: id, Attempt: 1, Workspace: "w", Model: "m", PromptTokens: 1000, MaxOutputTokens: 100,
		MaxWaitMicros: time.Second.Microseconds(),
	}
}

// startAllocatorAndPoll starts an allocator in a synctest bubble and waits for its first polls to finish.
func startAllocatorAndPoll(t *testing.T) (*Allocator, *FakeLoadReader) {
	a, loads := startAllocator(t)
	synctest.Wait()
	return a, loads
}

// startAllocator starts an allocator of pool p, which has one engine, and stops it at the end of the test.
func startAllocator(t *testing.T) (*Allocator, *FakeLoadReader) {
	loads := NewFakeLoadReader()
	loads.SetLoad(testAddress, testLoad())
	a := New(Options{Loads: loads})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		a.SetPools(nil, testIndex())
	})
	a.SetPools([]string{"p"}, testIndex())
	return a, loads
}

// Guards against an allocator that does not connect its polls, its reducer and its responses.
func TestGrantRenewRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := startAllocatorAndPoll(t)
		response, err := a.Grant(t.Context(), grantRequest("r1"))
		require.NoError(t, err)
		granted := response.GetGranted()
		require.NotNil(t, granted, "%v", response)
		require.Equal(t, "e1", granted.GetEngines()[0].GetName())
		held := &carobstilev1.HeldGrant{GrantId: granted.GetGrantId(), RequestId: "r1", Engines: granted.GetEngines()}
		renewed, err := a.Renew(t.Context(), &carobstilev1.RenewRequest{Pool: "p", Grants: []*carobstilev1.HeldGrant{held}})
		require.NoError(t, err)
		require.Empty(t, renewed.GetLostGrantIds())
		released := []*carobstilev1.ReleasedGrant{{GrantId: granted.GetGrantId()}}
		_, err = a.Release(t.Context(), &carobstilev1.ReleaseRequest{Pool: "p", Grants: released})
		require.NoError(t, err)
		require.Len(t, a.Status(), 1)
	})
}
