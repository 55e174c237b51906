package grants

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
)

const overloaded = carobstilev1.RefusalCode_REFUSAL_CODE_OVERLOADED

func testGrants(peer Peer) *Grants {
	g := New(Options{Gate: "gate", Location: gateLocation, Peer: peer})
	g.Configure(testIndex(300))
	return g
}

func request(id string) *Request {
	return &Request{ID: id, Attempt: 1, Workspace: "w", Model: "m", Deadline: time.Now().Add(10 * time.Second)}
}

func refused(code carobstilev1.RefusalCode, wait time.Duration) *carobstilev1.Refused {
	return &carobstilev1.Refused{Code: code, ExpectedWaitMicros: wait.Microseconds()}
}

// orderedPoolsFor returns the pools that are tried for a test request, in order.
func orderedPoolsFor(g *Grants) []string { return g.orderedPools(request("x")) }

// Guards against a gate that tries more than three pools, or that waits in a queue other than the one with the shortest
// expected wait.
func TestSpillThenWaitInTheShortestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := NewFakePeer()
		g := testGrants(peer)
		pools := orderedPoolsFor(g)
		for i, wait := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second} {
			peer.SetRefusal(pools[i], refused(overloaded, wait))
		}
		grant, refusal, err := g.Acquire(t.Context(), request("r"))
		require.NoError(t, err)
		require.Nil(t, grant)
		require.Equal(t, &Refusal{Code: overloaded, ExpectedWait: time.Second}, refusal)
		var triedPools []string
		for _, r := range peer.GrantRequests() {
			triedPools = append(triedPools, r.GetPool())
		}
		require.Equal(t, append(pools, pools[1]), triedPools)
		require.Equal(t, defaultSpillWait.Microseconds(), peer.GrantRequests()[0].GetMaxWaitMicros())
		require.Equal(t, (10*time.Second - responseMargin).Microseconds(), peer.GrantRequests()[3].GetMaxWaitMicros())
	})
}

// Guards against a gate that continues to try pools with a dead allocator first, never uses them again, or does not
// return the error of the failed calls.
func TestDeadAllocatorIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := NewFakePeer()
		g := testGrants(peer)
		pools := orderedPoolsFor(g)
		peer.SetDown(pools[0], true)
		grant, _, err := g.Acquire(t.Context(), request("r"))
		require.NoError(t, err)
		require.Equal(t, pools[1], grant.Pool)
		require.NotContains(t, orderedPoolsFor(g), pools[0])
		time.Sleep(avoidDuration + time.Second)
		require.Equal(t, pools, orderedPoolsFor(g))
		for _, pool := range pools {
			peer.SetDown(pool, true)
		}
		_, refusal, err := g.Acquire(t.Context(), request("r"))
		require.Nil(t, refusal)
		require.ErrorContains(t, err, "is down")
	})
}

// Guards against a request that is sent to further pools after one pool refused it because of the crash limit.
func TestCrashLimitIsFinal(t *testing.T) {
	peer := NewFakePeer()
	g := testGrants(peer)
	code := carobstilev1.RefusalCode_REFUSAL_CODE_CRASHES_SERVERS
	peer.SetRefusal(orderedPoolsFor(g)[0], refused(code, 0))
	_, refusal, err := g.Acquire(t.Context(), request("r"))
	require.NoError(t, err)
	require.Equal(t, code, refusal.Code)
	require.Len(t, peer.GrantRequests(), 1)
}

// Guards against renewals that are late, not batched per pool, sent for released grants, or stopped after failures, and
// against a lost grant that is not reported through Lost.
func TestRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := NewFakePeer()
		g := testGrants(peer)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- g.Run(ctx) }()
		synctest.Wait()
		acquire := func(id string) *Grant {
			grant, _, err := g.Acquire(ctx, request(id))
			require.NoError(t, err)
			return grant
		}
		one, two, three := acquire("one"), acquire("two"), acquire("three")
		g.Release(three, carobstilev1.Outcome_OUTCOME_COMPLETE, 5)
		g.Release(three, carobstilev1.Outcome_OUTCOME_COMPLETE, 5)
		time.Sleep(5 * time.Second)
		require.Len(t, peer.ReleaseRequests(), 1)
		require.Len(t, peer.RenewRequests(), 1)
		require.Len(t, peer.RenewRequests()[0].GetGrants(), 2)
		require.Equal(t, "one", peer.RenewRequests()[0].GetGrants()[0].GetRequestId())
		peer.SetDown(one.Pool, true)
		time.Sleep(20 * time.Second)
		peer.SetDown(one.Pool, false)
		peer.LoseGrant(two.ID)
		time.Sleep(4 * time.Second)
		<-two.Lost()
		require.Equal(t, 1, g.Held())
		select {
		case <-one.Lost():
			t.Fatal("a grant was reported as lost although its renewals only failed for a while")
		default:
		}
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}
