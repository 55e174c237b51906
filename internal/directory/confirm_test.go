package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
)

// relying returns a follower with a copy that relies on its neighbours, and the number of its confirmations.
func relying(s Source, watcher bool) (f *Follower, confirmed *int) {
	confirmed = new(int)
	f = NewFollower("config", s, evlog.Discard(), Options{
		OnChange: func(Image, bool) {}, IsWatcher: func() bool { return watcher }, RelyOnNeighbors: true, MaxStaleness: time.Minute,
		ConfirmAnswers: true, OnConfirmed: func() { *confirmed++ },
	})
	f.known, f.image, f.revisedAt = true, imageOf(5, object("a", 3)), sinceBoot()
	return f, confirmed
}

// Guards against a watcher that keeps the answers of the store to itself, so that each of the others asks too.
func TestWatcherConfirmsEachAnswer(t *testing.T) {
	s := &fakeSource{image: imageOf(9, object("a", 3)), watches: make(chan platform.Watch)}
	f, confirmed := relying(s, true)
	require.NoError(t, f.syncOnce(t.Context()))
	require.Equal(t, 1, *confirmed)
	require.Greater(t, s.longestWait(), staleCheckWait)
	s.compacted = true
	require.NoError(t, f.syncOnce(t.Context()))
	require.Equal(t, 2, *confirmed, "a list after the history was gone")
	age, ok := f.ConfirmedAge()
	require.True(t, ok)
	require.Less(t, age, time.Second)
}

// Guards against a daemon that knows of a newer copy, cannot get it from its neighbours and does not ask the store, and against one that
// goes on to ask once it has the copy or the store's answer.
func TestRequestedCheckIsMadeOnce(t *testing.T) {
	f, _ := relying(&fakeSource{watches: make(chan platform.Watch)}, false)
	f.Confirm(Version{Revision: 5}, 0)
	require.True(t, f.passive())
	f.RequestCheck()
	require.False(t, f.passive())
	require.NoError(t, f.syncOnce(t.Context()))
	require.True(t, f.passive(), "answered")
	f.RequestCheck()
	require.True(t, f.Adopt(imageOf(7, object("a", 7)).Diff(0, nil)))
	require.True(t, f.passive(), "the copy has arrived")
	require.False(t, f.Adopt(imageOf(6, object("a", 6)).Diff(0, nil)), "an older copy")
	require.False(t, f.Adopt(imageOf(7, object("b", 7)).Diff(0, nil)), "another copy of the same revision")
}

// Guards against a daemon that relies on others and after a failed call holds a long watch, until whose end it counts as failing; and
// against a check of an old copy by a watch whose history is gone, which takes two calls.
func TestChecksTakeOneShortCall(t *testing.T) {
	s := &fakeSource{image: imageOf(9, object("a", 9)), watches: make(chan platform.Watch)}
	f, confirmed := relying(s, false)
	f.Confirm(Version{Revision: 5}, 0)
	f.recordResult(platform.ErrRejected)
	require.False(t, f.passive())
	require.NoError(t, f.syncOnce(t.Context()))
	require.Equal(t, staleCheckWait, s.longestWait())
	require.Equal(t, 1, *confirmed)
	f.recordResult(nil)
	require.True(t, f.passive())

	f.revisedAt -= historyPeriod + time.Second
	s.compacted = true
	require.NoError(t, f.syncOnce(t.Context()))
	require.True(t, s.compacted, "a watch")
	image, _ := f.Image()
	require.Equal(t, uint64(9), image.Revision)
}

// Guards against watches of a watcher that are longer than the others go on without a confirmation, or than the store's history.
func TestWatcherWaitFollowsTheOption(t *testing.T) {
	f, _ := relying(nil, true)
	wait := 500 * time.Millisecond
	f.options.WatcherWait = func() time.Duration { return wait }
	require.Equal(t, wait, f.watcherWait())
	wait = time.Hour
	require.Equal(t, longWatchWait, f.watcherWait())
	wait = 0
	require.Equal(t, shortWatchWait, f.watcherWait())
}

// Guards against an outage of the store in which all daemons call it as soon as no watcher confirms their copies, or again at once, and
// against a daemon that leaves the call to others though it knows that its copy is behind, or nobody has reported an outage.
func TestFewCallsDuringAReportedOutage(t *testing.T) {
	f, _ := relying(nil, false)
	pause, probes := 10*time.Second, false
	f.options.OutagePause, f.options.ProbesOutage = func() time.Duration { return pause }, func() bool { return probes }
	f.outageWait = 0.9
	f.Confirm(Version{Revision: 5}, time.Minute+time.Second)
	require.True(t, f.stale())
	require.True(t, f.passive())
	require.Equal(t, outageCheckInterval, f.passivePause())
	f.RequestCheck()
	require.False(t, f.passive(), "the copy is behind")
	f.checkDue.Store(false)
	require.Equal(t, pause, f.nextBackoff(0))
	pause = 0
	require.False(t, f.passive(), "no outage reported")
	require.Equal(t, maxOtherBackoff, f.nextBackoff(0))
	pause, probes = 10*time.Second, true
	require.False(t, f.passive())
	require.Equal(t, minBackoff, f.nextBackoff(0))
	require.Equal(t, maxBackoff, f.nextBackoff(maxBackoff))
	probes, f.outageWait = false, 0.05
	require.False(t, f.passive(), "its turn has come")
}

// Guards against a watch of 14 s by a follower that stops being a watcher while it begins the watch: meanwhile it checks nothing, whoever
// confirms its copy.
func TestWaitStaysShortWhenTheRoleEnds(t *testing.T) {
	s := &fakeSource{watches: make(chan platform.Watch)}
	f, _ := relying(s, true)
	asked := 0
	f.options.IsWatcher = func() bool { asked++; return asked == 1 }
	require.NoError(t, f.syncOnce(t.Context()))
	require.Less(t, s.longestWait(), 2*shortWatchWait)
}
