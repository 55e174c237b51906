package grants

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/allocator"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/engine"
)

// directPeer is a Peer that calls the current allocator directly, without a network.
type directPeer struct {
	current atomic.Pointer[allocator.Allocator]
}

func (p *directPeer) Grant(ctx context.Context, _ string, r *carobstilev1.GrantRequest) (*carobstilev1.GrantResponse, error) {
	return p.current.Load().Grant(ctx, r)
}

func (p *directPeer) Renew(ctx context.Context, _ string, r *carobstilev1.RenewRequest) (*carobstilev1.RenewResponse, error) {
	return p.current.Load().Renew(ctx, r)
}

func (p *directPeer) Release(ctx context.Context, _ string, r *carobstilev1.ReleaseRequest) (*carobstilev1.ReleaseResponse, error) {
	return p.current.Load().Release(ctx, r)
}

func singlePoolIndex() *config.Index {
	return config.NewIndex(1, &config.Document{
		Models: []config.Model{{Name: "m"}},
		BackendServers: []config.BackendServer{{
			Name: "e", Address: "127.0.0.1:1", Kind: config.KindEngine, Region: "r0", FailureDomain: "d0", Pool: "p",
			KVTokens: 100_000, PrefillTokensPerSecond: 20_000,
		}},
	})
}

// runUntilCleanup calls run in the background, cancels its context at the end of the test and waits for it.
func runUntilCleanup(t *testing.T, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Guards against a change of allocator that loses a grant in use, or that grants its KV memory to another request. The
// new allocator must first count the memory as used by an unknown grant, adopt the grant when it is renewed, and free the
// memory when the grant is released.
func TestGrantSurvivesChangeOfAllocator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loads := allocator.NewFakeLoadReader()
		load := engine.Load{
			Incarnation: "i", State: engine.StateReady, KVTokensTotal: 100_000, Models: []engine.LoadedModel{{Name: "m"}},
		}
		loads.SetLoad("127.0.0.1:1", load)
		first, second := allocator.New(allocator.Options{Loads: loads}), allocator.New(allocator.Options{Loads: loads})
		peer := &directPeer{}
		peer.current.Store(first)
		g := New(Options{Gate: "gate", Location: gateLocation, Peer: peer})
		g.Configure(singlePoolIndex())
		for _, run := range []func(context.Context) error{first.Run, second.Run, g.Run} {
			runUntilCleanup(t, run)
		}
		t.Cleanup(func() { second.SetPools(nil, singlePoolIndex()) })
		first.SetPools([]string{"p"}, singlePoolIndex())
		large := func(id string) *Request {
			r := request(id)
			r.PromptTokens, r.MaxOutputTokens = 1_000, 79_000
			return r
		}
		grant, _, err := g.Acquire(t.Context(), large("r1"))
		require.NoError(t, err)
		require.NotNil(t, grant)
		load.Running = []engine.RunningRequest{{RequestID: "r1", Attempt: 1, ReservedTokens: 80_000}}
		loads.SetLoad("127.0.0.1:1", load)

		first.StopGranting()
		first.SetPools(nil, singlePoolIndex())
		second.SetPools([]string{"p"}, singlePoolIndex())
		peer.current.Store(second)
		_, refusal, err := g.Acquire(t.Context(), large("r2"))
		require.NoError(t, err)
		require.Equal(t, overloaded, refusal.Code)
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 1, second.Status()[0].GetGrants(), "the new allocator did not adopt the grant")
		g.Release(grant, carobstilev1.Outcome_OUTCOME_COMPLETE, 10)
		load.Running = nil
		loads.SetLoad("127.0.0.1:1", load)
		grant, _, err = g.Acquire(t.Context(), large("r3"))
		require.NoError(t, err)
		require.NotNil(t, grant)
	})
}
