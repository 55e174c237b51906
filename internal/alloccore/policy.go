package alloccore

import "github.com/carobstile/carobstile/internal/core"

// Class groups requests by the number of prompt tokens that an engine has to prefill.
type Class int

// Classes, from short to long.
const (
	ClassShort Class = iota
	ClassMedium
	ClassLong
	classes
)

// Picker names the strategy that selects engines among those that can take a request.
type Picker string

// Pickers. PickRoundRobin and PickLeastLoaded are baselines for measurement.
const (
	PickBestScore   Picker = "bestScore"
	PickRoundRobin  Picker = "roundRobin"
	PickLeastLoaded Picker = "leastLoaded"
)

// ClassRule bounds the resources of a class.
type ClassRule struct {
	// MaxUncached is the largest number of uncached prompt tokens of the class. It is ignored for the last class.
	MaxUncached int `json:"maxUncached"`
	// Share is the fraction (0 to 1) of an engine's KV memory that this and all longer classes may hold together, and of
	// its prefill rate that the class may use.
	Share float64 `json:"share"`
}

// Policy configures the scheduling rules. Each rule can be disabled for measurement.
type Policy struct {
	Picker  Picker             `json:"picker"`
	Classes [classes]ClassRule `json:"classes"`

	// OwnCommitments counts the allocator's own grants as used memory of an engine. Without it only the engine's report
	// counts, which lags.
	OwnCommitments bool `json:"ownCommitments"`
	// MemoryShares limits the memory of each class to its share.
	MemoryShares bool `json:"memoryShares"`
	// PrefillShares limits the prefill time of each class to its share: requests of a class stay queued while an engine
	// has more than PrefillHorizon of that class's work left.
	PrefillShares bool `json:"prefillShares"`
	// PrefillSpread restricts each class to a fixed subset of the pool's engines, in proportion to its share.
	PrefillSpread bool `json:"prefillSpread"`
	// SharedPrefill assumes that engines prefill their requests concurrently instead of one after another. It is off by
	// default, because engines of the published protocol prefill in order of arrival.
	SharedPrefill bool `json:"sharedPrefill"`
	// Groups allows a request to be split over several engines.
	Groups bool `json:"groups"`
	// HeadReservation reserves memory for the first request that does not fit.
	HeadReservation bool `json:"headReservation"`
	// PrefixAffinity prefers engines that have a prefix of the prompt in their cache.
	PrefixAffinity bool `json:"prefixAffinity"`
	// AdapterLocality prefers engines that currently run requests of the same adapter.
	AdapterLocality bool `json:"adapterLocality"`
	// EngineQueue takes the prefill backlog of an engine into account.
	EngineQueue bool `json:"engineQueue"`
	// Interference avoids running decodes of a class on engines that prefill longer classes.
	Interference bool `json:"interference"`
	// Priorities schedules queued requests by priority.
	Priorities bool `json:"priorities"`
	// Aging raises the effective priority of queued requests by one for every AgingStep without service.
	Aging bool `json:"aging"`
	// FairQueuing schedules the requests of one priority by start-time fair queuing over workspaces.
	FairQueuing bool `json:"fairQueuing"`
	// EarlyRefusal refuses a request immediately if its expected wait exceeds its deadline or MaxWait.
	EarlyRefusal bool `json:"earlyRefusal"`
	// SuspectsApart places requests that have crashed an engine on different engines.
	SuspectsApart bool `json:"suspectsApart"`
	// SoloTrials gives an engine no new work while it prefills a request that is one crash below the crash limit.
	SoloTrials bool `json:"soloTrials"`
	// WarmUp delays the first grants until the first poll of every engine has ended, for at most a second.
	WarmUp bool `json:"warmUp"`
	// CoolDown gives an engine no new work for a short time after it refused a request.
	CoolDown bool `json:"coolDown"`

	// AffinityCap is the maximum number of cached tokens counted in favour of an engine, so that a popular prefix does not
	// concentrate all its requests on one engine.
	AffinityCap int `json:"affinityCap"`
	// PrefillHorizon is a duration: an engine receives further work of a class once it has no more than this left of that
	// class. It covers the latency from the allocator through the gate to the engine.
	PrefillHorizon core.Micros `json:"prefillHorizon"`
	// AgingStep is the duration of waiting that raises the priority by one. With 3 s, the lowest priority is served
	// against the highest within 30 s, half the default deadline.
	AgingStep core.Micros `json:"agingStep"`
}

// DefaultPolicy returns the policy with all rules enabled except SharedPrefill.
func DefaultPolicy() Policy {
	return Policy{
		Picker:         PickBestScore,
		Classes:        [classes]ClassRule{{4_000, 1.0}, {100_000, 0.8}, {0, 0.5}},
		OwnCommitments: true, MemoryShares: true, PrefillShares: true, PrefillSpread: true, Groups: true, HeadReservation: true,
		PrefixAffinity: true, AdapterLocality: true, EngineQueue: true, Interference: true, Priorities: true, Aging: true,
		FairQueuing: true, EarlyRefusal: true, SuspectsApart: true, SoloTrials: true, WarmUp: true, CoolDown: true,
		AffinityCap: 32_000, PrefillHorizon: 250 * core.Millisecond, AgingStep: 3 * core.Second,
	}
}

// classOf returns the class of a prompt with the given number of uncached tokens.
func (p *Policy) classOf(uncached int) Class {
	for c := ClassShort; c < ClassLong; c++ {
		if uncached <= p.Classes[c].MaxUncached {
			return c
		}
	}
	return ClassLong
}

// memoryShare returns the share of an engine's memory that a class and all longer ones may hold.
func (p *Policy) memoryShare(c Class) float64 {
	if !p.MemoryShares {
		return 1
	}
	return p.Classes[c].Share
}
