// Package soak runs real daemon processes on loopback addresses, injects faults from outside according to a seeded schedule,
// and verifies the guarantees of docs/promises.md from what callers and servers observe. A run signals only processes that
// it started, by their ids.
package soak

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startTimeout limits the start of a daemon, which takes under a second on an idle machine.
	startTimeout = 15 * time.Second
	// recoveryCheckPeriod follows recoveryTimeout; minSuccessRatio of the requests sent in it must succeed.
	recoveryCheckPeriod = 5 * time.Second
	// pollInterval is the interval between checks of the processes.
	pollInterval = 250 * time.Millisecond
)

// Result is the outcome of a run.
type Result struct {
	Schedule   Schedule       `json:"schedule"`
	Violations []Violation    `json:"violations"`
	Outcomes   map[string]int `json:"outcomes"`
	// PeakMemoryMB is the largest resident memory of any daemon.
	PeakMemoryMB int           `json:"peakMemoryMB"`
	Took         time.Duration `json:"took"`
}

// Options of a run.
type Options struct {
	// Program is the path of the carobedge binary; Dir is the directory for settings and logs.
	Program, Dir string
	// Next is the path of the binary that daemons run after a DaemonUpgrade; "" for Program.
	Next string
	Log  *slog.Logger
}

// Run executes a schedule. It returns an error if the run could not be executed; violations are part of the result.
func Run(ctx context.Context, s Schedule, o Options) (Result, error) {
	start := time.Now()
	checker := newChecker(o.Log)
	c, err := newCluster(s, o.Program, o.Dir, checker.recordRun, checker.recordArrival)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return Result{}, err
	}
	if err := c.waitReady(); err != nil {
		return Result{}, err
	}
	peak := runSchedule(ctx, s, c, checker, cmp.Or(o.Next, o.Program), o.Log)
	checker.mu.Lock()
	defer checker.mu.Unlock()
	return Result{
		Schedule: s, Violations: checker.violations, Outcomes: checker.outcomeCounts, PeakMemoryMB: peak, Took: time.Since(start),
	}, ctx.Err()
}

func (c *cluster) waitReady() error {
	end := time.Now().Add(startTimeout)
	for _, d := range c.daemons {
		for !d.ready() {
			if time.Now().After(end) {
				return errors.Newf("%s is not ready %v after the start of the deployment", d.name, startTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// runSchedule runs the callers, the faults and the recovery check, and returns the peak memory of any daemon in MB.
func runSchedule(ctx context.Context, s Schedule, c *cluster, checker *checker, next string, log *slog.Logger) int {
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	monitoring, stopMonitoring := context.WithCancel(ctx)
	defer stopMonitoring()
	var callers, monitor sync.WaitGroup
	monitor.Go(func() { checker.stalls.run(monitoring) })
	for i := range s.Callers {
		callers.Go(func() { newCaller(c, checker, s.Seed, uint64(i)).run(traffic) })
	}
	peak := 0
	monitor.Go(func() { peak = monitorProcesses(monitoring, c, checker) })
	inj := &injector{cluster: c, checker: checker, next: next, log: log}
	onCrash := inj.restartCrashed
	c.onCrash.Store(&onCrash)
	inj.run(ctx, s.Faults)
	sleep(ctx, recoveryTimeout)
	recovered := time.Now()
	sleep(ctx, recoveryCheckPeriod)
	stopTraffic()
	callers.Wait()
	stopMonitoring()
	monitor.Wait()
	if ctx.Err() == nil {
		checkRecovery(c, checker, recovered)
	}
	return peak
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// monitorProcesses checks the processes until ctx ends and returns their peak memory in MB.
func monitorProcesses(ctx context.Context, c *cluster, checker *checker) int {
	peak := 0
	exited := map[int]bool{}
	for ctx.Err() == nil {
		for i, d := range c.daemons {
			if !exited[i] && d.process.exitedUnexpectedly() {
				exited[i] = true
				checker.reportViolation("PROCESS", "", "daemon %d exited unexpectedly", i)
			}
			used, running := d.process.memoryMB()
			if running && used > daemonMemoryMB {
				checker.reportViolation("MEMORY", "", "daemon %d uses %d MB of memory, allowed are %d MB", i, used, daemonMemoryMB)
			}
			peak = max(peak, used)
		}
		sleep(ctx, pollInterval)
	}
	return peak
}

// checkRecovery checks the deployment at the end of a run, when no fault is active. recovered is when the recovery time ended.
func checkRecovery(c *cluster, checker *checker, recovered time.Time) {
	sent, succeeded := checker.countSuccesses(recovered, time.Now())
	if float64(succeeded) < minSuccessRatio*float64(sent) || sent == 0 {
		checker.reportViolation("RECOVER", "", "%d of %d requests succeeded %v after the last fault", succeeded, sent, recoveryTimeout)
	}
	for i, d := range c.daemons {
		if !d.ready() {
			checker.reportViolation("RECOVER", "", "daemon %d is not ready %v after the last fault", i, recoveryTimeout)
		}
	}
	end := time.Now().Add(reservationReleaseTimeout)
	for _, b := range c.backends {
		for b.current().ReservedTokens() > 0 && time.Now().Before(end) {
			time.Sleep(pollInterval)
		}
		if held := b.current().ReservedTokens(); held > 0 {
			checker.reportViolation("LEAK", "", "server %s still has %d tokens reserved %v after the last request",
				b.current().ID, held, reservationReleaseTimeout)
		}
	}
}
