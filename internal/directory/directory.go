// Package directory keeps a daemon's copy of the objects that the platform's store holds: it lists each kind once and
// then watches it. While the store turns this daemon away, it takes newer copies from neighbours.
package directory

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/platform"
)

const (
	// A watch can miss changes until it is renewed, when the store drops its history. Daemons tell one another of
	// changes, so that it suffices if one of them renews its watch every watchSpacing; each watch is a priced call.
	watchSpacing = 250 * time.Millisecond
	minWatch     = time.Second
	maxWatch     = 6 * time.Second
	// watchJitter spreads the watches of daemons that started together.
	watchJitter = 0.3
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

// Digest is a hash of the names and versions of the objects. Two daemons that know the same objects have the same
// digest, whatever revisions their calls returned.
func (i Image) Digest() uint64 {
	sum := uint64(0)
	for name, o := range i.Objects {
		sum += xxhash.Sum64String(name + "/" + strconv.FormatUint(o.Version, 10))
	}
	return sum
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
	changed func(Image, bool)
	daemons func() int
	log     *slog.Logger

	mu      sync.Mutex
	image   Image
	known   bool
	failing bool
	// regained is when the store answered again after an outage; zero before the first outage.
	regained time.Time
}

// NewFollower returns a follower that calls changed with each new image, never twice at the same time. The second
// argument of changed says that the image was read during or shortly after an outage of the store. daemons returns how
// many daemons follow the store.
func NewFollower(
	kind string, source Source, log *slog.Logger, daemons func() int, changed func(Image, bool),
) *Follower {
	return &Follower{kind: kind, source: source, changed: changed, daemons: daemons, log: log.With("kind", kind)}
}

// wait returns how long the next watch may stay without events.
func (f *Follower) wait() time.Duration {
	wait := min(maxWatch, max(minWatch, time.Duration(f.daemons())*watchSpacing))
	return time.Duration(float64(wait) * (1 - watchJitter + 2*watchJitter*rand.Float64()))
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
	w, err := f.source.Watch(ctx, f.kind, after, f.wait())
	if errors.Is(err, ErrHistoryGone) {
		f.log.Info("history of the store is gone, listing again", "revision", after)
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.update(true, func(old Image) (Image, bool) {
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
	f.update(true, func(old Image) (Image, bool) {
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
	f.update(false, func(old Image) (Image, bool) {
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

// update changes the image; own says that the change was read from the store by this daemon.
func (f *Follower) update(own bool, change func(Image) (Image, bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	image, news := change(f.image)
	f.image = image
	if !news {
		return
	}
	f.known = true
	recent := !f.regained.IsZero() && time.Since(f.regained) < recovery
	f.changed(image, own && (f.failing || recent))
}

// Image returns the present image; known is false before the first.
func (f *Follower) Image() (image Image, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.image, f.known
}

// Failing reports whether the last call failed.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

func (f *Follower) health(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failing := err != nil
	if failing == f.failing {
		return
	}
	f.failing = failing
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
