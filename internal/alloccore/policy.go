package alloccore

import "github.com/carobstile/carobstile/internal/core"

// Class groups requests by the prompt tokens that an engine has to compute.
type Class int

// Classes, from short to long.
const (
	ClassShort Class = iota
	ClassMedium
	ClassLong
	classes
)

// Picker names the last step of a choice.
type Picker string

// Pickers. RoundRobin and LeastLoaded are baselines for measurement.
const (
	PickBestScore   Picker = "bestScore"
	PickRoundRobin  Picker = "roundRobin"
	PickLeastLoaded Picker = "leastLoaded"
)

// ClassRule is the reservation rule of a class.
type ClassRule struct {
	// MaxUncached is the most uncached prompt tokens of the class; the last class has no bound.
	MaxUncached int `json:"maxUncached"`
	// Share of an engine's KV memory that this and all longer classes may hold together, and of its prefill rate that
	// the class may take; 0 to 1.
	Share float64 `json:"share"`
}

// Policy says which rules are in force, so that each can be switched off for measurement.
type Policy struct {
	Picker  Picker             `json:"picker"`
	Classes [classes]ClassRule `json:"classes"`

	// OwnCommitments counts the allocator's own grants against an engine's memory; without it only the lagged report
	// counts.
	OwnCommitments bool `json:"ownCommitments"`
	// MemoryShares bounds the memory of each class by its share.
	MemoryShares bool `json:"memoryShares"`
	// PrefillShares bounds the prefill time of each class by its share and holds work back in the queue while an engine
	// has PrefillHorizon of it left.
	PrefillShares bool `json:"prefillShares"`
	// PrefillSpread lets each class prefill only on its share of the pool's engines, always the same ones.
	PrefillSpread bool `json:"prefillSpread"`
	// SharedPrefill takes engines to prefill their requests side by side; without it, one after another. It describes the
	// engines and is off by default, because engines of the published protocol prefill in order of arrival.
	SharedPrefill bool `json:"sharedPrefill"`
	// Groups lets a prompt take several engines.
	Groups bool `json:"groups"`
	// HeadReservation keeps memory for the first request that does not fit.
	HeadReservation bool `json:"headReservation"`
	// PrefixAffinity prefers engines that hold a prefix of the prompt.
	PrefixAffinity bool `json:"prefixAffinity"`
	// AdapterLocality prefers engines that run the adapter now.
	AdapterLocality bool `json:"adapterLocality"`
	// EngineQueue counts the prefill work that an engine has queued.
	EngineQueue bool `json:"engineQueue"`
	// Interference keeps decodes of a class apart from prefills of longer classes.
	Interference bool `json:"interference"`
	// Priorities orders the queue by priority.
	Priorities bool `json:"priorities"`
	// Aging raises a priority that waits by one every AgingStep.
	Aging bool `json:"aging"`
	// FairQueuing orders the requests of one priority by start-time fair queuing over workspaces.
	FairQueuing bool `json:"fairQueuing"`
	// EarlyRefusal refuses a request whose deadline or max wait the expected wait exceeds.
	EarlyRefusal bool `json:"earlyRefusal"`
	// SuspectsApart keeps requests that crashed an engine on different engines.
	SuspectsApart bool `json:"suspectsApart"`
	// SoloTrials gives an engine no new work while it prefills a request that is one crash short of the limit.
	SoloTrials bool `json:"soloTrials"`
	// WarmUp grants only after a report from every engine that answers within a second.
	WarmUp bool `json:"warmUp"`
	// CoolDown gives an engine no new work for a moment after it refused some.
	CoolDown bool `json:"coolDown"`

	// AffinityCap is the most cached tokens that count in favour of an engine, so that one popular prefix does not
	// gather all its requests on one engine.
	AffinityCap int `json:"affinityCap"`
	// PrefillHorizon is a span: an engine is given further work of a class once less than this is left of the last. It
	// covers the way from the allocator over the gate to the engine.
	PrefillHorizon core.Micros `json:"prefillHorizon"`
	// AgingStep is a span. With 3 s, the lowest priority gets a turn against the highest within 30 s, half the default
	// deadline.
	AgingStep core.Micros `json:"agingStep"`
}

// DefaultPolicy has every rule on.
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

// classOf returns the class of a number of uncached tokens.
func (p *Policy) classOf(uncached int) Class {
	for c := ClassShort; c < ClassLong; c++ {
		if uncached <= p.Classes[c].MaxUncached {
			return c
		}
	}
	return ClassLong
}

// memoryShare returns the share of memory of a class.
func (p *Policy) memoryShare(c Class) float64 {
	if !p.MemoryShares {
		return 1
	}
	return p.Classes[c].Share
}
