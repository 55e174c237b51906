package soak

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/carobstile/carobstile/platform/standin"
)

var outages = map[string]standin.Outage{
	"busy": standin.Busy, "too-many": standin.TooMany, "resets": standin.Resets, "silent": standin.Silent,
	"lost-answers": standin.LostLate,
}

var serverFaults = map[string]standin.Fault{
	"full": standin.Full, "fails": standin.Fails, "closes": standin.ClosesAfter, "cuts-stream": standin.CutsStream,
	"hangs": standin.Hangs, "second-answer": standin.SecondAnswer, "unframed": standin.Unframed,
	"answers-early": standin.AnswersEarly, "other-process": standin.OtherProcess,
}

var (
	outageNames      = slices.Sorted(maps.Keys(outages))
	serverFaultNames = slices.Sorted(maps.Keys(serverFaults))
)

// drainFor is how long a server that leaves goes on serving, and stoppedAfter how much later its process ends.
const (
	drainFor     = 3 * time.Second
	stoppedAfter = 2 * time.Second
)

// injector carries out a schedule and notes in the judge what is disturbed while.
type injector struct {
	cluster *cluster
	judge   *judge
	log     *slog.Logger
	running sync.WaitGroup
	// locks let faults of one kind on one target follow each other instead of undoing each other.
	locks [lockCount]sync.Map
}

// Faults that take the same lock on the same target follow one another.
const (
	lockProcess = iota
	lockStoreLink
	lockCallerLink
	lockStore
	lockServer
	lockServerLink
	lockCount
)

func (j *injector) lock(kind, target int) func() {
	mu, _ := j.locks[kind].LoadOrStore(target, &sync.Mutex{})
	mu.(*sync.Mutex).Lock()
	return mu.(*sync.Mutex).Unlock
}

// run starts each fault at its time, and returns when all have ended.
func (j *injector) run(ctx context.Context, faults []Fault) {
	began := time.Now()
	for i, f := range faults {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(ms(f.AtMs)))):
		}
		if ctx.Err() != nil {
			break
		}
		j.running.Go(func() {
			j.log.Info("fault begins", "fault", i, "kind", f.Kind, "target", f.Target, "variant", f.Variant, "for_ms", f.ForMs)
			j.inject(i, f)
			j.log.Info("fault ends", "fault", i, "kind", f.Kind)
		})
	}
	j.running.Wait()
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (j *injector) inject(number int, f Fault) {
	d := f.Target % len(j.cluster.daemons)
	b := f.Target % len(j.cluster.backends)
	switch f.Kind {
	case DaemonKill, DaemonFreeze, DaemonStop, DaemonReload:
		defer j.lock(lockProcess, d)()
		j.injectProcess(d, f)
	case DaemonStore:
		defer j.lock(lockStoreLink, d)()
		defer j.judge.disturb(scopeDaemon(d))()
		j.harmLink(j.cluster.daemons[d].store, f)
	case DaemonCallers:
		defer j.lock(lockCallerLink, d)()
		defer j.judge.disturb(scopeDaemon(d))()
		j.harmLink(j.cluster.daemons[d].callers, f)
	case StoreOutage:
		defer j.lock(lockStore, 0)()
		defer j.judge.disturb(scopeStore)()
		j.cluster.store.SetOutage(outages[f.Variant])
		time.Sleep(ms(f.ForMs))
		j.cluster.store.SetOutage(standin.Serving)
	case StoreCompact:
		j.cluster.store.Compact()
	case ServerFault:
		defer j.lock(lockServer, b)()
		defer j.judge.disturb(scopeServers)()
		server := j.cluster.backends[b].current()
		server.SetFault(serverFaults[f.Variant])
		time.Sleep(ms(f.ForMs))
		server.SetFault(standin.Sound)
	case ServerLink:
		defer j.lock(lockServerLink, b)()
		defer j.judge.disturb(scopeServers)()
		j.harmLink(j.cluster.backends[b].link, f)
	case ServerCrash, ServerDrain:
		defer j.lock(lockServer, b)()
		j.replaceServer(b, f)
	case ConfigRoute:
		j.changeRoute(number, f)
	case ConfigKey:
		j.changeKey(number, f)
	}
}

func (j *injector) harmLink(p *proxy, f Fault) {
	p.set(Link(f.Variant))
	time.Sleep(ms(f.ForMs))
	p.set(LinkSound)
}

func (j *injector) injectProcess(i int, f Fault) {
	p := j.cluster.daemons[i].process
	switch f.Kind {
	case DaemonKill:
		defer j.judge.disturb(scopeDaemon(i))()
		p.kill()
		time.Sleep(ms(f.ForMs))
	case DaemonFreeze:
		defer j.judge.disturb(scopeDaemon(i))()
		p.signal(syscall.SIGSTOP, false)
		time.Sleep(ms(f.ForMs))
		p.signal(syscall.SIGCONT, false)
		return
	case DaemonStop:
		defer j.judge.disturb(scopeStopping(i))()
		j.stop(i)
		time.Sleep(ms(f.ForMs))
	default:
		// Before its first instruction a program cannot catch a signal, and has read no settings.
		j.cluster.daemons[i].waitListening()
		p.signal(syscall.SIGHUP, false)
		return
	}
	if err := p.start(); err != nil {
		j.judge.violate("PROCESS", "", "daemon %d did not start: %v", i, err)
	}
}

// stop sends SIGTERM and, after the grace period, SIGKILL, as the platform does.
func (j *injector) stop(i int) {
	p := j.cluster.daemons[i].process
	p.signal(syscall.SIGTERM, true)
	select {
	case <-p.wait():
	case <-time.After(stopGraceSeconds * time.Second):
		j.judge.violate("STOP", "", "daemon %d still runs %d s after SIGTERM: %s", i, stopGraceSeconds, p.state())
		p.kill()
	}
}

// replaceServer ends a server, with notice or without, and starts its successor.
func (j *injector) replaceServer(i int, f Fault) {
	b := j.cluster.backends[i]
	old := b.current()
	if f.Kind == ServerDrain {
		j.cluster.enter(b, old, standin.StateDraining)
		j.judge.leaving(old.ID)
		time.Sleep(drainFor + stoppedAfter)
	} else {
		defer j.judge.disturb(scopeServers)()
	}
	old.Close()
	time.Sleep(ms(f.ForMs))
	j.cluster.store.Delete(standin.KindServers, old.ID)
	if err := j.cluster.startServer(b, i); err != nil {
		j.judge.violate("PROCESS", "", "server %d did not start: %v", i, err)
	}
}

// changeRoute adds a route and drops it again; callers use it all the while and afterwards.
func (j *injector) changeRoute(number int, f Fault) {
	prefix := extraRoute + strconv.Itoa(number) + "/"
	j.cluster.configure(func() {
		j.cluster.routes[prefix] = probeKind(prefix).route()
	})
	j.judge.allowed(prefix, true)
	time.Sleep(ms(f.ForMs))
	j.cluster.configure(func() { delete(j.cluster.routes, prefix) })
	j.judge.allowed(prefix, false)
}

// changeKey adds a key and revokes it again.
func (j *injector) changeKey(number int, f Fault) {
	key := "key-" + strconv.Itoa(number)
	j.cluster.configure(func() { j.cluster.keys[key] = workspace })
	j.judge.allowed(key, true)
	time.Sleep(ms(f.ForMs))
	j.cluster.configure(func() { delete(j.cluster.keys, key) })
	j.judge.allowed(key, false)
}
