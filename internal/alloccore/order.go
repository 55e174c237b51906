package alloccore

import (
	"cmp"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

// lookAhead is the number of workspaces of a lane whose first requests are tried before the lane counts as blocked. It
// lets requests pass a first one that waits for one certain engine.
const lookAhead = 3

// turn is a lane with the level to serve next.
type turn struct {
	lane                *lane
	priority, effective int
	start               int64
	serial              uint64
}

// turns returns the lanes in the order in which they may use free engines.
func (q *queue) turns(now core.Micros) []turn {
	out := make([]turn, 0, len(q.lanes))
	for _, l := range q.lanes {
		priority, effective := q.best(l, now)
		q.refresh(&l.levels[priority], priority)
		first := l.levels[priority].flows[0]
		out = append(out, turn{l, priority, effective, first.start, first.serial})
	}
	slices.SortFunc(out, func(a, b turn) int {
		return cmp.Or(cmp.Compare(b.effective, a.effective), cmp.Compare(b.priority, a.priority),
			cmp.Compare(a.start, b.start), cmp.Compare(a.serial, b.serial))
	})
	return out
}

// schedule grants what can be granted, in order, until nothing more fits. The work of one pass depends on the number of
// lanes and engines, not on the number of waiting requests.
func (c *Core) schedule(now core.Micros) {
	if !c.open || c.closed != "" {
		return
	}
	c.retry = 0
	c.checkReserved(now)
	for c.queue.len() > 0 && c.grantNext(now) {
	}
	if c.queue.len() > 0 && c.retry > 0 {
		c.setRetry(now)
	}
}

// grantNext grants the first request in order that fits. The first one that lacks memory becomes the reserved head, so
// that the reservation binds only those whose turn comes later.
func (c *Core) grantNext(now core.Micros) bool {
	reserved := false
	for _, t := range c.queue.turns(now) {
		for _, x := range c.queue.heads(&t.lane.levels[t.priority], t.priority, lookAhead) {
			plan, short := c.place(now, x)
			if short && !reserved {
				reserved = true
				if c.reserve(now, x) {
					plan, _ = c.place(now, x)
				}
			}
			if plan != nil {
				c.commit(now, x, plan)
				return true
			}
		}
	}
	if !reserved {
		c.reserved = reservation{}
	}
	return false
}

// retryBy asks for another pass at a time when engines free up without an event.
func (c *Core) retryBy(at core.Micros) {
	if c.retry == 0 || at < c.retry {
		c.retry = at
	}
}

// setRetry sets the timer unless one is set that fires early enough.
func (c *Core) setRetry(now core.Micros) {
	at := max(c.retry, now+core.Millisecond)
	if c.retryAt > now && c.retryAt <= at {
		return
	}
	c.retryAt = at
	c.emit(SetTimer{Key: timerRetry, At: at})
}
