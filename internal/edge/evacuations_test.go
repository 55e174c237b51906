package edge

import (
	"bytes"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/neighbors"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/routing"
)

// Guards against servers that count as warm after an evacuation in which they may have become cold, against cold times that do not
// end or that services without them get, and against a line in the log for each update about a domain without servers.
func TestServersAreColdAfterAnEvacuation(t *testing.T) {
	var log bytes.Buffer
	d := &Daemon{eras: directory.NewEras(nil), settings: &Settings{EvacuationBoundMS: 5_000}, start: time.Now(), log: slog.New(slog.NewTextHandler(&log, nil))}
	e := newEvacuations(d)
	table := routing.NewTable(routing.Config{Services: []routing.Service{{Name: "llm", ColdStart: 9 * time.Second}, {Name: "desk"}}})
	mark := func(after core.Micros) []dispatch.Server {
		list := []dispatch.Server{{Service: "llm", Domain: "z2"}, {Service: "desk", Domain: "z2"}, {Service: "llm", Domain: "z1"}}
		e.mark(e.ends["z2"]+after, list, table)
		return list
	}
	objects := map[string]platform.Object{"z2": {Name: "z2", Version: 1}, "z9": {Name: "z9", Version: 2}}
	e.apply(directory.Image{Objects: objects})
	for range 3 {
		list := mark(0)
		require.True(t, list[0].Evacuated && list[1].Evacuated && !list[2].Evacuated)
	}
	require.Equal(t, 1, strings.Count(log.String(), "without known servers"), log.String())
	e.apply(directory.Image{})
	list := mark(2 * core.Second)
	require.False(t, list[0].Evacuated)
	require.Equal(t, []core.Micros{7 * core.Second, 0, 0}, []core.Micros{list[0].ColdFor, list[1].ColdFor, list[2].ColdFor})
	require.Zero(t, mark(10 * core.Second)[0].ColdFor)
}

// Guards against an update that read the servers before an evacuation and passes them to dispatch after it, which would send requests
// to the evacuated domain until the next change.
func TestOlderStateDoesNotReplaceAnEvacuation(t *testing.T) {
	link, err := neighbors.Listen(&carobstilev1.EdgeMember{Name: "self", PacketAddress: "127.0.0.1:0"}, nopHandler{}, evlog.Discard())
	require.NoError(t, err)
	d := &Daemon{eras: directory.NewEras(nil), settings: &Settings{EvacuationBoundMS: 5_000}, start: time.Now(), log: evlog.Discard(), link: link}
	d.servers = newServerList(nil, evlog.Discard())
	d.servers.servers["p"] = dispatch.Server{ID: "p", Service: "desk", Domain: "z2"}
	d.scheduler = newScheduler("z1", "self", d.now, evlog.Discard())
	d.relays = newRelays(d)
	d.evacuations = newEvacuations(d)
	d.evacuations.current.Store(&directory.Version{})
	services := []routing.Service{{Name: "desk"}}
	d.table.Store(routing.NewTable(routing.Config{Services: services}))
	few := d.table.Load()
	for i := range 200_000 { // so that the first update takes many milliseconds after it has read the servers
		services = append(services, routing.Service{Name: strconv.Itoa(i)})
	}
	d.table.Store(routing.NewTable(routing.Config{Services: services}))
	var older sync.WaitGroup
	older.Go(d.updateServers)
	time.Sleep(10 * time.Millisecond)
	d.table.Store(few)
	d.evacuations.apply(directory.Image{Objects: map[string]platform.Object{"z2": {Name: "z2", Version: 1}}})
	d.updateServers()
	older.Wait()
	require.False(t, d.scheduler.Accepts(dispatch.Process{ID: "p"}))
}
