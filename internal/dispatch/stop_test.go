package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

// Guards against a wide prompt that waits on a stopping daemon until that ends, instead of going to another one while there is time.
func TestWidePromptIsRefusedOnceTheStopEndsTooSoon(t *testing.T) {
	c := newWideCore(34, 0)
	w := longWork(1, 10, widePrompt)
	waits := func(effects []Effect) {
		require.Empty(t, allRefused(effects))
		require.Nil(t, assigned(effects, 1))
	}
	ahead := func(now core.Micros) { c.Step(peerQueued(now, 50, 10*second-now)) } // a prompt of a peer whose caller leaves first
	ahead(5)
	waits(c.Step(Arrived{Now: 10, Work: w}))
	ahead(second)
	cutOff := 5 * second
	waits(c.Step(Stopping{Now: second, CutOffAt: cutOff})) // there is still time to read and answer it
	prefill := testModel().PrefillMs(w.Prompt)
	last := cutOff - c.services["llm"].longAnswer(&w) - micros(prefill/34) - micros(prefill/(maxHelpers+1))
	ahead(last - 1)
	waits(c.Step(Tick{Now: last - 1}))
	got := allRefused(c.Step(Tick{Now: last + 1}))
	require.Len(t, got, 1)
	require.True(t, got[0].Elsewhere)
	require.Equal(t, retryElsewhere, got[0].RetryAfter)
	require.Empty(t, c.QueuedPrompts(last+2))
	require.NotNil(t, assigned(newWideCore(34, 17).Step(Arrived{Now: last, Work: longWork(2, last, widePrompt)}), 2), "another daemon takes it")
}

// Guards against a prompt of a stopping daemon that comes before others in the queue because of the stop.
func TestStopBringsNoPromptForward(t *testing.T) {
	c := newWideCore(34, 16)
	c.Step(peerQueued(5, 50, 8*second))
	c.Step(Arrived{Now: 10, Work: longWork(1, 10, widePrompt)})
	_, before := c.aheadOf(20, c.wideQueue[1])
	c.Step(Stopping{Now: 20, CutOffAt: 7 * second})
	_, after := c.aheadOf(20, c.wideQueue[1])
	require.Equal(t, before, after)
}

// Guards against requests that a stopping daemon refuses although their own time limit comes before its end.
func TestShortTimeLimitsAreNotBoundByTheStop(t *testing.T) {
	c := newTestCore(3, 2)
	c.Step(Stopping{Now: 10, CutOffAt: 7 * second})
	w := plainWork(1, 20)
	w.Deadline = 6 * second
	require.NotNil(t, assigned(c.Step(Arrived{Now: 20, Work: w}), 1))
	w = shortWork(2, 30)
	w.Deadline, w.Answer = 7*second, 60_000
	require.NotNil(t, assigned(c.Step(Arrived{Now: 30, Work: w}), 2))
}

// Guards against an assignment of a stopping daemon whose answer is expected to end after the cut-off, and a request that still waits then.
func TestStoppingDaemonAssignsOnlyWhatEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCore(rapid.SampledFrom([]int{1, 5, 20}).Draw(t, "engines"), 2)
		now, cutOff := core.Micros(10), core.Micros(0)
		open := map[uint64]Work{}
		step := func(ev Event) {
			for _, effect := range c.Step(ev) {
				switch e := effect.(type) {
				case Assign:
					w := open[e.ID]
					delete(open, e.ID)
					if cutOff > 0 && w.Deadline > cutOff {
						require.LessOrEqual(t, max(now, e.Plan.FirstEventAt)+c.services[w.Service].expectedAnswer(&w), cutOff)
					}
				case Refuse:
					delete(open, e.ID)
				}
			}
		}
		for id := range uint64(rapid.IntRange(1, 40).Draw(t, "steps")) {
			now += core.Micros(rapid.IntRange(0, 400_000).Draw(t, "pause"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1, 2:
				open[id] = randomWork(t, id, now)
				step(Arrived{Now: now, Work: open[id]})
			case 3:
				step(Tick{Now: now})
			case 4:
				if cutOff == 0 {
					cutOff = now + core.Micros(rapid.IntRange(100_000, 8_000_000).Draw(t, "left"))
					step(Stopping{Now: now, CutOffAt: cutOff})
				}
			}
		}
		if cutOff > 0 {
			now = max(now, cutOff) + 1
			step(Tick{Now: now})
			for _, w := range open {
				require.LessOrEqual(t, w.Deadline, cutOff, "a request that the stop bounds still waits at the cut-off")
			}
		}
	})
}

func allRefused(effects []Effect) []Refuse {
	var out []Refuse
	for _, e := range effects {
		if r, ok := e.(Refuse); ok {
			out = append(out, r)
		}
	}
	return out
}
