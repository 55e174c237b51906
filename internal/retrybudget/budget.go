// Package retrybudget limits retries. For each service and over all daemons, the retries within any window may not
// exceed a ratio of the requests plus a fixed allowance. Each daemon counts for itself, so that the bound holds without
// coordination.
//
// A retry is each attempt that a server may receive after the first one of a request, whatever became of those before: one
// that a server refused without running it counts like any other. It is counted when it is sent; until then a Permit holds
// its place.
//
// The requests of a daemon earn credits, each for one retry, which lapse soon: a daemon can save none for a time when its callers have
// gone elsewhere, and a process leaves none to its successor. Retries beyond them use the daemon's share of the allowance. A process that
// starts does not know what its predecessor has used of it, and the others do not know yet that they share with one more. It uses none of
// the allowance until a window has passed. So the bound holds however often daemons are started, replaced or added.
package retrybudget

import (
	"maps"
	"slices"
	"sync"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// windowSlots is the number of slots into which a window is divided for counting what is used of the allowance.
	windowSlots = 10
	// creditLifetimes is the length of a window in lifetimes of a credit.
	creditLifetimes = 10
	// holdsPerWindow is the length of a window in times for which a held permit is good. Together with the lifetime of its credit that is within
	// the half window before a window whose requests count too.
	holdsPerWindow = 4
	// boundShare is the share of the bound that is used. The rest covers credits earned just before a window, and retries that reach the
	// servers in another window than the one they were counted in.
	boundShare = 0.85
	// settleTime is how much longer than a window a new process leaves the allowance to the others, which have learned of it by then and
	// take smaller shares.
	settleTime = 3 * core.Second
)

// Limits is the retry bound over all daemons: Ratio retries per request plus Allowance retries in each Window.
type Limits struct {
	Ratio     float64
	Allowance float64
	Window    core.Micros
}

// Budget counts the requests and retries of one daemon. It is safe for concurrent use.
type Budget struct {
	now func() core.Micros

	mu     sync.Mutex
	limits Limits
	// start is when the process began to count.
	start    core.Micros
	daemons  int // 0 if it is unknown
	services map[string]*counts
}

// Usage is the state of a service's budget at one daemon.
type Usage struct {
	// Credits is the number of retries that the latest requests have earned.
	Credits int
	// Used is how much of the allowance was used within the window, and Share how much may be.
	Used  int
	Share float64
	// Daemons is the number of daemons among which the allowance is divided; 0 if it is unknown.
	Daemons int
	// Age is the time since the counting began.
	Age core.Micros
}

type counts struct {
	// earned is the part of a credit that requests have earned since the last whole one.
	earned float64
	// credits are the times at which credits were earned, the oldest first.
	credits []core.Micros
	used    [windowSlots + 1]int // of the allowance
	held    int                  // of the allowance, by permits
	slot    core.Micros          // number of the newest slot
}

// New returns the budget of a process that starts now. None of the allowance is used until SetDaemons has been called; now
// returns the current time.
func New(limits Limits, now func() core.Micros) *Budget {
	return &Budget{limits: limits, now: now, start: now(), services: map[string]*counts{}}
}

// SetDaemons sets the number of daemons that share the allowance, 0 if it is unknown, and returns the one before.
func (b *Budget) SetDaemons(n int) (before int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, b.daemons = b.daemons, n
	return before
}

// SetLimits changes the bound. If the window length changes, the counting begins anew, as at a start.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.Window != b.limits.Window {
		b.start = b.now()
		clear(b.services)
	}
	b.limits = l
}

// CountRequest records a request for a service.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounts(service)
	c.earned += boundShare * b.limits.Ratio
	for ; c.earned >= 1; c.earned-- {
		c.credits = append(c.credits, b.now())
	}
}

// Permit is a place in the budget for one retry.
type Permit struct {
	budget  *Budget
	service string
	// counts is that of the service when the permit was reserved.
	counts *counts
	// earnedAt is when the credit was earned, unless the permit is one of the allowance.
	earnedAt  core.Micros
	allowance bool
	ended     bool
	// heldUntil is until when the place is good whatever has become of the budget; 0 if it is not held.
	heldUntil core.Micros
}

