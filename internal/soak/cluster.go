package soak

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/edge"
	"github.com/carobstile/carobstile/internal/loopback"
	"github.com/carobstile/carobstile/platform/standin"
)

// Names used in the configuration of a run.
const (
	host          = "soak.example"
	workspace     = "school"
	baseKey       = "key-of-school"
	engineService = "engines"
	plainService  = "desk"
	failureDomain = "z1"
	extraRoute    = "/extra/"
	deadlyPrefix  = "deadly-"
)

const (
	// engineMemoryTokens is small, so that longPromptTokens needs reservations on several engines.
	engineMemoryTokens = 60_000
	longPromptTokens   = 90_000
	// widePromptTokens and minWideEngines are the length of a wide prompt of dispatch and the engines that it needs.
	widePromptTokens  = 400_000
	minWideEngines    = 17
	shortPromptTokens = 2_000
	answerTokens      = 100
	streamEvents      = 12
	eventInterval     = 60 * time.Millisecond
	// daemonMemoryMB is the memory of the smallest host of the platform.
	daemonMemoryMB = 184
	// Daemon settings from the platform's specification sheets. The allowance is lower, so that small runs detect an exceeded
	// retry budget.
	stopGraceSeconds = 8
	retryRatio       = 0.2
	retryAllowance   = 40
	retryWindow      = 10 * time.Second
)

// backend is a server behind a proxy. Crashes and planned stops replace the server, not the proxy.
type backend struct {
	service string
	domain  string
	slots   int
	link    *proxy

	mu     sync.Mutex
	server *standin.Server
	starts int
	// entry is what the server last wrote to the store.
	entry any
}

func (b *backend) current() *standin.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server
}

// daemon is a daemon process with the proxies on its links to the store and to callers.
type daemon struct {
	name     string
	settings edge.Settings
	process  *process
	store    *proxy
	callers  *proxy
}

// cluster holds the processes, servers and proxies that a run starts.
type cluster struct {
	hardLoad, stops bool
	// kinds are the kinds of requests that callers send.
	kinds []*requestKind
	// engines is the number of backends that are engines. They come first.
	engines     int
	store       *standin.Store
	storeServer *http.Server
	daemons     []*daemon
	backends    []*backend
	onRun       func(standin.Run)
	onArrival   func(id string)
	// onCrash is called when a server is about to crash; number is that of its backend.
	onCrash atomic.Pointer[func(number int, s *standin.Server)]

	mu      sync.Mutex
	version int
	routes  map[string]standin.Route
	keys    map[string]string
	// evacuated holds the failure domains that have been evacuated, and whether they are.
	evacuated map[string]bool
}

func newCluster(s Schedule, program, dir string, onRun func(standin.Run), onArrival func(id string)) (*cluster, error) {
	c := &cluster{
		hardLoad: s.HardLoad, stops: s.Stops, engines: s.Engines, store: standin.NewStore(), onRun: onRun, onArrival: onArrival, routes: map[string]standin.Route{}, keys: map[string]string{baseKey: workspace},
		evacuated: map[string]bool{},
	}
	for _, k := range requestKinds {
		if len(s.Kinds) == 0 || slices.Contains(s.Kinds, k.name) {
			c.kinds = append(c.kinds, k)
		}
	}
	if s.HardLoad {
		c.keys[heavyKey] = heavyWorkspace
	}
	for _, k := range requestKinds {
		c.routes[k.name] = k.route()
	}
	if s.Engines >= minWideEngines {
		c.routes[wideKind.name] = wideKind.route()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	c.storeServer = &http.Server{Handler: c.store, ReadHeaderTimeout: time.Second}
	go func() { _ = c.storeServer.Serve(listener) }() // returns when close closes the server
	for i := range s.Engines + s.Plain {
		service, slots := engineService, 16
		if i >= s.Engines {
			service, slots = plainService, 6
		}
		if err := c.addBackend(service, slots); err != nil {
			return c, err
		}
	}
	c.updateConfig(func() {})
	for i := range s.Daemons {
		if err := c.addDaemon(i, program, dir, listener.Addr().String()); err != nil {
			return c, err
		}
	}
	return c, nil
}

// hasWidePrompts reports whether callers send wide prompts.
func (c *cluster) hasWidePrompts() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.routes[wideKind.name]
	return ok
}

func (c *cluster) addBackend(service string, slots int) error {
	link, err := newProxy("")
	if err != nil {
		return err
	}
	b := &backend{service: service, domain: domainOf(len(c.backends), c.hardLoad), slots: slots, link: link}
	c.backends = append(c.backends, b)
	return c.startServer(b, len(c.backends)-1, 0)
}

