// Package directory maintains a daemon's copy of the objects in the platform's store. It lists each kind once and then
// watches it for changes. Newer copies and changes can also come from neighbours, which bridges outages of the store.
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
	// shortWatchWait is the long-poll wait of a designated watcher. When the store drops its history, a watch can miss
	// changes until it is renewed. Daemons forward changes to each other, so it suffices that the designated watchers
	// renew theirs often. The platform charges for each watch.
	shortWatchWait = 1200 * time.Millisecond
	// largeWatchWait replaces it in deployments of several cells, each of which has watchers of its own.
	largeWatchWait = 1800 * time.Millisecond
	// longWatchWait is the wait of all other followers. With jitter it stays below the 20 s of history that the store
	// keeps; a watch that ends later finds its revision dropped and the kind has to be listed again.
	longWatchWait = 14 * time.Second
	// staleCheckWait is the wait of a call that only checks whether the image is current.
	staleCheckWait = 20 * time.Millisecond
	// stalenessJitter is the relative amount by which Options.MaxStaleness is reduced at most. Without it, all daemons of a cell
	// would call the store at the same time; the first one confirms the images of the others.
	stalenessJitter = 0.1
	// watchJitter is the relative jitter of the waits. It spreads the watches of daemons that started together.
	watchJitter = 0.3
	// historyPeriod is the age of an image's revision from which a check lists the kind. The store keeps 20 s of history.
	historyPeriod = 15 * time.Second
	// answerMargin is how much later than the end of its wait the answer to a watch counts as given, for its way and a slow store.
	answerMargin = 300 * time.Millisecond
	// roleCheckInterval is how often a passive follower checks whether it has to call the store again.
	roleCheckInterval = 200 * time.Millisecond
	// outageCheckInterval replaces it while an image that is stale waits for a reported outage to end.
	outageCheckInterval = 50 * time.Millisecond
	// minPassivePause bounds the frequency of the checks from above.
	minPassivePause = 10 * time.Millisecond
	// recoveryPeriod is how long after an outage of the store entries of live processes may still be missing.
	recoveryPeriod = 2500 * time.Millisecond
	// Failed calls are retried after minBackoff, doubled up to maxBackoff by the daemons that look out for the end of an
	// outage, and up to maxOtherBackoff by all others, which hear of it from them. A configuration has to take effect
	// within two seconds after the store accepted it, but each call is charged, also while the store fails.
	minBackoff      = 100 * time.Millisecond
	maxBackoff      = 800 * time.Millisecond
	maxOtherBackoff = 2 * time.Second
	// batchDelay is the pause after a watch that returned changes, so that changes made together, such as those of a
	// release, arrive in one watch.
	batchDelay = 20 * time.Millisecond
	// quickSuccession is the time between two changes below which the next pause is Options.BusyPause.
	quickSuccession = time.Second
)

// ErrRevisionCompacted is returned by Source.Watch if the store no longer has the changes after the revision; the kind
// has to be listed again.
var ErrRevisionCompacted = errors.New("store no longer has the changes after the revision")

// errOutdatedAnswer is the error of a call whose answer is older than what the daemon knows. It changes and confirms nothing.
var errOutdatedAnswer = errors.New("answer of the store is older than the copy")

// errEraEnded is the error of a watch that ended because a later era of the store was met elsewhere.
var errEraEnded = errors.New("era of the watch has ended")

// ErrTooManyChanges is returned by Source.Watch if the changes after the revision are too large for one response, as those of an outage
// can be. They stay so until the store drops its history; a list has pages.
var ErrTooManyChanges = errors.New("changes after the revision are too large for one response")

// Where an era of the store was met.
const (
	fromStore    = "store"
	fromNeighbor = "neighbour"
)

// Source reads objects from the platform's store. Other errors than those above are those of package platform.
type Source interface {
	// List returns all objects of a kind and the revision of that state.
	List(ctx context.Context, kind string) (Image, error)
	// Watch waits up to wait for changes of a kind after a revision.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (platform.Watch, error)
}

// Image is a copy of all objects of a kind, by name. It is immutable.
type Image struct {
	Kind string
	// Era and Revision are those of Version.
	Era, Revision uint64
	Objects       map[string]platform.Object
}

// Version returns the version of the image.
func (i Image) Version() Version {
	return Version{Era: i.Era, Revision: i.Revision, Digest: i.Digest()}
}

// position returns the version of the image without its digest.
func (i Image) position() Version { return Version{Era: i.Era, Revision: i.Revision} }

