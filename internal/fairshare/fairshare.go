// Package fairshare compares what workspaces use of the engines of a service with their shares by weight. It has no clock and
// no I/O: the caller passes the time.
//
// A Ledger holds decaying sums of engine time for each workspace: used by requests that were placed, and asked for by requests
// that were refused. It also has what waiting requests ask for. What was used in total is shared out by weight. A workspace gets at
// most what it asked for; the rest is divided among the others (max-min fairness). Workspaces therefore differ from Within only while
// requests wait or are refused and they are a noticeable part of the demand.
package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/carobstile/carobstile/internal/core"
)

const (
	// decayTime is the time constant of the sums. Bursts of some seconds show late with longer times. A workspace of a thirtieth of the
	// load places a long prompt about every four seconds, so that shorter times show single prompts.
	decayTime = 3 * core.Second
	// contentionTime is how long competition lasts after a request has waited or was refused.
	contentionTime = core.Second
	// refreshInterval is how long a comparison, or what waiting requests ask for, is used before it is determined anew.
	refreshInterval = 50 * core.Millisecond
	// minUnserved is the part of the demand that has to wait or go unserved before workspaces are compared.
	minUnserved = 0.05
	// A workspace is above its share if it uses more than tolerance times the share and slackShare of all use, and below it
	// if it uses that much less. slackShare absorbs single long prompts of small workspaces.
	tolerance  = 1.25
	slackShare = 0.01
	// minDemandShare is the least share of a workspace, as a part of what it would get if all requests were served equally
	// often. Requirement R6 (docs/design/hard-load.md) is violated at a quarter.
	minDemandShare = 0.4
	// pruneInterval is how often negligible accounts are removed at most while there is no competition.
	pruneInterval = core.Second
	// rememberTime is how long a refused request is remembered, to count it once if its caller returns with it. Callers give
	// requests up after 15 s at most.
	rememberTime = 15 * core.Second
	// maxRemembered bounds the refused requests that are remembered; further ones count as new if they return.
	maxRemembered = 4096
	// negligible is the engine time in milliseconds below which a workspace is forgotten.
	negligible = 0.1
)

// Class tells how the use of a workspace compares with its share.
type Class int

// Classes, in the order in which requests are served under competition.
const (
	Below Class = iota - 1
	Within
	Above
)

// Ledger holds the use of one service's engines by workspace. Workspaces are identified by a hash; 0 stands for requests
// without a workspace.
type Ledger struct {
	weights  map[uint64]float64
	accounts map[uint64]*account
	// waiting is the engine time in milliseconds that waiting requests ask for, as of waitingAt; nil before it is set.
	waiting   map[uint64]float64
	waitingAt core.Micros
	// refused has the requests that were counted as unserved.
	refused  map[request]refusal
	prunedAt core.Micros
	// contendedUntil is when competition ends unless another request waits.
	contendedUntil core.Micros
	contended      bool
	comparedAt     core.Micros
	compared       bool
}

// request identifies a request of a workspace by a hash that is the same for repetitions.
type request struct{ workspace, fingerprint uint64 }

// refusal is what a refused request counted.
type refusal struct {
	at       core.Micros
	engineMs float64
}

// account is the demand of one workspace in engine milliseconds, and the result of the last comparison.
type account struct {
	used, unserved float64
	// waiting is what waiting requests ask for, as of the last comparison.
	waiting float64
	// decayedAt is the time as of which used and unserved hold.
	decayedAt core.Micros
	class     Class
}

// New returns an empty ledger. Workspaces that weights does not name have a weight of 1.
func New(weights map[uint64]float64) *Ledger {
	return &Ledger{weights: weights, accounts: map[uint64]*account{}, refused: map[request]refusal{}}
}

// Clone returns a copy that shares only the weights, which are not changed in place. The copy of nil is nil.
func (l *Ledger) Clone() *Ledger {
	if l == nil {
		return nil
	}
	out := *l
	out.accounts = make(map[uint64]*account, len(l.accounts))
	for workspace, a := range l.accounts {
		copied := *a
		out.accounts[workspace] = &copied
	}
	out.refused = maps.Clone(l.refused)
	return &out
}

// SetWeights replaces the weights.
func (l *Ledger) SetWeights(weights map[uint64]float64) { l.weights = weights }

// Use records a request that was placed and takes some milliseconds of engine time. Withdraw comes first.
func (l *Ledger) Use(now core.Micros, workspace uint64, engineMs float64) {
	l.account(now, workspace).used += engineMs
}

// Unserved records a request that was refused, or whose caller left before it was placed. A request that is refused several times counts
// once, as of the last time: callers that return at once ask for no more than those that wait. The fingerprint identifies it; 0 if
// it is unknown.
func (l *Ledger) Unserved(now core.Micros, workspace, fingerprint uint64, engineMs float64) {
	l.Withdraw(now, workspace, fingerprint)
	l.account(now, workspace).unserved += engineMs
	l.Contend(now)
	if len(l.refused) >= maxRemembered && now >= l.prunedAt+pruneInterval {
		l.prune(now)
	}
	if fingerprint != 0 && len(l.refused) < maxRemembered {
		l.refused[request{workspace, fingerprint}] = refusal{now, engineMs}
	}
}

