package alloccore

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/engine"
)

// newReadyHarness returns a harness whose engines have each delivered a report. Two rounds are needed, because reports
// lag by one.
func newReadyHarness(t *testing.T, policy Policy, engines int) *harness {
	h := newHarness(t, policy, engines, 500)
	h.reportAll()
	h.advance(core.Second)
	h.reportAll()
	return h
}

// tryGrant sends a request and returns the engines granted immediately, or nil.
func (h *harness) tryGrant(r Request) []string {
	r.Model, r.Attempt = "m", 1
	before := len(h.grantIDs)
	h.requestGrant(r)
	if len(h.grantIDs) == before {
		return nil
	}
	var out []string
	for _, s := range h.grants[h.grantIDs[before]].Engines {
		out = append(out, s.Engine)
	}
	return out
}

// Guards against long requests that use up the memory or prefill time intended for short ones.
func TestSharesKeepRoomForShortRequests(t *testing.T) {
	long := Request{Workspace: "w", PromptTokens: 101_000 - 4_000, MaxOutputTokens: 1_000, MaxWait: core.Minute}
	short := Request{Workspace: "w", PromptTokens: 3_000, MaxOutputTokens: 37_000}
	for _, c := range []struct {
		name    string
		change  func(*Policy)
		granted int
		short   bool
	}{
		// Each long request takes 98,000 of 200,000 tokens, of which medium requests may hold 160,000.
		{"all shares", func(*Policy) {}, 1, true},
		{"memory shares only", func(p *Policy) { p.PrefillShares = false }, 1, true},
		{"prefill shares only", func(p *Policy) { p.MemoryShares = false }, 1, true},
		{"no shares", func(p *Policy) { p.MemoryShares, p.PrefillShares = false, false }, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			policy := DefaultPolicy()
			policy.EarlyRefusal, policy.HeadReservation = false, false
			c.change(&policy)
			h := newReadyHarness(t, policy, 1)
			for range 4 {
				h.tryGrant(long)
			}
			require.Len(t, h.grantIDs, c.granted)
			require.Equal(t, c.short, h.tryGrant(short) != nil)
		})
	}
}

// Guards against memory shares that limit each class separately: medium and long requests together must leave the share
// of short ones free.
func TestSharesIncludeLongerClasses(t *testing.T) {
	policy := DefaultPolicy()
	policy.PrefillShares, policy.EarlyRefusal, policy.HeadReservation = false, false, false
	h := newReadyHarness(t, policy, 1)
	require.NotNil(t, h.tryGrant(Request{PromptTokens: 98_000, MaxOutputTokens: 1_000}), "medium")
	require.Nil(t, h.tryGrant(Request{PromptTokens: 98_000, MaxOutputTokens: 1_000}), "medium above the share of 0.8")
	require.NotNil(t, h.tryGrant(Request{PromptTokens: 60_000, MaxOutputTokens: 1_000}), "medium up to the share of 0.8")
	require.NotNil(t, h.tryGrant(Request{PromptTokens: 3_000, MaxOutputTokens: 37_000}), "short up to the share of 1.0")
}

// Guards against a class whose prefill work is admitted faster than its share allows, or no longer at all.
func TestPrefillShareRecoversOverTime(t *testing.T) {
	h := newReadyHarness(t, DefaultPolicy(), 1)
	medium := Request{PromptTokens: 40_000, MaxOutputTokens: 100, MaxWait: core.Minute}
	require.NotNil(t, h.tryGrant(medium))
	require.Nil(t, h.tryGrant(medium))
	// 40,000 tokens at 0.8 of 20,000 tokens/s take 2.5 s, less the PrefillHorizon of 0.25 s.
	h.advance(2_200 * core.Millisecond)
	require.Len(t, h.grantIDs, 1)
	h.advance(100 * core.Millisecond)
	require.Len(t, h.grantIDs, 2)
}

