package directory

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
)

// fakeSource answers with what a test puts in.
type fakeSource struct {
	mu      sync.Mutex
	image   Image
	watches chan platform.Watch
	err     error
	gone    bool // the next watch finds its history gone
}

func (s *fakeSource) List(context.Context, string) (Image, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.image, s.err
}

func (s *fakeSource) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (platform.Watch, error) {
	s.mu.Lock()
	err := s.err
	if s.gone {
		err, s.gone = ErrHistoryGone, false
	}
	s.mu.Unlock()
	if err != nil {
		return platform.Watch{}, err
	}
	select {
	case w := <-s.watches:
		return w, nil
	case <-time.After(20 * time.Millisecond):
		return platform.Watch{Revision: after}, nil
	case <-ctx.Done():
		return platform.Watch{}, ctx.Err()
	}
}

func (s *fakeSource) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func object(name string, version uint64) platform.Object {
	return platform.Object{Kind: "k", Name: name, Version: version}
}

func imageOf(revision uint64, objects ...platform.Object) Image {
	out := Image{Kind: "k", Revision: revision, Objects: map[string]platform.Object{}}
	for _, o := range objects {
		out.Objects[o.Name] = o
	}
	return out
}

type seen struct {
	image  Image
	outage bool
}

func follow(t *testing.T, s *fakeSource) (*Follower, chan seen) {
	out := make(chan seen, 100)
	f := NewFollower("k", s, evlog.Discard(), Options{
		Changed: func(i Image, outage bool) { out <- seen{i, outage} }, OnDuty: func() bool { return true },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, out
}

// Guards against changes that are lost between a list and a watch, and deleted objects that stay.
func TestChangesAreApplied(t *testing.T) {
	s := &fakeSource{image: imageOf(5, object("a", 3), object("b", 4)), watches: make(chan platform.Watch, 1)}
	_, out := follow(t, s)
	require.Len(t, (<-out).image.Objects, 2)
	s.watches <- platform.Watch{Revision: 7, Objects: []platform.Object{object("a", 0), object("c", 7)}}
	got := (<-out).image
	require.Equal(t, uint64(7), got.Revision)
	require.NotContains(t, got.Objects, "a")
	require.Contains(t, got.Objects, "c")
}

// Guards against a follower that goes on watching a history that is gone.
func TestHistoryGoneMeansListAgain(t *testing.T) {
	s := &fakeSource{image: imageOf(5, object("a", 3)), watches: make(chan platform.Watch)}
	_, out := follow(t, s)
	<-out
	s.mu.Lock()
	s.image, s.gone = imageOf(9, object("z", 9)), true
	s.mu.Unlock()
	require.Eventually(t, func() bool {
		got := <-out
		return len(got.image.Objects) == 1 && got.image.Objects["z"].Version == 9
	}, 2*time.Second, time.Millisecond)
}

// Guards against a neighbour's older copy that replaces a newer one, and a newer copy that is not taken.
func TestOnlyNewerCopiesAreAdopted(t *testing.T) {
	s := &fakeSource{image: imageOf(5, object("a", 3)), watches: make(chan platform.Watch)}
	f, out := follow(t, s)
	<-out
	s.fail(platform.ErrRejected)
	require.False(t, f.Adopt(imageOf(4, object("old", 1)).Part(nil)))
	require.True(t, f.Adopt(imageOf(8, object("new", 8)).Part(nil)))
	require.Contains(t, (<-out).image.Objects, "new")
}

// Guards against entries that lapsed during an outage and are taken for gone, and against a daemon that never notices
// that the store is back.
func TestOutageIsNoticed(t *testing.T) {
	s := &fakeSource{image: imageOf(5, object("a", 3)), watches: make(chan platform.Watch, 1)}
	f, out := follow(t, s)
	require.False(t, (<-out).outage)
	s.fail(platform.ErrRejected)
	require.Eventually(t, f.Failing, 2*time.Second, time.Millisecond)
	s.fail(nil)
	require.Eventually(t, func() bool { return !f.Failing() }, 3*time.Second, time.Millisecond)
	s.watches <- platform.Watch{Revision: 6, Objects: []platform.Object{object("a", 0)}}
	require.True(t, (<-out).outage)
}

// Guards against watches that daemons renew at the same time, and daemons that watch though others do so for them.
func TestDutyDecidesHowLongToWatch(t *testing.T) {
	for duty, want := range map[bool]time.Duration{true: dutyWatch, false: restWatch} {
		f := NewFollower("k", nil, evlog.Discard(), Options{OnDuty: func() bool { return duty }, Rests: true})
		require.False(t, f.resting(), "nothing is known yet")
		f.known = true
		require.Equal(t, !duty, f.resting())
		for range 50 {
			require.InDelta(t, float64(want), float64(f.wait()), float64(want)*watchJitter+1)
		}
	}
}

// Guards against a neighbour's change that is applied to other objects than it was read for, or that is lost.
func TestChangesOfNeighboursAreApplied(t *testing.T) {
	s := &fakeSource{image: imageOf(5, object("a", 3)), watches: make(chan platform.Watch)}
	f, out := follow(t, s)
	before := (<-out).image.Digest()
	change := platform.Watch{Revision: 6, Objects: []platform.Object{object("b", 6)}}
	f.AdoptChange(before+1, change)
	f.AdoptChange(before, change)
	got := (<-out).image
	require.Contains(t, got.Objects, "b")
	f.AdoptChange(before, change)
	require.Empty(t, out)
}
