package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// anyPlan returns the plan of the assignment among effects, or nil.
func anyPlan(effects []Effect) *Plan {
	for _, e := range effects {
		if a, ok := e.(Assign); ok {
			return &a.Plan
		}
	}
	return nil
}

// anyRefusal returns the refusal among effects, or nil.
func anyRefusal(effects []Effect) *Refuse {
	for _, e := range effects {
		if r, ok := e.(Refuse); ok {
			return &r
		}
	}
	return nil
}

func leave(c *Core, now core.Micros, p Process) []Effect {
	return c.Step(ServerNotice{Now: now, Process: p, Notice: Notice{Leaving: true}})
}

func askPause(c *Core, now core.Micros, p Process, d time.Duration) {
	c.Step(ServerNotice{Now: now, Process: p, Notice: Notice{PauseFor: d}})
}

// Guards against a process that is used after it said that it is leaving: while its entry says otherwise, disappears and
// returns; and against a new process that inherits it.
func TestLeavingHoldsForTheProcess(t *testing.T) {
	c := newTestCore(0, 1)
	p := Process{ID: "p00"}
	effects := leave(c, second, p)
	require.Equal(t, []Effect{AnnounceLeaving{Process: p}}, effects)
	require.Empty(t, leave(c, second, p), "announced again")
	gone := serversChangedEvent(0, 0)
	for i, ev := range []ServersChanged{serversChangedEvent(0, 1), gone, serversChangedEvent(0, 1)} {
		ev.Now = 2 * second
		c.Step(ev)
		require.Nil(t, anyPlan(c.Step(Arrived{Now: 2 * second, Work: plainWork(uint64(i+1), 2*second)})))
		c.Step(Cancelled{Now: 2 * second, ID: uint64(i + 1)})
	}
	restarted := serversChangedEvent(0, 1)
	restarted.Servers[0].StartedAt = 5
	c.Step(restarted)
	require.NotNil(t, anyPlan(c.Step(Arrived{Now: 2 * second, Work: plainWork(9, 2*second)})))
}

// Guards against a neighbour's report that is ignored, or that is announced again by each daemon.
func TestPeerReportsLeaving(t *testing.T) {
	c := newTestCore(0, 1)
	require.Empty(t, c.Step(PeerSawLeaving{Now: second, Process: Process{ID: "p00"}}))
	require.Nil(t, anyPlan(c.Step(Arrived{Now: second, Work: plainWork(1, second)})))
	require.Empty(t, c.HeardLeaving(0))
	require.Len(t, c.LeavingProcesses(), 1)
}

// Guards against standings that grow without bound.
func TestStandingsAreBounded(t *testing.T) {
	c := newTestCore(0, 1)
	for i := range maxNotices + 100 {
		leave(c, core.Micros(i), Process{ID: fmt.Sprint("old", i)})
	}
	leave(c, 1, Process{ID: "p00"})
	c.Step(serversChangedEvent(0, 1))
	require.Len(t, c.standings, maxNotices+1)
	require.False(t, c.Accepts(second, Process{ID: "p00"}), "a listed process was dropped")
	ev := serversChangedEvent(0, 1)
	ev.Now = noticeTTL + second
	c.Step(ev)
	require.Len(t, c.standings, 1)
}

// Guards against pauses that end too early, that a later and shorter one cuts, or that last for ever.
func TestPauseEnds(t *testing.T) {
	p := Process{ID: "p00"}
	c := newTestCore(0, 1)
	askPause(c, second, p, 2*time.Second)
	askPause(c, second, p, 300*time.Millisecond)
	require.False(t, c.Accepts(3*second-1, p))
	require.True(t, c.Accepts(3*second, p))
	askPause(c, 4*second, p, 7*24*time.Hour)
	require.False(t, c.Accepts(4*second+maxPause-1, p))
	require.True(t, c.Accepts(4*second+maxPause, p))
}

// Guards against a flood of requests at the end of a pause, and against a server that stays limited to one request.
func TestOneRequestFollowsAPause(t *testing.T) {
	c := newTestCore(0, 1)
	askPause(c, second, Process{ID: "p00"}, time.Second)
	now := 2*second + 1
	require.NotNil(t, anyPlan(c.Step(Arrived{Now: now, Work: plainWork(1, now)})))
	require.Nil(t, anyPlan(c.Step(Arrived{Now: now, Work: plainWork(2, now)})))
	c.Step(Cancelled{Now: now, ID: 2})
	effects := c.Step(Cancelled{Now: now, ID: 1}) // ended without an answer
	require.Nil(t, anyPlan(effects))
	require.NotNil(t, anyPlan(c.Step(Arrived{Now: now, Work: plainWork(3, now)})))
	require.Nil(t, anyPlan(c.Step(Arrived{Now: now, Work: plainWork(4, now)})))
	require.NotNil(t, anyPlan(c.Step(Finished{Now: now, ID: 3})), "the waiting request follows the answer")
	require.NotNil(t, anyPlan(c.Step(Arrived{Now: now, Work: plainWork(5, now)})))
}

// Guards against a request that waits although no server takes it before it is due, and against a false time to return.
func TestAllServersPaused(t *testing.T) {
	c := newTestCore(0, 2)
	askPause(c, second, Process{ID: "p00"}, 3*time.Second)
	askPause(c, second, Process{ID: "p01"}, 2*time.Second)
	r := anyRefusal(c.Step(Arrived{Now: second, Work: plainWork(1, second)}))
	require.NotNil(t, r)
	require.Equal(t, 2*second, r.RetryAfter)
	soon := 3*second - 50*core.Millisecond
	require.Nil(t, anyRefusal(c.Step(Arrived{Now: soon, Work: plainWork(2, soon)})), "the pause ends before the request is due")
	require.NotNil(t, anyPlan(c.Step(Tick{Now: 3 * second})))
}

// Guards, over random sequences, against an assignment to a process that is leaving or paused, and against more than one
// job on a process that was paused and has not answered since.
func TestStandingProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const servers = 3
		c := newTestCore(0, servers)
		now := core.Micros(second)
		leaving, until := map[string]bool{}, map[string]core.Micros{}
		unproven, running := map[string]bool{}, map[uint64]string{}
		check := func(effects []Effect) {
			for _, e := range effects {
				a, ok := e.(Assign)
				if !ok {
					continue
				}
				id := a.Plan.Lead.ID
				require.False(t, leaving[id])
				require.GreaterOrEqual(t, now, until[id])
				if unproven[id] {
					for job, server := range running {
						require.False(t, server == id && job > 1000, "second request after a pause")
					}
				}
				running[a.ID] = id
			}
		}
		next := uint64(1000)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += core.Micros(rapid.IntRange(0, int(second)).Draw(t, "advance"))
			id := fmt.Sprintf("p%02d", rapid.IntRange(0, servers-1).Draw(t, "server"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				leaving[id] = true
				check(leave(c, now, Process{ID: id}))
			case 1:
				length := core.Micros(rapid.IntRange(1, int(3*second)).Draw(t, "pause"))
				until[id], unproven[id] = max(until[id], now+length), true
				for job, server := range running {
					if server == id {
						delete(running, job) // sent before the pause
					}
				}
				askPause(c, now, Process{ID: id}, length.Duration())
			case 2, 3:
				next++
				check(c.Step(Arrived{Now: now, Work: plainWork(next, now)}))
			case 4:
				for job, server := range running {
					delete(running, job)
					unproven[server] = false
					check(c.Step(Finished{Now: now, ID: job}))
					break
				}
			default:
				check(c.Step(Tick{Now: now}))
			}
		}
	})
}
