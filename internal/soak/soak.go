// Package soak runs real daemons as processes on loopback addresses, injects faults from outside them by a seeded
// schedule, and judges the promises of docs/promises.md by what callers and servers see. Only processes that a run started
// are signalled, by their ids.
package soak

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startWithin bounds the start of a daemon, which takes under a second on an idle machine.
	startWithin = 15 * time.Second
	// servedSpan follows the time to recover; requests must succeed in it.
	servedSpan = 5 * time.Second
	// pollEvery is how often processes are looked at.
	pollEvery = 250 * time.Millisecond
)

// Result is what a run found.
type Result struct {
	Schedule   Schedule       `json:"schedule"`
	Violations []Violation    `json:"violations"`
	Outcomes   map[string]int `json:"outcomes"`
	// PeakMemoryMB is the largest resident memory of a daemon.
	PeakMemoryMB int           `json:"peakMemoryMB"`
	Took         time.Duration `json:"took"`
}

// Options of a run.
type Options struct {
	// Program is the carobedge binary; Dir holds settings and logs.
	Program, Dir string
	Log          *slog.Logger
}

// Run plays a schedule. The error tells of a run that could not be played; broken promises stand in the result.
func Run(ctx context.Context, s Schedule, o Options) (Result, error) {
	began := time.Now()
	j := newJudge(o.Log)
	c, err := newCluster(s, o.Program, o.Dir, j.ran)
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return Result{}, err
	}
	if err := c.waitReady(); err != nil {
		return Result{}, err
	}
	peak := play(ctx, s, c, j, o.Log)
	j.mu.Lock()
	defer j.mu.Unlock()
	return Result{
		Schedule: s, Violations: j.violations, Outcomes: j.counts, PeakMemoryMB: peak, Took: time.Since(began),
	}, ctx.Err()
}

func (c *cluster) waitReady() error {
	end := time.Now().Add(startWithin)
	for _, d := range c.daemons {
		for !d.ready() {
			if time.Now().After(end) {
				return errors.Newf("%s is not ready %v after its start", d.name, startWithin)
			}
			time.Sleep(pollEvery)
		}
	}
	return nil
}

// play runs traffic, faults and the calm span, and returns the peak memory of a daemon in MB.
func play(ctx context.Context, s Schedule, c *cluster, j *judge, log *slog.Logger) int {
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var callers, watcher sync.WaitGroup
	for i := range s.Callers {
		callers.Go(func() { newCaller(c, j, s.Seed, uint64(i)).run(traffic) })
	}
	peak := 0
	watcher.Go(func() { peak = watch(watching, c, j) })
	(&injector{cluster: c, judge: j, log: log}).run(ctx, s.Faults)
	rest(ctx, recoverWithin)
	calm := time.Now()
	rest(ctx, servedSpan)
	stopTraffic()
	callers.Wait()
	stopWatching()
	watcher.Wait()
	if ctx.Err() == nil {
		checkRecovery(c, j, calm)
	}
	return peak
}

func rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watch checks the processes until ctx ends, and returns their peak memory in MB.
func watch(ctx context.Context, c *cluster, j *judge) int {
	peak := 0
	dead := map[int]bool{}
	for ctx.Err() == nil {
		for i, d := range c.daemons {
			if !dead[i] && d.process.diedAlone() {
				dead[i] = true
				j.violate("PROCESS", "", "daemon %d ended by itself", i)
			}
			used, running := d.process.memoryMB()
			if running && used > daemonMemoryMB {
				j.violate("MEMORY", "", "daemon %d uses %d MB of %d", i, used, daemonMemoryMB)
			}
			peak = max(peak, used)
		}
		rest(ctx, pollEvery)
	}
	return peak
}

// checkRecovery judges the deployment at the end, when nothing is broken.
func checkRecovery(c *cluster, j *judge, calm time.Time) {
	sent, succeeded := j.served(calm, time.Now())
	if float64(succeeded) < servedShare*float64(sent) || sent == 0 {
		j.violate("RECOVER", "", "%d of %d requests succeeded %v after the last fault", succeeded, sent, recoverWithin)
	}
	for i, d := range c.daemons {
		if !d.ready() {
			j.violate("RECOVER", "", "daemon %d is not ready %v after the last fault", i, recoverWithin)
		}
	}
	end := time.Now().Add(freeWithin)
	for _, b := range c.backends {
		for b.current().Reserved() > 0 && time.Now().Before(end) {
			time.Sleep(pollEvery)
		}
		if held := b.current().Reserved(); held > 0 {
			j.violate("LEAK", "", "server %s holds %d tokens %v after the last request", b.current().ID, held, freeWithin)
		}
	}
}
