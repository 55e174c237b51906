package allocator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/engine"
)

// nearlyFullRequest returns a request for nearly all KV memory of the test engine.
func nearlyFullRequest(id string, wait time.Duration) *carobstilev1.GrantRequest {
	r := grantRequest(id)
	r.MaxOutputTokens, r.MaxWaitMicros = 89_000, wait.Microseconds()
	return r
}

func mustGrant(t *testing.T, a *Allocator, r *carobstilev1.GrantRequest) *carobstilev1.Granted {
	t.Helper()
	response, err := a.Grant(t.Context(), r)
	require.NoError(t, err)
	require.NotNil(t, response.GetGranted(), "%v", response)
	return response.GetGranted()
}

func mustRefuse(t *testing.T, a *Allocator, r *carobstilev1.GrantRequest) carobstilev1.RefusalCode {
	t.Helper()
	response, err := a.Grant(t.Context(), r)
	require.NoError(t, err)
	require.NotNil(t, response.GetRefused(), "%v", response)
	return response.GetRefused().GetCode()
}

func release(t *testing.T, a *Allocator, id string) {
	t.Helper()
	grants := []*carobstilev1.ReleasedGrant{{GrantId: id, Outcome: carobstilev1.Outcome_OUTCOME_COMPLETE}}
	_, err := a.Release(t.Context(), &carobstilev1.ReleaseRequest{Pool: "p", Grants: grants})
	require.NoError(t, err)
}

// Guards against a waiting request that is not granted after a release, or that waits longer than its max wait.
func TestWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := startAllocatorAndPoll(t)
		first := mustGrant(t, a, nearlyFullRequest("r1", time.Second))
		start := time.Now()
		require.Equal(t, carobstilev1.RefusalCode_REFUSAL_CODE_OVERLOADED, mustRefuse(t, a, nearlyFullRequest("r2", 3*time.Second)))
		require.Equal(t, 3*time.Second, time.Since(start))
		time.AfterFunc(time.Second, func() { release(t, a, first.GetGrantId()) })
		start = time.Now()
		mustGrant(t, a, nearlyFullRequest("r3", 5*time.Second))
		require.Equal(t, time.Second, time.Since(start))
	})
}

// Guards against a request that stays queued or keeps KV memory reserved after its gate has stopped waiting.
func TestAbandonedRequestReservesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := startAllocatorAndPoll(t)
		first := mustGrant(t, a, nearlyFullRequest("r1", time.Second))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := a.Grant(ctx, nearlyFullRequest("r2", time.Minute))
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Zero(t, a.Status()[0].GetQueued())
		release(t, a, first.GetGrantId())
		mustGrant(t, a, nearlyFullRequest("r3", time.Second))
	})
}

// Guards against an expired grant that is never freed, or that is freed while the engine still runs its request.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, loads := startAllocatorAndPoll(t)
		mustGrant(t, a, nearlyFullRequest("r1", time.Second))
		load := testLoad()
		load.Running = []engine.RunningRequest{{RequestID: "r1", Attempt: 1, ReservedTokens: 90_000}}
		loads.SetLoad(testAddress, load)
		time.Sleep(30 * time.Second)
		require.EqualValues(t, 1, a.Status()[0].GetGrants(), "the engine still runs the request")
		loads.SetLoad(testAddress, testLoad())
		time.Sleep(3 * time.Second)
		require.Zero(t, a.Status()[0].GetGrants())
	})
}

// Guards against a daemon that continues to grant after a pool moved to another allocator, leaves requests waiting, or
// does not report that it no longer allocates the pool.
func TestPoolMovesToOtherAllocator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := startAllocatorAndPoll(t)
		mustGrant(t, a, nearlyFullRequest("r1", time.Second))
		time.AfterFunc(time.Second, func() { a.SetPools(nil, testIndex()) })
		notAllocator := carobstilev1.RefusalCode_REFUSAL_CODE_NOT_ALLOCATOR
		require.Equal(t, notAllocator, mustRefuse(t, a, nearlyFullRequest("r2", time.Minute)))
		require.Equal(t, notAllocator, mustRefuse(t, a, nearlyFullRequest("r3", time.Minute)))
		_, err := a.Renew(t.Context(), &carobstilev1.RenewRequest{Pool: "p"})
		require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err))
		require.Empty(t, a.Status())
	})
}

