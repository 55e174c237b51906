// Package directory keeps a daemon's copy of the objects that the platform's store holds: it lists each kind once and
// then watches it. While the store turns this daemon away, it takes newer copies from neighbours.
package directory

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/platform"
)

const (
	// watchWait is how long a watch may stay without events. Each watch is a priced call.
	watchWait = 10 * time.Second
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
	changed func(Image)
	log     *slog.Logger

	mu      sync.Mutex
	image   Image
	known   bool
	adopted bool // the image came from a neighbour since the last call
	failing bool
	since   time.Time // when failing last changed
}

// NewFollower returns a follower that calls changed with each new image, never twice at the same time.
func NewFollower(kind string, source Source, log *slog.Logger, changed func(Image)) *Follower {
	return &Follower{kind: kind, source: source, changed: changed, log: log.With("kind", kind), since: time.Now()}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
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
	w, err := f.source.Watch(ctx, f.kind, after, watchWait)
	if errors.Is(err, ErrHistoryGone) {
		f.log.Info("history of the store is gone, listing again", "revision", after)
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.update(func(old Image) (Image, bool) {
		if old.Revision > w.Revision {
			return old, false
		}
		return old.apply(w), len(w.Objects) > 0
	})
	if len(w.Objects) > 0 {
		pause(ctx, settleTime)
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	image, err := f.source.List(ctx, f.kind)
	if err != nil {
		return err
	}
	f.update(func(old Image) (Image, bool) {
		if f.known && image.Revision < old.Revision {
			return old, false
		}
		return image, true
	})
	return nil
}

// Adopt takes a neighbour's image if it is newer.
func (f *Follower) Adopt(image Image) bool {
	took := false
	f.update(func(old Image) (Image, bool) {
		if f.known && image.Revision <= old.Revision {
			return old, false
		}
		took = true
		return image, true
	})
	if took {
		f.log.Info("took a newer copy from a neighbour", "revision", image.Revision)
	}
	return took
}

func (f *Follower) update(change func(Image) (Image, bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	image, news := change(f.image)
	f.image = image
	if news {
		f.known = true
		f.changed(image)
	}
}

// Image returns the present image; known is false before the first.
func (f *Follower) Image() (image Image, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.image, f.known
}

// Failing reports whether the last call failed, and since when it has been so or not so.
func (f *Follower) Failing() (bool, time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing, f.since
}

func (f *Follower) health(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failing := err != nil
	if failing == f.failing {
		return
	}
	f.failing, f.since = failing, time.Now()
	if failing {
		f.log.Warn("store lost", "err", err)
		return
	}
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
