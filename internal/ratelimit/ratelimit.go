// Package ratelimit shares the limit of requests a second that a server names among the daemons that send to it. Each daemon
// counts the requests of all daemons, which announce theirs, so that none of a small limit is lost by cutting it into parts
// of less than a request.
//
// Announcements come some milliseconds late. So that daemons that wait for the same request of the limit don't all send one,
// each has a reserve of its own that must be there besides. Requests that were sent all the same are made up for later.
package ratelimit

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// maxSaved is how many unused requests are saved for later. It is more than the largest reserve and one request.
	maxSaved = 2
	// savedFor is the time for which a limit is saved beyond that, so that requests may come in uneven numbers.
	savedFor = 100 * core.Millisecond
	// minPerSecond is the smallest limit that is applied. A server that names a smaller one gets a request now and then, whose
	// answer may name a larger one or none.
	minPerSecond = 0.25
	// roundingError is the part of a request by which the sum of many refills may fall short.
	roundingError = 1e-9
	// reserveEpoch is how long a reserve holds. The daemons take turns at being first.
	reserveEpoch = core.Second
)

// Bucket counts what is left of the limit of one server. The zero value is ready for use.
type Bucket struct {
	perSecond float64
	// saved is the number of requests that may be sent, as of at. It is negative if too many were sent.
	saved float64
	at    core.Micros
	// most replaces the usual bound of saved requests if it is not 0.
	most float64
}

// NewBucket returns a bucket that saves a number of requests at most, and has none at first.
func NewBucket(now core.Micros, perSecond, most float64) Bucket {
	return Bucket{perSecond: max(minPerSecond, perSecond), at: now, most: most}
}

// SetRate sets the number of requests a second of all daemons that count each other's requests.
func (b *Bucket) SetRate(now core.Micros, perSecond float64) {
	b.refill(now)
	b.perSecond = max(minPerSecond, perSecond)
}

// Rate returns the number of requests a second that are sent at most.
func (b *Bucket) Rate() float64 { return b.perSecond }

// Sent counts a request of any of the daemons.
func (b *Bucket) Sent(now core.Micros) {
	b.refill(now)
	b.saved--
}

// Admits reports whether a daemon with the given reserve may send a request.
func (b *Bucket) Admits(now core.Micros, reserve float64) bool {
	return b.AdmitsAt(now, reserve) <= now
}

// AdmitsAt returns the time from which on a daemon with the given reserve may send a request, if no other one does.
func (b *Bucket) AdmitsAt(now core.Micros, reserve float64) core.Micros {
	b.refill(now)
	missing := 1 + reserve - b.saved
	if missing <= roundingError {
		return now
	}
	return now + core.Micros(math.Ceil(missing/b.perSecond*float64(core.Second)))
}

func (b *Bucket) refill(now core.Micros) {
	elapsed := max(0, now-b.at)
	b.at = max(b.at, now)
	limit := b.most
	if limit == 0 {
		limit = maxSaved + b.perSecond*float64(savedFor)/float64(core.Second)
	}
	b.saved = min(limit, b.saved+b.perSecond*float64(elapsed)/float64(core.Second))
}

// Reserve returns the reserve of a daemon for a server, from 0 to 1. It changes with time.
func Reserve(now core.Micros, daemon, server uint64) float64 {
	var data []byte
	for _, v := range []uint64{daemon, server, uint64(now / reserveEpoch)} {
		data = binary.BigEndian.AppendUint64(data, v)
	}
	return float64(xxhash.Sum64(data)>>11) / (1 << 53)
}
