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

	"github.com/carobstile/carobstile/internal/bodybudget"
	"github.com/carobstile/carobstile/internal/config"
	"github.com/carobstile/carobstile/internal/core"
	"github.com/carobstile/carobstile/internal/evlog"
	"github.com/carobstile/carobstile/internal/gatecore"
)

// Gate implements the caller API. Create it with New.
type Gate struct {
	opts        Options
	mux         *http.ServeMux
	start       time.Time
	metrics     gateMetrics
	routeHealth *routeHealth
	// bodies limits the memory held by request bodies and connections, parseSlots how many large bodies are decoded at the same
	// time.
	bodies     *bodybudget.Budget
	parseSlots chan struct{}
	// serviceTransport is the pooled transport for first attempts of idempotent calls to plain services.
	serviceTransport *http.Transport

	heartbeatInterval time.Duration
	writeTimeout      time.Duration

	// mu serialises the reducer. Applying its effects under mu only queues output, updates state and starts goroutines;
	// all I/O is done without mu.
	mu             sync.Mutex
	core           *gatecore.Core
	activeRequests map[gatecore.RequestHandle]*activeRequest
	lastHandle     gatecore.RequestHandle
	// allClosed is closed when the gate is shutting down and no request is open.
	allClosed chan struct{}

	randomMu sync.Mutex
	// background counts the goroutines that a graceful shutdown waits for.
	background sync.WaitGroup
	// baseCtx is the parent of all request and attempt contexts. Shutdown cancels it when all requests have ended or the
	// wait for them is over.
	baseCtx    context.Context
	cancelBase context.CancelFunc
}

// New returns a gate. It starts no goroutines.
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
	if opts.IsLeaving == nil {
		opts.IsLeaving = func(string) bool { return false }
	}
	if opts.MaxOpenBodyBytes == 0 {
		opts.MaxOpenBodyBytes = DefaultMaxOpenBodyBytes
	}
	g := &Gate{
		opts: opts, start: opts.Clock.Now(), metrics: newGateMetrics(opts.Scope), routeHealth: newRouteHealth(),
		serviceTransport: newServiceTransport(), heartbeatInterval: heartbeatInterval, writeTimeout: writeTimeout,
		core: gatecore.New(), parseSlots: make(chan struct{}, maxLargeParses),
		bodies: bodybudget.New(bodybudget.Options{
			LargeBytes: opts.MaxOpenBodyBytes, ReservedBytes: reservedBytes, Now: opts.Clock.Now, Scope: opts.Scope,
		}),
		activeRequests: map[gatecore.RequestHandle]*activeRequest{}, allClosed: make(chan struct{}),
	}
	g.baseCtx, g.cancelBase = context.WithCancel(context.Background())
	g.mux = http.NewServeMux()
	g.mux.HandleFunc("POST /v1/chat/completions", g.chat)
	g.mux.HandleFunc("GET /v1/models", g.models)
	g.mux.HandleFunc("/services/{route}/{path...}", g.service)
	g.mux.HandleFunc("/", g.notFound)
	return g
}

// Handler returns the HTTP handler of the caller API.
func (g *Gate) Handler() http.Handler { return http.HandlerFunc(g.serveBounded) }

// Ready reports whether the gate accepts requests: it has a configuration and is not shutting down.
func (g *Gate) Ready() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.core.ShuttingDown() && g.opts.Config() != nil
}

// OpenRequests returns the number of requests that have not ended.
func (g *Gate) OpenRequests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Open()
}

// Shutdown refuses new requests and waits until the open ones have ended and their claims and grants are settled. If
// ctx ends first, it fails the remaining requests and returns the context's error. The HTTP server must keep serving
// until Shutdown returns and be shut down afterwards, so that the last errors are written.
func (g *Gate) Shutdown(ctx context.Context) error {
	g.step(gatecore.ShutdownStarted{Now: g.now()})
	done := make(chan struct{})
	go func() {
		<-g.allClosed
		g.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		g.cancelBase()
		g.serviceTransport.CloseIdleConnections()
		return nil
	case <-ctx.Done():
		g.abortOpen(done)
		return errors.Wrap(ctx.Err(), "requests were still open")
	}
}

// abortGrace is the time to notify engines and the platform of aborted requests before all remaining work is cancelled.
const abortGrace = time.Second

// abortOpen ends all open requests; their callers are told whether they have run. It cancels the work that is still running after abortGrace.
func (g *Gate) abortOpen(done <-chan struct{}) {
	g.mu.Lock()
	for _, h := range slices.Sorted(maps.Keys(g.activeRequests)) {
		g.stepLocked(gatecore.ShutdownEnded{Now: g.now(), Request: h})
	}
	g.mu.Unlock()
	grace := time.NewTimer(abortGrace)
	defer grace.Stop()
	select {
	case <-done:
	case <-grace.C:
	}
	g.cancelBase()
}

// now returns the time of the reducer: the wall clock at the start plus the monotonic time since then, so that steps of
// the wall clock do not move deadlines.
func (g *Gate) now() core.Micros {
	return core.FromTime(g.start) + core.FromDuration(g.opts.Clock.Now().Sub(g.start))
}

// newID returns a random UUID.
func (g *Gate) newID() (string, error) {
	g.randomMu.Lock()
	defer g.randomMu.Unlock()
	id, err := uuid.NewRandomFromReader(g.opts.Random)
	if err != nil {
		return "", errors.Wrap(err, "generate random id")
	}
	return id.String(), nil
}

// settleContext returns a context for the calls that settle a claim after its request has ended.
func (g *Gate) settleContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(g.baseCtx, settleTimeout)
}

// identity is the workspace and the caller of a bearer key, with the configuration that they were found in.
type identity struct {
	index     *config.Index
	workspace *config.Workspace
	caller    *config.Caller
}

// authenticate looks up the bearer key of a request in the current configuration.
func (g *Gate) authenticate(r *http.Request) (identity, *problem) {
	index := g.opts.Config()
	if index == nil {
		return identity{}, notRun(gatecore.CodeNoBackendServer, "the gate has no configuration yet")
	}
	key, ok := bearerKey(r)
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

// reject answers a request that has not reached the reducer. A request with a cursor may have run at another gate, so
// its run state is unknown.
func (g *Gate) reject(w http.ResponseWriter, r *http.Request, p *problem) {
	if p.Run == gatecore.RunStatusNotRun && r.Header.Get(headerLastEventID) != "" {
		p.Run = gatecore.RunStatusUnknown
	}
	g.metrics.countEnded(p.Code)
	g.opts.Log.Info("request rejected", "code", p.Code, "run", p.Run, "reason", p.Message)
	g.boundWrites(w, 0)
	p.write(w)
}
