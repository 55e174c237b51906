package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"text/tabwriter"

	flags "github.com/jessevdk/go-flags"

	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/timeline"
)

// lateLossShare is the share of its benefit that a late request loses.
const lateLossShare = 0.75

type lossesCommand struct {
	cli  *cli
	Args struct {
		Files []flags.Filename `positional-arg-name:"LOG" required:"1" description:"event logs"`
	} `positional-args:"yes" required:"yes"`
}

// lossGroup sums up the requests of a route that fell short for the same reason.
type lossGroup struct {
	Route  string `json:"route"`
	Reason string `json:"reason"`
	Count  int    `json:"count"`
	// Weight estimates the benefit lost.
	Weight float64 `json:"weight"`
	// LongestPrompt is the length of the longest prompt among them, in tokens, and Example the ID of that request.
	LongestPrompt int    `json:"longestPrompt"`
	Example       string `json:"example"`
}

// losses sums up the events that report the end of a request.
type losses struct {
	groups map[[2]string]*lossGroup
}

func (l *losses) add(e timeline.Event) {
	reason, known := e.Attr("shortfall")
	if e.Message != evlog.MessageEnded || !known || reason == "" {
		return
	}
	route, _ := e.Attr("route")
	key := [2]string{route, reason}
	g := l.groups[key]
	if g == nil {
		g = &lossGroup{Route: route, Reason: reason, LongestPrompt: -1}
		l.groups[key] = g
	}
	tokens, _ := e.Attr("prompt_tokens")
	prompt, err := strconv.Atoi(tokens)
	if err != nil {
		prompt = 0 // requests without a prompt
	}
	weight := dispatch.EstimateBenefit(prompt, 0)
	if status, _ := e.Attr("status"); len(status) == 3 && status[0] == '2' {
		weight *= lateLossShare
	}
	g.Count++
	g.Weight += weight
	if prompt > g.LongestPrompt {
		g.LongestPrompt = prompt
		g.Example, _ = e.Attr(evlog.KeyRequest)
	}
}

// sorted returns the groups, those with the largest weight first.
func (l *losses) sorted() []*lossGroup {
	out := make([]*lossGroup, 0, len(l.groups))
	for _, g := range l.groups {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b *lossGroup) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Reason, b.Reason))
	})
	return out
}

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	sources, closeAll, err := openLogs(c.Args.Files)
	if err != nil {
		return err
	}
	defer closeAll()
	sum := losses{groups: map[[2]string]*lossGroup{}}
	stats, err := timeline.Merge(sources, timeline.Query{}, func(e timeline.Event) error {
		sum.add(e)
		return nil
	})
	if err != nil {
		return err
	}
	c.cli.printLogStats(stats)
	if c.cli.json() {
		for _, g := range sum.sorted() {
			if err := writeJSONLine(c.cli.env.Stdout, g); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(c.cli.env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ROUTE\tREASON\tREQUESTS\tWEIGHT\tLONGEST PROMPT\tEXAMPLE")
	for _, g := range sum.sorted() {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f\t%d\t%s\n", g.Route, g.Reason, g.Count, g.Weight, g.LongestPrompt, g.Example)
	}
	return w.Flush()
}