// Guards against a leaving daemon that still grants, or that fails renewals and releases before it has stopped.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := startAllocatorAndPoll(t)
		first := mustGrant(t, a, nearlyFullRequest("r1", time.Second))
		time.AfterFunc(time.Second, a.StopGranting)
		leaving := carobstilev1.RefusalCode_REFUSAL_CODE_LEAVING
		require.Equal(t, leaving, mustRefuse(t, a, nearlyFullRequest("r2", time.Minute)))
		a.SetPools([]string{"p"}, testIndex())
		require.Equal(t, leaving, mustRefuse(t, a, nearlyFullRequest("r3", time.Minute)))
		held := []*carobstilev1.HeldGrant{{GrantId: first.GetGrantId(), RequestId: "r1", Engines: first.GetEngines()}}
		response, err := a.Renew(t.Context(), &carobstilev1.RenewRequest{Pool: "p", Grants: held})
		require.NoError(t, err)
		require.Empty(t, response.GetLostGrantIds())
		release(t, a, first.GetGrantId())
	})
}

// Guards against an engine that counts as ready after its polls have failed, or that is not used again after it recovers.
func TestDeadEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, loads := startAllocatorAndPoll(t)
		require.EqualValues(t, 1, a.Status()[0].GetEnginesReady())
		loads.FailPolls(testAddress)
		time.Sleep(3 * time.Second)
		require.Zero(t, a.Status()[0].GetEnginesReady())
		require.Equal(t, carobstilev1.RefusalCode_REFUSAL_CODE_NO_ENGINE, mustRefuse(t, a, grantRequest("r1")))
		loads.SetLoad(testAddress, testLoad())
		time.Sleep(2 * time.Second)
		mustGrant(t, a, grantRequest("r2"))
	})
}

// Guards against grants for a crashed engine until two regular polls have failed. The gate that lost its stream releases
// the grant with OUTCOME_LOST, which starts a poll at once, and the refused connection proves the crash.
func TestCrashedEngineGetsNoGrantAfterItsFirstLostStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, loads := startAllocatorAndPoll(t)
		grant := mustGrant(t, a, grantRequest("r1"))
		loads.RefuseConnections(testAddress)
		_, err := a.Release(t.Context(), &carobstilev1.ReleaseRequest{Pool: "p", Grants: []*carobstilev1.ReleasedGrant{
			{GrantId: grant.GetGrantId(), Outcome: carobstilev1.Outcome_OUTCOME_LOST},
		}})
		require.NoError(t, err)
		synctest.Wait()
		require.Zero(t, a.Status()[0].GetEnginesReady())
		require.Equal(t, carobstilev1.RefusalCode_REFUSAL_CODE_NO_ENGINE, mustRefuse(t, a, grantRequest("r2")))
	})
}

// Guards against data races in the allocator, and against grants and timers that leak when responses, timeouts and
// releases happen at the same time.
func TestConcurrentRequests(t *testing.T) {
	a, _ := startAllocator(t)
	require.Eventually(t, func() bool { return a.Status()[0].GetEnginesReady() == 1 }, 5*time.Second, time.Millisecond)
	var gates sync.WaitGroup
	for i := range 20 {
		gates.Go(func() {
			for j := range 20 {
				grantAndRelease(t, a, fmt.Sprintf("r%d-%d", i, j))
			}
		})
	}
	gates.Wait()
	require.Zero(t, a.Status()[0].GetGrants())
	require.Zero(t, a.Status()[0].GetQueued())
	p := a.pool("p")
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	require.Empty(t, p.pendingGrants)
	require.LessOrEqual(t, len(p.timers), 3, "timers of completed requests were not removed")
}

func grantAndRelease(t *testing.T, a *Allocator, id string) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
	defer cancel()
	r := grantRequest(id)
	r.MaxOutputTokens = 30_000
	response, err := a.Grant(ctx, r)
	if granted := response.GetGranted(); err == nil && granted != nil {
		release(t, a, granted.GetGrantId())
	}
}
