// Package locality decides what part of the requests may leave the failure domain of their daemon. Traffic between domains takes
// longer and costs money, yet the servers of a domain can be too few for its demand.
//
// Each daemon compares the loads of the domains as it knows them from the announced placements of all daemons. A domain that is
// loaded more than the others sends away a share of its requests, divided by the spare capacity of the others. The share follows
// the load with a delay, and the identifier of a request alone decides whether it belongs to the share. Daemons of one domain thus
// send nearly the same part of their requests away, and do not all turn to the emptiest domain at the same time.
//
// The package has no clock and no I/O.
package locality

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// smoothingTime is the time constant with which shares follow the load. It is longer than a short request takes to show in the
	// load of another domain, so that shares do not oscillate.
	smoothingTime = core.Second
	// tolerance is the difference to the mean load up to which nothing leaves. It covers the variation of the load with single
	// long prompts.
	tolerance = 0.1
	// lowLoad is the load up to which a domain keeps its requests, whatever the load of the others: its servers serve them in time.
	lowLoad = 0.4
)

// Domain is the load of one failure domain.
type Domain struct {
	// Servers is the number of servers that can be used.
	Servers int
	// Load is the mean part of these servers that is in use: 0 if they are idle, 1 if they are full, more if requests wait.
	Load float64
	// Home is set for the domain of the daemon.
	Home bool
}

// Balancer holds the shares of the requests of one daemon and service that may leave. The zero value is ready for use.
type Balancer struct {
	shares []float64 // by domain
	at     core.Micros
}

// Clone returns a copy that shares nothing with b.
func (b *Balancer) Clone() Balancer { return Balancer{shares: slices.Clone(b.shares), at: b.at} }

// Update sets the loads as of now. The domains must be in the same order each time.
func (b *Balancer) Update(now core.Micros, domains []Domain) {
	target := targetShares(domains)
	if len(b.shares) != len(domains) {
		b.shares, b.at = target, now
		return
	}
	weight := 1 - math.Exp(-float64(max(0, now-b.at))/float64(smoothingTime))
	for i, d := range domains {
		b.shares[i] += weight * (target[i] - b.shares[i])
		if d.Servers == 0 {
			b.shares[i] = 0
		}
	}
	b.at = now
}

// targetShares returns the share of the requests of the home domain that each other domain should get. What the home domain has
// beyond the mean load leaves, divided by what the others lack of it.
func targetShares(domains []Domain) []float64 {
	out := make([]float64, len(domains))
	var own Domain
	mean, servers := 0.0, 0
	for _, d := range domains {
		if d.Home {
			own = d
		}
		mean += d.Load * float64(d.Servers)
		servers += d.Servers
	}
	if own.Servers == 0 {
		return out // all requests leave anyway
	}
	mean /= float64(servers)
	if own.Load <= lowLoad || own.Load <= mean+tolerance {
		return out
	}
	spare := func(d Domain) float64 { return max(0, mean-d.Load) * float64(d.Servers) }
	total := 0.0
	for _, d := range domains {
		total += spare(d)
	}
	for i, d := range domains {
		if total > 0 {
			out[i] = (own.Load - mean) / own.Load * spare(d) / total
		}
	}
	return out
}

// Destination returns the index of the domain for which a request may leave, or -1 if it should stay.
func (b *Balancer) Destination(id uint64) int {
	point := -1.0
	for i, share := range b.shares {
		if share <= 0 {
			continue
		}
		if point < 0 {
			point = unitInterval(id)
		}
		if point < share {
			return i
		}
		point -= share
	}
	return -1
}

// Share returns the share of the requests that may leave for a domain.
func (b *Balancer) Share(domain int) float64 {
	if domain >= len(b.shares) {
		return 0
	}
	return b.shares[domain]
}

// unitInterval maps an identifier to [0,1).
func unitInterval(id uint64) float64 {
	const bits = 53
	var data [8]byte
	binary.LittleEndian.PutUint64(data[:], id)
	return float64(xxhash.Sum64(data[:])>>(64-bits)) / (1 << bits)
}
