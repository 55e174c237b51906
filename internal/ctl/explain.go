package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"

	"github.com/carobstile/carobstile/internal/dispatch"
	"github.com/carobstile/carobstile/internal/forward"
)

// maxExplanationBytes bounds the answer of a daemon. One with 10,000 servers takes about 4 MB.
const maxExplanationBytes = 32 << 20

type explainCommand struct {
	cli         *cli
	Service     string         `long:"service" value-name:"NAME" description:"service; with its first route unless --host is set"`
	Host        string         `long:"host" value-name:"HOST" description:"host of a route"`
	Path        string         `long:"path" value-name:"PATH" description:"path on the host"`
	Prompt      int            `long:"prompt" value-name:"TOKENS" description:"length of the prompt"`
	Answer      int            `long:"answer" value-name:"TOKENS" description:"expected length of the answer"`
	Bytes       int            `long:"bytes" value-name:"BYTES" description:"size of the request body"`
	Deadline    int            `long:"deadline" value-name:"MS" description:"how long the caller waits, as in X-Deadline-Ms"`
	Workspace   string         `long:"workspace" value-name:"NAME" description:"workspace of the request; required unless the route is public"`
	Part        []string       `long:"part" value-name:"ID" description:"part of the prompt that others share; may be repeated"`
	Fingerprint string         `long:"fingerprint" value-name:"HEX" description:"fingerprint of the request, from the log"`
	KeyFile     flags.Filename `long:"operator-key-file" value-name:"FILE" description:"file with the operator key of the daemon"`
	JSON        bool           `long:"json" description:"print the answer as JSON (as --output json)"`
	Args        struct {
		Daemon string `positional-arg-name:"IP:PORT" description:"metrics address of a daemon"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	ctx, cancel := c.cli.withTimeout()
	defer cancel()
	body, err := c.ask(ctx)
	if err != nil {
		return err
	}
	var answer forward.Explanation
	if err := json.Unmarshal(body, &answer); err != nil {
		return errors.Wrap(err, "decode the answer of the daemon")
	}
	if c.JSON || c.cli.json() {
		return c.cli.printJSON(&answer)
	}
	return c.print(&answer)
}

func (c *explainCommand) query() url.Values {
	values := url.Values{"part": c.Part}
	for name, text := range map[string]string{
		"service": c.Service, "host": c.Host, "path": c.Path, "workspace": c.Workspace, "fingerprint": c.Fingerprint,
	} {
		if text != "" {
			values.Set(name, text)
		}
	}
	for name, n := range map[string]int{"prompt": c.Prompt, "answer": c.Answer, "bytes": c.Bytes, "deadline": c.Deadline} {
		if n != 0 {
			values.Set(name, strconv.Itoa(n))
		}
	}
	return values
}

// ask returns the answer of the daemon.
func (c *explainCommand) ask(ctx context.Context) ([]byte, error) {
	address := url.URL{Scheme: "http", Host: c.Args.Daemon, Path: "/explain", RawQuery: c.query().Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), nil)
	if err != nil {
		return nil, withExitCode(ExitUsage, errors.Wrap(err, "invalid address"))
	}
	if c.KeyFile != "" {
		key, err := os.ReadFile(string(c.KeyFile))
		if err != nil {
			return nil, withExitCode(ExitUsage, errors.Wrap(err, "operator key"))
		}
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "explain at %s", c.Args.Daemon)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	switch {
	case err != nil:
		return nil, errors.Wrapf(err, "explain at %s", c.Args.Daemon)
	case resp.StatusCode == http.StatusBadRequest:
		return nil, withExitCode(ExitUsage, errors.New(strings.TrimSpace(string(body))))
	case resp.StatusCode != http.StatusOK:
		return nil, errors.Newf("%s answered %d: %s", c.Args.Daemon, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func (c *explainCommand) print(e *forward.Explanation) error {
	w := c.cli.env.Stdout
	fmt.Fprintf(w, "%s in %s, configuration %d, route %s, service %s\n", e.Daemon, e.FailureDomain, e.Config, e.Route, e.Service)
	fmt.Fprintf(w, "outcome: %s\n", e.Outcome)
	if e.Reason != "" {
		fmt.Fprintf(w, "reason: %s\n", e.Reason)
	}
	if e.Status != 0 {
		fmt.Fprintf(w, "status: %d\n", e.Status)
	}
	if e.RetryAfterMs > 0 {
		fmt.Fprintf(w, "retry after: %.0f ms\n", e.RetryAfterMs)
	}
	if v := e.Verdict; v != nil {
		fmt.Fprintf(w, "verdict: crashes %s, traits %s, reached %.0f ms ago\n", v.Stage, strings.Join(v.Traits, ","), v.AgeMs)
	}
	if o := e.Option; o != nil {
		if e.Limit > 0 {
			fmt.Fprintf(w, "best option: lead %s, %s, first event in %.0f ms, loss %.3f of at most %.3f\n",
				o.Lead, pluralize(len(o.Helpers), "helper"), o.FirstMs, o.Loss, e.Limit)
		} else { // a plain service, for whose answers no time is predicted
			fmt.Fprintf(w, "best option: server %s, loss %.3f\n", o.Lead, o.Loss)
		}
		if len(o.Helpers) > 0 {
			fmt.Fprintf(w, "helpers: %s\n", strings.Join(o.Helpers, ", "))
		}
	}
	var rows [][]string
	for i := range e.Servers {
		rows = append(rows, explainedRow(&e.Servers[i]))
	}
	header := []string{"SERVER", "DOMAIN", "LOSS", "FIRST MS", "PAUSE MS", "WITH IT", "JOBS", "FREE TOKENS", "EXCLUDED"}
	return printTable(w, "\n"+pluralize(len(rows), "server")+" by loss, each with 1/"+strconv.Itoa(max(1, e.Engines))+" of the prompt", header, rows)
}

func explainedRow(s *dispatch.ExplainedServer) []string {
	var reasons []string
	for _, x := range s.Excluded {
		text := x.Reason
		if x.UntilMs > 0 {
			text += fmt.Sprintf(" for %.0f ms", x.UntilMs)
		}
		reasons = append(reasons, text)
	}
	return []string{
		s.ID, s.Domain, fmt.Sprintf("%.4f", s.Loss), fmt.Sprintf("%.0f", s.FirstMs), fmt.Sprintf("%.0f", s.PauseMs),
		fmt.Sprintf("%.0f", s.PauseWithMs), fmt.Sprintf("%d/%d", s.Jobs, s.Slots), strconv.Itoa(s.FreeMemory), strings.Join(reasons, ", "),
	}
}
