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

// Engine is one emulated engine. It implements http.Handler.
type Engine struct {
	set     Settings
	mux     *http.ServeMux
	client  *engine.HTTP
	log     *slog.Logger
	clock   *evlog.Clock
	onCrash func()
	ctx     context.Context // ends with Close
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex
	work   *sync.Cond // signalled when the batch may have become non-empty, and on Close
	closed bool
	dead   bool // crashed, until Restart
	epoch  int  // number of restarts
	boot   string

	rng          *rand.Rand
	pool         *pool
	arrivals     uint64
	requests     map[string]*request
	queue        []*request
	running      []*request
	cancelled    map[string]int // highest cancelled attempt by request id, for a while
	reservations map[string]*reservation
	helped       map[string]*helperWork
	imports      map[owner]*kvImport

	leaving bool
	role    engine.Role
	fence   uint64
	models  []engine.LoadedModel
	loading map[modelKey]context.CancelFunc
	reports []engine.Load // newest last, the oldest being the published one
	seq     uint64
	events  cacheLog
	faults  faults
}

// Option changes an Engine before it starts.
type Option func(*Engine)

// WithCrash sets what happens when the engine crashes, besides that it drops every connection until Restart. f runs with
// the engine locked and must not call it.
func WithCrash(f func()) Option { return func(e *Engine) { e.onCrash = f } }

// WithClock sets the clock of the log, which takes in the clocks of callers and is sent with answers.
func WithClock(c *evlog.Clock) Option { return func(e *Engine) { e.clock = c } }

// WithLog sets the logger.
func WithLog(l *slog.Logger) Option { return func(e *Engine) { e.log = l } }

// New returns a running engine.
func New(set Settings, opts ...Option) *Engine {
	e := &Engine{
		set: set.WithDefaults(), client: engine.NewHTTP(0), log: evlog.Discard(), onCrash: func() {},
	}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.work = sync.NewCond(&e.mu)
	for _, o := range opts {
		o(e)
	}
	e.reset()
	e.routes()
	e.goRun(e.loop)
	e.goRun(e.sampleReports)
	return e
}

// reset puts the state of a fresh process in place. The caller holds Engine.mu or is New.
func (e *Engine) reset() {
	e.boot = uuid.NewString()
	e.rng = rand.New(rand.NewPCG(e.set.Seed, uint64(e.epoch)))
	e.events = cacheLog{}
	e.pool = newPool(e.set.KVTokens, e.cacheChanged)
	e.requests, e.queue, e.running = map[string]*request{}, nil, nil
	e.cancelled = map[string]int{}
	e.reservations, e.helped = map[string]*reservation{}, map[string]*helperWork{}
	e.imports = map[owner]*kvImport{}
	e.leaving, e.role, e.fence = false, e.set.Role, 0
	e.models = cloneModels(e.set.Models)
	e.loading = map[modelKey]context.CancelFunc{}
	e.reports, e.seq = nil, 0
	e.faults = faults{crashMarker: e.set.CrashMarker, ignoreFence: e.set.IgnoresFence}
}

func (e *Engine) goRun(f func()) {
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		f()
	}()
}

// Close drops all streams and stops the engine.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.dropConnections()
	e.work.Broadcast()
	e.mu.Unlock()
	e.stop()
	e.wg.Wait()
	e.client.Close()
}

// crash ends the engine as a fault of the process would: all connections break and all memory is lost. Engine.mu is
// held.
func (e *Engine) crash() {
	e.log.Error("engine crashed", "incarnation", e.boot)
	e.dead = true
	e.epoch++
	e.dropConnections()
	for _, r := range e.requests {
		e.lose(r)
	}
	for _, cancel := range e.loading {
		cancel()
	}
	e.reset()
	e.onCrash()
}

// Restart brings a crashed engine back, with a new incarnation and empty memory.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = false
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
	dead, delay := e.dead, e.faults.delay
	e.mu.Unlock()
	if dead {
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

func (e *Engine) routes() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST "+engine.PathChat, e.handleChat)
	e.mux.HandleFunc("DELETE "+engine.PathRequests+"{id}", e.handleCancel)
	e.mux.HandleFunc("GET "+engine.PathLoad, e.handleLoad)
	e.mux.HandleFunc("GET "+engine.PathCacheEvents, e.handleCacheEvents)
	e.mux.HandleFunc("POST "+engine.PathOrders, e.handleOrder)
	e.mux.HandleFunc("POST "+engine.PathReservations, e.handleReserve)
	e.mux.HandleFunc("DELETE "+engine.PathReservations, e.handleUnreserve)
	e.mux.HandleFunc("PUT "+engine.PathGroup+"{id}", e.handleGroup)
	e.mux.HandleFunc("DELETE "+engine.PathGroup+"{id}", e.handleUngroup)
	e.mux.HandleFunc("GET "+engine.PathKV+"{hash}", e.handleExport)
	e.mux.HandleFunc("PUT "+engine.PathKV+"{hash}", e.handleImport)
	e.mux.HandleFunc("DELETE "+engine.PathKV+"{hash}", e.handleFreeImport)
	e.mux.HandleFunc("POST "+pathFault, e.handleFault)
	e.mux.HandleFunc("GET "+pathAccounting, e.handleAccounting)
}

// Paths outside the published protocol.
const (
	pathFault      = "/fault"
	pathAccounting = "/debug/accounting"
)

// Accounting tells who holds memory. The tokens of Owners and FreeTokens add up to TotalTokens.
type Accounting struct {
	TotalTokens int            `json:"totalTokens"`
	FreeTokens  int            `json:"freeTokens"`
	Owners      []OwnerAccount `json:"owners"`
	// PinnedTokens of the cache cannot be evicted.
	PinnedTokens int `json:"pinnedTokens"`
	// Requests known to the engine, whole answers that wait for their reader included.
	Requests int `json:"requests"`
}

// OwnerAccount is the memory of one owner: a request's private memory, a reservation, an import, or the shared cache.
type OwnerAccount struct {
	Kind   string `json:"kind"`
	ID     string `json:"id,omitempty"`
	Tokens int    `json:"tokens"`
}

// Accounting returns who holds memory now.
func (e *Engine) Accounting() Accounting {
	e.mu.Lock()
	defer e.mu.Unlock()
	const size = engine.PrefixBlockTokens
	out := Accounting{
		TotalTokens: e.pool.total * size, FreeTokens: e.pool.free() * size, Requests: len(e.requests),
		PinnedTokens: (len(e.pool.cache) - e.pool.idle.Len()) * size,
		Owners:       []OwnerAccount{{Kind: ownerCache, Tokens: len(e.pool.cache) * size}},
	}
	for o, blocks := range e.pool.private {
		out.Owners = append(out.Owners, OwnerAccount{Kind: o.kind, ID: o.id, Tokens: blocks * size})
	}
	sort.Slice(out.Owners, func(i, j int) bool {
		a, b := out.Owners[i], out.Owners[j]
		return a.Kind < b.Kind || a.Kind == b.Kind && a.ID < b.ID
	})
	return out
}

func (e *Engine) handleAccounting(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, e.Accounting())
}