// Reserve returns a permit for one retry to a service, or nil if the budget is exhausted.
func (b *Budget) Reserve(service string) *Permit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(service)
}

// ReserveHeld returns a permit whose place is good for holdTime, also if its credit lapses or the share of the allowance becomes smaller
// meanwhile: an attempt that runs may be ended only for one that can be sent. It returns nil if the budget is exhausted.
func (b *Budget) ReserveHeld(service string) *Permit {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.reserve(service)
	if p != nil {
		p.heldUntil = b.now() + b.limits.Window/holdsPerWindow
	}
	return p
}

func (b *Budget) reserve(service string) *Permit {
	c := b.currentCounts(service)
	p := &Permit{budget: b, service: service, counts: c}
	switch {
	case len(c.credits) > 0:
		p.earnedAt, c.credits = c.credits[0], c.credits[1:]
	case float64(sum(c.used)+c.held+1) <= b.share():
		p.allowance = true
		c.held++
	default:
		return nil
	}
	return p
}

// Spend counts the retry, which is sent now, and ends the permit. It returns false if the budget has been exhausted since the
// permit was reserved; the retry may not be sent then.
func (p *Permit) Spend() bool {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	if !p.end() {
		return false
	}
	held := p.budget.now() <= p.heldUntil
	if !p.allowance && (held || p.budget.now()-p.earnedAt <= p.budget.creditLifetime()) {
		return true
	}
	if p.allowance && held {
		p.counts.countUsed()
		return true
	}
	// The place is taken anew: a credit may have lapsed, or the share of the allowance become smaller.
	if next := p.budget.reserve(p.service); next == nil || !next.end() {
		return false
	} else if next.allowance {
		next.counts.countUsed()
	}
	return true
}

// countUsed counts a retry of the allowance in the newest slot.
func (c *counts) countUsed() { c.used[c.slot%(windowSlots+1)]++ }

// Release ends a permit whose retry is not sent. It does nothing if the permit has ended.
func (p *Permit) Release() {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	if p.end() && !p.allowance {
		i, _ := slices.BinarySearch(p.counts.credits, p.earnedAt)
		p.counts.credits = slices.Insert(p.counts.credits, i, p.earnedAt)
	}
}

// end gives back what a permit holds of the allowance. It returns false if the permit has ended before.
func (p *Permit) end() bool {
	if p.ended {
		return false
	}
	p.ended = true
	if p.allowance {
		p.counts.held--
	}
	return true
}

// share returns how much of the allowance this daemon may use in a window.
func (b *Budget) share() float64 {
	if b.daemons <= 0 || b.now()-b.start < b.limits.Window+settleTime {
		return 0
	}
	return boundShare * b.limits.Allowance / float64(b.daemons)
}

func (b *Budget) creditLifetime() core.Micros { return b.limits.Window / creditLifetimes }

// Usage returns the state of a service's budget.
func (b *Budget) Usage(service string) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.currentCounts(service)
	return Usage{Credits: len(c.credits), Used: sum(c.used), Share: b.share(), Daemons: b.daemons, Age: b.now() - b.start}
}

// Services returns the services that requests or retries were counted for.
func (b *Budget) Services() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.services))
}

// currentCounts returns the counts of a service without what has left the window and credits that have lapsed.
func (b *Budget) currentCounts(service string) *counts {
	now := b.now()
	slot := now / max(1, b.limits.Window/windowSlots)
	c := b.services[service]
	if c == nil {
		c = &counts{slot: slot}
		b.services[service] = c
	}
	for n := 0; c.slot < slot && n <= windowSlots; n++ {
		c.slot++
		c.used[c.slot%(windowSlots+1)] = 0
	}
	c.slot = slot
	lapsed := 0
	for lapsed < len(c.credits) && now-c.credits[lapsed] > b.creditLifetime() {
		lapsed++
	}
	c.credits = slices.Delete(c.credits, 0, lapsed)
	return c
}

func sum(values [windowSlots + 1]int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
