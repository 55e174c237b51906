package directory

import (
	"math/rand/v2"
	"time"
)

// watchWait returns the wait of the next watch, with jitter.
func (f *Follower) watchWait() time.Duration {
	wait := longWatchWait
	if f.options.RareChanges {
		wait = min(wait, f.options.WatchWait)
	} else if f.options.IsWatcher() {
		wait = f.watcherWait()
	}
	return time.Duration(float64(wait) * (1 - watchJitter + 2*watchJitter*rand.Float64()))
}

// nextWait returns the wait of a call that does not only check the image. A follower that relies on its neighbours is then a watcher; if
// it has stopped being one since that was asked, a long wait would keep it from checking an image that nobody confirms.
func (f *Follower) nextWait() time.Duration {
	wait := f.watchWait()
	if !f.options.RelyOnNeighbors || f.options.RareChanges {
		return wait
	}
	return min(wait, time.Duration((1+watchJitter)*float64(f.watcherWait())))
}

// watcherWait returns the mean wait of a designated watcher.
func (f *Follower) watcherWait() time.Duration {
	if f.options.WatcherWait != nil {
		if wait := f.options.WatcherWait(); wait > 0 {
			return min(wait, longWatchWait)
		}
	}
	if f.options.LargeDeployment != nil && f.options.LargeDeployment() {
		return largeWatchWait
	}
	return shortWatchWait
}

// passive reports whether the follower currently makes no calls to the store.
func (f *Follower) passive() bool {
	if !f.options.RelyOnNeighbors || f.options.IsWatcher() {
		return false
	}
	f.mu.Lock()
	usable := f.known && !f.failing.Load()
	f.mu.Unlock()
	return usable && (!f.stale() || f.waitsForOutage())
}

// stale reports whether the image of a follower that relies on its neighbours has not been confirmed for MaxStaleness, or is
// known to be behind.
func (f *Follower) stale() bool {
	if !f.options.RelyOnNeighbors {
		return false
	}
	limit := f.options.MaxStaleness
	return f.checkDue.Load() || limit > 0 && f.freshness.age(sinceBoot()) >= limit
}

// RequestCheck makes a follower that relies on its neighbours ask the store soon, as its image is known to be behind.
func (f *Follower) RequestCheck() { f.checkDue.Store(true) }

// checks reports whether the next call only checks whether the image is current. That of a follower that relies on others and calls
// the store all the same does, so that it ends soon, also after a failed call.
func (f *Follower) checks() bool {
	if f.options.RareChanges {
		return f.stale()
	}
	return f.options.RelyOnNeighbors && !f.options.IsWatcher()
}

// checksByList reports whether a check lists the kind, because a watch from the image's revision would probably find its history gone.
func (f *Follower) checksByList() bool {
	if f.options.RareChanges {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.ConfirmAnswers && sinceBoot()-f.revisedAt > historyPeriod
}

// passivePause returns how long a passive follower waits before it checks its role and its image again.
func (f *Follower) passivePause() time.Duration {
	limit := f.options.MaxStaleness
	if limit <= 0 {
		return roleCheckInterval
	}
	left := limit - f.freshness.age(sinceBoot())
	if left <= 0 && f.waitsForOutage() {
		return outageCheckInterval
	}
	return min(roleCheckInterval, max(minPassivePause, left))
}

// backoffLimit returns the longest mean pause between two calls to a failing store. A daemon without a copy of its own
// depends on the store as much as those that look out for the end of its outage.
func (f *Follower) backoffLimit() time.Duration {
	if _, known := f.Image(); !known || f.options.ProbesOutage == nil || f.options.ProbesOutage() {
		return maxBackoff
	}
	return maxOtherBackoff
}

// nextBackoff returns the mean pause after a failed call, given the one before it; 0 if the call before succeeded.
func (f *Follower) nextBackoff(last time.Duration) time.Duration {
	limit := f.backoffLimit()
	if f.options.OutagePause != nil && limit == maxOtherBackoff {
		return max(limit, f.options.OutagePause())
	}
	return min(max(minBackoff, 2*last), limit)
}

// waitsForOutage reports whether a follower whose image is stale leaves the next call to others, as neighbours have reported an outage.
func (f *Follower) waitsForOutage() bool {
	if f.options.OutagePause == nil || f.checkDue.Load() || f.options.ProbesOutage != nil && f.options.ProbesOutage() {
		return false
	}
	wait := time.Duration(f.outageWait * float64(f.options.OutagePause()))
	return f.freshness.age(sinceBoot()) < f.options.MaxStaleness+wait
}
