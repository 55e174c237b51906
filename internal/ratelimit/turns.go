package ratelimit

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// maxTurn is the length of a turn. In the worst case the daemons that have a turn within a second are those of 1/maxTurn + 1
	// turns, so that shorter turns lower the peak. It is some times the delay of an announcement.
	maxTurn = 200 * core.Millisecond
	// maxTurnsAhead bounds the search for the next turn. With the smallest rates it covers some minutes.
	maxTurnsAhead = 2000
)

// Turns divides the time of one daemon into turns, in a random part of which it may send one request each to a server. It keeps the
// sum over all daemons to a rate without any communication: daemons that are partitioned, restarted or were frozen have no unused
// requests to make up for.
type Turns struct {
	// length is the length of a turn, and share the probability that the daemon may send in it.
	length core.Micros
	share  float64
	seed   uint64
}

// NewTurns returns the turns of one of a number of daemons at a server that takes perSecond requests a second from all of them.
func NewTurns(daemon, server uint64, daemons int, perSecond float64) Turns {
	perDaemon := max(minPerSecond, perSecond) / float64(max(1, daemons)) / float64(core.Second)
	length := max(1, core.Micros(min(float64(maxTurn), 1/perDaemon)))
	var data []byte
	for _, v := range []uint64{daemon, server} {
		data = binary.BigEndian.AppendUint64(data, v)
	}
	return Turns{length: length, share: perDaemon * float64(length), seed: xxhash.Sum64(data)}
}

// Admits reports whether the daemon may send a request now; sent is when it last sent one, 0 if never.
func (t Turns) Admits(now, sent core.Micros) bool {
	turn := now / t.length
	return (sent <= 0 || turn > sent/t.length) && t.open(turn)
}

// Next returns the first time from now on at which the daemon may send a request; sent is when it last sent one, 0 if never.
func (t Turns) Next(now, sent core.Micros) core.Micros {
	turn := now / t.length
	if sent > 0 {
		turn = max(turn, sent/t.length+1)
	}
	for range maxTurnsAhead {
		if t.open(turn) {
			break
		}
		turn++
	}
	return max(now, turn*t.length)
}

func (t Turns) open(turn core.Micros) bool {
	var data [8]byte
	binary.BigEndian.PutUint64(data[:], uint64(turn))
	d := xxhash.NewWithSeed(t.seed)
	_, _ = d.Write(data[:]) // a Digest never returns an error
	return float64(d.Sum64()>>11) < t.share*math.Exp2(53)
}
