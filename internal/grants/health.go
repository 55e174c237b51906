package grants

import (
	"sync"
	"time"
)

// avoidFor is how long a pool without an allocator or engine is asked only after all others. It is shorter than the
// detection of a dead daemon, so that a pool is used again soon after it works.
const avoidFor = 2 * time.Second

// health remembers the pools that lately could not serve at all.
type health struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newHealth() *health { return &health{until: map[string]time.Time{}} }

func (h *health) failed(pool string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until[pool] = now.Add(avoidFor)
}

// avoid returns the pools to avoid at now as a predicate; forgotten entries are removed on the way.
func (h *health) avoid(now time.Time) func(pool string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.until) == 0 {
		return func(string) bool { return false }
	}
	avoided := make(map[string]bool, len(h.until))
	for pool, until := range h.until {
		if now.After(until) {
			delete(h.until, pool)
			continue
		}
		avoided[pool] = true
	}
	return func(pool string) bool { return avoided[pool] }
}
