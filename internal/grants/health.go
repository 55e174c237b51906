package grants

import (
	"sync"
	"time"
)

// avoidDuration is how long a pool without an allocator or engine is tried only after all others. It is shorter than the
// time to detect a dead daemon, so that a pool is used again soon after it recovers.
const avoidDuration = 2 * time.Second

// poolHealth records the pools that recently could not serve any request.
type poolHealth struct {
	mu         sync.Mutex
	avoidUntil map[string]time.Time
}

func newPoolHealth() *poolHealth { return &poolHealth{avoidUntil: map[string]time.Time{}} }

func (h *poolHealth) recordFailure(pool string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoidUntil[pool] = now.Add(avoidDuration)
}

// avoidedPools returns a predicate that reports whether a pool is to be avoided at the given time. It also removes
// expired entries.
func (h *poolHealth) avoidedPools(now time.Time) func(pool string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.avoidUntil) == 0 {
		return func(string) bool { return false }
	}
	avoided := make(map[string]bool, len(h.avoidUntil))
	for pool, until := range h.avoidUntil {
		if now.After(until) {
			delete(h.avoidUntil, pool)
			continue
		}
		avoided[pool] = true
	}
	return func(pool string) bool { return avoided[pool] }
}
