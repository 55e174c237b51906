package edge

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/neighbors"
	"github.com/carobstile/carobstile/internal/routing"
)

// nopHandler ignores all calls of the link.
type nopHandler struct{}

func (nopHandler) HandlePacket(*carobstilev1.EdgePacket, bool) {}
func (nopHandler) FillSummary(*carobstilev1.EdgePacket)        {}
func (nopHandler) MemberJoined(*carobstilev1.EdgeMember)       {}
func (nopHandler) MemberAway(*carobstilev1.EdgeMember)         {}

// Guards against a cell without any server of a service that has few servers, or whose servers in the cell are all evacuated.
func TestServicesWithFewServersAreNotDivided(t *testing.T) {
	const daemons, engines, desks = 110, 400, 4
	self := &carobstilev1.EdgeMember{Name: "self", PacketAddress: "127.0.0.1:0"}
	link, err := neighbors.Listen(self, nopHandler{}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	d := &Daemon{link: link, servers: newServerList(nil, slog.New(slog.DiscardHandler))}
	for i := range daemons {
		link.AddMember(&carobstilev1.EdgeMember{Name: fmt.Sprint("d", i), PacketAddress: "127.0.0.1:9"})
	}
	for i := range engines {
		id := fmt.Sprint("e", i)
		domain := "z2"
		if link.InCell(id, domain) {
			domain = "z1"
		}
		d.servers.servers[id] = dispatch.Server{ID: id, Service: "llm", Domain: domain}
	}
	for i := range desks {
		id := fmt.Sprint("p", i)
		d.servers.servers[id] = dispatch.Server{ID: id, Service: "desk"}
	}
	count := map[string]int{}
	usable := d.usableServers()
	require.Equal(t, map[string]bool{"desk": true, "llm": false}, usable.shared)
	for _, s := range usable.servers {
		count[s.Service]++
	}
	require.Equal(t, desks, count["desk"])
	require.Less(t, count["llm"], engines)
	require.Positive(t, count["llm"])
	d.evacuations = &evacuations{domains: map[string]bool{"z1": true}}
	usable = d.usableServers()
	require.True(t, usable.shared["llm"])
	require.Len(t, usable.servers, engines+desks)
	leaving := slices.IndexFunc(usable.servers, func(s dispatch.Server) bool { return s.Domain == "z1" })
	d.servers.servers[usable.servers[leaving].ID] = dispatch.Server{ID: usable.servers[leaving].ID, Service: "llm", Domain: "z1x", Leaving: true}
	require.True(t, d.usableServers().shared["llm"], "the only server in the cell that is not evacuated is leaving")
}

// Guards against a daemon that has just started, and that the store refuses, which takes no server entries from its
// neighbours although it did not get the datagram with a change.
func TestStartingDaemonFetchesEntries(t *testing.T) {
	d := &Daemon{eras: directory.NewEras(nil), start: time.Now(), serversListed: true, log: evlog.Discard(), settings: &Settings{}}
	d.relays = newRelays(d)
	d.config = directory.NewFollower(KindConfig, nil, d.log, directory.Options{})
	d.serverEntries = directory.NewFollower(KindServers, nil, d.log, directory.Options{})
	d.serverCopies = newCopyFetcher(d, KindServers, d.serversVersion, nil)
	d.table.Store(routing.NewTable(routing.Config{Version: 3}))
	require.True(t, d.startingUp())
	sender := &carobstilev1.EdgeMember{Name: "n", ServiceAddress: "127.0.0.1:1"}
	for digest, newer := range map[uint64]bool{0: false, 7: true} {
		d.HandlePacket(&carobstilev1.EdgePacket{Sender: sender, ConfigVersion: 3, ServersRevision: 9, ServersDigest: digest}, false)
		_, behind := d.serverCopies.chooseHolder()
		require.Equal(t, newer, behind)
		d.serverCopies.holders.Clear()
	}
}

// Guards against a daemon that is ready before a seed could tell it of servers that are leaving, and against seeds that do not answer
// and keep it from being ready.
func TestReadinessWaitsForSeed(t *testing.T) {
	d := &Daemon{start: time.Now(), serversListed: true, log: evlog.Discard(), seedAsked: make(chan struct{})}
	d.table.Store(routing.NewTable(routing.Config{Version: 3}))
	ready := func() int {
		w := httptest.NewRecorder()
		d.serveReady(w, nil)
		return w.Code
	}
	require.Equal(t, http.StatusServiceUnavailable, ready())
	d.start = time.Now().Add(-seedWait)
	require.Equal(t, http.StatusOK, ready(), "the seed does not answer")
	d.start = time.Now()
	close(d.seedAsked)
	require.Equal(t, http.StatusOK, ready(), "the seed has answered")
}

// slowMemberStore records the writes and removals of a daemon's entry. A write takes effect after a delay.
type slowMemberStore struct {
	Store
	delay time.Duration

	mu      sync.Mutex
	writes  int
	present bool
}

func (s *slowMemberStore) Put(ctx context.Context, _, _ string, _ []byte) error {
	time.Sleep(s.delay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.present = true
	return nil
}

func (s *slowMemberStore) Delete(context.Context, string, string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present = false
	return nil
}

// Guards against an entry that stays in the store because the daemon removed it before its own first write took effect.
func TestEntryIsRemovedAfterItsWrite(t *testing.T) {
	store := &slowMemberStore{delay: 100 * time.Millisecond}
	d := &Daemon{eras: directory.NewEras(nil), settings: &Settings{Name: "a"}, adapter: Adapter{Store: store}, log: evlog.Discard()}
	ctx, cancel := context.WithCancel(t.Context())
	written := make(chan error, 1)
	go func() { written <- d.writeOwnEntry(ctx) }()
	time.Sleep(20 * time.Millisecond)
	cancel()
	d.draining.Store(true)
	d.removeOwnEntry()
	require.NoError(t, <-written)
	require.Equal(t, 1, store.writes)
	require.False(t, store.present)
	require.NoError(t, d.writeOwnEntry(t.Context()))
	require.False(t, store.present, "written while the daemon stops")
}
