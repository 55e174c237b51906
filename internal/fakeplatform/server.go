// Package fakeplatform implements a fake of the platform: its object API with versions, conditional updates and
// watches, its delayed host list and its rate-limited weight store. All state is in memory. Faults are injected over
// HTTP.
package fakeplatform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/platform"
	"github.com/carobstile/carobstile/internal/settings"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Settings configures the fake platform. Zero values take the defaults.
type Settings struct {
	Address string `json:"address"`
	// ReadsPerSecond and WritesPerSecond limit the calls of the object API and reads of the host list. A watch counts as one
	// read.
	ReadsPerSecond  int `json:"readsPerSecond,omitempty"`
	WritesPerSecond int `json:"writesPerSecond,omitempty"`
	// HostLagMs is the delay until a change of the host list becomes visible.
	HostLagMs int `json:"hostLagMs,omitempty"`
	// WeightLoadsPerMinute limits the rate of calls to the weight store.
	WeightLoadsPerMinute int `json:"weightLoadsPerMinute,omitempty"`
	// WeightLoadMs is the duration of one load.
	WeightLoadMs int `json:"weightLoadMs,omitempty"`
}

// Check implements settings.Checker.
func (s *Settings) Check(list *findings.List) {
	settings.Address(list, "/address", s.Address)
	settings.Range(list, "/readsPerSecond", s.ReadsPerSecond, 0, maxRate)
	settings.Range(list, "/writesPerSecond", s.WritesPerSecond, 0, maxRate)
	settings.Range(list, "/hostLagMs", s.HostLagMs, 0, maxLagMs)
	settings.Range(list, "/weightLoadsPerMinute", s.WeightLoadsPerMinute, 0, maxRate)
	settings.Range(list, "/weightLoadMs", s.WeightLoadMs, 0, maxLagMs)
}

// Upper bounds of the settings.
const (
	maxRate  = 1_000_000
	maxLagMs = 600_000
)

// Default limits, taken from the figures in the design document.
const (
	defaultReadsPerSecond       = 2_000
	defaultWritesPerSecond      = 400
	defaultHostLagMs            = 2_000
	defaultWeightLoadsPerMinute = 6
)

// Server is the HTTP handler of the fake platform.
type Server struct {
	store         *platform.Fake
	settings      Settings
	readLimiter   *rate.Limiter
	writeLimiter  *rate.Limiter
	weightLimiter *rate.Limiter
	mux           *http.ServeMux

	mu                 sync.Mutex
	weightLoadsRefused int
}

// New returns a server for the objects and hosts in store.
func New(cfg Settings, store *platform.Fake) *Server {
	setDefault(&cfg.ReadsPerSecond, defaultReadsPerSecond)
	setDefault(&cfg.WritesPerSecond, defaultWritesPerSecond)
	setDefault(&cfg.HostLagMs, defaultHostLagMs)
	setDefault(&cfg.WeightLoadsPerMinute, defaultWeightLoadsPerMinute)
	s := &Server{
		store: store, settings: cfg, mux: http.NewServeMux(),
		readLimiter:   rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.ReadsPerSecond),
		writeLimiter:  rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), cfg.WritesPerSecond),
		weightLimiter: rate.NewLimiter(rate.Every(time.Minute/time.Duration(cfg.WeightLoadsPerMinute)), 2),
	}
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.rateLimited(s.readLimiter, s.get))
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.rateLimited(s.writeLimiter, s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.rateLimited(s.writeLimiter, s.delete))
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.rateLimited(s.readLimiter, s.list))
	s.mux.HandleFunc("GET /v1/watch/{kind}", s.rateLimited(s.readLimiter, s.watch))
	s.mux.HandleFunc("GET /v1/hosts", s.rateLimited(s.readLimiter, s.hosts))
	s.mux.HandleFunc("PUT /v1/hosts", s.setHosts)
	s.mux.HandleFunc("POST /v1/weights/{model}", s.loadWeights)
	s.mux.HandleFunc("POST /fault", s.setFaults)
	s.mux.HandleFunc("GET /debug/counts", s.counts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) rateLimited(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !limiter.Allow() {
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	object, err := s.store.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	writeResult(w, object, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValueBytes+1))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	kind, name := r.PathValue("kind"), r.PathValue("name")
	version, conditional, err := ifVersion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if conditional {
		version, err = s.store.PutIf(r.Context(), kind, name, value, version)
	} else {
		version, err = s.store.Put(r.Context(), kind, name, value)
	}
	writeResult(w, platform.Object{Kind: kind, Name: name, Version: version}, err)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	version, _, err := ifVersion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = s.store.DeleteIf(r.Context(), r.PathValue("kind"), r.PathValue("name"), version)
	writeResult(w, struct{}{}, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.store.List(r.Context(), r.PathValue("kind"), r.URL.Query().Get("prefix"))
	writeResult(w, objects, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: expected a revision number", http.StatusBadRequest)
		return
	}
	timeout, err := strconv.Atoi(query.Get("timeout-ms"))
	if err != nil || timeout < 0 {
		http.Error(w, "timeout-ms: expected a number of milliseconds, at least 0", http.StatusBadRequest)
		return
	}
	wait := time.Duration(timeout) * time.Millisecond
	result, err := s.store.WatchAfter(r.Context(), r.PathValue("kind"), query.Get("prefix"), after, wait)
	writeResult(w, result, err)
}

func (s *Server) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.store.Hosts(r.Context(), platform.HostState(r.URL.Query().Get("state")))
	writeResult(w, hosts, err)
}

// setHosts replaces the host list after Settings.HostLagMs.
func (s *Server) setHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []platform.Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lag := time.Duration(s.settings.HostLagMs) * time.Millisecond
	time.AfterFunc(lag, func() { s.store.SetHosts(hosts) })
	writeResult(w, struct{}{}, nil)
}

func (s *Server) loadWeights(w http.ResponseWriter, r *http.Request) {
	if !s.weightLimiter.Allow() {
		s.mu.Lock()
		s.weightLoadsRefused++
		s.mu.Unlock()
		http.Error(w, "rate limit of the weight store exceeded", http.StatusTooManyRequests)
		return
	}
	select {
	case <-time.After(time.Duration(s.settings.WeightLoadMs) * time.Millisecond):
		writeResult(w, struct{}{}, nil)
	case <-r.Context().Done():
	}
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults platform.Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.SetFaults(faults)
	writeResult(w, faults, nil)
}

type countsResponse struct {
	platform.Counts
	WeightLoadsRefused int `json:"weightLoadsRefused"`
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	weightLoadsRefused := s.weightLoadsRefused
	s.mu.Unlock()
	writeResult(w, countsResponse{Counts: s.store.Counts(), WeightLoadsRefused: weightLoadsRefused}, nil)
}

func ifVersion(r *http.Request) (version uint64, conditional bool, err error) {
	text := r.URL.Query().Get("if-version")
	if text == "" {
		return 0, false, nil
	}
	version, err = strconv.ParseUint(text, 10, 64)
	return version, true, errors.Wrap(err, "if-version")
}

func writeResult(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body) // the client treats a truncated body as a lost answer
	case errors.Is(err, platform.ErrUnknown):
		panic(http.ErrAbortHandler) // closes the connection without an answer, so that the answer is lost
	default:
		http.Error(w, err.Error(), statusOf(err))
	}
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, platform.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, platform.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

func setDefault(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}
