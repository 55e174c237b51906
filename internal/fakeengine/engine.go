package fakeengine

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/carobstile/carobstile/internal/engine"
	"github.com/carobstile/carobstile/internal/evlog"
)

// Engine emulates one model engine. It implements http.Handler.
type Engine struct {
	settings Settings
	mux      *http.ServeMux
	client   *engine.HTTP
	log      *slog.Logger
	clock    *evlog.Clock
	onCrash  func()
	ctx      context.Context // cancelled by Close
	stop     context.CancelFunc
	wg       sync.WaitGroup

	mu          sync.Mutex
	workCond    *sync.Cond // signalled when the batch may have become non-empty, and on Close
	closed      bool
	crashed     bool // set by crash, reset by Restart
	epoch       int  // number of crashes; invalidates work begun before a crash
	incarnation string

	rng          *rand.Rand
	pool         *pool
	arrivalCount uint64
	requests     map[string]*request
	queue        []*request
	running      []*request
	cancelled    map[string]int // highest cancelled attempt by request ID, for cancelRetention
	reservations map[string]*reservation
	helperWork   map[string]*helperWork
	imports      map[owner]*kvImport

	leaving        bool
	role           engine.Role
	fence          uint64
	models         []engine.LoadedModel
	loading        map[modelKey]context.CancelFunc
	reports        []engine.Load // in order of time; the first one is published
	reportSequence uint64
	cacheEvents    cacheEventLog
	faults         faults
}

// Option configures an Engine.
type Option func(*Engine)

// WithCrashHook sets a function to call when the engine crashes. The crash itself breaks all streams and aborts new
// calls until Restart. f is called with the engine's lock held and must not call the engine.
func WithCrashHook(f func()) Option { return func(e *Engine) { e.onCrash = f } }

// WithClock sets the hybrid logical clock of the event log. It is advanced by the clock headers of calls and sent with
// answers.
func WithClock(c *evlog.Clock) Option { return func(e *Engine) { e.clock = c } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(e *Engine) { e.log = l } }

// New starts an engine. Close stops it.
func New(cfg Settings, opts ...Option) *Engine {
	e := &Engine{
		settings: cfg.WithDefaults(), client: engine.NewHTTP(0), log: evlog.Discard(), onCrash: func() {},
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.workCond = sync.NewCond(&e.mu)
	for _, o := range opts {
		o(e)
	}
	e.reset()
	e.registerRoutes()
	e.spawn(e.loop)
	e.spawn(e.sampleReports)
	return e
}

// reset initializes the state as in a newly started process. The caller holds Engine.mu or is New.
func (e *Engine) reset() {
	e.incarnation = uuid.NewString()
	e.rng = rand.New(rand.NewPCG(e.settings.Seed, uint64(e.epoch)))
	e.cacheEvents = cacheEventLog{}
	e.pool = newPool(e.settings.KVTokens, e.logCacheEvent)
	e.requests, e.queue, e.running = map[string]*request{}, nil, nil
	e.cancelled = map[string]int{}
	e.reservations, e.helperWork = map[string]*reservation{}, map[string]*helperWork{}
	e.imports = map[owner]*kvImport{}
	e.leaving, e.role, e.fence = false, e.settings.Role, 0
	e.models = cloneModels(e.settings.Models)
	e.loading = map[modelKey]context.CancelFunc{}
	e.reports, e.reportSequence = nil, 0
	e.faults = faults{crashMarker: e.settings.CrashMarker, ignoreFence: e.settings.IgnoresFence}
}

// spawn runs f in a goroutine that Close waits for.
func (e *Engine) spawn(f func()) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		f()
	}()
}

// Close breaks the connections of all streams and stops the engine.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.dropConnections()
	e.workCond.Broadcast()
	e.mu.Unlock()
	e.stop()
	e.wg.Wait()
	e.client.Close()
}

// crash emulates a crash of the process: all connections break and all state is lost. Engine.mu is held.
func (e *Engine) crash() {
	e.log.Error("engine crashed", "incarnation", e.incarnation)
	e.crashed = true
	e.epoch++
	e.dropConnections()
	for _, r := range e.requests {
		e.abortRequest(r)
	}
	for _, cancel := range e.loading {
		cancel()
	}
	e.reset()
	e.onCrash()
}

