// Package directory keeps a daemon's copy of the objects that the platform's store holds: it lists each kind once and
// then watches it. While the store turns this daemon away, it takes newer copies from neighbours.
package directory

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/platform"
)

const (
	// A watch can miss changes until it is renewed, when the store drops its history. Daemons tell one another of
	// changes, so that it suffices if those on duty renew their watches often; each watch is a priced call.
	dutyWatch = 1200 * time.Millisecond
	// restWatch with its jitter stays below the 20 s of history that the store keeps; a watch that ends later finds its
	// revision gone and lists everything again.
	restWatch = 14 * time.Second
	// watchJitter spreads the watches of daemons that started together.
	watchJitter = 0.3
	// dutyPoll is how often a follower that does not watch looks whether it is on duty.
	dutyPoll = 200 * time.Millisecond
	// recovery is how long after an outage entries are still coming back.
	recovery = 2500 * time.Millisecond
	// Failed calls are repeated after minBackoff, doubled up to maxBackoff: a configuration has to be in force two
	// seconds after the store has accepted it, and calls beyond the store's rate are refused.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// settleTime gathers changes that come together, such as those of a release, into one watch.
	settleTime = 20 * time.Millisecond
)

// ErrHistoryGone says that the store no longer has the changes after a revision; the kind has to be listed again.
var ErrHistoryGone = errors.New("history of the store is gone")

// Source reads the platform's store. Errors other than ErrHistoryGone are those of package platform.
type Source interface {
	// List returns all objects of a kind and the revision at which it holds.
	List(ctx context.Context, kind string) (Image, error)
	// Watch waits for changes after a revision.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (platform.Watch, error)
}

// Image is a copy of all objects of a kind, by name. It is not changed after it was made.
type Image struct {
	Kind     string
	Revision uint64
	Objects  map[string]platform.Object
}

// apply returns the image after changes.
func (i Image) apply(w platform.Watch) Image {
	out := Image{Kind: i.Kind, Revision: max(i.Revision, w.Revision), Objects: i.Objects}
	if len(w.Objects) == 0 {
		return out
	}
	out.Objects = maps.Clone(i.Objects)
	for _, o := range w.Objects {
		if o.Version == 0 {
			delete(out.Objects, o.Name)
			continue
		}
		out.Objects[o.Name] = o
	}
	return out
}

// Follower keeps the image of one kind.
type Follower struct {
	kind    string
	source  Source
	options Options
	log     *slog.Logger

	mu    sync.Mutex
	image Image
	known bool
	// failing is read without the lock, by what Changed calls.
	failing atomic.Bool
	// answered is when the store last answered this daemon, changed when the image last changed; zero before.
	answered, changed time.Time
	// regained is when the store answered again after an outage; zero before the first outage.
	regained time.Time
}

// Options say how a follower works.
type Options struct {
	// Changed is called with each new image, never twice at the same time. outage says that the image was read during or
	// shortly after an outage of the store.
	Changed func(image Image, outage bool)
	// Read is called, after Changed, with each change that was read from the store, and the digest before it.
	Read func(before uint64, w platform.Watch)
	// OnDuty says that this daemon watches for others. Followers that are not on duty watch with long waits.
	OnDuty func() bool
	// Rests makes a follower that is not on duty rely on its neighbours altogether.
	Rests bool
}

// NewFollower returns a follower of a kind.
func NewFollower(kind string, source Source, log *slog.Logger, o Options) *Follower {
	return &Follower{kind: kind, source: source, options: o, log: log.With("kind", kind)}
}

// wait returns how long the next watch may stay without events.
func (f *Follower) wait() time.Duration {
	wait := restWatch
	if f.options.OnDuty() {
		wait = dutyWatch
	}
	return time.Duration(float64(wait) * (1 - watchJitter + 2*watchJitter*rand.Float64()))
}

// resting reports whether the follower has nothing to ask the store.
func (f *Follower) resting() bool {
	if !f.options.Rests || f.options.OnDuty() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known && !f.failing.Load()
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if f.resting() {
			pause(ctx, dutyPoll)
			continue
		}
		err := f.once(ctx)
		if ctx.Err() != nil {
			return
		}
		f.health(err)
		if err == nil {
			backoff = minBackoff
			continue
		}
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// once makes one call.
func (f *Follower) once(ctx context.Context) error {
	f.mu.Lock()
	known, after := f.known, f.image.Revision
	f.mu.Unlock()
	if !known {
		return f.list(ctx)
	}
	w, err := f.source.Watch(ctx, f.kind, after, f.wait())
	if errors.Is(err, ErrHistoryGone) {
		f.log.Info("history of the store is gone, listing again", "revision", after)
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	if len(w.Objects) == 0 {
		return nil
	}
	before := uint64(0)
	f.update(true, func(old Image) (Image, bool) {
		before = old.Digest()
		if old.Revision > w.Revision {
			return old, false
		}
		return old.apply(w), true
	})
	if f.options.Read != nil {
		f.options.Read(before, w)
	}
	pause(ctx, settleTime)
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	image, err := f.source.List(ctx, f.kind)
	if err != nil {
		return err
	}
	f.update(true, func(old Image) (Image, bool) {
		if f.known && image.Revision < old.Revision {
			return old, false
		}
		return image, true
	})
	return nil
}

// Adopt takes a neighbour's copy if it is newer.
func (f *Follower) Adopt(p Part) bool {
	took := false
	f.update(false, func(old Image) (Image, bool) {
		if f.known && p.Revision <= old.Revision || !f.known && !p.Whole {
			return old, false
		}
		took = true
		return old.with(p), true
	})
	if took {
		f.log.Info("took a newer copy from a neighbour", "revision", p.Revision, "objects", len(p.Objects), "whole", p.Whole)
	}
	return took
}

// AdoptChange applies a change that a neighbour has read, if it applies to what this daemon knows.
func (f *Follower) AdoptChange(before uint64, w platform.Watch) {
	f.update(false, func(old Image) (Image, bool) {
		if !f.known || w.Revision < old.Revision || old.Digest() != before {
			return old, false
		}
		return old.apply(w), true
	})
}

// update changes the image; own says that the change was read from the store by this daemon.
func (f *Follower) update(own bool, change func(Image) (Image, bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	image, news := change(f.image)
	f.image = image
	if !news {
		return
	}
	f.known, f.changed = true, time.Now()
	recent := !f.regained.IsZero() && time.Since(f.regained) < recovery
	f.options.Changed(image, own && (f.failing.Load() || recent))
}

// Kind returns the kind of objects that is followed.
func (f *Follower) Kind() string { return f.kind }

// Image returns the present image; known is false before the first.
func (f *Follower) Image() (image Image, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.image, f.known
}

// Failing reports whether the last call failed.
func (f *Follower) Failing() bool { return f.failing.Load() }

// Age returns how long ago the store last answered this daemon; 0 before the first answer. A daemon that rests relies on
// its neighbours, so that this grows while ChangedAge tells of the last change that it was told of.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return since(now, f.answered)
}

// ChangedAge returns how long ago the image last changed; 0 before the first.
func (f *Follower) ChangedAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return since(now, f.changed)
}

func since(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

func (f *Follower) health(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failing := err != nil
	if !failing {
		f.answered = time.Now()
	}
	if f.failing.Swap(failing) == failing {
		return
	}
	if failing {
		f.log.Warn("store lost", "err", err)
		return
	}
	f.regained = time.Now()
	f.log.Info("store regained", "revision", f.image.Revision)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