// Withdraw takes back what an earlier refusal of a request counted, as it waits again or is placed. It reports whether there was one.
func (l *Ledger) Withdraw(now core.Micros, workspace, fingerprint uint64) bool {
	key := request{workspace, fingerprint}
	r, ok := l.refused[key]
	if !ok || fingerprint == 0 {
		return false
	}
	delete(l.refused, key)
	a := l.account(now, workspace)
	a.unserved = max(0, a.unserved-r.engineMs*decayFactor(now-r.at))
	return true
}

// SetWaiting sets the engine time in milliseconds that the waiting requests of each workspace ask for. The map is not changed later.
func (l *Ledger) SetWaiting(now core.Micros, engineMs map[uint64]float64) {
	l.waiting, l.waitingAt = engineMs, now
	if len(engineMs) > 0 {
		l.Contend(now)
	}
}

// Contend records that a request waits.
func (l *Ledger) Contend(now core.Micros) {
	l.contendedUntil, l.contended = max(l.contendedUntil, now+contentionTime), true
}

// WaitingDue reports whether what waiting requests ask for should be set anew.
func (l *Ledger) WaitingDue(now core.Micros) bool {
	return l.waiting == nil || now >= l.waitingAt+refreshInterval
}

// Class returns how the use of a workspace compares with its share; Within if there is no competition.
func (l *Ledger) Class(now core.Micros, workspace uint64) Class {
	if !l.contended || now > l.contendedUntil {
		return Within
	}
	l.compare(now)
	if a := l.accounts[workspace]; a != nil {
		return a.class
	}
	return Within
}

// Demand is the engine time in milliseconds that a workspace has used and asked for in vain, decayed.
type Demand struct{ Used, Unserved float64 }

// Account returns the demand of a workspace.
func (l *Ledger) Account(now core.Micros, workspace uint64) Demand {
	a := l.accounts[workspace]
	if a == nil {
		return Demand{}
	}
	a.decay(now)
	return Demand{Used: a.used, Unserved: a.unserved}
}

// account returns the account of a workspace, and makes one if there is none.
func (l *Ledger) account(now core.Micros, workspace uint64) *account {
	a := l.accounts[workspace]
	if a == nil {
		if now >= l.prunedAt+pruneInterval {
			l.prune(now)
		}
		a = &account{decayedAt: now}
		l.accounts[workspace] = a
	}
	a.decay(now)
	return a
}

func (a *account) decay(now core.Micros) {
	if now <= a.decayedAt {
		return
	}
	factor := decayFactor(now - a.decayedAt)
	a.used *= factor
	a.unserved *= factor
	a.decayedAt = now
}

func decayFactor(elapsed core.Micros) float64 {
	return math.Exp(-float64(elapsed) / float64(decayTime))
}

// asked returns the whole demand.
func (a *account) asked() float64 { return a.used + a.unserved + a.waiting }

// prune decays all accounts, and removes the negligible ones and refused requests that are not remembered any longer.
func (l *Ledger) prune(now core.Micros) {
	l.prunedAt = now
	maps.DeleteFunc(l.accounts, func(_ uint64, a *account) bool {
		a.decay(now)
		return a.used+a.unserved < negligible
	})
	maps.DeleteFunc(l.refused, func(_ request, r refusal) bool { return now >= r.at+rememberTime })
}

// compare sets the shares and classes of all workspaces.
func (l *Ledger) compare(now core.Micros) {
	if l.compared && now < l.comparedAt+refreshInterval && l.waitingAt <= l.comparedAt {
		return
	}
	l.compared, l.comparedAt = true, now
	l.prune(now)
	for workspace := range l.waiting {
		l.account(now, workspace)
	}
	for workspace, a := range l.accounts {
		a.class, a.waiting = Within, l.waiting[workspace]
	}
	used, demand := l.total()
	if len(l.accounts) < 2 || demand-used < minUnserved*demand {
		return
	}
	level := l.level(used)
	for workspace, a := range l.accounts {
		asked := a.asked()
		share := max(min(asked, level*l.weight(workspace)), minDemandShare*used*asked/demand)
		switch slack := slackShare * used; {
		case a.used > tolerance*share+slack:
			a.class = Above
		case a.used < share/tolerance-slack:
			a.class = Below
		}
	}
}

// workspaces returns the workspaces with an account in a fixed order: sums of floating-point numbers depend on the order.
func (l *Ledger) workspaces() []uint64 { return slices.Sorted(maps.Keys(l.accounts)) }

// total returns what all workspaces use and ask for.
func (l *Ledger) total() (used, demand float64) {
	for _, workspace := range l.workspaces() {
		a := l.accounts[workspace]
		used += a.used
		demand += a.asked()
	}
	return used, demand
}

// level returns the use for each unit of weight up to which demands are met if capacity is divided by weight and nobody gets
// more than was asked for.
func (l *Ledger) level(capacity float64) float64 {
	type claim struct{ asked, weight float64 }
	claims := make([]claim, 0, len(l.accounts))
	weights := 0.0
	for _, workspace := range l.workspaces() {
		claims = append(claims, claim{l.accounts[workspace].asked(), l.weight(workspace)})
		weights += l.weight(workspace)
	}
	slices.SortStableFunc(claims, func(a, b claim) int { return cmp.Compare(a.asked/a.weight, b.asked/b.weight) })
	for _, c := range claims {
		if c.asked/c.weight >= capacity/weights {
			return capacity / weights
		}
		capacity -= c.asked
		weights -= c.weight
	}
	return math.Inf(1)
}

func (l *Ledger) weight(workspace uint64) float64 {
	if w, ok := l.weights[workspace]; ok {
		return w
	}
	return 1
}
