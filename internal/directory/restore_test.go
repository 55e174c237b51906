package directory

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
)

// restoredStore is a store that is restored from older copies of itself. It remembers all states that it has had.
type restoredStore struct {
	states []Image
}

func (s *restoredStore) state() Image { return s.states[len(s.states)-1] }

// change writes or removes an object.
func (s *restoredStore) change(name string, remove bool) {
	old := s.state()
	w := platform.Watch{Revision: old.Revision + 1, Objects: []platform.Object{object(name, old.Revision+1)}}
	w.Objects[0].Value = []byte(fmt.Sprintf("%d of era %d", w.Revision, old.Era))
	if remove {
		w.Objects[0].Version = 0
	}
	s.states = append(s.states, old.apply(w))
}

func (s *restoredStore) restore(from int) {
	restored := s.states[from]
	restored.Era = s.state().Era + 1
	s.states = append(s.states, restored)
}

// answers is a Source with the given answers.
type answers struct {
	image Image
	watch platform.Watch
	err   error
	lists int
}

func (a *answers) List(context.Context, string) (Image, error) {
	a.lists++
	return a.image, nil
}

func (a *answers) Watch(context.Context, string, uint64, time.Duration) (platform.Watch, error) {
	return a.watch, a.err
}

func newRestoreFollower(source Source) *Follower {
	return NewFollower("k", source, evlog.Discard(), Options{OnChange: func(Image, bool) {}, IsWatcher: func() bool { return true }})
}

// Guards against a copy that goes back to an older state, or is not the store's in the end, whichever answers of the store and messages of
// neighbours arrive, in whichever order, before and after the store was restored from an older copy.
func TestCopiesNeverGoBackAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &restoredStore{states: []Image{{Kind: "k", Era: 1, Revision: 1, Objects: map[string]platform.Object{}}}}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "restored") == 0 {
				s.restore(rapid.IntRange(0, len(s.states)-1).Draw(t, "from"))
				continue
			}
			s.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.Bool().Draw(t, "removed"))
		}
		source := &answers{}
		f := newRestoreFollower(source)
		any := func(label string) Image { return s.states[rapid.IntRange(0, len(s.states)-1).Draw(t, label)] }
		for range rapid.IntRange(0, 40).Draw(t, "messages") {
			before, known := f.Image()
			confirmedAt := f.freshness.confirmedAt.Load()
			latest, _ := f.options.Eras.Latest()
			from, to := any("from"), any("to")
			switch rapid.IntRange(0, 4).Draw(t, "message") {
			case 0:
				source.image = to
				_ = f.list(context.Background())
			case 1:
				source.image, source.watch = s.state(), platform.Watch{Era: to.Era, Revision: to.Revision, Objects: before.changesTo(to).Objects}
				_ = f.syncOnce(context.Background())
				require.False(t, known && source.lists == 0 && to.Era != before.Era && f.freshness.confirmedAt.Load() != confirmedAt)
			case 2:
				f.Adopt(to.Diff(before.Era, before.Digests()))
			case 3:
				f.ApplyChange(from.Digest(), from.changesTo(to))
			case 4:
				f.Confirm(to.Version(), 0)
				require.False(t, to.Era < latest && f.freshness.confirmedAt.Load() != confirmedAt, "confirmed by an older era")
			}
			after, knownNow := f.Image()
			require.False(t, known && before.position().After(after.position()), "%v is older than %v", after.position(), before.position())
			if knownNow {
				require.Contains(t, s.states, after, "a state that the store never had")
			}
		}
		source.image = s.state()
		require.NoError(t, f.list(context.Background()))
		image, _ := f.Image()
		require.Equal(t, s.state(), image)
	})
}

// Guards against a watch that goes on from a revision which the restored store has given out again: it leaves out what was written before.
func TestWatchOfAnotherEraIsListedAnew(t *testing.T) {
	restored := imageOf(9, object("a", 9))
	restored.Era = 2
	source := &answers{image: imageOf(9, object("a", 3)), watch: platform.Watch{Era: 2, Revision: 10, Objects: []platform.Object{object("b", 10)}}}
	source.image.Era = 1
	f := newRestoreFollower(source)
	require.NoError(t, f.syncOnce(t.Context()))
	source.image = restored
	require.NoError(t, f.syncOnce(t.Context()))
	image, _ := f.Image()
	require.Equal(t, restored, image)
}

// Guards against a follower that uses up the rate of a store whose answers are older than its copy, and takes them for confirmations.
func TestOutdatedListsAreAskedForWithPauses(t *testing.T) {
	source := &answers{image: imageOf(9), err: ErrRevisionCompacted}
	f := newRestoreFollower(source)
	require.NoError(t, f.syncOnce(t.Context()))
	confirmedAt := f.freshness.confirmedAt.Load()
	source.image = imageOf(8)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	f.Run(ctx)
	require.LessOrEqual(t, source.lists, 1+10)
	require.Equal(t, confirmedAt, f.freshness.confirmedAt.Load())
	require.False(t, f.Failing(), "the store answers")
}

// Guards against a watch that goes on to wait, for up to 18 s, after the daemon has heard of a later era from a neighbour.
func TestWaitingWatchEndsWithItsEra(t *testing.T) {
	s := &fakeSource{image: imageOf(5, object("a", 3)), watches: make(chan platform.Watch)}
	s.image.Era = 1
	s.waits = true
	eras := NewEras(nil)
	_, out := startFollowerWith(t, s, Options{Eras: eras})
	<-out
	s.mu.Lock()
	s.image = imageOf(4, object("a", 4))
	s.image.Era = 2
	s.mu.Unlock()
	require.True(t, eras.Meet(2, "neighbour"))
	require.Equal(t, uint64(2), (<-out).image.Era)
	require.False(t, eras.Meet(1, "neighbour"), "an era never goes back")
}

// Guards against a daemon that loses sight of changes while the store fails it, because its neighbours are of an earlier version and name no
// era, and against such a copy replacing a newer one otherwise.
func TestCopyOfAnUnknownEraBridgesAnOutage(t *testing.T) {
	source := &answers{image: imageOf(5, object("a", 3))}
	source.image.Era = 3
	f := newRestoreFollower(source)
	require.NoError(t, f.list(t.Context()))
	unknown := imageOf(8, object("b", 8))
	require.False(t, f.Adopt(unknown.Diff(0, nil)))
	f.failing.Store(true)
	require.True(t, f.Adopt(unknown.Diff(0, nil)))
	f.Confirm(unknown.Version(), 0)
	source.image.Revision = 6
	require.NoError(t, f.list(t.Context()), "the store's answer replaces it whatever its revision")
	image, _ := f.Image()
	require.Equal(t, Version{Era: 3, Revision: 6}, image.position())
}

// Guards against a daemon that starts while the store's answers name no era, and asks again without a pause as it has heard of one.
func TestListWithoutAnEraIsAskedForWithPauses(t *testing.T) {
	source := &answers{image: imageOf(9, object("a", 9))}
	f := newRestoreFollower(source)
	f.options.Eras.Meet(2, "neighbour")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	f.Run(ctx)
	require.LessOrEqual(t, source.lists, 1+10)
	image, known := f.Image()
	require.True(t, known)
	require.Equal(t, source.image, image)
}
