package ctl

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/fleet"
	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"
)

// drainTries bounds the attempts of drain when other changes keep being accepted in between.
const drainTries = 5

type applyCommand struct {
	cli *cli
	fileArgument
	waitOption
	Base       flags.Filename `long:"base" value-name:"FILE" description:"document that FILE was edited from; changes made by others since are merged"`
	Generation *uint64        `long:"generation" value-name:"N" description:"apply only while generation N is in force"`
}

// applyOutput is the JSON output of the commands that change the configuration.
type applyOutput struct {
	Generation uint64          `json:"generation"`
	Changes    []config.Change `json:"changes"`
	// InForce is true when every daemon has the generation in force; Behind are the others, or all that did not answer.
	InForce bool         `json:"inForce"`
	Waited  bool         `json:"waited"`
	Daemons int          `json:"daemons"`
	Behind  []behindItem `json:"behind,omitempty"`
}

type behindItem struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
	Problem    string `json:"problem,omitempty"`
}

// Execute implements flags.Commander.
func (a *applyCommand) Execute([]string) error {
	doc, err := a.cli.readDocument(string(a.Args.File))
	if err != nil {
		return err
	}
	store, err := a.cli.store()
	if err != nil {
		return err
	}
	ctx, cancel := a.cli.withTimeout()
	defer cancel()
	current, err := store.Read(ctx)
	if err != nil {
		return err
	}
	if want := a.Generation; want != nil && *want != current.Root.Generation {
		return exitWith(ExitConflict, errors.Newf("generation %d by %s is in force, not %d; nothing was applied",
			current.Root.Generation, current.Root.Author, *want))
	}
	if a.Base != "" {
		if doc, err = a.merge(doc, current); err != nil {
			return err
		}
	}
	return a.cli.applyAndWait(ctx, store, current, doc, a.Wait)
}

// merge keeps what others changed since the base was read.
func (a *applyCommand) merge(mine *config.Document, current *confstore.Snapshot) (*config.Document, error) {
	base, err := a.cli.readDocument(string(a.Base))
	if err != nil {
		return nil, err
	}
	merged, conflicts := config.Merge(base, mine, current.Document)
	if len(conflicts) == 0 {
		return merged, nil
	}
	if a.cli.json() {
		if err := a.cli.printJSON(map[string]any{"generation": current.Root.Generation, "conflicts": conflicts}); err != nil {
			return nil, err
		}
		return nil, exitWith(ExitConflict, errSilent)
	}
	for _, c := range conflicts {
		fmt.Fprintln(a.cli.env.Stdout, c)
	}
	return nil, exitWith(ExitConflict, errors.Newf("%s with generation %d by %s; nothing was applied",
		count(len(conflicts), "conflict"), current.Root.Generation, current.Root.Author))
}

// applyAndWait applies a document unless it changes nothing, and waits until it is in force.
func (c *cli) applyAndWait(ctx context.Context, store *confstore.Store, current *confstore.Snapshot,
	doc *config.Document, wait time.Duration,
) error {
	changes := config.Diff(current.Document, doc)
	accepted, verdict := current, "already has this content"
	if len(changes) > 0 || current.Version == 0 {
		if c.options.Author == "" {
			return exitWith(ExitUsage, errors.New("no author is set, and every version names one; use --author or --settings"))
		}
		var err error
		if accepted, err = store.Apply(ctx, current, doc, c.options.Author); err != nil {
			return c.applyError(err)
		}
		verdict = "is accepted"
	}
	if !c.json() {
		if err := c.printChanges(current.Root.Generation, changes); err != nil {
			return err
		}
		fmt.Fprintf(c.env.Stdout, "generation %d %s\n", accepted.Root.Generation, verdict)
	}
	return c.waitInForce(accepted.Root.Generation, changes, wait)
}

// applyError prints findings that only show after a merge, and passes other errors on.
func (c *cli) applyError(err error) error {
	var found *findings.Error
	if errors.As(err, &found) {
		return exitWith(ExitFindings, c.printFindings("document", found.Findings))
	}
	return err
}

