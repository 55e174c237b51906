package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/carobstile/carobstile/internal/forward"
)

// workspaceSums are the requests of one workspace, summed over daemons since each of them started.
type workspaceSums struct {
	Workspace string `json:"workspace"`
	// Received counts all requests. Served counts those answered in full, and Late those of them that missed a target.
	Received int64 `json:"received"`
	Served   int64 `json:"served"`
	Late     int64 `json:"late"`
	// Refused counts the requests that were not run.
	Refused int64 `json:"refused"`
}

type workspacesCommand struct {
	cli  *cli
	JSON bool `long:"json" description:"print one JSON object for each workspace (as --output json)"`
	Args struct {
		Daemons []string `positional-arg-name:"IP:PORT" required:"1" description:"metrics addresses of daemons"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander. The sums of the daemons that answer are printed even if others fail.
func (c *workspacesCommand) Execute([]string) error {
	ctx, cancel := c.cli.withTimeout()
	defer cancel()
	sums := map[string]*workspaceSums{}
	var failed error
	for _, address := range c.Args.Daemons {
		if err := addWorkspaces(ctx, address, sums); err != nil {
			failed = errors.CombineErrors(failed, errors.Wrapf(err, "metrics of %s", address))
			fmt.Fprintf(c.cli.env.Stderr, "carobctl: no metrics from %s: %v\n", address, err)
		}
	}
	list := slices.SortedFunc(maps.Values(sums), func(a, b *workspaceSums) int {
		return cmp.Or(cmp.Compare(b.Received, a.Received), cmp.Compare(a.Workspace, b.Workspace))
	})
	if err := c.print(list); err != nil {
		return err
	}
	if failed != nil {
		return withExitCode(ExitFailed, errAlreadyReported)
	}
	return nil
}

func (c *workspacesCommand) print(list []*workspaceSums) error {
	if c.JSON || c.cli.json() {
		for _, s := range list {
			if err := writeJSONLine(c.cli.env.Stdout, s); err != nil {
				return err
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(c.cli.env.Stdout, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(w, "WORKSPACE\tRECEIVED\tSERVED\tLATE\tREFUSED")
	for _, s := range list {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\n", s.Workspace, s.Received, s.Served, s.Late, s.Refused)
	}
	return w.Flush()
}

// addWorkspaces adds the counters of one daemon to sums.
func addWorkspaces(ctx context.Context, address string, sums map[string]*workspaceSums) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return errors.Wrap(err, "invalid address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return parseWorkspaces(resp.Body, sums)
}

func parseWorkspaces(r io.Reader, sums map[string]*workspaceSums) error {
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(r)
	if err != nil {
		return errors.Wrap(err, "parse metrics")
	}
	for result, field := range map[string]func(*workspaceSums) *int64{
		forward.WorkspaceReceived: func(s *workspaceSums) *int64 { return &s.Received },
		forward.WorkspaceServed:   func(s *workspaceSums) *int64 { return &s.Served },
		forward.WorkspaceLate:     func(s *workspaceSums) *int64 { return &s.Late },
		forward.WorkspaceRefused:  func(s *workspaceSums) *int64 { return &s.Refused },
	} {
		for _, m := range families["carobstile_"+result].GetMetric() {
			for _, label := range m.GetLabel() {
				if label.GetName() != "workspace" {
					continue
				}
				name := label.GetValue()
				if sums[name] == nil {
					sums[name] = &workspaceSums{Workspace: name}
				}
				*field(sums[name]) += int64(m.GetCounter().GetValue())
			}
		}
	}
	return nil
}
