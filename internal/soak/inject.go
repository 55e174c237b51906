package soak

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/carobstile/carobstile/platform/standin"
)

var storeOutages = map[string]standin.Outage{
	"busy": standin.Busy, "too-many": standin.RateLimited, "resets": standin.ResetConnections, "silent": standin.NoResponse,
	"lost-answers": standin.DropWriteResponses,
}

var serverFaults = map[string]standin.Fault{
	"full": standin.RefusesRequests, "fails": standin.Fails, "closes": standin.ClosesWithoutResponse,
	"cuts-stream": standin.CutsStream, "hangs": standin.Hangs, "second-answer": standin.ExtraResponse,
	"unframed":      standin.UnframedResponse,
	"answers-early": standin.RespondsBeforeBody, "other-process": standin.AddressReused,
}

var (
	outageNames      = slices.Sorted(maps.Keys(storeOutages))
	serverFaultNames = slices.Sorted(maps.Keys(serverFaults))
)

// drainDuration is how long a draining server continues to serve; its process ends drainedServerLifetime later.
const (
	drainDuration         = 3 * time.Second
	drainedServerLifetime = 2 * time.Second
)

// injector injects the faults of a schedule and reports the disturbances to the checker.
type injector struct {
	cluster *cluster
	checker *checker
	// next is the program of daemons after an upgrade.
	next   string
	log    *slog.Logger
	active sync.WaitGroup
	// locks serialise faults of one kind on one target, so that one does not undo the other.
	locks [lockCount]sync.Map
}

// Kinds of locks. Faults that take the same lock on the same target run one after the other.
const (
	lockProcess = iota
	lockStoreLink
	lockCallerLink
	lockStore
	lockServer
	lockServerLink
	lockEvacuation
	lockCut
	lockCount
)

func (inj *injector) lock(kind, target int) func() {
	mu := inj.mutex(kind, target)
	mu.Lock()
	return mu.Unlock
}

func (inj *injector) mutex(kind, target int) *sync.Mutex {
	mu, _ := inj.locks[kind].LoadOrStore(target, &sync.Mutex{})
	return mu.(*sync.Mutex)
}

// run starts each fault at its time and returns when all have ended.
func (inj *injector) run(ctx context.Context, faults []Fault) {
	start := time.Now()
	for i, f := range faults {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(milliseconds(f.AtMs)))):
		}
		if ctx.Err() != nil {
			break
		}
		inj.active.Go(func() {
			inj.log.Info("fault begins", "fault", i, "kind", f.Kind, "target", f.Target, "variant", f.Variant, "for_ms", f.ForMs)
			inj.inject(i, f)
			inj.log.Info("fault ends", "fault", i, "kind", f.Kind)
		})
	}
	inj.active.Wait()
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (inj *injector) inject(number int, f Fault) {
	d := f.Target % len(inj.cluster.daemons)
	b := f.Target % len(inj.cluster.backends)
	switch f.Kind {
	case DaemonKill, DaemonFreeze, DaemonStop, DaemonReload, DaemonUpgrade:
		defer inj.lock(lockProcess, d)()
		inj.injectProcessFault(d, f)
	case DaemonsStop:
		inj.stopDaemons(d, f)
	case EnginesSilent:
		inj.silenceEngines(f)
	case DaemonsLost:
		inj.loseDaemons(d, b, f)
	case DaemonStore:
		defer inj.lock(lockStoreLink, d)()
		defer inj.checker.beginDisturbance(scopeDaemon(d))()
		inj.injectLinkFault(inj.cluster.daemons[d].store, f)
	case DaemonCallers:
		defer inj.lock(lockCallerLink, d)()
		defer inj.checker.beginDisturbance(scopeDaemon(d))()
		inj.injectLinkFault(inj.cluster.daemons[d].callers, f)
	case StoreOutage:
		defer inj.lock(lockStore, 0)()
		defer inj.checker.beginDisturbance(scopeStore)()
		inj.cluster.store.SetOutage(storeOutages[f.Variant])
		time.Sleep(milliseconds(f.ForMs))
		inj.cluster.store.SetOutage(standin.Serving)
	case StoreRestored:
		defer inj.lock(lockStore, 0)()
		inj.restoreStore(f)
	case StoreCompact:
		inj.cluster.store.Compact()
	case ServerFault:
		defer inj.lock(lockServer, b)()
		defer inj.checker.beginDisturbance(scopeServers)()
		server := inj.cluster.backends[b].current()
		server.SetFault(serverFaults[f.Variant])
		time.Sleep(milliseconds(f.ForMs))
		server.SetFault(standin.NoFault)
	case ServerLink:
		defer inj.lock(lockServerLink, b)()
		defer inj.checker.beginDisturbance(scopeServers)()
		defer inj.checker.beginDisturbance(scopeServerLink(b))()
		inj.injectLinkFault(inj.cluster.backends[b].link, f)
	case ServerCold:
		b = f.Target % inj.cluster.engines // the other service has no cold time
		defer inj.lock(lockServer, b)()
		inj.replaceServer(b, f)
	case ServerCrash, ServerDrain:
		defer inj.lock(lockServer, b)()
		inj.replaceServer(b, f)
	case ConfigRoute:
		inj.changeRoute(number, f)
	case ConfigKey:
		inj.changeKey(number, f)
	case DaemonsCut:
		defer inj.lock(lockCut, 0)()
		defer inj.checker.beginDisturbance(scopeServers)()
		inj.cutDaemons(d, f)
	case ServerLimit:
		defer inj.lock(lockServer, b)()
		inj.limitServer(inj.cluster.backends[b].current(), f)
	case DeadlyPart:
		part := deadlyPrefix + f.Variant + "-" + strconv.Itoa(number)
		inj.checker.setDeadly(part, true)
		time.Sleep(milliseconds(f.ForMs))
		inj.checker.setDeadly(part, false)
	case Evacuation:
		defer inj.lock(lockEvacuation, 0)()
		inj.evacuate(f)
	case BodyStall:
		inj.stallBodies(number, d, f)
	}
}

