package simulate

import (
	"fmt"
	"slices"
	"strings"
)

// Share is what a group of requests got.
type Share struct {
	Name                                      string
	Count, OnTime, Late, Abandoned, NotServed int
	// RefusedAgain counts those that came back after a refusal and were not served.
	RefusedAgain int
	// Earned is the share of the benefit of the group that was earned.
	Earned float64
	// Value is the benefit that was earned.
	Value float64
}

// Served returns the share of the requests that were served, on time or late.
func (s Share) Served() float64 { return float64(s.OnTime+s.Late) / float64(max(1, s.Count)) }

// Result holds what callers got.
type Result struct {
	// Earned is the share of the benefit of all requests.
	Earned float64
	// Left is the share of the placements in another failure domain than that of the daemon, BytesLeft their size with the answers.
	Left      float64
	BytesLeft int
	// Kinds has one group for each kind; Largest has the largest tenth of each kind by prompt, Large the fifth below it.
	Kinds, Largest, Large []Share
	// Workspaces has one group for each workspace.
	Workspaces []Share
	// Value is the benefit that was earned.
	Value float64
}

// String formats the result as a table.
func (r Result) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "earned %.3f\n", r.Earned)
	for _, group := range [][]Share{r.Kinds, r.Large, r.Largest} {
		for _, s := range group {
			fmt.Fprintf(&out, "%-28s %5d requests, served %.2f, on time %.2f, again in vain %d, earned %.3f\n",
				s.Name, s.Count, s.Served(), float64(s.OnTime)/float64(max(1, s.Count)), s.RefusedAgain, s.Earned)
		}
	}
	return out.String()
}

func newResult(s *Scenario, requests []*request) Result {
	var out Result
	earned, owed := 0.0, 0.0
	for i := range s.Kinds {
		k := &s.Kinds[i]
		var list []*request
		for _, r := range requests {
			if r.kind == k {
				list = append(list, r)
			}
		}
		slices.SortStableFunc(list, func(a, b *request) int { return b.prompt - a.prompt })
		tenth := len(list) / 10
		out.Kinds = append(out.Kinds, newShare(k.Name, list))
		out.Largest = append(out.Largest, newShare(k.Name+", largest tenth", list[:tenth]))
		out.Large = append(out.Large, newShare(k.Name+", next fifth", list[tenth:3*tenth]))
		for _, r := range list {
			earned += r.earned()
			owed += r.benefit * k.Benefit
		}
	}
	for i, w := range s.Workspaces {
		var list []*request
		for _, r := range requests {
			if r.workspace == i {
				list = append(list, r)
			}
		}
		out.Workspaces = append(out.Workspaces, newShare(w.Name, list))
	}
	out.Earned, out.Value = earned/max(owed, 1e-9), earned
	return out
}

func (r *request) earned() float64 {
	switch r.outcome {
	case onTime:
		return r.benefit * r.kind.Benefit
	case late:
		return r.benefit * r.kind.LateBenefit
	case refused, abandoned:
	}
	return 0
}

func newShare(name string, list []*request) Share {
	out := Share{Name: name, Count: len(list)}
	earned, owed := 0.0, 0.0
	for _, r := range list {
		earned += r.earned()
		owed += r.benefit * r.kind.Benefit
		switch r.outcome {
		case onTime:
			out.OnTime++
		case late:
			out.Late++
		case abandoned:
			out.Abandoned++
		case refused:
			out.NotServed++
		}
		if r.refusedBefore && (r.outcome == refused || r.outcome == abandoned) {
			out.RefusedAgain++
		}
	}
	out.Earned, out.Value = earned/max(owed, 1e-9), earned
	return out
}
