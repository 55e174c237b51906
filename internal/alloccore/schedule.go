package alloccore

import (
	"cmp"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// maxHeadsPerLane is the number of workspaces of a lane whose first requests are tried before the lane counts as
// blocked. Trying several lets requests overtake one that waits for a specific engine.
const maxHeadsPerLane = 3

// rankedLane is a lane with its priority level to serve next.
type rankedLane struct {
	lane                *lane
	priority, effective int
	startTag            int64
	serial              uint64
}

// rankLanes returns the lanes in scheduling order: by effective priority, priority, start tag and age.
func (q *queue) rankLanes(now core.Micros) []rankedLane {
	out := make([]rankedLane, 0, len(q.lanes))
	for _, l := range q.lanes {
		priority, effective := q.bestLevel(l, now)
		q.refreshStartTags(&l.levels[priority], priority)
		first := l.levels[priority].flows[0]
		out = append(out, rankedLane{l, priority, effective, first.startTag, first.serial})
	}
	slices.SortFunc(out, func(a, b rankedLane) int {
		return cmp.Or(cmp.Compare(b.effective, a.effective), cmp.Compare(b.priority, a.priority),
			cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.serial, b.serial))
	})
	return out
}

// schedule grants queued requests in scheduling order until no further one fits. The cost of one pass depends on the
// number of lanes and engines, not on the number of queued requests.
func (c *Core) schedule(now core.Micros) {
	if !c.warmedUp || c.stopCode != "" {
		return
	}
	c.nextRetry = 0
	c.validateReservation(now)
	for c.queue.len() > 0 && c.grantNext(now) {
	}
	if c.queue.len() > 0 && c.nextRetry > 0 {
		c.setRetryTimer(now)
	}
}

// grantNext grants the first request in scheduling order that fits, and reports whether there was one. The first
// request that lacks memory becomes the reserved head, so the reservation restricts only requests behind it in the
// order.
func (c *Core) grantNext(now core.Micros) bool {
	reserved := false
	for _, t := range c.queue.rankLanes(now) {
		for _, ent := range c.queue.heads(&t.lane.levels[t.priority], t.priority, maxHeadsPerLane) {
			plan, lacksMemory := c.place(now, ent)
			if lacksMemory && !reserved {
				reserved = true
				if c.reserve(now, ent) {
					plan, _ = c.place(now, ent)
				}
			}
			if plan != nil {
				c.commit(now, ent, plan)
				return true
			}
		}
	}
	if !reserved {
		c.reserved = reservation{}
	}
	return false
}

// requestRetry requests another scheduling pass at the given time, for capacity that becomes available without an
// event.
func (c *Core) requestRetry(at core.Micros) {
	if c.nextRetry == 0 || at < c.nextRetry {
		c.nextRetry = at
	}
}

// setRetryTimer sets the retry timer unless a pending one fires early enough.
func (c *Core) setRetryTimer(now core.Micros) {
	at := max(c.nextRetry, now+core.Millisecond)
	if c.retryTimerAt > now && c.retryTimerAt <= at {
		return
	}
	c.retryTimerAt = at
	c.emit(SetTimer{Key: timerRetry, At: at})
}