func (inj *injector) limitServer(s *standin.Server, f Fault) {
	limit, err := strconv.ParseFloat(f.Variant, 64)
	if err != nil {
		panic(fmt.Sprintf("variant %q of %s: %v", f.Variant, f.Kind, err)) // not in faultSpecs
	}
	s.SetExtraHeader(standin.LimitHeader(limit))
	inj.checker.setLimit(s.ID, limit)
	time.Sleep(milliseconds(f.ForMs))
	inj.checker.setLimit(s.ID, 0)
	s.SetExtraHeader("")
}

// crashedServerRestart is how long a server is away that a request has crashed.
const crashedServerRestart = time.Second

// restartCrashed starts the successor of a server that is about to crash by a request.
func (inj *injector) restartCrashed(number int, s *standin.Server) {
	end := inj.checker.beginDisturbance(scopeServers)
	inj.active.Go(func() {
		defer end()
		time.Sleep(crashedServerRestart)
		b := inj.cluster.backends[number]
		if b.current() != s {
			return // another fault has replaced it
		}
		inj.cluster.removeServerEntry(b, s)
		if err := inj.cluster.startServer(b, number, 0); err != nil {
			inj.checker.reportViolation("PROCESS", "", "server %d did not start: %v", number, err)
		}
	})
}

func (inj *injector) injectLinkFault(p *proxy, f Fault) {
	p.setLink(Link(f.Variant))
	time.Sleep(milliseconds(f.ForMs))
	p.setLink(LinkNormal)
}

func (inj *injector) injectProcessFault(i int, f Fault) {
	p := inj.cluster.daemons[i].process
	switch f.Kind {
	case DaemonKill:
		defer inj.checker.beginDisturbance(scopeDaemon(i))()
		p.kill()
		time.Sleep(milliseconds(f.ForMs))
	case DaemonFreeze:
		defer inj.checker.beginDisturbance(scopeDaemon(i))()
		p.signal(syscall.SIGSTOP, false)
		time.Sleep(milliseconds(f.ForMs))
		p.signal(syscall.SIGCONT, false)
		return
	case DaemonStop, DaemonUpgrade:
		defer inj.checker.beginDisturbance(scopeStopping(i))()
		inj.stopDaemon(i)
		if f.Kind == DaemonUpgrade {
			p.program = inj.next
		}
		time.Sleep(milliseconds(f.ForMs))
	default:
		// Before its first instruction a process cannot catch SIGHUP and has no settings to reload.
		inj.cluster.daemons[i].waitListening()
		p.signal(syscall.SIGHUP, false)
		return
	}
	if err := p.start(); err != nil {
		inj.checker.reportViolation("PROCESS", "", "daemon %d did not start: %v", i, err)
	}
}

