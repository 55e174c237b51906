// Command carobload generates open-loop load on an OpenAI-compatible address and compares the results of runs.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/carobstile/carobstile/internal/load"
)

type runCommand struct {
	Mix        string        `long:"mix" required:"true" value-name:"FILE" description:"JSON mix"`
	Check      bool          `long:"check" description:"print all findings in the mix and exit"`
	Targets    []string      `long:"target" value-name:"IP:PORT" description:"target address; may be repeated, targets are used in rotation"`
	Out        string        `long:"out" value-name:"FILE" description:"write the result as JSON to this file"`
	Baseline   string        `long:"baseline" value-name:"FILE" description:"earlier result against which the slowdown of short requests is computed"`
	Only       []string      `long:"only" value-name:"CLASS" description:"send only this class or route; may be repeated"`
	Seed       uint64        `long:"seed" description:"overrides the seed of the mix if above 0"`
	Rate       float64       `long:"rate" description:"overrides the request rate of the mix if above 0"`
	Duration   time.Duration `long:"duration" description:"overrides the duration of the mix if above 0"`
	Resume     bool          `long:"resume" description:"resume broken streams with Last-Event-ID"`
	MaxResumes int           `long:"max-resumes" default:"5" description:"maximum number of resumes of one request"`
	MaxOpen    int           `long:"max-open" default:"4096" description:"maximum number of open requests"`
	Timeout    time.Duration `long:"timeout" default:"10m" description:"timeout of one request"`
	Revision   string        `long:"revision" description:"git revision recorded in the result"`
}

type compareCommand struct {
	Plots  string `long:"plots" value-name:"DIR" description:"write plots to this directory"`
	Format string `long:"format" choice:"svg" choice:"png" default:"svg" description:"format of the plots"`
	Args   struct {
		Results []string `positional-arg-name:"RESULT" required:"1"`
	} `positional-args:"true"`
}

func main() {
	parser := flags.NewParser(nil, flags.Default)
	must(parser.AddCommand("run", "run a mix", "Sends the requests of a mix at their intended times.", &runCommand{}))
	must(parser.AddCommand("compare", "compare results", "Prints results side by side.", &compareCommand{}))
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			return
		}
		os.Exit(1)
	}
}

func must(_ *flags.Command, err error) {
	if err != nil {
		panic(err)
	}
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	mix, err := load.ReadMix(c.Mix)
	if err != nil || c.Check {
		return err
	}
	if len(c.Targets) == 0 {
		return errors.New("expected at least one --target")
	}
	c.applyOverrides(&mix)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	runner := load.Runner{
		Mix: mix, Targets: c.Targets, Only: c.Only, Resume: c.Resume, MaxResumes: c.MaxResumes, MaxOpen: c.MaxOpen,
		RequestTimeout: c.Timeout, Revision: c.Revision,
	}
	if runner.Revision == "" {
		runner.Revision = load.BuildRevision()
	}
	return c.report(runner.Run(ctx))
}

func (c *runCommand) applyOverrides(mix *load.Mix) {
	if c.Seed > 0 {
		mix.Seed = c.Seed
	}
	if c.Rate > 0 {
		mix.RatePerSecond = c.Rate
	}
	if c.Duration > 0 {
		mix.DurationSeconds = c.Duration.Seconds()
	}
}

func (c *runCommand) report(result *load.Result) error {
	if c.Baseline != "" {
		baseline, err := load.ReadResult(c.Baseline)
		if err != nil {
			return err
		}
		result.Slowdown = load.NewSlowdown(result, baseline, filepath.Base(c.Baseline))
	}
	if c.Out != "" {
		if err := result.Write(c.Out); err != nil {
			return err
		}
	}
	if err := load.Table(os.Stdout, []load.NamedResult{{Name: result.Mix.Name, Result: result}}); err != nil {
		return err
	}
	if n := result.Wrong(); n > 0 {
		return fmt.Errorf("%d answers were wrong, incomplete or not verified", n)
	}
	return nil
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	var results []load.NamedResult
	for _, path := range c.Args.Results {
		r, err := load.ReadResult(path)
		if err != nil {
			return err
		}
		results = append(results, load.NamedResult{Name: strings.TrimSuffix(filepath.Base(path), ".json"), Result: r})
	}
	if err := load.Table(os.Stdout, results); err != nil {
		return err
	}
	if c.Plots == "" {
		return nil
	}
	if err := os.MkdirAll(c.Plots, 0o755); err != nil {
		return err
	}
	paths, err := load.Plots(c.Plots, c.Format, results)
	for _, p := range paths {
		fmt.Println("wrote", p)
	}
	return err
}