// apply returns the image with the changes applied. A change to version 0 deletes the object.
func (i Image) apply(w platform.Watch) Image {
	out := Image{Kind: i.Kind, Era: i.Era, Revision: max(i.Revision, w.Revision), Objects: i.Objects}
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

// Follower maintains the image of one kind.
type Follower struct {
	kind    string
	source  Source
	options Options
	log     *slog.Logger

	mu    sync.Mutex
	image Image
	known bool
	// failing is atomic because OnChange callbacks read it while mu is held.
	failing atomic.Bool
	// lastAnswer is when the store last answered this daemon, lastChange when the image last changed; zero before the
	// first time.
	lastAnswer, lastChange time.Time
	// revisedAt is when the image's revision was last set, as time since boot.
	revisedAt time.Duration
	// recoveredAt is when the last outage of the store ended; zero before the first outage. restoredAt is when the image first was one of
	// the latest era, zero while it is of the first one that the daemon has met.
	recoveredAt, restoredAt time.Time
	// freshness is separate from mu because OnChange callbacks read it while mu is held.
	freshness freshness
	// outageWait is the part of Options.OutagePause that the follower waits before the next call of its own.
	outageWait float64
	// checkDue is set by RequestCheck until the store answers or the image changes.
	checkDue atomic.Bool
}

// Options configure a Follower.
type Options struct {
	// Eras holds the latest era of the store; nil if the follower keeps its own.
	Eras *Eras
	// OnChange is called with each new image; calls never overlap. outage is set if this daemon read the image from the
	// store at the end of an outage, or the image is the first one of a later era, or within recoveryPeriod after either.
	OnChange func(image Image, outage bool)
	// OnRead, if set, is called after OnChange with each change read from the store and the image's digest before it.
	OnRead func(before uint64, w platform.Watch)
	// IsWatcher reports whether this daemon is a designated watcher, which watches the store for others and renews its
	// watches often. Other followers use long waits.
	IsWatcher func() bool
	// LargeDeployment reports whether there are several cells of daemons. nil means that there are not.
	LargeDeployment func() bool
	// ProbesOutage reports whether this daemon is one of those that call a failing store often. nil means that it is.
	ProbesOutage func() bool
	// RelyOnNeighbors stops a follower that is not a designated watcher from calling the store while it has an image
	// and the last call succeeded; changes then come from neighbours.
	RelyOnNeighbors bool
	// MaxStaleness is how long such a follower goes on without a confirmation that its image is current, from the store or from
	// a neighbour that the store has answered. After that it calls the store itself, whatever it believes about the designated
	// watchers, and then OnConfirmed, if set, which tells the neighbours. 0 means for ever.
	MaxStaleness time.Duration
	OnConfirmed  func()
	// BusyPause replaces the short pause after a change that follows another one closely. Each watch that returns is charged to
	// each daemon, and of configurations in quick succession only the newest counts. 0 means the short pause.
	BusyPause time.Duration
	// RareChanges, if set, is for a kind with few objects that rarely change. The store's history since their last change is
	// usually gone, so that a watch for a check would end with a second call: the follower lists the kind instead, and passes the
	// differences to OnRead. One designated watcher suffices, as OnConfirmed is called after each answer of the store. WatchWait is
	// the mean wait of all watches. A first copy from a neighbour counts as current for MaxStaleness, so that a daemon that starts
	// makes no call if it is confirmed meanwhile.
	RareChanges bool
	WatchWait   time.Duration
	// ConfirmAnswers is for a kind whose few watchers confirm the image to the others: OnConfirmed is called after each answer of the
	// store. WatcherWait, if set, returns the mean wait of a watcher's watches; 0 means the usual one.
	ConfirmAnswers bool
	WatcherWait    func() time.Duration
	// OutagePause, if set, returns the mean pause between the calls of each daemon that does not probe an outage of the store, of which
	// neighbours have reported that it fails their calls; 0 if none has. So long a follower waits for its first call as well, as a copy
	// without confirmations is then no sign that watchers are lost. The daemons together still call often enough to find a store that
	// answers only some. OnFailure is called when calls begin to fail, and tells the neighbours.
	OutagePause func() time.Duration
	OnFailure   func()
}

// NewFollower returns a follower of one kind.
func NewFollower(kind string, source Source, log *slog.Logger, o Options) *Follower {
	o.MaxStaleness = time.Duration(float64(o.MaxStaleness) * (1 - stalenessJitter*rand.Float64()))
	if o.Eras == nil {
		o.Eras = NewEras(nil)
	}
	return &Follower{kind: kind, source: source, options: o, log: log.With("kind", kind), outageWait: rand.Float64()}
}

// ConfirmedAge returns the time since the store last answered this daemon, and false if it has not. The image was current
// then.
func (f *Follower) ConfirmedAge() (time.Duration, bool) { return f.freshness.ownAge(sinceBoot()) }

// Staleness returns the time since the image was last known to be current, from the store or from neighbours; 0 if it never was.
func (f *Follower) Staleness() time.Duration {
	if f.freshness.confirmedAt.Load() == 0 {
		return 0
	}
	return f.freshness.age(sinceBoot())
}

// Confirm records that a neighbour's copy of a version was current some time ago. It has no effect if the image is behind that copy, or if
// the version is not one of the latest era.
func (f *Follower) Confirm(v Version, age time.Duration) {
	image, known := f.Image()
	if latest, _ := f.options.Eras.Latest(); known && v.Era == latest && image.Version().Covers(v) {
		f.freshness.confirm(sinceBoot() - max(0, age))
	}
}

// Run keeps the image up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := time.Duration(0)
	for ctx.Err() == nil {
		if f.passive() {
			sleep(ctx, f.passivePause())
			continue
		}
		err := f.syncOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if !errors.Is(err, errOutdatedAnswer) {
			f.recordResult(err)
		}
		if err == nil {
			backoff = 0
			continue
		}
		backoff = f.nextBackoff(backoff)
		sleep(ctx, backoff/2+rand.N(backoff))
	}
}

