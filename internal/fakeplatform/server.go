// Package fakeplatform is a stand-in for the platform: its object API with versions, conditional updates and watches,
// its lagging host list and its rate-limited weight store. It keeps everything in memory and takes fault commands.
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

// Settings of the stand-in.
type Settings struct {
	Address string `json:"address"`
	// ReadsPerSecond and WritesPerSecond limit the object API; a waiting watch counts as one read.
	ReadsPerSecond  int `json:"readsPerSecond,omitempty"`
	WritesPerSecond int `json:"writesPerSecond,omitempty"`
	// HostLagMs is the time until a change of the host list shows.
	HostLagMs int `json:"hostLagMs,omitempty"`
	// WeightLoadsPerMinute limits the weight store.
	WeightLoadsPerMinute int `json:"weightLoadsPerMinute,omitempty"`
	// WeightLoadMs is the time one load takes.
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

// Bounds of the settings.
const (
	maxRate  = 1_000_000
	maxLagMs = 600_000
)

// Defaults of the stand-in's limits, from the figures of the design page.
const (
	defaultReads       = 2_000
	defaultWrites      = 400
	defaultHostLagMs   = 2_000
	defaultWeightLoads = 6
)

// Server is the stand-in's HTTP handler.
type Server struct {
	store    *platform.Fake
	settings Settings
	reads    *rate.Limiter
	writes   *rate.Limiter
	weights  *rate.Limiter
	mux      *http.ServeMux

	mu      sync.Mutex
	dropped int
}

// New returns a stand-in over a fake store.
func New(limits Settings, store *platform.Fake) *Server {
	setDefault(&limits.ReadsPerSecond, defaultReads)
	setDefault(&limits.WritesPerSecond, defaultWrites)
	setDefault(&limits.HostLagMs, defaultHostLagMs)
	setDefault(&limits.WeightLoadsPerMinute, defaultWeightLoads)
	s := &Server{
		store: store, settings: limits, mux: http.NewServeMux(),
		reads:   rate.NewLimiter(rate.Limit(limits.ReadsPerSecond), limits.ReadsPerSecond),
		writes:  rate.NewLimiter(rate.Limit(limits.WritesPerSecond), limits.WritesPerSecond),
		weights: rate.NewLimiter(rate.Every(time.Minute/time.Duration(limits.WeightLoadsPerMinute)), 2),
	}
	s.mux.HandleFunc("GET /v1/objects/{kind}/{name}", s.limited(s.reads, s.get))
	s.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", s.limited(s.writes, s.put))
	s.mux.HandleFunc("DELETE /v1/objects/{kind}/{name}", s.limited(s.writes, s.delete))
	s.mux.HandleFunc("GET /v1/objects/{kind}", s.limited(s.reads, s.list))
	s.mux.HandleFunc("GET /v1/watch/{kind}", s.limited(s.reads, s.watch))
	s.mux.HandleFunc("GET /v1/hosts", s.limited(s.reads, s.hosts))
	s.mux.HandleFunc("PUT /v1/hosts", s.setHosts)
	s.mux.HandleFunc("POST /v1/weights/{model}", s.loadWeights)
	s.mux.HandleFunc("POST /fault", s.fault)
	s.mux.HandleFunc("GET /debug/counts", s.counts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) limited(limiter *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !limiter.Allow() {
			http.Error(w, "rate limit", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	object, err := s.store.Get(r.Context(), r.PathValue("kind"), r.PathValue("name"))
	reply(w, object, err)
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
	reply(w, platform.Object{Kind: kind, Name: name, Version: version}, err)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	version, _, err := ifVersion(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = s.store.DeleteIf(r.Context(), r.PathValue("kind"), r.PathValue("name"), version)
	reply(w, struct{}{}, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, err := s.store.List(r.Context(), r.PathValue("kind"), r.URL.Query().Get("prefix"))
	reply(w, objects, err)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	timeout, err := strconv.Atoi(query.Get("timeout-ms"))
	if err != nil || timeout < 0 {
		http.Error(w, "timeout-ms must be a whole number of milliseconds", http.StatusBadRequest)
		return
	}
	wait := time.Duration(timeout) * time.Millisecond
	result, err := s.store.WatchAfter(r.Context(), r.PathValue("kind"), query.Get("prefix"), after, wait)
	reply(w, result, err)
}

func (s *Server) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := s.store.Hosts(r.Context(), platform.HostState(r.URL.Query().Get("state")))
	reply(w, hosts, err)
}

// setHosts replaces the host list after the lag.
func (s *Server) setHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []platform.Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lag := time.Duration(s.settings.HostLagMs) * time.Millisecond
	time.AfterFunc(lag, func() { s.store.SetHosts(hosts) })
	reply(w, struct{}{}, nil)
}

func (s *Server) loadWeights(w http.ResponseWriter, r *http.Request) {
	if !s.weights.Allow() {
		s.mu.Lock()
		s.dropped++
		s.mu.Unlock()
		http.Error(w, "rate limit of the weight store", http.StatusTooManyRequests)
		return
	}
	select {
	case <-time.After(time.Duration(s.settings.WeightLoadMs) * time.Millisecond):
		reply(w, struct{}{}, nil)
	case <-r.Context().Done():
	}
}

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var faults platform.Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.SetFaults(faults)
	reply(w, faults, nil)
}

type countsReply struct {
	platform.Counts
	WeightLoadsRefused int `json:"weightLoadsRefused"`
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	dropped := s.dropped
	s.mu.Unlock()
	reply(w, countsReply{Counts: s.store.Counts(), WeightLoadsRefused: dropped}, nil)
}

func ifVersion(r *http.Request) (version uint64, conditional bool, err error) {
	text := r.URL.Query().Get("if-version")
	if text == "" {
		return 0, false, nil
	}
	version, err = strconv.ParseUint(text, 10, 64)
	return version, true, errors.Wrap(err, "if-version")
}

func reply(w http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body) // the client sees a short body as a lost answer
	case errors.Is(err, platform.ErrUnknown):
		panic(http.ErrAbortHandler) // closes the connection, as a lost answer does
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
