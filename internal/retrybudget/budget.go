// Package retrybudget bounds how often requests are sent more than once. The bound holds for a service over all daemons:
// in any window, repeats may not exceed a ratio of the requests plus a fixed allowance. Each daemon keeps to its share of
// the allowance, so that the bound holds without an exchange.
package retrybudget

import (
	"sync"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// slots is the number of parts of a window that are counted apart.
	slots = 10
	// safety is the share of the bound that is used; the rest covers requests that arrive at the servers in another
	// part of the window than they were counted in.
	safety = 0.85
)

// Limits is the bound over all daemons.
type Limits struct {
	Ratio     float64
	Allowance int
	Window    core.Micros
}

// Budget counts one daemon's requests and repeats. It is safe for concurrent use.
type Budget struct {
	now func() core.Micros

	mu       sync.Mutex
	limits   Limits
	daemons  int
	services map[string]*counts
}

type counts struct {
	requests, repeats [slots + 1]int
	slot              core.Micros // number of the newest slot
}

// New returns a budget; daemons is the number of daemons that share it until SetDaemons says otherwise.
func New(limits Limits, daemons int, now func() core.Micros) *Budget {
	return &Budget{limits: limits, now: now, daemons: daemons, services: map[string]*counts{}}
}

// SetDaemons changes among how many daemons the allowance is divided.
func (b *Budget) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(1, n)
}

// SetLimits changes the bound. A window of another length starts with what was counted in the old one.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		for _, c := range b.services {
			c.slot = b.now() / slotOf(l)
		}
	}
	b.limits = l
}

// slotOf returns the length of a slot.
func slotOf(l Limits) core.Micros { return max(1, l.Window/slots) }

// Counted adds a request.
func (b *Budget) Counted(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service)
	c.requests[c.slot%(slots+1)]++
}

// Allow takes a repeat out of the budget, or returns false.
func (b *Budget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.at(service)
	bound := safety * (b.limits.Ratio*float64(sum(c.requests)) + float64(b.limits.Allowance)/float64(b.daemons))
	if float64(sum(c.repeats)+1) > bound {
		return false
	}
	c.repeats[c.slot%(slots+1)]++
	return true
}

// at returns the counts of a service, without those that have left the window.
func (b *Budget) at(service string) *counts {
	slot := b.now() / slotOf(b.limits)
	c := b.services[service]
	if c == nil {
		c = &counts{slot: slot}
		b.services[service] = c
	}
	for n := 0; c.slot < slot && n <= slots; n++ {
		c.slot++
		c.requests[c.slot%(slots+1)], c.repeats[c.slot%(slots+1)] = 0, 0
	}
	c.slot = slot
	return c
}

func sum(values [slots + 1]int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