// Guards against a popular prefix that concentrates all its requests on one engine, and against the loss of prefix
// affinity.
func TestPrefixAffinityIsCapped(t *testing.T) {
	hashes := make([]uint64, 400)
	for i := range hashes {
		hashes[i] = uint64(i + 1)
	}
	sampled, block := engine.SamplePrefixes(hashes[:350], 32) // the sampling that gates use
	r := Request{PromptTokens: 90_000, MaxOutputTokens: 100, PrefixHashes: sampled, PrefixBlock: block}
	policy := DefaultPolicy()
	policy.PrefillShares = false
	h := newReadyHarness(t, policy, 2)
	first := h.tryGrant(r)
	h.advance(5 * core.Second)
	h.reportAll()
	h.reportAll()
	require.Equal(t, first, h.tryGrant(r), "the engine with the cached prefix is used while it is idle")
	h.finish(h.grantIDs[0], OutcomeComplete, true)
	// 40,000 tokens of queued prefill outweigh the affinity, which is capped at 32,000 tokens.
	other := r
	other.PrefixHashes = nil
	other.PromptTokens = 40_000
	other.Excluded = []string{map[string]string{"e0": "e1", "e1": "e0"}[first[0]]}
	require.Equal(t, first, h.tryGrant(other))
	require.NotEqual(t, first, h.tryGrant(r), "another engine is used while it is busy")
}

// Guards against placing the requests of an adapter on several engines although one that runs it is equally good.
func TestAdapterLocality(t *testing.T) {
	h := newReadyHarness(t, DefaultPolicy(), 3)
	r := Request{PromptTokens: 10, MaxOutputTokens: 10, Adapter: "a"}
	first := h.tryGrant(r)
	require.Equal(t, first, h.tryGrant(r))
	require.NotEqual(t, first, h.tryGrant(Request{PromptTokens: 10, MaxOutputTokens: 10}))
}

// Guards against refusing the requests of one workspace because of the backlog of another, although fair queuing would
// serve them next.
func TestEarlyRefusalIsFair(t *testing.T) {
	h := newReadyHarness(t, DefaultPolicy(), 1)
	r := Request{Workspace: "heavy", PromptTokens: 4_000, MaxOutputTokens: 100, MaxWait: 2 * core.Second}
	for range 100 {
		h.tryGrant(r)
	}
	queued := h.core.queue.len()
	require.Positive(t, queued)
	require.Less(t, queued, 20, "requests with an expected wait over 2 s are refused immediately")
	r.Workspace = "light"
	h.tryGrant(r)
	require.Equal(t, queued+1, h.core.queue.len(), "waits")
	h.advance(500 * core.Millisecond)
	require.NotContains(t, h.pendingCalls, h.lastCall, "the light workspace is served among the first")
}

// Guards against fair queuing that ignores the weights of workspaces or favours workspaces with many requests.
func TestFairShares(t *testing.T) {
	policy := DefaultPolicy()
	policy.EarlyRefusal, policy.PrefillShares = false, false
	h := newReadyHarness(t, policy, 1)
	full := Request{PromptTokens: 1_000, MaxOutputTokens: 190_000, MaxWait: core.Hour}
	h.tryGrant(full)
	for i := range 120 {
		r := full
		r.Workspace, r.Weight = "light", 1
		if i%4 == 0 {
			r.Workspace, r.Weight = "heavy", 3
		}
		h.tryGrant(r)
	}
	served := map[string]int{}
	for range 33 {
		id := h.grantIDs[len(h.grantIDs)-1]
		queued := h.core.queue.perWorkspace["heavy"]
		h.finish(id, OutcomeComplete, true)
		if h.core.queue.perWorkspace["heavy"] < queued {
			served["heavy"]++
		} else {
			served["light"]++
		}
	}
	require.InDelta(t, 25, served["heavy"], 1)
	require.InDelta(t, 8, served["light"], 1)
}