// Restart lets a crashed engine serve again, with a new incarnation and empty memory.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
}

// dropConnections breaks the connection of every stream. Engine.mu is held.
func (e *Engine) dropConnections() {
	for _, r := range e.requests {
		if r.conn != nil {
			r.conn.drop = true
			r.conn.notify()
		}
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	crashed, delay := e.crashed, e.faults.delay
	e.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if delay > 0 && r.URL.Path != pathFault {
		sleep(r.Context(), delay)
	}
	e.mux.ServeHTTP(w, r)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (e *Engine) registerRoutes() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST "+engine.PathChat, e.handleChat)
	e.mux.HandleFunc("DELETE "+engine.PathRequests+"{id}", e.handleCancel)
	e.mux.HandleFunc("GET "+engine.PathLoad, e.handleLoad)
	e.mux.HandleFunc("GET "+engine.PathCacheEvents, e.handleCacheEvents)
	e.mux.HandleFunc("POST "+engine.PathOrders, e.handleOrder)
	e.mux.HandleFunc("POST "+engine.PathReservations, e.handleReserve)
	e.mux.HandleFunc("DELETE "+engine.PathReservations, e.handleReleaseReservation)
	e.mux.HandleFunc("PUT "+engine.PathGroup+"{id}", e.handleAssignGroupWork)
	e.mux.HandleFunc("DELETE "+engine.PathGroup+"{id}", e.handleReleaseGroupWork)
	e.mux.HandleFunc("GET "+engine.PathKV+"{hash}", e.handleExport)
	e.mux.HandleFunc("PUT "+engine.PathKV+"{hash}", e.handleImport)
	e.mux.HandleFunc("DELETE "+engine.PathKV+"{hash}", e.handleReleaseImport)
	e.mux.HandleFunc("POST "+pathFault, e.handleFault)
	e.mux.HandleFunc("GET "+pathAccounting, e.handleAccounting)
}

// Paths that the published protocol does not contain.
const (
	pathFault      = "/fault"
	pathAccounting = "/debug/accounting"
)

// Accounting lists the owners of KV memory. TotalTokens is the sum of FreeTokens and the tokens of all Owners.
type Accounting struct {
	TotalTokens int            `json:"totalTokens"`
	FreeTokens  int            `json:"freeTokens"`
	Owners      []OwnerAccount `json:"owners"`
	// PinnedTokens is the part of the shared cache that is pinned and cannot be evicted.
	PinnedTokens int `json:"pinnedTokens"`
	// Requests is the number of requests that the engine holds, including complete answers that are not delivered yet.
	Requests int `json:"requests"`
}

// OwnerAccount is the memory of one owner: the private memory of a request, a reservation, an import or the shared
// cache.
type OwnerAccount struct {
	Kind   string `json:"kind"`
	ID     string `json:"id,omitempty"`
	Tokens int    `json:"tokens"`
}

// Accounting returns the current owners of KV memory.
func (e *Engine) Accounting() Accounting {
	e.mu.Lock()
	defer e.mu.Unlock()
	const blockTokens = engine.PrefixBlockTokens
	out := Accounting{
		TotalTokens: e.pool.total * blockTokens, FreeTokens: e.pool.free() * blockTokens, Requests: len(e.requests),
		PinnedTokens: (len(e.pool.cache) - e.pool.idle.Len()) * blockTokens,
		Owners:       []OwnerAccount{{Kind: ownerCache, Tokens: len(e.pool.cache) * blockTokens}},
	}
	for o, blocks := range e.pool.private {
		out.Owners = append(out.Owners, OwnerAccount{Kind: o.kind, ID: o.id, Tokens: blocks * blockTokens})
	}
	sort.Slice(out.Owners, func(i, j int) bool {
		a, b := out.Owners[i], out.Owners[j]
		return a.Kind < b.Kind || a.Kind == b.Kind && a.ID < b.ID
	})
	return out
}

func (e *Engine) handleAccounting(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Accounting())
}
