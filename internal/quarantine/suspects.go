package quarantine

import (
	"slices"

	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/dispatch"
)

// crash is a break of a server's connections, with the traits of each request whose answer had not reached the stage.
type crash struct {
	process dispatch.Process
	// helpers are the ids of engines that processed parts of the suspects' prompts.
	helpers []string
	at      core.Micros
	// suspects holds the sorted traits of each suspect.
	suspects [][]Trait
}

// Suspect is a request whose answer had not reached the stage when the connection to its process broke.
type Suspect struct {
	Process dispatch.Process
	Helpers []string
	Traits  []Trait
	Age     core.Micros
}

// Suspects returns the suspects of all crashes that count, without the traits that were cleared.
func (c *Core) Suspects(now core.Micros) []Suspect {
	var out []Suspect
	for _, r := range c.crashes {
		for _, traits := range r.suspects {
			if len(traits) > 0 {
				out = append(out, Suspect{Process: r.process, Helpers: r.helpers, Traits: slices.Clone(traits), Age: now - r.at})
			}
		}
	}
	return out
}

// addSuspect records that the processes of a crash broke at a time before an answer reached the stage. It reports false if that
// is too long ago, known already or explained by a verdict.
func (c *Core) addSuspect(now, at core.Micros, broke crash, traits []Trait) bool {
	if len(traits) == 0 || len(traits) > maxTraits || at+evidenceTTL <= now {
		return false
	}
	for _, v := range c.verdicts {
		if containsAll(traits, v.traits) {
			if !v.inForce(now) {
				v.made = now
				c.emit(VerdictReached{Verdict: c.public(v, now)})
			}
			return false
		}
	}
	found := c.findCrash(at, broke)
	suspect := slices.Sorted(slices.Values(traits))
	known := slices.ContainsFunc(found.suspects, func(s []Trait) bool { return slices.Equal(s, suspect) })
	if known || len(found.suspects) >= maxSuspects {
		return false
	}
	found.suspects = append(found.suspects, suspect)
	c.suspectTraits += len(suspect)
	c.count(traits, 1)
	for len(c.crashes) > maxCrashes || c.suspectTraits > maxSuspectTraits && len(c.crashes) > 1 {
		c.dropCrash(0)
	}
	return true
}

// findCrash returns the crash at a time that broke involves, and adds it if it is new.
func (c *Core) findCrash(at core.Micros, broke crash) *crash {
	i := len(c.crashes)
	for n, r := range slices.Backward(c.crashes) {
		if max(at-r.at, r.at-at) < crashWindow && r.sharesProcess(&broke) {
			for _, h := range broke.helpers {
				if !slices.Contains(r.helpers, h) {
					r.helpers = append(r.helpers, h)
				}
			}
			return r
		}
		if r.at > at {
			i = n
		}
	}
	found := &crash{process: broke.process, helpers: slices.Clone(broke.helpers), at: at}
	c.crashes = slices.Insert(c.crashes, i, found)
	return found
}

// sharesProcess reports whether the crash of one process can explain both breaks.
func (r *crash) sharesProcess(o *crash) bool {
	return r.process == o.process || slices.Contains(o.helpers, r.process.ID) || slices.Contains(r.helpers, o.process.ID) ||
		slices.ContainsFunc(o.helpers, func(h string) bool { return slices.Contains(r.helpers, h) })
}

func (c *Core) dropCrash(i int) {
	for _, traits := range c.crashes[i].suspects {
		c.count(traits, -1)
		c.suspectTraits -= len(traits)
	}
	c.crashes = slices.Delete(c.crashes, i, i+1)
}
