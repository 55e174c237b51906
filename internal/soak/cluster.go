package soak

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/carobstile/carobstile/internal/edge"
	"github.com/carobstile/carobstile/internal/loopback"
	"github.com/carobstile/carobstile/platform/standin"
)

// Names in the configuration of a run.
const (
	host       = "soak.example"
	workspace  = "school"
	baseKey    = "key-of-school"
	engines    = "engines"
	plain      = "desk"
	zone       = "z1"
	extraRoute = "/extra/"
)

const (
	// engineMemory is small, so that longPrompt needs reservations on several engines.
	engineMemory = 60_000 // tokens
	longPrompt   = 90_000 // tokens
	shortPrompt  = 2_000  // tokens
	answerTokens = 100
	streamEvents = 12
	eventGap     = 60 * time.Millisecond
	// daemonMemoryMB is the memory of the smallest host of the platform.
	daemonMemoryMB = 184
	// Settings of daemons, from the platform's sheets; the allowance is lower, so that a broken budget shows in small runs.
	stopGraceSeconds = 8
	retryRatio       = 0.2
	retryAllowance   = 40
	retryWindow      = 10 * time.Second
)

// backend is a server behind its proxy; crashes and planned stops replace the process, not the proxy.
type backend struct {
	service string
	slots   int
	link    *proxy

	mu     sync.Mutex
	server *standin.Server
	starts int
}

func (b *backend) current() *standin.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server
}

// daemon is one process with the proxies around it.
type daemon struct {
	name     string
	settings edge.Settings
	process  *process
	store    *proxy
	callers  *proxy
}

// cluster is everything that a run starts.
type cluster struct {
	store    *standin.Store
	storeWeb *http.Server
	daemons  []*daemon
	backends []*backend
	onRun    func(standin.Run)

	mu      sync.Mutex
	version int
	routes  map[string]standin.Route
	keys    map[string]string
}

func newCluster(s Schedule, program, dir string, onRun func(standin.Run)) (*cluster, error) {
	c := &cluster{
		store: standin.NewStore(), onRun: onRun, routes: map[string]standin.Route{}, keys: map[string]string{baseKey: workspace},
	}
	for _, k := range kinds {
		c.routes[k.name] = k.route()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	c.storeWeb = &http.Server{Handler: c.store, ReadHeaderTimeout: time.Second}
	go func() { _ = c.storeWeb.Serve(listener) }() // ends with close
	for i := range s.Engines + s.Plain {
		service, slots := engines, 16
		if i >= s.Engines {
			service, slots = plain, 6
		}
		if err := c.addBackend(service, slots); err != nil {
			return c, err
		}
	}
	c.configure(func() {})
	for i := range s.Daemons {
		if err := c.addDaemon(i, program, dir, listener.Addr().String()); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *cluster) addBackend(service string, slots int) error {
	link, err := newProxy("")
	if err != nil {
		return err
	}
	b := &backend{service: service, slots: slots, link: link}
	c.backends = append(c.backends, b)
	return c.startServer(b, len(c.backends)-1)
}

// startServer starts the next process of a backend and writes its entry.
func (c *cluster) startServer(b *backend, number int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	server, err := standin.NewServer(fmt.Sprintf("%s-%d-%d", b.service, number, b.starts))
	if err != nil {
		return errors.Wrap(err, "server")
	}
	server.Events, server.EventGap, server.Memory = streamEvents, eventGap, engineMemory
	server.OnRun = c.onRun
	server.Text = func(run standin.Run, event int) string { return answerText(run.ID, string(run.Body), event) }
	b.server = server
	b.link.retarget(server.Address())
	c.enter(b, server, standin.StateReady)
	return nil
}

// answerText depends on the request, so that an answer that goes to another caller shows. Event 0 is a plain answer.
func answerText(id, body string, event int) string { return fmt.Sprintf("%s %s %d", id, body, event) }

func (c *cluster) enter(b *backend, s *standin.Server, state string) {
	c.store.Put(standin.KindServers, s.ID, standin.Entry(b.service, b.link.address(), zone, b.slots, state))
}

// configure writes the next version after a change of routes or keys.
func (c *cluster) configure(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.version++
	routes := make([]standin.Route, 0, len(c.routes))
	for _, r := range c.routes {
		routes = append(routes, r)
	}
	keys := make(map[string]string, len(c.keys))
	for k, v := range c.keys {
		keys[k] = v
	}
	c.store.Put(standin.KindConfig, standin.NameConfig, standin.Configuration{
		Version: c.version, Routes: routes, Engines: engines, Plain: plain, Memory: engineMemory, Keys: keys,
	}.Object())
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
		Name: d.name, FailureDomain: zone, CallerAddress: ports[0], ReadyAddress: ports[1], ServiceAddress: ports[2],
		PacketAddress: ports[3], MetricsAddress: ports[4], StoreAddress: d.store.address(), MemoryMB: daemonMemoryMB,
		StopGraceSeconds: stopGraceSeconds, Seeds: c.seeds(),
		Retry: edge.RetrySettings{Ratio: retryRatio, Allowance: retryAllowance, WindowSeconds: retryWindow.Seconds()},
	}
	if d.process, err = newProcess(program, dir, d.settings); err != nil {
		return err
	}
	c.daemons = append(c.daemons, d)
	return d.process.start()
}

// seeds returns service addresses of daemons that exist so far.
func (c *cluster) seeds() []string {
	var out []string
	for _, d := range c.daemons {
		out = append(out, d.settings.ServiceAddress)
	}
	return out[:min(len(out), 3)]
}

// ready reports whether a daemon tells the platform to send it callers.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + d.settings.ReadyAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitListening waits until the process listens for callers, or startWithin.
func (d *daemon) waitListening() {
	for end := time.Now().Add(startWithin); time.Now().Before(end); time.Sleep(listenPoll) {
		if c, err := net.Dial("tcp", d.settings.CallerAddress); err == nil {
			_ = c.Close()
			return
		}
	}
}

// listenPoll is short, so that a signal hits a process that has just started.
const listenPoll = 2 * time.Millisecond

// readyTimeout is how long the platform waits for the answer of a readiness check.
const readyTimeout = time.Second

// close ends everything that the run started.
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
	_ = c.storeWeb.Close()
}
