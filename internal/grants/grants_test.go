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
	g := New(Options{Gate: "gate", Place: here, Peer: peer})
	g.Configure(fleet(300))
	return g
}

func request(id string) *Request {
	return &Request{ID: id, Attempt: 1, Workspace: "w", Model: "m", Deadline: time.Now().Add(10 * time.Second)}
}

func refused(code carobstilev1.RefusalCode, wait time.Duration) *carobstilev1.Refused {
	return &carobstilev1.Refused{Code: code, ExpectedWaitMicros: wait.Microseconds()}
}

// poolsFor returns the pools that a request is asked of, in order.
func poolsFor(g *Grants) []string { return g.order(request("x")) }

// Guards against a gate that asks more than three pools, or waits in the queue of any but the one with the shortest
// expected wait.
func TestSpillThenWaitInTheShortestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := NewFakePeer()
		g := testGrants(peer)
		pools := poolsFor(g)
		for i, wait := range []time.Duration{3 * time.Second, time.Second, 2 * time.Second} {
			peer.Refuse(pools[i], refused(overloaded, wait))
		}
		grant, refusal, err := g.Acquire(t.Context(), request("r"))
		require.NoError(t, err)
		require.Nil(t, grant)
		require.Equal(t, &Refusal{Code: overloaded, ExpectedWait: time.Second}, refusal)
		var asked []string
		for _, r := range peer.Asked() {
			asked = append(asked, r.GetPool())
		}
		require.Equal(t, append(pools, pools[1]), asked)
		require.Equal(t, defaultSpillWait.Microseconds(), peer.Asked()[0].GetMaxWaitMicros())
		require.Equal(t, (10*time.Second - answerMargin).Microseconds(), peer.Asked()[3].GetMaxWaitMicros())
	})
}

// Guards against a gate that goes on asking dead allocators first, never returns to them, or reports no reason.
func TestDeadAllocatorIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := NewFakePeer()
		g := testGrants(peer)
		pools := poolsFor(g)
		peer.Down(pools[0], true)
		grant, _, err := g.Acquire(t.Context(), request("r"))
		require.NoError(t, err)
		require.Equal(t, pools[1], grant.Pool)
		require.NotContains(t, poolsFor(g), pools[0])
		time.Sleep(avoidFor + time.Second)
		require.Equal(t, pools, poolsFor(g))
		for _, pool := range pools {
			peer.Down(pool, true)
		}
		_, refusal, err := g.Acquire(t.Context(), request("r"))
		require.Nil(t, refusal)
		require.ErrorContains(t, err, "is down")
	})
}

// Guards against a refusal for the crash limit that is tried on further pools.
func TestCrashLimitIsFinal(t *testing.T) {
	peer := NewFakePeer()
	g := testGrants(peer)
	code := carobstilev1.RefusalCode_REFUSAL_CODE_CRASHES_SERVERS
	peer.Refuse(poolsFor(g)[0], refused(code, 0))
	_, refusal, err := g.Acquire(t.Context(), request("r"))
	require.NoError(t, err)
	require.Equal(t, code, refusal.Code)
	require.Len(t, peer.Asked(), 1)
}

// Guards against renewals that come late, one by one, for released grants, or stop after failures; and against a lost
// grant that its stream does not learn of.
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
		require.Len(t, peer.Releases(), 1)
		require.Len(t, peer.Renewals(), 1)
		require.Len(t, peer.Renewals()[0].GetGrants(), 2)
		require.Equal(t, "one", peer.Renewals()[0].GetGrants()[0].GetRequestId())
		peer.Down(one.Pool, true)
		time.Sleep(20 * time.Second)
		peer.Down(one.Pool, false)
		peer.Lose(two.ID)
		time.Sleep(4 * time.Second)
		<-two.Lost()
		require.Equal(t, 1, g.Held())
		select {
		case <-one.Lost():
			t.Fatal("a grant whose renewals failed for a while was given up")
		default:
		}
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}
