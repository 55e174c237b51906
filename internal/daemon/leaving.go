package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/shell"
)

// leavingInterval is the pause between reads of the leaving hosts: 72 reads/s over 360 daemons.
const leavingInterval = 5 * time.Second

// leavingHosts knows the addresses that the platform lists as leaving. While the platform does not answer, the last
// list stays, because a host that was leaving does not come back under the same address within an outage.
type leavingHosts struct {
	store platform.Store
	set   atomic.Pointer[map[string]bool]
}

func (l *leavingHosts) contains(address string) bool {
	set := l.set.Load()
	return set != nil && (*set)[address]
}

func (l *leavingHosts) run(ctx context.Context) {
	l.read(ctx)
	shell.Every(ctx, leavingInterval, l.read)
}

func (l *leavingHosts) read(ctx context.Context) {
	hosts, err := l.store.Hosts(ctx, platform.HostLeaving)
	if err != nil {
		return
	}
	set := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		set[h.Address] = true
	}
	l.set.Store(&set)
}

// loads reads engine reports for the allocators. An engine that the platform lists as leaving counts as leaving even
// while its own report does not say so.
type loads struct {
	engines engine.Client
	leaving *leavingHosts
}

// Load implements allocator.LoadReader.
func (l *loads) Load(ctx context.Context, address string) (*engine.Load, error) {
	load, err := l.engines.Load(ctx, address)
	if err != nil {
		return nil, err
	}
	if l.leaving.contains(address) {
		load.State = engine.StateLeaving
	}
	return &load, nil
}