// Guards against expected waits that use the configured rate although reports show that the engine is slower.
func TestObservedRateCorrectsTheWait(t *testing.T) {
	h := newReadyHarness(t, DefaultPolicy(), 1)
	e := h.core.engines[0]
	load := e.report.Load
	for i := range 20 {
		// The engine prefills 5,000 instead of the configured 20,000 tokens/s.
		load.QueuedPrefillTokens = 200_000 - 5_000*i
		h.advance(core.Second)
		h.step(EngineReported{Now: h.now, Engine: "e0", PolledAt: h.now, Load: load})
	}
	require.InDelta(t, 5_000, e.rate(), 100)
	h.requestGrant(Request{Model: "m", PromptTokens: 90_000, MaxOutputTokens: 10, MaxWait: core.Minute})
	ent := &entry{req: Request{Model: "m", PromptTokens: 90_000, MaxOutputTokens: 10}, modelKey: modelKey("m", "")}
	ent.kvTokens, ent.uncached, ent.parts = 90_010, 90_000, 1
	ent.class = ClassMedium
	h.core.queue.push(h.now, ent)
	// 90,000 tokens at 0.8 of 5,000 tokens/s, less the PrefillHorizon.
	require.InDelta(t, 22.25, seconds(h.core.expectedWait(h.now, ent)), 0.5)
}

// Guards against queue sums that diverge from the queued requests, which would distort every expected wait.
func TestQueueSumsReturnToZero(t *testing.T) {
	policy := DefaultPolicy()
	q := newQueue(&policy)
	for i := range 30 {
		r := Request{Workspace: fmt.Sprint("w", i%3), Weight: i % 4, Model: "m"}
		q.push(0, &entry{call: uint64(i + 1), req: r, class: Class(i % 3), priority: i % 10, kvTokens: i, uncached: i})
	}
	for i := range 30 {
		ent := q.byCall[uint64(i+1)]
		require.NotNil(t, ent)
		l := &ent.lane.levels[ent.priority]
		if i%2 == 0 {
			q.removeGranted(0, ent)
		} else {
			q.remove(ent)
		}
		if len(l.flows) == 0 {
			require.Zero(t, l.weight)
		}
	}
	require.Equal(t, [classes][priorityLevels]queuedWork{}, q.work)
	require.Empty(t, q.lanes)
	require.Empty(t, q.perWorkspace)
}

// Guards against a reservation that stays on an engine that stopped serving, so that its request waits in vain.
func TestReservationMovesOffLeavingEngine(t *testing.T) {
	policy := DefaultPolicy()
	policy.PrefillShares, policy.EarlyRefusal = false, false
	h := newReadyHarness(t, policy, 2)
	full := Request{PromptTokens: 3_000, MaxOutputTokens: 190_000}
	require.NotNil(t, h.tryGrant(full))
	require.NotNil(t, h.tryGrant(full))
	full.MaxWait = core.Minute
	require.Nil(t, h.tryGrant(full))
	reserved := h.core.reserved.parts[0].engine
	load := reserved.report.Load
	load.State = engine.StateLeaving
	h.step(EngineReported{Now: h.now, Engine: reserved.cfg.Name, PolledAt: h.now, Load: load})
	require.NotEqual(t, reserved, h.core.reserved.parts[0].engine)
	// No memory is reserved for a head that does not lack memory; here it waits for an engine in its refusal cooldown.
	staying := h.core.reserved.parts[0].engine.cfg.Name
	for _, id := range h.grantIDs {
		if h.grants[id].Engines[0].Engine == staying {
			h.finish(id, OutcomeRefused, true)
			break
		}
	}
	require.Contains(t, h.pendingCalls, h.lastCall)
	require.Nil(t, h.core.reserved.head)
}

// Guards against baseline pickers that do not implement the strategy of their name.
func TestBaselinePickers(t *testing.T) {
	for picker, want := range map[Picker][]string{
		PickRoundRobin:  {"e0", "e1", "e2", "e0"},
		PickLeastLoaded: {"e0", "e1", "e2", "e0"},
	} {
		policy := DefaultPolicy()
		policy.Picker = picker
		h := newReadyHarness(t, policy, 3)
		var got []string
		for range 4 {
			got = append(got, h.tryGrant(Request{PromptTokens: 100, MaxOutputTokens: 10})...)
		}
		require.Equal(t, want, got, picker)
	}
}
