package gate

import (
	"context"
	"crypto/rand"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// Gate serves callers. Use New.
type Gate struct {
	opts  Options
	mux   *http.ServeMux
	start time.Time
	tally gateTally
	route *routeHealth
	// bodies are the large request bodies held.
	bodies *bodies
	// services is the transport of idempotent calls.
	services *http.Transport

	heartbeatInterval time.Duration
	writeTimeout      time.Duration

	// mu serialises the reducer. Applying its effects under mu only queues, registers and starts goroutines; all
	// input and output is done without mu.
	mu      sync.Mutex
	core    *gatecore.Core
	flights map[gatecore.Handle]*flight
	last    gatecore.Handle
	idle    chan struct{}

	randomMu sync.Mutex
	// work counts goroutines that a graceful stop waits for.
	work sync.WaitGroup
	// parent ends when the process gives up waiting for open requests.
	parent context.Context
	stop   context.CancelFunc
}

// New returns a gate. It starts nothing by itself.
func New(opts Options) *Gate {
	if opts.Clock == nil {
		opts.Clock = SystemClock{}
	}
	if opts.Log == nil {
		opts.Log = evlog.Discard()
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Random == nil {
		opts.Random = rand.Reader
	}
	if opts.Leaving == nil {
		opts.Leaving = func(string) bool { return false }
	}
	if opts.MaxOpenBodyBytes == 0 {
		opts.MaxOpenBodyBytes = DefaultMaxOpenBodyBytes
	}
	g := &Gate{
		opts: opts, start: opts.Clock.Now(), tally: newGateTally(opts.Scope), route: newRouteHealth(),
		services: newServiceTransport(), heartbeatInterval: heartbeatInterval, writeTimeout: writeTimeout,
		core: gatecore.New(), bodies: newBodies(opts.MaxOpenBodyBytes), flights: map[gatecore.Handle]*flight{}, idle: make(chan struct{}),
	}
	g.parent, g.stop = context.WithCancel(context.Background())
	g.mux = http.NewServeMux()
	g.mux.HandleFunc("POST /v1/chat/completions", g.chat)
	g.mux.HandleFunc("GET /v1/models", g.models)
	g.mux.HandleFunc("/services/{route}/{path...}", g.service)
	g.mux.HandleFunc("/", g.notFound)
	return g
}

// Handler returns the caller API.
func (g *Gate) Handler() http.Handler { return g.mux }

// Ready is true when the gate takes callers: it has a configuration and is not shutting down.
func (g *Gate) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.core.ShuttingDown() && g.opts.Config() != nil
}

// OpenStreams returns the number of requests that have not ended.
func (g *Gate) OpenStreams() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Open()
}

// Shutdown refuses new requests and waits until the open ones have ended and their claims and grants are settled. When
// ctx ends first, it cuts off what is left and returns the context's error. The HTTP server must go on serving
// meanwhile and be shut down afterwards, so that the last errors are written.
func (g *Gate) Shutdown(ctx context.Context) error {
	g.step(gatecore.ShutdownStarted{Now: g.now()})
	done := make(chan struct{})
	go func() {
		<-g.idle
		g.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		g.stop()
		g.services.CloseIdleConnections()
		return nil
	case <-ctx.Done():
		g.cutOff(done)
		return errors.Wrap(ctx.Err(), "requests were still open")
	}
}

// cutOffGrace is the time that engines and the platform have to hear of requests that are cut off.
const cutOffGrace = time.Second

// cutOff ends all open requests as if their callers had left, then everything that is still under way.
func (g *Gate) cutOff(done <-chan struct{}) {
	g.mu.Lock()
	for _, h := range slices.Sorted(maps.Keys(g.flights)) {
		g.stepLocked(gatecore.CallerGone{Now: g.now(), Request: h})
	}
	g.mu.Unlock()
	grace := time.NewTimer(cutOffGrace)
	defer grace.Stop()
	select {
	case <-done:
	case <-grace.C:
	}
	g.stop()
}

// now returns the time of the reducer: the wall clock of the start plus the monotonic time since, so that steps of the
// wall clock move no deadline.
func (g *Gate) now() core.Micros {
	return core.At(g.start) + core.Span(g.opts.Clock.Now().Sub(g.start))
}

// newID returns a random id.
func (g *Gate) newID() (string, error) {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	id, err := uuid.NewRandomFromReader(g.opts.Random)
	if err != nil {
		return "", errors.Wrap(err, "random id")
	}
	return id.String(), nil
}

// settleContext returns a context for what follows the end of a request.
func (g *Gate) settleContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(g.parent, claimTimeout)
}

// identity is what the bearer key of a request stands for.
type identity struct {
	index     *config.Index
	workspace *config.Workspace
	caller    *config.Caller
}

// identify checks configuration and key.
func (g *Gate) identify(r *http.Request) (identity, *problem) {
	index := g.opts.Config()
	if index == nil {
		return identity{}, notRun(gatecore.CodeNoBackendServer, "the gate has no configuration yet")
	}
	key, ok := bearer(r)
	if !ok {
		return identity{}, notRun(gatecore.CodeUnauthorized, "Authorization: expected \"Bearer <key>\"")
	}
	workspace, caller, ok := index.WorkspaceOfKey(key)
	if !ok {
		return identity{}, notRun(gatecore.CodeUnauthorized, "Authorization: the key is not valid")
	}
	return identity{index: index, workspace: workspace, caller: caller}, nil
}

func (g *Gate) notFound(w http.ResponseWriter, r *http.Request) {
	g.reject(w, r, notRun(gatecore.CodeRouteNotFound, r.Method+" "+r.URL.Path+" is not offered"))
}

// reject answers a request that did not reach the reducer. A request with a cursor may have run at a former gate.
func (g *Gate) reject(w http.ResponseWriter, r *http.Request, p *problem) {
	if p.Run == gatecore.RunNot && r.Header.Get(headerLastEventID) != "" {
		p.Run = gatecore.RunUnknown
	}
	g.tally.ended(p.Code)
	g.opts.Log.Info("request rejected", "code", p.Code, "run", p.Run, "reason", p.Message)
	p.write(w)
}
