package edge

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/spread"
)

// maxCatchUp bounds the attempts after one announcement of a newer copy; the holder's next summary begins them again.
const maxCatchUp = 3 * time.Second

// unknownVersion is the version of a copy that this daemon does not have yet. An empty copy has another digest.
var unknownVersion = directory.Version{Digest: math.MaxUint64}

// copyFetcher gets newer copies of one kind of objects from the neighbours that have announced them, and bounds what this daemon sends
// of its own copy. A change that is read from the store normally reaches the neighbours in a datagram; copies are fetched of changes
// that are too large for one, or whose datagram was lost.
type copyFetcher struct {
	daemon *Daemon
	kind   string
	// version returns the version of this daemon's copy.
	version func() directory.Version
	// isWatcher reports whether this daemon watches the kind in the store.
	isWatcher func() bool
	// changesFollow is set if a change that is announced normally arrives in a datagram of its own.
	changesFollow bool
	// onSlow, if set, is called once if a newer copy has not arrived within slowAfter.
	onSlow    func()
	slowAfter time.Duration

	// wake has an element if a newer copy has been announced.
	wake chan struct{}
	// largeChange is set if the announcement said that the change is too large for a datagram.
	largeChange atomic.Bool

	mu      sync.Mutex
	holders spread.Holders
	sending spread.Pace
}

// newCopyFetcher returns a fetcher of a kind.
func newCopyFetcher(d *Daemon, kind string, version func() directory.Version, isWatcher func() bool) *copyFetcher {
	return &copyFetcher{
		daemon: d, kind: kind, version: version, isWatcher: isWatcher, changesFollow: true, wake: make(chan struct{}, 1),
	}
}

// firstDelay returns the time from an announcement to the first attempt to fetch the copy.
func (f *copyFetcher) firstDelay() time.Duration {
	delay := spread.FirstDelay(len(f.daemon.link.Live()))
	switch large := f.largeChange.Swap(false); {
	case f.daemon.startingUp() && f.changesFollow:
		return delay + startupFetchDelay
	case f.isWatcher() || f.changesFollow && !large:
		return delay + fetchDelay // its own watch or a datagram normally brings the change meanwhile
	}
	return delay
}

// copyFetchers returns the fetchers of all kinds of which this daemon takes copies from its neighbours.
func (d *Daemon) copyFetchers() []*copyFetcher {
	out := []*copyFetcher{d.serverCopies}
	if d.evacuations != nil {
		out = append(out, d.evacuations.copies)
	}
	if d.configCopy != nil {
		out = append(out, d.configCopy.copies)
	}
	return out
}

// copyFetcherOf returns the fetcher of a kind, or nil.
func (d *Daemon) copyFetcherOf(kind string) *copyFetcher {
	for _, f := range d.copyFetchers() {
		if f.kind == kind {
			return f
		}
	}
	return nil
}

// heard starts to get the copy that the sender of a packet has announced if it is newer than this daemon's.
func (f *copyFetcher) heard(p *carobstilev1.EdgePacket, theirs directory.Version) {
	m, own := p.GetSender(), f.version()
	if theirs.Era == 0 && f.daemon.follower(f.kind).BridgesOutage() {
		theirs.Era = own.Era
	}
	if m.GetServiceAddress() == "" || !theirs.Newer(own) {
		return
	}
	if slices.Contains(p.GetLargeChanges(), f.kind) {
		f.largeChange.Store(true)
	}
	f.mu.Lock()
	f.holders.Add(spread.Holder{Name: m.GetName(), Address: m.GetServiceAddress(), Domain: m.GetFailureDomain(), Version: theirs})
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run gets newer copies that have been announced until ctx ends.
func (f *copyFetcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			f.catchUp(ctx)
		}
	}
}

// catchUp fetches the newest copy that has been announced from the daemons that have it, in turn.
func (f *copyFetcher) catchUp(ctx context.Context) {
	delay, start, slow := f.firstDelay(), time.Now(), false
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		holder, behind := f.chooseHolder()
		if !behind {
			return
		}
		age := time.Since(start)
		if age > maxCatchUp {
			f.mu.Lock()
			f.holders.Clear()
			f.mu.Unlock()
			return
		}
		if !slow && f.onSlow != nil && age > f.slowAfter {
			f.onSlow()
			slow = true
		}
		f.fetchFrom(holder)
		delay = spread.RetryDelay()
	}
}

func (f *copyFetcher) chooseHolder() (spread.Holder, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holders.Choose(f.version(), f.daemon.settings.FailureDomain)
}

// fetchFrom fetches a neighbour's copy. A neighbour that is busy with the fetches of others is asked again.
func (f *copyFetcher) fetchFrom(h spread.Holder) {
	wanted := f.daemon.wantedCopies([]string{f.kind})
	busy, err := f.daemon.requestFetch(h.Address, &carobstilev1.FetchRequest{Wanted: wanted, CopiesOnly: true})
	if slices.Contains(busy, f.kind) {
		return
	}
	if err != nil {
		f.daemon.log.Info("failed to fetch copy from neighbour", "kind", f.kind, "daemon", h.Name, "address", h.Address, "err", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holders.Drop(h.Name) // it did not answer, or the copy is now at least as new as its own was
}

// admit reports whether this daemon's copy, or a part of it, may be sent now to a neighbour that has a copy or not. A daemon without a copy
// gets it in any case, since it serves nobody before. A nil *copyFetcher admits everything.
func (f *copyFetcher) admit(now core.Micros, diff directory.Diff, hasCopy bool) bool {
	if f == nil || !hasCopy || len(diff.Objects) == 0 {
		return true
	}
	bytes := 0
	for _, o := range diff.Objects {
		bytes += len(o.Value)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sending.Admit(now, bytes)
}
