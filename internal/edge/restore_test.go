package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/directory"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/platform"
)

// Guards against a configuration in force that is undone by an older one: of a restored store, while the operator writes the versions in
// between again, or of a neighbour that has not noticed; and against one that the operator takes back, or writes again with other content, being ignored.
func TestConfigurationInForce(t *testing.T) {
	type step struct {
		name                string
		era, revision       uint64
		version             int64
		content             string
		adopted, held       bool // held by this step
		isHeld              bool // afterwards
		fromNeighbor, lacks bool
	}
	for name, steps := range map[string][]step{
		"written again in order": {
			{name: "in force", era: 1, revision: 20, version: 4, adopted: true},
			{name: "in the copy", era: 2, revision: 10, version: 1, held: true, isHeld: true},
			{name: "written again, older", era: 2, revision: 11, version: 3, isHeld: true},
			{name: "written again", era: 2, revision: 12, version: 4},
			{name: "next", era: 2, revision: 13, version: 5, adopted: true},
			{name: "copy of the older era", era: 1, revision: 21, version: 4, isHeld: true, held: true},
		},
		"a newer one at a lower revision": {
			{name: "in force", era: 1, revision: 20, version: 4, adopted: true},
			{name: "newer", era: 2, revision: 10, version: 5, adopted: true},
		},
		"the same number with other content": {
			{name: "in force", era: 1, revision: 20, version: 4, adopted: true},
			{name: "other", era: 2, revision: 12, version: 4, content: "other", adopted: true},
		},
		"taken back": {
			{name: "in force", era: 1, revision: 20, version: 4, adopted: true},
			{name: "listed again", era: 1, revision: 20, version: 4},
			{name: "an older number, written later", era: 1, revision: 21, version: 3, adopted: true},
			{name: "a neighbour holds what was taken back", fromNeighbor: true, version: 4},
		},
		"a daemon that starts": {
			{name: "in the copy", era: 2, revision: 10, version: 1, adopted: true},
			{name: "held by a neighbour", fromNeighbor: true, version: 4, adopted: true, isHeld: true, lacks: true},
			{name: "listed again", era: 2, revision: 10, version: 1, isHeld: true},
			{name: "held by another", fromNeighbor: true, version: 4, isHeld: true},
			{name: "written again", era: 2, revision: 12, version: 4},
		},
		"a store that names no era": {
			{name: "in force", revision: 20, version: 4, adopted: true},
			{name: "next", revision: 21, version: 5, adopted: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var c configInForce
			for _, s := range steps {
				o := platform.Object{Name: "main", Version: s.revision, Value: []byte(s.content)}
				if s.fromNeighbor {
					require.Equal(t, s.lacks, c.lacks(s.version), s.name)
					require.Equal(t, s.adopted, c.offerHeld(o, s.version), s.name)
				} else {
					adopted, held := c.offer(s.era, o, s.version)
					require.Equal(t, []bool{s.adopted, s.held}, []bool{adopted, held}, s.name)
				}
				require.Equal(t, s.isHeld, c.isHeld(), s.name)
			}
		})
	}
}

// Guards against servers of a restored store: one that had left, or was leaving, gets requests again because the copy still lists it, and one
// that the copy lacks is dropped before it can write its entry again.
func TestServersOfARestoredStore(t *testing.T) {
	image := func(era, revision uint64, entries map[string]string) directory.Image {
		out := directory.Image{Kind: KindServers, Era: era, Revision: revision, Objects: map[string]platform.Object{}}
		for name, value := range entries {
			out.Objects[name] = platform.Object{Name: name, Version: revision, Value: []byte(`{"Service":"s","StartedAt":7` + value + `}`)}
		}
		return out
	}
	l, now := newServerList(fakeCodec{}, evlog.Discard()), time.Now()
	usable := func() (out []string) {
		for _, s := range l.list(now) {
			if !s.Leaving {
				out = append(out, s.ID)
			}
		}
		return out
	}
	copied := map[string]string{"stays": "", "left": "", "leaving": "", "silent": ""}
	l.update(now, image(1, 5, copied), false)
	l.update(now, image(1, 9, map[string]string{"stays": "", "leaving": `,"Leaving":true`, "came": ""}), false)
	l.expire(now.Add(outageGrace))
	require.Equal(t, []string{"came", "stays"}, usable())

	now = now.Add(10 * time.Second)
	restored := image(2, 5, copied)
	l.update(now, restored, true)
	require.Equal(t, []string{"came", "stays"}, usable(), "the copy lacks one, and brings back what has left or is leaving")
	l.expire(now.Add(outageGrace))
	require.Equal(t, []string{"stays"}, usable(), "not written again in time")

	written := image(2, 6, map[string]string{"came": "", "left": `,"StartedAt":8`})
	for name, o := range restored.Objects {
		if _, ok := written.Objects[name]; !ok {
			written.Objects[name] = o
		}
	}
	l.update(now.Add(2*time.Second), written, true)
	require.Equal(t, []string{"came", "left", "stays"}, usable(), "written again; another process under the ID of the one that left")
	require.False(t, l.expire(now.Add(restoredEntryTTL-time.Millisecond)))
	require.True(t, l.expire(now.Add(restoredEntryTTL)))
	require.Equal(t, []string{"came", "left", "silent", "stays"}, usable(), "still listed, so it lives; the one that said it leaves does not count")
}

// Guards against an evacuation that ends because the restored store lacks it, and against one that never ends then.
func TestEvacuationsOfARestoredStore(t *testing.T) {
	d := &Daemon{eras: directory.NewEras(nil), settings: &Settings{EvacuationBoundMS: 5_000}, start: time.Now(), log: evlog.Discard()}
	e := newEvacuations(d)
	image := func(era uint64, domains ...string) directory.Image {
		out := directory.Image{Era: era, Objects: map[string]platform.Object{}}
		for _, name := range domains {
			out.Objects[name] = platform.Object{Name: name, Version: 1}
		}
		return out
	}
	e.apply(image(1, "z1", "z2", "z3"))
	e.apply(image(2, "z3", "z4"))
	require.Len(t, e.domains, 4)
	e.apply(image(2, "z1", "z3"))
	require.Len(t, e.domains, 3, "z4 has ended in this era, z2 is kept")
	require.False(t, e.expire(d.now()+restoredEvacuationTTL-core.Second))
	require.True(t, e.expire(d.now()+restoredEvacuationTTL))
	require.Len(t, e.domains, 2)
	e.apply(image(2, "z3"))
	require.Len(t, e.domains, 1, "written again and ended")
}