// waitInForce surveys the daemons until none is behind or the wait is over.
func (c *cli) waitInForce(generation uint64, changes []config.Change, wait time.Duration) error {
	out := applyOutput{Generation: generation, Changes: append([]config.Change{}, changes...)}
	if wait > 0 && len(c.options.Admin) > 0 {
		ctx, cancel := context.WithTimeout(c.ctx, wait)
		defer cancel()
		c.survey(ctx, &out)
	}
	if err := c.printInForce(&out); err != nil {
		return err
	}
	if out.Waited && !out.InForce {
		return exitWith(ExitBehind, errSilent)
	}
	return nil
}

// survey asks the daemons until none is behind or ctx ends. A daemon that once had the generation in force keeps it, so
// that the last round, which the end of the wait cuts short, only adds to what is known.
func (c *cli) survey(ctx context.Context, out *applyOutput) {
	client := c.fleet()
	out.Waited = true
	reached := map[string]bool{}
	var known []fleet.Daemon
	for {
		daemons := client.Survey(ctx)
		if ctx.Err() == nil || known == nil {
			known = daemons
		}
		for _, d := range daemons {
			reached[d.Admin] = reached[d.Admin] || d.Generation() >= out.Generation
		}
		behind := slices.DeleteFunc(fleet.Behind(known, out.Generation), func(d fleet.Daemon) bool { return reached[d.Admin] })
		out.Daemons, out.Behind, out.InForce = expected(known), behindItems(behind), len(behind) == 0
		if out.InForce || ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.env.Poll):
		}
	}
}

// expected counts the daemons that should follow the configuration; dead and leaving ones do not.
func expected(daemons []fleet.Daemon) int {
	n := 0
	for _, d := range daemons {
		if d.Expected() {
			n++
		}
	}
	return n
}

func behindItems(daemons []fleet.Daemon) []behindItem {
	var out []behindItem
	for _, d := range daemons {
		out = append(out, behindItem{Name: d.Name, Generation: d.Generation(), Problem: d.Problem})
	}
	return out
}

func (c *cli) printInForce(out *applyOutput) error {
	if c.json() {
		return c.printJSON(out)
	}
	w := c.env.Stdout
	switch {
	case !out.Waited:
		fmt.Fprintln(w, "not waited until it is in force (no --admin address, or --wait 0s)")
	case out.InForce:
		fmt.Fprintf(w, "generation %d is in force at all %d daemons\n", out.Generation, out.Daemons)
	default:
		fmt.Fprintf(w, "generation %d is not yet in force at %d of %d daemons:\n", out.Generation, len(out.Behind), out.Daemons)
		for _, b := range out.Behind {
			fmt.Fprintf(w, "  %s at generation %d %s\n", b.Name, b.Generation, b.Problem)
		}
	}
	return nil
}

type drainCommand struct {
	cli     *cli
	drained bool
	waitOption
	Args struct {
		Name string `positional-arg-name:"NAME" description:"name of the backend server"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. It repeats after a conflict, because it changes one field of one backend server
// and keeps everything else as it then is.
func (d *drainCommand) Execute([]string) error {
	store, err := d.cli.store()
	if err != nil {
		return err
	}
	ctx, cancel := d.cli.withTimeout()
	defer cancel()
	for try := 1; ; try++ {
		err := d.once(ctx, store)
		var conflict *confstore.ConflictError
		if try == drainTries || !errors.As(err, &conflict) {
			return err
		}
	}
}

func (d *drainCommand) once(ctx context.Context, store *confstore.Store) error {
	current, err := store.Read(ctx)
	if err != nil {
		return err
	}
	doc, err := current.Clone()
	if err != nil {
		return err
	}
	for i := range doc.BackendServers {
		if doc.BackendServers[i].Name == d.Args.Name {
			doc.BackendServers[i].Drained = d.drained
			return d.cli.applyAndWait(ctx, store, current, doc, d.Wait)
		}
	}
	return errors.Newf("backend server %q does not exist in generation %d", d.Args.Name, current.Root.Generation)
}
