package spread

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/directory"
)

// attempt is the next one of a simulated daemon.
type attempt struct {
	daemon int
	at     core.Micros
}

// spreadTime simulates the spread of a copy with a number of bytes from two daemons to all others, over links of 20 Mbit/s and with
// compression to a quarter, and returns when the last one has it and the largest number of copies that one daemon sent.
func spreadTime(daemons, bytes int) (last core.Micros, most int) {
	const way, linkBytesPerSecond, compression = core.Millisecond, 2_500_000, 4
	old, newer := directory.Version{Revision: 1, Digest: 1}, directory.Version{Revision: 2, Digest: 2}
	transfer := core.Micros(bytes/compression) * core.Second / linkBytesPerSecond
	domain := func(i int) string { return fmt.Sprint("z", i%3) }
	hasAt := map[int]core.Micros{0: 0, 1: 0}
	paces, linkFree, sent := make([]Pace, daemons), make([]core.Micros, daemons), make([]int, daemons)
	var queue []attempt
	for i := 2; i < daemons; i++ {
		queue = append(queue, attempt{i, way + core.FromDuration(FirstDelay(daemons))})
	}
	for len(queue) > 0 {
		slices.SortFunc(queue, func(a, b attempt) int { return cmp.Compare(a.at, b.at) })
		a := queue[0]
		queue = queue[1:]
		var holders Holders
		for i, at := range hasAt {
			if at+way <= a.at {
				holders.Add(Holder{Name: fmt.Sprint(i), Domain: domain(i), Version: newer})
			}
		}
		h, _ := holders.Choose(old, domain(a.daemon))
		var from int
		_, _ = fmt.Sscan(h.Name, &from)
		if !paces[from].Admit(a.at+way, bytes) {
			queue = append(queue, attempt{a.daemon, a.at + 2*way + core.FromDuration(RetryDelay())})
			continue
		}
		sent[from]++
		linkFree[from] = max(linkFree[from], a.at+way) + transfer
		hasAt[a.daemon] = linkFree[from] + way
		last = max(last, hasAt[a.daemon])
	}
	return last, slices.Max(sent)
}

// Guards against a large configuration that all daemons fetch from the two that watch it, whose links then take most of the bound of
// 2 s: 63 copies of 100 KB compressed take 1.3 s from each of two daemons. The store's call comes on top.
func TestCopySpreadsOverTheDaemonsThatHaveIt(t *testing.T) {
	for bytes, bound := range map[int]time.Duration{
		20_000: 250 * time.Millisecond, 400_000: 700 * time.Millisecond, 1_000_000: 1100 * time.Millisecond,
	} {
		for range 20 {
			last, most := spreadTime(65, bytes)
			require.Less(t, last.Duration(), bound, "%d bytes", bytes)
			if bytes >= 400_000 {
				require.LessOrEqual(t, most, 20, "copies from one daemon")
			}
		}
	}
}

// Guards against requests for a copy that has the content of the own one, for an older one while there is a newer one, and against
// traffic between failure domains that is not needed.
func TestNewestAndNearestHolderIsAsked(t *testing.T) {
	var h Holders
	own := directory.Version{Revision: 5, Digest: 50}
	h.Add(Holder{Name: "older", Version: directory.Version{Revision: 4, Digest: 40}})
	h.Add(Holder{Name: "same", Version: directory.Version{Revision: 9, Digest: 50}})
	_, ok := h.Choose(own, "z1")
	require.False(t, ok)
	h.Add(Holder{Name: "newer", Domain: "z1", Version: directory.Version{Revision: 6, Digest: 60}})
	h.Add(Holder{Name: "newest", Domain: "z2", Version: directory.Version{Revision: 7, Digest: 70}})
	h.Add(Holder{Name: "listed later", Domain: "z1", Version: directory.Version{Revision: 8, Digest: 70}})
	for range 20 {
		got, ok := h.Choose(own, "z1")
		require.True(t, ok)
		require.Equal(t, "listed later", got.Name)
	}
	h.Drop("listed later")
	got, _ := h.Choose(own, "z1")
	require.Equal(t, "newest", got.Name)
	h.Clear()
	_, ok = h.Choose(own, "z1")
	require.False(t, ok)
}

// Guards against datagrams of a change that occupy the sender's link, or that have too many fragments.
func TestOnlySmallChangesGoWithTheDatagram(t *testing.T) {
	require.True(t, FitsDatagram(4<<10, 64))
	require.False(t, FitsDatagram(5<<10, 64))
	require.False(t, FitsDatagram(17<<10, 1))
}
