package ctl

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/confstore"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/findings"
	"github.com/cockroachdb/errors"
)

// maxDocumentBytes limits a document read from standard input. It is far above the 5 MB of 14,000 workspaces.
const maxDocumentBytes = 256 << 20

// readFile reads a file, or up to maxDocumentBytes of standard input if the name is "-".
func (c *cli) readFile(name string) ([]byte, error) {
	if name == "-" {
		return readLimited(c.env.Stdin, maxDocumentBytes)
	}
	return os.ReadFile(name)
}

// readLimited reads everything, or returns an error if that is more than limit bytes.
func readLimited(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(data)) > limit {
		return nil, errors.Newf("standard input exceeds %d bytes", limit)
	}
	return data, err
}

// readDocument reads and parses a document. Findings are printed and returned as an error with ExitFindings.
func (c *cli) readDocument(name string) (*config.Document, error) {
	data, err := c.readFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read the document")
	}
	doc, err := config.Parse(data)
	var found *findings.Error
	if errors.As(err, &found) {
		return nil, withExitCode(ExitFindings, c.printFindings(name, found.Findings))
	}
	return doc, err
}

// findingsOutput is the JSON output of validate, and of other commands for a document with findings.
type findingsOutput struct {
	File     string             `json:"file"`
	Valid    bool               `json:"valid"`
	Findings []findings.Finding `json:"findings"`
}

func (c *cli) printFindings(name string, found []findings.Finding) error {
	if c.json() {
		if err := c.printJSON(findingsOutput{File: name, Findings: found}); err != nil {
			return err
		}
		return errAlreadyReported
	}
	for _, f := range found {
		fmt.Fprintf(c.env.Stdout, "%s:%s\n", name, f)
	}
	return errors.Newf("%s has %s", name, pluralize(len(found), "finding"))
}

type validateCommand struct {
	cli *cli
	fileArgument
}

// Execute implements flags.Commander.
func (v *validateCommand) Execute([]string) error {
	name := string(v.Args.File)
	if _, err := v.cli.readDocument(name); err != nil {
		return err
	}
	if v.cli.json() {
		return v.cli.printJSON(findingsOutput{File: name, Valid: true, Findings: []findings.Finding{}})
	}
	fmt.Fprintf(v.cli.env.Stdout, "%s is valid\n", name)
	return nil
}

type diffCommand struct {
	cli *cli
	fileArgument
}

// diffOutput is the JSON output of diff.
type diffOutput struct {
	Generation uint64          `json:"generation"`
	Changes    []config.Change `json:"changes"`
}

// Execute implements flags.Commander.
func (d *diffCommand) Execute([]string) error {
	doc, err := d.cli.readDocument(string(d.Args.File))
	if err != nil {
		return err
	}
	current, err := d.cli.readCurrent()
	if err != nil {
		return err
	}
	changes := config.Diff(current.Document, doc)
	if err := d.cli.printChanges(current.Root.Generation, changes); err != nil {
		return err
	}
	if len(changes) > 0 {
		return withExitCode(ExitDiffers, errAlreadyReported)
	}
	return nil
}

func (c *cli) printChanges(generation uint64, changes []config.Change) error {
	if c.json() {
		return c.printJSON(diffOutput{Generation: generation, Changes: append([]config.Change{}, changes...)})
	}
	fmt.Fprintf(c.env.Stdout, "%s to generation %d\n", pluralize(len(changes), "difference"), generation)
	for _, change := range changes {
		fmt.Fprintln(c.env.Stdout, change)
	}
	return nil
}

func (c *cli) readCurrent() (*confstore.Snapshot, error) {
	store, err := c.store()
	if err != nil {
		return nil, err
	}
	ctx, cancel := c.withTimeout()
	defer cancel()
	return store.Read(ctx)
}

type getCommand struct{ cli *cli }

// Execute implements flags.Commander.
func (g *getCommand) Execute([]string) error {
	current, err := g.cli.readCurrent()
	if err != nil {
		return err
	}
	if current.Version == 0 {
		return errors.New("no configuration was ever applied")
	}
	root := current.Root
	fmt.Fprintf(g.cli.env.Stderr, "generation %d, accepted %s from %s\n", root.Generation,
		core.Micros(root.AcceptedAtMicros).Time().Format(time.RFC3339), root.Author)
	text, err := config.Format(current.Document)
	if err != nil {
		return errors.Wrap(err, "format the document")
	}
	_, err = g.cli.env.Stdout.Write(text)
	return err
}