// startServer starts the next server of a backend, which stays cold for a time, and writes its entry to the store.
func (c *cluster) startServer(b *backend, number int, cold time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	server, err := standin.NewServer(fmt.Sprintf("%s-%d-%d", b.service, number, b.starts))
	if err != nil {
		return errors.Wrap(err, "server")
	}
	server.Events, server.EventInterval, server.MaxReservedTokens = streamEvents, eventInterval, engineMemoryTokens
	server.OnRun, server.OnArrival, server.DeadlyPart = c.onRun, c.onArrival, deadlyPrefix
	server.DeadlyWithin, server.DeadlyEvents = deadlyPrefix+deadlyWithin, streamEvents/2
	server.OnCrash = func() {
		if onCrash := c.onCrash.Load(); onCrash != nil {
			(*onCrash)(number, server)
		}
	}
	server.Text = func(run standin.Run, event int) string { return answerText(run.ID, string(run.Body), event) }
	b.server = server
	b.link.setTarget(server.Address())
	c.putEntry(b, server, standin.StateReady, cold)
	return nil
}

// answerText returns the text of an event, or of a plain answer for event 0. It depends on the request, so that an answer
// delivered to the wrong caller is detected.
func answerText(id, body string, event int) string { return fmt.Sprintf("%s %s %d", id, body, event) }

// putServerEntry writes the entry of a server with the given state and remaining cold time to the store.
func (c *cluster) putServerEntry(b *backend, s *standin.Server, state string, cold time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.putEntry(b, s, state, cold)
}

// putEntry is putServerEntry for callers that hold the lock of the backend.
func (c *cluster) putEntry(b *backend, s *standin.Server, state string, cold time.Duration) {
	entry := standin.ServerEntry(b.service, b.link.address(), b.domain, b.slots, state)
	b.entry = standin.ColdServerEntry(entry, cold)
	c.store.Put(standin.KindServers, s.ID, b.entry)
}

// updateConfig applies a change to the routes or keys and writes the next version of the configuration.
func (c *cluster) updateConfig(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.version++
	c.writeConfig()
}

// writeConfig writes the present version of the configuration. The caller holds mu.
func (c *cluster) writeConfig() {
	routes := make([]standin.Route, 0, len(c.routes))
	for _, r := range c.routes {
		routes = append(routes, r)
	}
	keys := make(map[string]string, len(c.keys))
	for k, v := range c.keys {
		keys[k] = v
	}
	config := standin.Configuration{
		Version: c.version, Routes: routes, EngineService: engineService, PlainService: plainService,
		EngineKVTokens: engineMemoryTokens, Keys: keys,
	}
	if c.hardLoad {
		config.ColdPerSecond, config.BodyBytes = coldPerSecond, maxRequestBytes
	}
	c.store.Put(standin.KindConfig, standin.NameConfig, config.Object())
}

func (c *cluster) addDaemon(i int, program, dir, storeAddress string) error {
	ports, err := loopback.Soak.Addresses(5)
	if err != nil {
		return err
	}
	d := &daemon{name: "daemon-" + strconv.Itoa(i)}
	if d.store, err = newProxy(storeAddress); err != nil {
		return err
	}
	if d.callers, err = newProxy(ports[0]); err != nil {
		return err
	}
	d.settings = edge.Settings{
		Name: d.name, FailureDomain: domainOf(i, c.hardLoad), CallerAddress: ports[0], ReadyAddress: ports[1], ServiceAddress: ports[2],
		PacketAddress: ports[3], MetricsAddress: ports[4], StoreAddress: d.store.address(), MemoryMB: daemonMemoryMB,
		FairShares:       true,
		StopGraceSeconds: stopGraceSeconds, Seeds: c.seeds(),
		Retry: edge.RetrySettings{Ratio: retryRatio, Allowance: retryAllowance, WindowSeconds: retryWindow.Seconds()},
	}
	if c.hardLoad {
		d.settings.EvacuationBoundMS = float64(evacuationBound.Milliseconds())
		d.settings.ConfigBoundMS = float64(configBound.Milliseconds())
	}
	if d.process, err = newProcess(program, dir, d.settings); err != nil {
		return err
	}
	c.daemons = append(c.daemons, d)
	return d.process.start()
}

// seeds returns the service addresses of up to three daemons that have been added so far.
func (c *cluster) seeds() []string {
	var out []string
	for _, d := range c.daemons {
		out = append(out, d.settings.ServiceAddress)
	}
	return out[:min(len(out), 3)]
}

// ready reports whether the daemon's readiness check succeeds, on which the platform routes callers to it.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.settings.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitListening waits until the process accepts connections from callers, for at most startTimeout.
func (d *daemon) waitListening() {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(listenPollInterval) {
		if c, err := net.Dial("tcp", d.settings.CallerAddress); err == nil {
			_ = c.Close()
			return
		}
	}
}

// listenPollInterval is short, so that a signal reaches a process that has only just started.
const listenPollInterval = 2 * time.Millisecond

// readyTimeout is the platform's timeout of a readiness check.
const readyTimeout = time.Second

// close stops everything that the run started.
func (c *cluster) close() {
	for _, d := range c.daemons {
		d.process.kill()
		d.store.close()
		d.callers.close()
	}
	for _, b := range c.backends {
		b.current().Close()
		b.link.close()
	}
	_ = c.storeServer.Close()
}
