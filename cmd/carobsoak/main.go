// Command carobsoak injects faults into a deployment of carobedge processes on this machine and judges the promises of
// docs/promises.md. It exits with 1 if one was broken.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"
	flags "github.com/jessevdk/go-flags"

	"github.com/carobstile/carobstile/internal/soak"
)

type options struct {
	Program string `long:"program" value-name:"FILE" required:"true" description:"the carobedge binary"`
	Seed    uint64 `long:"seed" default:"1" description:"first seed"`
	Seeds   uint64 `long:"seeds" default:"1" description:"how many seeds to play, one after the other"`
	Daemons int    `long:"daemons" default:"6" description:"carobedge processes"`
	Engines int    `long:"engines" default:"6" description:"model engines"`
	Plain   int    `long:"plain" default:"3" description:"plain servers"`
	Callers int    `long:"callers" default:"24" description:"callers, each with one request at a time"`
	Faults  int    `long:"faults" default:"20" description:"faults of a schedule"`
	Span    int    `long:"span-ms" default:"20000" description:"milliseconds in which faults begin"`
	Replay  string `long:"schedule" value-name:"FILE" description:"play this schedule instead of drawn ones"`
	Print   bool   `long:"print" description:"print the schedules and exit"`
	Shrink  int    `long:"shrink" default:"0" value-name:"RUNS" description:"after a failure, look for a shorter schedule that fails, with at most this many runs"`
	Dir     string `long:"dir" value-name:"DIR" default:"target/soak" description:"where settings, logs and results are kept"`
}

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		if e := new(flags.Error); errors.As(err, &e) && e.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	broken, err := run(ctx, &o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if broken > 0 || err != nil {
		stop()
		os.Exit(exitFailed)
	}
}

// run plays all schedules and returns how many broke a promise.
func run(ctx context.Context, o *options) (int, error) {
	schedules, err := o.schedules()
	if err != nil {
		return 0, err
	}
	broken := 0
	for _, s := range schedules {
		if o.Print {
			if err := s.Write(os.Stdout); err != nil {
				return broken, err
			}
			continue
		}
		result, err := play(ctx, s, o)
		if err != nil {
			return broken, errors.Wrapf(err, "seed %d", s.Seed)
		}
		if len(result.Violations) == 0 {
			continue
		}
		broken++
		if o.Shrink > 0 {
			if err := shrink(ctx, s, o); err != nil {
				return broken, err
			}
		}
	}
	return broken, nil
}

func (o *options) schedules() ([]soak.Schedule, error) {
	if o.Replay != "" {
		file, err := os.Open(o.Replay)
		if err != nil {
			return nil, errors.Wrap(err, "schedule")
		}
		defer file.Close()
		s, err := soak.Read(file)
		return []soak.Schedule{s}, err
	}
	var out []soak.Schedule
	for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
		s := soak.Schedule{
			Seed: seed, Daemons: o.Daemons, Engines: o.Engines, Plain: o.Plain, Callers: o.Callers, FaultsMs: o.Span,
		}
		if err := s.Check(); err != nil {
			return nil, err
		}
		out = append(out, soak.Generate(s, o.Faults))
	}
	return out, nil
}

// play plays one schedule; its directory keeps the schedule, the result and the logs.
func play(ctx context.Context, s soak.Schedule, o *options) (soak.Result, error) {
	dir := filepath.Join(o.Dir, "seed-"+strconv.FormatUint(s.Seed, 10))
	if err := os.RemoveAll(dir); err != nil {
		return soak.Result{}, errors.Wrap(err, "directory of the run")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return soak.Result{}, errors.Wrap(err, "directory of the run")
	}
	events, err := os.Create(filepath.Join(dir, "soak.log"))
	if err != nil {
		return soak.Result{}, errors.Wrap(err, "log of the run")
	}
	defer events.Close()
	result, err := soak.Run(ctx, s, soak.Options{
		Program: o.Program, Dir: dir, Log: slog.New(slog.NewTextHandler(events, nil)),
	})
	if err != nil {
		return result, err
	}
	data, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return result, errors.Wrap(err, "result")
	}
	fmt.Printf("seed=%d faults=%d broken=%d peak_mb=%d took=%.1fs outcomes=%v\n",
		s.Seed, len(s.Faults), len(result.Violations), result.PeakMemoryMB, result.Took.Seconds(), result.Outcomes)
	for _, v := range result.Violations {
		fmt.Printf("  %s at %.2fs request=%s: %s\n", v.Promise, v.At.Seconds(), v.Request, v.What)
	}
	return result, errors.Wrap(os.WriteFile(filepath.Join(dir, "result.json"), data, 0o644), "result")
}

func shrink(ctx context.Context, s soak.Schedule, o *options) error {
	var failed error
	small := soak.Shrink(s, o.Shrink, func(candidate soak.Schedule) bool {
		result, err := play(ctx, candidate, o)
		failed = errors.CombineErrors(failed, err)
		return err == nil && len(result.Violations) > 0
	})
	fmt.Printf("shortest schedule found, %d faults:\n", len(small.Faults))
	return errors.CombineErrors(failed, small.Write(os.Stdout))
}