// drainDelay is how long after the loss of several daemons a server starts to drain.
const drainDelay = 20 * time.Millisecond

// loseDaemons kills or freezes several daemons at once, from the given one on, but not all, and drains a server.
func (inj *injector) loseDaemons(first, server int, f Fault) {
	kind := DaemonKill
	if f.Variant == lostFrozen {
		kind = DaemonFreeze
	}
	n := len(inj.cluster.daemons)
	var lost sync.WaitGroup
	for i := range max(1, (n-1)*2/3) {
		lost.Go(func() {
			d := (first + i) % n
			defer inj.lock(lockProcess, d)()
			inj.injectProcessFault(d, Fault{Kind: kind, ForMs: f.ForMs})
		})
	}
	time.Sleep(drainDelay)
	unlock := inj.lock(lockServer, server)
	inj.replaceServer(server, Fault{Kind: ServerDrain, ForMs: f.ForMs})
	unlock()
	lost.Wait()
}

// stopDaemon sends SIGTERM and, after the grace period, SIGKILL, as the platform does.
func (inj *injector) stopDaemon(i int) {
	p := inj.cluster.daemons[i].process
	p.signal(syscall.SIGTERM, true)
	select {
	case <-p.exitedChan():
	case <-time.After(stopGraceSeconds * time.Second):
		inj.checker.reportViolation("STOP", "", "daemon %d still runs %d s after SIGTERM: %s", i, stopGraceSeconds, p.kernelState())
		p.kill()
	}
}

// replaceServer stops a server, after draining it or abruptly, and starts its successor.
func (inj *injector) replaceServer(i int, f Fault) {
	b := inj.cluster.backends[i]
	old := b.current()
	if f.Kind == ServerDrain {
		inj.cluster.putServerEntry(b, old, standin.StateDraining, 0)
		inj.checker.markDraining(old.ID)
		time.Sleep(drainDuration + drainedServerLifetime)
	} else {
		defer inj.checker.beginDisturbance(scopeServers)()
	}
	old.Close()
	away, cold := milliseconds(f.ForMs), time.Duration(0)
	if f.Kind == ServerCold {
		away, cold = crashedServerRestart, away
	}
	time.Sleep(away)
	inj.cluster.removeServerEntry(b, old)
	if err := inj.cluster.startServer(b, i, cold); err != nil {
		inj.checker.reportViolation("PROCESS", "", "server %d did not start: %v", i, err)
	}
	if cold > 0 {
		inj.checker.markCold(b.current().ID, cold)
	}
}

// changeRoute adds a route and removes it after ForMs; callers may use it from the time it was added, also after its removal.
func (inj *injector) changeRoute(number int, f Fault) {
	prefix := extraRoute + strconv.Itoa(number) + "/"
	inj.cluster.updateConfig(func() {
		inj.cluster.routes[prefix] = dynamicKind(prefix).route()
	})
	inj.checker.setAllowed(prefix, true)
	time.Sleep(milliseconds(f.ForMs))
	inj.cluster.updateConfig(func() { delete(inj.cluster.routes, prefix) })
	inj.checker.setAllowed(prefix, false)
}

// changeKey adds a key and revokes it after ForMs.
func (inj *injector) changeKey(number int, f Fault) {
	key := "key-" + strconv.Itoa(number)
	inj.cluster.updateConfig(func() { inj.cluster.keys[key] = workspace })
	inj.checker.setAllowed(key, true)
	time.Sleep(milliseconds(f.ForMs))
	inj.cluster.updateConfig(func() { delete(inj.cluster.keys, key) })
	inj.checker.setAllowed(key, false)
}
