package edge

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/routing"
)

// relyingDaemon returns a daemon with configuration 3 of revision 5 that relies on its neighbours.
func relyingDaemon() *Daemon {
	d := &Daemon{eras: directory.NewEras(nil), settings: &Settings{ConfigBoundMS: 2_000}, start: time.Now(), serversListed: true, log: evlog.Discard()}
	d.configCopy = newConfigCopy(d)
	d.config = directory.NewFollower(KindConfig, nil, d.log, directory.Options{
		OnChange: func(image directory.Image, _ bool) { d.configCopy.changed(image) },
	})
	d.serverEntries = directory.NewFollower(KindServers, nil, d.log, directory.Options{})
	d.table.Store(routing.NewTable(routing.Config{Version: 3}))
	d.config.Adopt(directory.Diff{Full: true, Image: configImage(5, 5)})
	return d
}

func configImage(revision, version uint64) directory.Image {
	return directory.Image{Kind: KindConfig, Revision: revision, Objects: map[string]platform.Object{
		"main": {Kind: KindConfig, Name: "main", Version: version, Value: make([]byte, 300_000)},
	}}
}

// Guards against neighbours of an earlier version that confirm a copy without naming one or whose newer configuration is not fetched,
// against fetches of a copy with the same content, and against neighbours that confirm a newer copy than the own one.
func TestConfigurationsOfNeighboursAreCompared(t *testing.T) {
	d := relyingDaemon()
	require.True(t, d.configOutdated(&carobstilev1.EdgePacket{ConfigVersion: 4}), "an earlier version")
	sender := &carobstilev1.EdgeMember{Name: "n", ServiceAddress: "127.0.0.1:1"}
	same := configImage(9, 5).Digest()
	for name, c := range map[string]struct {
		revision, digest uint64
		newer, confirms  bool
	}{
		"older": {4, 1, false, true}, "listed later": {9, same, false, true}, "newer": {9, 2, true, false}, "without the fields": {},
	} {
		d = relyingDaemon()
		p := &carobstilev1.EdgePacket{Sender: sender, ConfigVersion: 3, ConfigRevision: c.revision, ConfigDigest: c.digest}
		if c.revision > 0 {
			p.ConfigVersion, p.ConfigConfirmedMicrosAgo = 4, proto.Int64(1_000)
			require.False(t, d.configOutdated(p), name)
		}
		d.configCopy.heard(p)
		_, behind := d.configCopy.copies.chooseHolder()
		require.Equal(t, c.newer, behind, name)
		require.Equal(t, c.confirms, d.config.Staleness() > 0, name)
	}
}

// Guards against a daemon that sends a large configuration to all others at once, and against one that refuses a starting daemon or one
// that has the configuration.
func TestLargeConfigurationIsSentToFewAtATime(t *testing.T) {
	d := relyingDaemon()
	image, _ := d.config.Image()
	old, now := configImage(4, 4).Digests(), 10*core.Second
	admitted := 0
	for range 60 {
		if d.configCopy.copies.admit(now, image.Diff(0, old), true) {
			admitted++
		}
	}
	require.InDelta(t, 4, admitted, 1)
	require.True(t, d.configCopy.copies.admit(now, image.Diff(0, nil), false), "a starting daemon")
	require.True(t, d.configCopy.copies.admit(now, image.Diff(0, image.Digests()), true), "nothing to send")
	require.True(t, d.configCopy.copies.admit(now+core.Second, image.Diff(0, old), true))
	var off *copyFetcher
	require.True(t, off.admit(now, image.Diff(0, old), true))
}

// Guards against a neighbour that does not answer, or is too far behind, being asked again and again.
func TestHolderWithoutAnswerIsAskedOnce(t *testing.T) {
	d := relyingDaemon()
	gone := &carobstilev1.EdgePacket{Sender: &carobstilev1.EdgeMember{Name: "gone", ServiceAddress: "127.0.0.1:1"}}
	d.configCopy.copies.heard(gone, directory.Version{Revision: 9, Digest: 9})
	h, behind := d.configCopy.copies.chooseHolder()
	require.True(t, behind)
	d.configCopy.copies.fetchFrom(h)
	_, behind = d.configCopy.copies.chooseHolder()
	require.False(t, behind)
}

// blockedStore is a Store whose lists wait until it is closed.
type blockedStore struct {
	Store
	listing, closed chan struct{}
}

func (s blockedStore) List(context.Context, string) (directory.Image, error) {
	close(s.listing)
	<-s.closed
	return directory.Image{}, platform.ErrNotFound
}

// namedCodec names the configuration of configImage, and reads none.
type namedCodec struct{ Codec }

func (namedCodec) ConfigName() string                        { return "main" }
func (namedCodec) Config([]byte) (c routing.Config, e error) { return c, errors.New("unreadable") }

// Guards against a starting daemon that handles no datagrams while it reads the verdicts in a slow store.
func TestFirstConfigurationDoesNotDelayDatagrams(t *testing.T) {
	d := &Daemon{eras: directory.NewEras(nil), settings: &Settings{ConfigBoundMS: 2_000}, start: time.Now(), log: evlog.Discard()}
	store := blockedStore{listing: make(chan struct{}), closed: make(chan struct{})}
	d.adapter = Adapter{Store: store, Codec: namedCodec{}}
	d.crashes = newCrashTracker(d.now, func(func(*carobstilev1.EdgePacket)) {}, d.log)
	d.configCopy = newConfigCopy(d)
	d.config = directory.NewFollower(KindConfig, nil, d.log, directory.Options{OnChange: d.configChanged})
	adopted, heard := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(adopted)
		d.config.Adopt(directory.Diff{Full: true, Image: configImage(5, 5)})
	}()
	<-store.listing
	go func() {
		defer close(heard)
		d.configCopy.heard(&carobstilev1.EdgePacket{ConfigRevision: 4, ConfigConfirmedMicrosAgo: proto.Int64(1_000)})
	}()
	select {
	case <-heard:
	case <-time.After(5 * time.Second):
		t.Error("the datagram waits for the store")
	}
	close(store.closed)
	<-adopted
	require.Equal(t, uint64(5), d.configCopy.version().Revision)
}
