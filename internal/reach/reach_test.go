package reach

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carobstile/carobstile/internal/core"
)

const step = 100 * core.Millisecond

// run plays a daemon that tries one server each step, in turn, while a neighbour reaches those that are up. way says whether the daemon
// reaches a server. It returns at which times the daemon began and ceased to be cut off.
func run(v *View, steps int, way, up func(now core.Micros, server int) bool) (begun, ended []core.Micros) {
	const servers = 10
	var ids []string
	for i := range servers {
		ids = append(ids, fmt.Sprint("s", i))
	}
	v.SetServers(ids)
	for n := 1; n <= steps; n++ {
		now := core.Micros(n) * step
		try := func(i int) {
			if way(now, i) && up(now, i) {
				v.Opened(now, ids[i])
				v.Answered(now, ids[i])
				return
			}
			v.Failed(now, ids[i], false)
		}
		if !v.CutOff() {
			try(n % servers)
		}
		for _, id := range v.Probes(now) {
			try(int(id[1] - '0'))
		}
		if i := (n * 7) % servers; up(now, i) {
			v.PeerReached(now, ids[i])
		}
		if c, changed := v.Update(now); changed && c.CutOff {
			begun = append(begun, now)
		} else if changed {
			ended = append(ended, now)
		}
	}
	return begun, ended
}

func always(core.Micros, int) bool { return true }

// Guards against a daemon that notices late that it is cut off, although a server or two let it through, or that it no longer is.
func TestCutIsNoticedWithinThreeSeconds(t *testing.T) {
	for through := range 3 {
		way := func(now core.Micros, server int) bool {
			return now < 5*core.Second || now > 15*core.Second || server < through
		}
		begun, ended := run(New(), 300, way, always)
		require.Len(t, begun, 1, "%d servers let it through", through)
		require.Less(t, begun[0], 8*core.Second)
		if through == 0 {
			require.Greater(t, ended[0], 15*core.Second)
			require.Less(t, ended[0], 17*core.Second)
		}
	}
}

// Guards against daemons that lean on neighbours because servers are down, silent for a second, or cut off from all.
func TestServersThatAreDownCutNobodyOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := core.Micros(rapid.IntRange(1, 100).Draw(t, "from")) * step
		length := core.Micros(rapid.IntRange(1, 150).Draw(t, "length")) * step
		down := rapid.SliceOfN(rapid.Bool(), 10, 10).Draw(t, "down")
		up := func(now core.Micros, server int) bool { return now < from || now > from+length || !down[server] }
		begun, _ := run(New(), 300, always, up)
		require.Empty(t, begun)
	})
}

// Guards against connections that live on and hide that new ones are refused.
func TestOldConnectionsDoNotHideACut(t *testing.T) {
	v := New()
	v.SetServers([]string{"a", "b", "c", "d"})
	for n := range 20 {
		now := core.Second + core.Micros(n)*step
		for _, id := range []string{"a", "b", "c", "d"} {
			v.Failed(now, id, false)
			v.Answered(now, id)
			v.PeerReached(now, id)
		}
		v.Update(now)
	}
	require.True(t, v.CutOff())
}

// Guards against a daemon with few servers and few requests that never suspects a cut, and against one that asks others without a pause or
// while all is well.
func TestOneFailureIsASuspicionWhereNothingIsReached(t *testing.T) {
	v := New()
	v.SetServers([]string{"a", "b"})
	require.Empty(t, v.Asks(10*core.Second))
	v.Failed(10*core.Second, "a", true)
	require.Equal(t, []string{"a"}, v.Asks(10*core.Second))
	require.Empty(t, v.Asks(10*core.Second+askInterval-1))
	require.Len(t, v.Probes(10*core.Second), 2)
	v.Failed(10*core.Second, "b", false)
	v.PeerReached(10*core.Second+hintDelay-1, "a")
	v.PeerReached(11*core.Second, "b")
	_, changed := v.Update(12 * core.Second)
	require.False(t, changed, "the neighbour's answer from a may be from before")
	v.PeerReached(11*core.Second, "a")
	c, changed := v.Update(12 * core.Second)
	require.True(t, changed && c.CutOff)
	require.NotEmpty(t, v.Asks(12*core.Second), "to know which neighbours take requests")
	v.Answered(13*core.Second, "b")
	at, listed := v.AnsweredAt("b")
	require.True(t, listed)
	require.Equal(t, 13*core.Second, at)
}