// Adopt merges a neighbour's copy if it is newer than the image, and reports whether it did. A follower without an
// image accepts only a full copy, and so does one with an image of another era.
func (f *Follower) Adopt(d Diff) bool {
	f.options.Eras.Meet(d.Era, fromNeighbor)
	adopted := false
	f.update(false, func(old Image) (Image, bool) {
		if !d.Full && (!f.known || d.Era != old.Era && !f.bridges(d, old)) || f.known && !d.position().After(old.position()) && !f.bridges(d, old) {
			return old, false
		}
		adopted = true
		if latest, _ := f.options.Eras.Latest(); !f.known && f.options.RareChanges && d.Era == latest {
			f.freshness.confirm(sinceBoot())
		}
		return old.merge(d), true
	})
	if adopted {
		f.log.Info("took a newer copy from a neighbour", "era", d.Era, "revision", d.Revision, "objects", len(d.Objects), "whole", d.Full)
	}
	return adopted
}

// bridges reports whether a copy of a neighbour of an earlier version, which names no era, replaces the image for as long as the store
// fails this daemon. As its era is unknown, the next answer of the store replaces it whatever its revision.
func (f *Follower) bridges(d Diff, old Image) bool {
	return d.Era == 0 && old.Era != 0 && f.bridgesOutage() && d.Revision > old.Revision
}

func (f *Follower) bridgesOutage() bool { return f.failing.Load() && f.restoredAt.IsZero() }

// BridgesOutage reports whether the follower takes copies of an unknown era, since the store fails this daemon and it knows of no restore.
func (f *Follower) BridgesOutage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bridgesOutage()
}

// ApplyChange applies a change that a neighbour read from the store. It does nothing if the image is newer or of another era, or if its
// digest is not the one before the change.
func (f *Follower) ApplyChange(before uint64, w platform.Watch) {
	if !f.options.Eras.Meet(w.Era, fromNeighbor) {
		return
	}
	f.update(false, func(old Image) (Image, bool) {
		if !f.known || w.Era != old.Era || w.Revision < old.Revision || old.Digest() != before {
			return old, false
		}
		return old.apply(w), true
	})
}

// update replaces the image by the result of change and calls OnChange, unless change reports false. fromStore says
// that this daemon read the change from the store.
func (f *Follower) update(fromStore bool, change func(Image) (Image, bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.image
	image, replaced := change(old)
	f.image = image
	if !replaced {
		return
	}
	now := time.Now()
	restored := f.known && image.Era > old.Era && old.Era != 0
	if restored {
		f.restoredAt = now
		f.logRestored(old, image)
	}
	f.known, f.lastChange, f.revisedAt = true, now, sinceBoot()
	f.checkDue.Store(false)
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < recoveryPeriod }
	f.options.OnChange(image, recent(f.restoredAt) || fromStore && (f.failing.Load() || recent(f.recoveredAt)))
}

// logRestored logs what the first copy of a later era changes.
func (f *Follower) logRestored(old, image Image) {
	added, removed := 0, 0
	for name := range image.Objects {
		if _, ok := old.Objects[name]; !ok {
			added++
		}
	}
	for name := range old.Objects {
		if _, ok := image.Objects[name]; !ok {
			removed++
		}
	}
	f.log.Warn("copy is of a later era of the store", "era", image.Era, "revision", image.Revision, "old_era", old.Era,
		"old_revision", old.Revision, "objects", len(image.Objects), "added", added, "removed", removed)
}

// Kind returns the kind of objects that the follower maintains.
func (f *Follower) Kind() string { return f.kind }

// Image returns the current image; known is false until there is one.
func (f *Follower) Image() (image Image, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.image, f.known
}

// Failing reports whether the last call to the store failed.
func (f *Follower) Failing() bool { return f.failing.Load() }

// StoreAge returns the time since the store last answered this daemon; 0 before the first answer. It keeps growing on a
// daemon that relies on its neighbours; ChangedAge then shows the age of the last change received.
func (f *Follower) StoreAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return since(now, f.lastAnswer)
}

// ChangedAge returns the time since the image last changed; 0 before the first change.
func (f *Follower) ChangedAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return since(now, f.lastChange)
}

func since(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// recordResult records whether a call succeeded and logs the start and the end of an outage.
func (f *Follower) recordResult(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failing := err != nil
	if !failing {
		f.lastAnswer = time.Now()
	}
	if f.failing.Swap(failing) == failing {
		return
	}
	if failing {
		f.log.Warn("store lost", "err", err)
		if f.options.OnFailure != nil {
			f.options.OnFailure()
		}
		return
	}
	f.recoveredAt = time.Now()
	f.log.Info("store regained", "revision", f.image.Revision)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
