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

// maxDrainAttempts limits the attempts of drain and undrain when each one conflicts with another operator's change.
const maxDrainAttempts = 5

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
	// InForce reports whether the generation is in force at every expected daemon. Behind lists the daemons where it is
	// not, including those that did not answer.
	InForce bool           `json:"inForce"`
	Waited  bool           `json:"waited"`
	Daemons int            `json:"daemons"`
	Behind  []behindDaemon `json:"behind,omitempty"`
}

type behindDaemon struct {
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
		return withExitCode(ExitConflict, errors.Newf("generation %d by %s is in force, not %d; nothing was applied",
			current.Root.Generation, current.Root.Author, *want))
	}
	if a.Base != "" {
		if doc, err = a.merge(doc, current); err != nil {
			return err
		}
	}
	return a.cli.applyAndWait(ctx, store, current, doc, a.Wait)
}

// merge merges the edited document with the changes that others have made since the base document was read. Conflicts
// are printed and returned as an error with ExitConflict.
func (a *applyCommand) merge(edited *config.Document, current *confstore.Snapshot) (*config.Document, error) {
	base, err := a.cli.readDocument(string(a.Base))
	if err != nil {
		return nil, err
	}
	merged, conflicts := config.Merge(base, edited, current.Document)
	if len(conflicts) == 0 {
		return merged, nil
	}
	if a.cli.json() {
		if err := a.cli.printJSON(map[string]any{"generation": current.Root.Generation, "conflicts": conflicts}); err != nil {
			return nil, err
		}
		return nil, withExitCode(ExitConflict, errAlreadyReported)
	}
	for _, conflict := range conflicts {
		fmt.Fprintln(a.cli.env.Stdout, conflict)
	}
	return nil, withExitCode(ExitConflict, errors.Newf("%s with generation %d by %s; nothing was applied",
		pluralize(len(conflicts), "conflict"), current.Root.Generation, current.Root.Author))
}

// applyAndWait applies a document unless it is identical to the current one, and waits until it is in force.
func (c *cli) applyAndWait(ctx context.Context, store *confstore.Store, current *confstore.Snapshot,
	doc *config.Document, wait time.Duration,
) error {
	changes := config.Diff(current.Document, doc)
	accepted, result := current, "already has this content"
	if len(changes) > 0 || current.Version == 0 {
		if c.options.Author == "" {
			return withExitCode(ExitUsage,
				errors.New("no author is set, but every version records its author; use --author or --settings"))
		}
		var err error
		if accepted, err = store.Apply(ctx, current, doc, c.options.Author); err != nil {
			return c.applyError(err)
		}
		result = "is accepted"
	}
	if !c.json() {
		if err := c.printChanges(current.Root.Generation, changes); err != nil {
			return err
		}
		fmt.Fprintf(c.env.Stdout, "generation %d %s\n", accepted.Root.Generation, result)
	}
	return c.waitAndReport(accepted.Root.Generation, changes, wait)
}

// applyError prints the findings of a merged document, which validation of the input file cannot report. It returns
// other errors unchanged.
func (c *cli) applyError(err error) error {
	var found *findings.Error
	if errors.As(err, &found) {
		return withExitCode(ExitFindings, c.printFindings("document", found.Findings))
	}
	return err
}

// waitAndReport waits up to the given time until the generation is in force at all daemons, prints the result, and
// returns an error with ExitBehind if some daemons are behind. It does not wait without admin addresses.
func (c *cli) waitAndReport(generation uint64, changes []config.Change, wait time.Duration) error {
	out := applyOutput{Generation: generation, Changes: append([]config.Change{}, changes...)}
	if wait > 0 && len(c.options.Admin) > 0 {
		ctx, cancel := context.WithTimeout(c.ctx, wait)
		defer cancel()
		c.pollDaemons(ctx, &out)
	}
	if err := c.printRollout(&out); err != nil {
		return err
	}
	if out.Waited && !out.InForce {
		return withExitCode(ExitBehind, errAlreadyReported)
	}
	return nil
}

// pollDaemons queries the daemons every Env.Poll until none is behind or ctx ends. The end of ctx can interrupt the last
// survey, which then lacks answers. Therefore a daemon that has reported the generation once stays up to date, and the
// list of daemons comes from the last complete survey.
func (c *cli) pollDaemons(ctx context.Context, out *applyOutput) {
	client := c.fleet()
	out.Waited = true
	upToDate := map[string]bool{}
	var lastComplete []fleet.Daemon
	for {
		daemons := client.Survey(ctx)
		if ctx.Err() == nil || lastComplete == nil {
			lastComplete = daemons
		}
		for _, d := range daemons {
			upToDate[d.AdminAddress] = upToDate[d.AdminAddress] || d.Generation() >= out.Generation
		}
		behind := slices.DeleteFunc(fleet.Outdated(lastComplete, out.Generation),
			func(d fleet.Daemon) bool { return upToDate[d.AdminAddress] })
		out.Daemons, out.Behind, out.InForce = countExpected(lastComplete), behindDaemons(behind), len(behind) == 0
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

// countExpected counts the daemons that are expected to apply new configurations, which excludes dead and leaving ones.
func countExpected(daemons []fleet.Daemon) int {
	n := 0
	for _, d := range daemons {
		if d.Expected() {
			n++
		}
	}
	return n
}

func behindDaemons(daemons []fleet.Daemon) []behindDaemon {
	var out []behindDaemon
	for _, d := range daemons {
		out = append(out, behindDaemon{Name: d.Name, Generation: d.Generation(), Problem: d.Error})
	}
	return out
}

func (c *cli) printRollout(out *applyOutput) error {
	if c.json() {
		return c.printJSON(out)
	}
	w := c.env.Stdout
	switch {
	case !out.Waited:
		fmt.Fprintln(w, "did not wait until it is in force (no --admin address, or --wait 0s)")
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

// Execute implements flags.Commander. It retries after a conflict, which is safe because only one field of one backend
// server changes and the rest of the document is read again.
func (d *drainCommand) Execute([]string) error {
	store, err := d.cli.store()
	if err != nil {
		return err
	}
	ctx, cancel := d.cli.withTimeout()
	defer cancel()
	for attempt := 1; ; attempt++ {
		err := d.applyOnce(ctx, store)
		var conflict *confstore.ConflictError
		if attempt == maxDrainAttempts || !errors.As(err, &conflict) {
			return err
		}
	}
}

func (d *drainCommand) applyOnce(ctx context.Context, store *confstore.Store) error {
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
