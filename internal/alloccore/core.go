// Package alloccore is the reducer of one pool's allocator: grants, queue, policy and suspects.
package alloccore

import (
	"strconv"

	"github.com/carobstile/carobstile/internal/core"
)

// grantLife is how long a grant lives unless renewed.
const grantLife = 15 * core.Second

// Options of a Core.
type Options struct {
	// Instance makes grant ids unique over allocators; it never repeats.
	Instance string
	Policy   Policy
}

// Policy says which rules are in force.
type Policy struct{}

// DefaultPolicy has every rule on.
func DefaultPolicy() Policy { return Policy{} }

// Core is the state of one pool's allocator. It is not safe for concurrent use.
type Core struct {
	opts    Options
	engines []EngineConfig
	seen    map[string]EngineReported
	serial  uint64
	next    int
	out     []Effect
}

// New returns an allocator that grants nothing before it is configured.
func New(opts Options) *Core { return &Core{opts: opts, seen: map[string]EngineReported{}} }

// EngineView is an engine as the allocator sees it.
type EngineView struct {
	Name   string
	Report *EngineReported
}

// View is a summary for operators.
type View struct {
	Ready, Grants, Queued int
	Engines               []EngineView
}

// View returns the current summary.
func (c *Core) View(core.Micros) View { return View{} }

// Step takes one event and returns its effects.
func (c *Core) Step(ev Event) []Effect {
	c.out = nil
	switch e := ev.(type) {
	case PoolConfigured:
		c.engines = e.Engines
	case EngineReported:
		c.seen[e.Engine] = e
	case GrantAsked:
		c.ask(e)
	case GrantsRenewed:
		c.out = append(c.out, Renewed{Call: e.Call, Expires: e.Now + grantLife})
	}
	return c.out
}

func (c *Core) ask(e GrantAsked) {
	for range c.engines {
		c.next = (c.next + 1) % len(c.engines)
		eng := c.engines[c.next]
		report, ok := c.seen[eng.Name]
		if !ok || eng.Drained {
			continue
		}
		c.serial++
		tokens := e.Request.PromptTokens + e.Request.MaxOutputTokens
		share := EngineShare{Engine: eng.Name, Address: eng.Address, Incarnation: report.Load.Incarnation, Tokens: tokens}
		id := c.opts.Instance + "-" + strconv.FormatUint(c.serial, 10)
		c.out = append(c.out, Granted{
			Ask: e.Ask, GrantID: id, RequestID: e.Request.RequestID, Engines: []EngineShare{share}, Expires: e.Now + grantLife,
		})
		return
	}
	c.out = append(c.out, Refused{Ask: e.Ask, RequestID: e.Request.RequestID, Code: CodeNoEngine})
}
