package config

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
)

// Index holds the look-up tables that requests use on one configuration. It is immutable.
type Index struct {
	Generation uint64
	Doc        *Document
	Limits     Limits

	callers             map[string]*Caller
	workspacesByKeyHash map[string]*Workspace
	workspaces          map[string]*Workspace
	models              map[string]*Model
	servers             map[string]*BackendServer
	serversByAddress    map[string]*BackendServer
	routes              map[string]*Route
	pools               map[string]*Pool
	poolNames           []string
}

// Pool is a group of engines in one failure domain whose capacity is granted by one allocator.
type Pool struct {
	Name          string
	Region        string
	FailureDomain string
	Engines       []*BackendServer
}

// NewIndex builds the index of a valid document. The document must not be modified afterwards.
func NewIndex(generation uint64, doc *Document) *Index {
	x := &Index{
		Generation: generation, Doc: doc, Limits: doc.Limits.WithDefaults(),
		callers: map[string]*Caller{}, workspacesByKeyHash: map[string]*Workspace{}, workspaces: map[string]*Workspace{},
		models: map[string]*Model{}, servers: map[string]*BackendServer{}, serversByAddress: map[string]*BackendServer{}, routes: map[string]*Route{},
		pools: map[string]*Pool{},
	}
	for i := range doc.Callers {
		x.callers[doc.Callers[i].Name] = &doc.Callers[i]
	}
	for i := range doc.Workspaces {
		w := &doc.Workspaces[i]
		x.workspaces[w.Name] = w
		for _, hash := range w.KeyHashes {
			x.workspacesByKeyHash[hash] = w
		}
	}
	for i := range doc.Models {
		x.models[doc.Models[i].Name] = &doc.Models[i]
	}
	for i := range doc.Routes {
		x.routes[doc.Routes[i].Name] = &doc.Routes[i]
	}
	for i := range doc.BackendServers {
		x.addServer(&doc.BackendServers[i])
	}
	x.poolNames = make([]string, 0, len(x.pools))
	for name := range x.pools {
		x.poolNames = append(x.poolNames, name)
	}
	sort.Strings(x.poolNames)
	return x
}

func (x *Index) addServer(s *BackendServer) {
	x.servers[s.Name] = s
	x.serversByAddress[s.Address] = s
	if s.Kind != KindEngine {
		return
	}
	p := x.pools[s.Pool]
	if p == nil {
		p = &Pool{Name: s.Pool, Region: s.Region, FailureDomain: s.FailureDomain}
		x.pools[s.Pool] = p
	}
	p.Engines = append(p.Engines, s)
}

// HashKey returns the form in which the configuration stores a bearer key: its SHA-256 in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceOfKey returns the workspace that a bearer key belongs to, and its caller.
func (x *Index) WorkspaceOfKey(key string) (*Workspace, *Caller, bool) {
	w, ok := x.workspacesByKeyHash[HashKey(key)]
	if !ok {
		return nil, nil, false
	}
	c, ok := x.callers[w.Caller]
	return w, c, ok
}

// Workspace returns a workspace by name.
func (x *Index) Workspace(name string) (*Workspace, bool) { w, ok := x.workspaces[name]; return w, ok }

// Caller returns a caller by name.
func (x *Index) Caller(name string) (*Caller, bool) { c, ok := x.callers[name]; return c, ok }

// Model returns a model by name.
func (x *Index) Model(name string) (*Model, bool) { m, ok := x.models[name]; return m, ok }

// Route returns a route, which is a plain service, by name.
func (x *Index) Route(name string) (*Route, bool) { r, ok := x.routes[name]; return r, ok }

// Server returns a backend server by name.
func (x *Index) Server(name string) (*BackendServer, bool) { s, ok := x.servers[name]; return s, ok }

// Pool returns a pool by name.
func (x *Index) Pool(name string) (*Pool, bool) { p, ok := x.pools[name]; return p, ok }

// PoolNames returns the names of all pools, sorted.
func (x *Index) PoolNames() []string { return x.poolNames }

// PoolsOfModel returns the names of the pools that may serve a model, sorted.
func (x *Index) PoolsOfModel(m *Model) []string {
	if len(m.Pools) == 0 {
		return x.poolNames
	}
	out := append([]string(nil), m.Pools...)
	sort.Strings(out)
	return out
}

// Default limits.
const (
	defaultDeadlineMs      = 60_000
	defaultMaxDeadlineMs   = 1_800_000
	defaultMaxBodyBytes    = 8 << 20
	defaultMaxOutputTokens = 4_096
	defaultCrashLimit      = 3
	defaultQueueLimit      = 512
	defaultRouteTimeoutMs  = 10_000
)

// WithDefaults replaces zero values by defaults.
func (l Limits) WithDefaults() Limits {
	setDefault(&l.DefaultDeadlineMs, defaultDeadlineMs)
	setDefault(&l.MaxDeadlineMs, defaultMaxDeadlineMs)
	setDefault(&l.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&l.MaxOutputTokens, defaultMaxOutputTokens)
	setDefault(&l.CrashLimit, defaultCrashLimit)
	setDefault(&l.QueueLimit, defaultQueueLimit)
	return l
}

// Timeout returns the maximum duration of a call of the route, in milliseconds.
func (r *Route) Timeout() int {
	timeout := r.TimeoutMs
	setDefault(&timeout, defaultRouteTimeoutMs)
	return timeout
}

func setDefault(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

// Defaults for the placement of models.
const (
	defaultModelSlots         = 2
	defaultLoadsPerMinute     = 6
	defaultMaxConcurrentLoads = 2
)

// ModelSlots returns the number of models whose weights fit in the engine's memory at once.
func (s *BackendServer) ModelSlots() int {
	slots := s.MaxModels
	setDefault(&slots, defaultModelSlots)
	return slots
}

// WithDefaults replaces zero values by defaults.
func (w WeightStore) WithDefaults() WeightStore {
	setDefault(&w.LoadsPerMinute, defaultLoadsPerMinute)
	setDefault(&w.MaxConcurrentLoads, defaultMaxConcurrentLoads)
	return w
}

// ServerAt returns the backend server at an address.
func (x *Index) ServerAt(address string) (*BackendServer, bool) {
	s, ok := x.serversByAddress[address]
	return s, ok
}
