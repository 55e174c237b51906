package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/shell"
)

// leavingRefreshInterval is the interval between reads of the leaving hosts. It causes 72 reads/s with 360 daemons.
const leavingRefreshInterval = 5 * time.Second

// leavingHosts caches the addresses that the platform lists as leaving. While the platform does not answer, the last
// list stays in use, because a host that was leaving does not come back under the same address during an outage.
type leavingHosts struct {
	store     platform.Store
	addresses atomic.Pointer[map[string]bool]
}

func (l *leavingHosts) contains(address string) bool {
	set := l.addresses.Load()
	return set != nil && (*set)[address]
}

func (l *leavingHosts) run(ctx context.Context) {
	l.refresh(ctx)
	shell.Every(ctx, leavingRefreshInterval, l.refresh)
}

func (l *leavingHosts) refresh(ctx context.Context) {
	hosts, err := l.store.Hosts(ctx, platform.HostLeaving)
	if err != nil {
		return
	}
	set := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		set[h.Address] = true
	}
	l.addresses.Store(&set)
}

// loadReader reads engine reports for the allocators. It reports an engine as leaving if the platform lists it as
// leaving, even if its own report does not say so.
type loadReader struct {
	engines engine.Client
	leaving *leavingHosts
}

// Load implements allocator.LoadReader.
func (l *loadReader) Load(ctx context.Context, address string) (*engine.Load, error) {
	load, err := l.engines.Load(ctx, address)
	if err != nil {
		return nil, err
	}
	if l.leaving.contains(address) {
		load.State = engine.StateLeaving
	}
	return &load, nil
}
