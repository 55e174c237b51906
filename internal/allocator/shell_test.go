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

// filling asks for nearly all memory of the test engine.
func filling(id string, wait time.Duration) *carobstilev1.GrantRequest {
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

func refusalCode(t *testing.T, a *Allocator, r *carobstilev1.GrantRequest) carobstilev1.RefusalCode {
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

// Guards against a waiting request that no release wakes, or that stays beyond its max wait.
func TestWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := running(t)
		first := mustGrant(t, a, filling("r1", time.Second))
		start := time.Now()
		require.Equal(t, carobstilev1.RefusalCode_REFUSAL_CODE_OVERLOADED, refusalCode(t, a, filling("r2", 3*time.Second)))
		require.Equal(t, 3*time.Second, time.Since(start))
		time.AfterFunc(time.Second, func() { release(t, a, first.GetGrantId()) })
		start = time.Now()
		mustGrant(t, a, filling("r3", 5*time.Second))
		require.Equal(t, time.Second, time.Since(start))
	})
}

// Guards against memory that stays with a request whose gate stopped waiting.
func TestAbandonedRequestHoldsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := running(t)
		first := mustGrant(t, a, filling("r1", time.Second))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := a.Grant(ctx, filling("r2", time.Minute))
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Zero(t, a.Status()[0].GetQueued())
		release(t, a, first.GetGrantId())
		mustGrant(t, a, filling("r3", time.Second))
	})
}

// Guards against an expired grant that is never freed, and against freeing it while the engine still runs the request.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, loads := running(t)
		mustGrant(t, a, filling("r1", time.Second))
		load := testLoad()
		load.Running = []engine.RunningRequest{{RequestID: "r1", Attempt: 1, ReservedTokens: 90_000}}
		loads.Set(testAddress, load)
		time.Sleep(30 * time.Second)
		require.EqualValues(t, 1, a.Status()[0].GetGrants(), "the engine still runs it")
		loads.Set(testAddress, testLoad())
		time.Sleep(3 * time.Second)
		require.Zero(t, a.Status()[0].GetGrants())
	})
}

// Guards against a handed-over pool that goes on granting, keeps requests waiting, or hides that it moved.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := running(t)
		mustGrant(t, a, filling("r1", time.Second))
		time.AfterFunc(time.Second, func() { a.Pools(nil, testIndex()) })
		notAllocator := carobstilev1.RefusalCode_REFUSAL_CODE_NOT_ALLOCATOR
		require.Equal(t, notAllocator, refusalCode(t, a, filling("r2", time.Minute)))
		require.Equal(t, notAllocator, refusalCode(t, a, filling("r3", time.Minute)))
		_, err := a.Renew(t.Context(), &carobstilev1.RenewRequest{Pool: "p"})
		require.Equal(t, connect.CodeFailedPrecondition, connect.CodeOf(err))
		require.Empty(t, a.Status())
	})
}

// Guards against a leaving daemon that grants, or that loses the grants of its gates before it has stopped.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := running(t)
		first := mustGrant(t, a, filling("r1", time.Second))
		time.AfterFunc(time.Second, a.Leave)
		leaving := carobstilev1.RefusalCode_REFUSAL_CODE_LEAVING
		require.Equal(t, leaving, refusalCode(t, a, filling("r2", time.Minute)))
		a.Pools([]string{"p"}, testIndex())
		require.Equal(t, leaving, refusalCode(t, a, filling("r3", time.Minute)))
		held := []*carobstilev1.HeldGrant{{GrantId: first.GetGrantId(), RequestId: "r1", Engines: first.GetEngines()}}
		response, err := a.Renew(t.Context(), &carobstilev1.RenewRequest{Pool: "p", Grants: held})
		require.NoError(t, err)
		require.Empty(t, response.GetLostGrantIds())
		release(t, a, first.GetGrantId())
	})
}

// Guards against an engine that hangs in a poll and blocks the polls of others, or counts as live.
func TestDeadEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, loads := running(t)
		require.EqualValues(t, 1, a.Status()[0].GetEnginesReady())
		loads.Down(testAddress)
		time.Sleep(3 * time.Second)
		require.Zero(t, a.Status()[0].GetEnginesReady())
		require.Equal(t, carobstilev1.RefusalCode_REFUSAL_CODE_NO_ENGINE, refusalCode(t, a, grantRequest("r1")))
		loads.Set(testAddress, testLoad())
		time.Sleep(2 * time.Second)
		mustGrant(t, a, grantRequest("r2"))
	})
}

// Guards against grants for an engine that has crashed until the next two polls of the second: the gate that saw the
// crash says so with its release, and a refused connection proves it.
func TestCrashedEngineGetsNoGrantAfterItsFirstLostStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, loads := running(t)
		grant := mustGrant(t, a, grantRequest("r1"))
		loads.Refuse(testAddress)
		_, err := a.Release(t.Context(), &carobstilev1.ReleaseRequest{Pool: "p", Grants: []*carobstilev1.ReleasedGrant{
			{GrantId: grant.GetGrantId(), Outcome: carobstilev1.Outcome_OUTCOME_LOST},
		}})
		require.NoError(t, err)
		synctest.Wait()
		require.Zero(t, a.Status()[0].GetEnginesReady())
		require.Equal(t, carobstilev1.RefusalCode_REFUSAL_CODE_NO_ENGINE, refusalCode(t, a, grantRequest("r2")))
	})
}

// Guards against races of the shell, and memory that is lost when answers, timers and releases cross.
func TestConcurrentRequests(t *testing.T) {
	a, _ := started(t)
	require.Eventually(t, func() bool { return a.Status()[0].GetEnginesReady() == 1 }, 5*time.Second, time.Millisecond)
	var gates sync.WaitGroup
	for i := range 20 {
		gates.Go(func() {
			for j := range 20 {
				oneRequest(t, a, fmt.Sprintf("r%d-%d", i, j))
			}
		})
	}
	gates.Wait()
	require.Zero(t, a.Status()[0].GetGrants())
	require.Zero(t, a.Status()[0].GetQueued())
	p := a.pool("p")
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	require.Empty(t, p.asks)
	require.LessOrEqual(t, len(p.timers), 3, "timers of answered requests are kept")
}

func oneRequest(t *testing.T, a *Allocator, id string) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
	defer cancel()
	r := grantRequest(id)
	r.MaxOutputTokens = 30_000
	response, err := a.Grant(ctx, r)
	if granted := response.GetGranted(); err == nil && granted != nil {
		release(t, a, granted.GetGrantId())
	}
}
