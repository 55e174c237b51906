package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/platform"
)

// syncOnce lists the kind if there is no image of the latest era yet, and otherwise makes one watch call.
func (f *Follower) syncOnce(ctx context.Context) error {
	image, known := f.Image()
	latest, eraChanged := f.options.Eras.Latest()
	if !known || image.Era < latest {
		return f.list(ctx)
	}
	check := f.checks()
	if check && f.checksByList() {
		f.logCheck(image.Revision)
		return f.list(ctx)
	}
	asked, wait := sinceBoot(), staleCheckWait
	if !check {
		wait = f.nextWait()
	} else {
		f.logCheck(image.Revision)
	}
	w, err := f.watch(ctx, image.Revision, wait, eraChanged)
	if errors.Is(err, ErrRevisionCompacted) || errors.Is(err, ErrTooManyChanges) {
		f.log.Info("changes of the store cannot be read, listing again", "era", image.Era, "revision", image.Revision, "err", err)
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	if !f.options.Eras.Meet(w.Era, fromStore) {
		return f.rejectAnswer("watch", image.position(), Version{Era: w.Era, Revision: w.Revision})
	}
	if w.Era != 0 && w.Era != image.Era {
		return f.list(ctx) // the revision that was watched from belongs to another history
	}
	w.Era = image.Era
	// A process that was suspended reads an answer that the store gave at the end of the wait, long ago.
	f.applyAnswer(ctx, w, min(sinceBoot(), asked+wait+answerMargin), check)
	return nil
}

// applyAnswer applies the answer to a watch of the image's era, which the store gave at a time, and pauses after a change. check says that the
// watch only checked whether the image is current.
func (f *Follower) applyAnswer(ctx context.Context, w platform.Watch, at time.Duration, check bool) {
	pause := f.pauseAfterChange(time.Now())
	if len(w.Objects) > 0 && !f.applyRead(w) {
		return // a neighbour's copy of a later era has arrived meanwhile
	}
	f.recordAnswer(w.Era, at) // after the change is applied, so that no neighbour takes an old image for confirmed
	if (check || f.confirmsAnswers()) && f.options.OnConfirmed != nil {
		f.options.OnConfirmed()
	}
	if len(w.Objects) > 0 {
		sleep(ctx, pause)
	}
}

// watch makes a watch call, which ends early when a later era is met elsewhere.
func (f *Follower) watch(ctx context.Context, after uint64, wait time.Duration, eraChanged <-chan struct{}) (platform.Watch, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-eraChanged:
			cancel()
		case <-watchCtx.Done():
		}
	}()
	w, err := f.source.Watch(watchCtx, f.kind, after, wait)
	if err != nil && ctx.Err() == nil && watchCtx.Err() != nil {
		return platform.Watch{}, errors.Mark(errEraEnded, ErrRevisionCompacted)
	}
	return w, err
}

// rejectAnswer logs an answer of the store that is older than what the daemon knows, and returns its error.
func (f *Follower) rejectAnswer(operation string, own, answer Version) error {
	f.log.Warn("store gave an outdated answer", "operation", operation, "era", answer.Era, "revision", answer.Revision,
		"own_era", own.Era, "own_revision", own.Revision)
	return errOutdatedAnswer
}

// recordAnswer records that the store answered this daemon at a time with an image of an era. It confirms nothing if the image has become
// one of a later era since.
func (f *Follower) recordAnswer(era uint64, at time.Duration) {
	if image, _ := f.Image(); image.Era == era {
		f.freshness.answered(at)
		f.checkDue.Store(false)
	}
}

func (f *Follower) confirmsAnswers() bool { return f.options.RareChanges || f.options.ConfirmAnswers }

// pauseAfterChange returns the pause after a change that is read now.
func (f *Follower) pauseAfterChange(now time.Time) time.Duration {
	if age := f.ChangedAge(now); f.options.BusyPause > 0 && age > 0 && age < quickSuccession {
		return f.options.BusyPause
	}
	return batchDelay
}

// applyRead applies a change that this daemon read from the store, and returns false if the image has become one of another era.
func (f *Follower) applyRead(w platform.Watch) bool {
	before, sameEra := uint64(0), true
	f.update(true, func(old Image) (Image, bool) {
		before, sameEra = old.Digest(), old.Era == w.Era
		if !sameEra || old.Revision > w.Revision {
			return old, false
		}
		return old.apply(w), true
	})
	if sameEra && f.options.OnRead != nil {
		f.options.OnRead(before, w)
	}
	return sameEra
}

// logCheck logs a check of an image with the given revision. Further attempts during an outage are not logged.
func (f *Follower) logCheck(revision uint64) {
	if !f.failing.Load() {
		f.log.Info("no watcher has confirmed the copy in time, calling the store", "revision", revision,
			"age_ms", f.freshness.age(sinceBoot()).Milliseconds())
	}
}

func (f *Follower) list(ctx context.Context) error {
	asked := sinceBoot()
	own, _ := f.Image()
	image, err := f.source.List(ctx, f.kind)
	if err != nil {
		return err
	}
	listed := image.position()
	if image.Era == 0 {
		image.Era = own.Era // an answer that names no era is compared by its revision
	}
	if !f.options.Eras.Meet(listed.Era, fromStore) || own.position().After(image.position()) {
		return f.rejectAnswer("list", own.position(), listed)
	}
	var before uint64
	var change platform.Watch
	f.update(true, func(old Image) (Image, bool) {
		if f.known && old.position().After(image.position()) {
			return old, false // a neighbour's copy has arrived meanwhile
		}
		if f.known && old.Era == image.Era {
			before, change = old.Digest(), old.changesTo(image)
		}
		return image, true
	})
	if latest, _ := f.options.Eras.Latest(); image.Era < latest {
		return f.rejectAnswer("list", Version{Era: latest}, listed) // used for want of a better one, and soon asked for again
	}
	f.recordAnswer(image.Era, asked)
	if !f.confirmsAnswers() {
		return nil
	}
	if len(change.Objects) > 0 && f.options.OnRead != nil {
		f.options.OnRead(before, change)
	}
	if f.options.OnConfirmed != nil {
		f.options.OnConfirmed()
	}
	return nil
}
