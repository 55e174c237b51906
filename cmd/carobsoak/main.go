// Command carobsoak injects faults into a deployment of carobedge processes on this machine and verifies the guarantees of
// docs/promises.md. It exits with status 1 if one was violated.
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
	Program string `long:"program" value-name:"FILE" required:"true" description:"path of the carobedge binary"`
	Next    string `long:"next" value-name:"FILE" description:"path of the carobedge binary after a daemon-upgrade; default: that of --program"`
	Seed    uint64 `long:"seed" default:"1" description:"first seed"`
	Seeds   uint64 `long:"seeds" default:"1" description:"number of consecutive seeds to run, one after the other"`
	Daemons int    `long:"daemons" default:"6" description:"number of carobedge processes"`
	Engines int    `long:"engines" default:"6" description:"number of model engines"`
	Plain   int    `long:"plain" default:"3" description:"number of plain servers"`
	Callers int    `long:"callers" default:"24" description:"number of callers, each with one request at a time"`
	Faults  int    `long:"faults" default:"20" description:"number of faults in a schedule"`
	Span    int    `long:"span-ms" default:"20000" description:"period in milliseconds in which faults start"`
	Hard    bool   `long:"hard-load" description:"also evacuate failure domains, start servers cold and stall bodies"`
	Stops   bool   `long:"stops" description:"also stop many daemons in a series and let engines be silent"`
	Replay  string `long:"schedule" value-name:"FILE" description:"run this schedule instead of generated ones"`
	Print   bool   `long:"print" description:"print the schedules and exit"`
	Shrink  int    `long:"shrink" default:"0" value-name:"RUNS" description:"after a failure, search for a shorter failing schedule in at most this many runs"`
	Dir     string `long:"dir" value-name:"DIR" default:"target/soak" description:"directory for settings, logs and results"`
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
	failed, err := run(ctx, &o)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if failed > 0 || err != nil {
		stop()
		os.Exit(exitFailed)
	}
}

// run executes all schedules and returns the number of schedules with violations.
func run(ctx context.Context, o *options) (int, error) {
	schedules, err := o.schedules()
	if err != nil {
		return 0, err
	}
	failed := 0
	for _, s := range schedules {
		if o.Print {
			if err := s.Write(os.Stdout); err != nil {
				return failed, err
			}
			continue
		}
		result, err := runSchedule(ctx, s, o)
		if err != nil {
			return failed, errors.Wrapf(err, "seed %d", s.Seed)
		}
		if len(result.Violations) == 0 {
			continue
		}
		failed++
		if o.Shrink > 0 {
			if err := shrink(ctx, s, o); err != nil {
				return failed, err
			}
		}
	}
	return failed, nil
}

func (o *options) schedules() ([]soak.Schedule, error) {
	if o.Replay != "" {
		file, err := os.Open(o.Replay)
		if err != nil {
			return nil, errors.Wrap(err, "open schedule")
		}
		defer file.Close()
		s, err := soak.Read(file)
		return []soak.Schedule{s}, err
	}
	var out []soak.Schedule
	for seed := o.Seed; seed < o.Seed+o.Seeds; seed++ {
		s := soak.Schedule{
			Seed: seed, Daemons: o.Daemons, Engines: o.Engines, Plain: o.Plain, Callers: o.Callers, FaultsMs: o.Span,
			HardLoad: o.Hard, Stops: o.Stops,
		}
		if err := s.Check(); err != nil {
			return nil, err
		}
		out = append(out, soak.Generate(s, o.Faults))
	}
	return out, nil
}

// runSchedule executes one schedule and keeps the schedule, settings, logs and result in a directory for its seed.
func runSchedule(ctx context.Context, s soak.Schedule, o *options) (soak.Result, error) {
	dir := filepath.Join(o.Dir, "seed-"+strconv.FormatUint(s.Seed, 10))
	if err := os.RemoveAll(dir); err != nil {
		return soak.Result{}, errors.Wrap(err, "remove directory of an earlier run")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return soak.Result{}, errors.Wrap(err, "create directory of the run")
	}
	logFile, err := os.Create(filepath.Join(dir, "soak.log"))
	if err != nil {
		return soak.Result{}, errors.Wrap(err, "create log of the run")
	}
	defer logFile.Close()
	result, err := soak.Run(ctx, s, soak.Options{
		Program: o.Program, Next: o.Next, Dir: dir, Log: slog.New(slog.NewTextHandler(logFile, nil)),
	})
	if err != nil {
		return result, err
	}
	data, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return result, errors.Wrap(err, "encode result")
	}
	fmt.Printf("seed=%d faults=%d broken=%d peak_mb=%d took=%.1fs outcomes=%v\n",
		s.Seed, len(s.Faults), len(result.Violations), result.PeakMemoryMB, result.Took.Seconds(), result.Outcomes)
	for _, v := range result.Violations {
		fmt.Printf("  %s at %.2fs request=%s: %s\n", v.Guarantee, v.At.Seconds(), v.Request, v.Detail)
	}
	return result, errors.Wrap(os.WriteFile(filepath.Join(dir, "result.json"), data, 0o644), "write result")
}

func shrink(ctx context.Context, s soak.Schedule, o *options) error {
	var runErr error
	shortest := soak.Shrink(s, o.Shrink, func(candidate soak.Schedule) bool {
		result, err := runSchedule(ctx, candidate, o)
		runErr = errors.CombineErrors(runErr, err)
		return err == nil && len(result.Violations) > 0
	})
	fmt.Printf("shortest schedule found, %d faults:\n", len(shortest.Faults))
	return errors.CombineErrors(runErr, shortest.Write(os.Stdout))
}
