// Package fakeservice implements a fake of a plain service, for example a scheduling server or a training-records
// server. It records every call that it ran, so that tests can verify that none ran twice. Faults are injected over
// HTTP.
package fakeservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/carobstile/carobstile/internal/findings"
	"github.com/carobstile/carobstile/internal/settings"
)

// maxBodyBytes limits the request body of a call.
const maxBodyBytes = 1 << 20

// Settings configures the fake service.
type Settings struct {
	Address string `json:"address"`
	// Name is the name of the server in its answers.
	Name string `json:"name"`
}

// Check implements settings.Checker.
func (s *Settings) Check(list *findings.List) {
	settings.Address(list, "/address", s.Address)
	settings.Required(list, "/name", s.Name)
}

// ProcessName implements app.ProcessNamer.
func (s *Settings) ProcessName() string { return s.Name }

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// DelayMs delays each answer. The call runs before the delay.
	DelayMs int `json:"delayMs,omitempty"`
	// DropAnswers is the number of further calls that are run, but whose connections are closed without an answer.
	DropAnswers int `json:"dropAnswers,omitempty"`
	// Refuse answers every call with status 503 without running it.
	Refuse bool `json:"refuse,omitempty"`
}

// Call is a call that was run, identified by path and body.
type Call struct {
	Path string `json:"path"`
	Body string `json:"body"`
	// Runs is how often a call with this path and body was run.
	Runs int `json:"runs"`
}

// Server is the HTTP handler of the fake service.
type Server struct {
	settings Settings
	mux      *http.ServeMux

	mu     sync.Mutex
	faults Faults
	runs   map[Call]int
}

// New returns a server without faults.
func New(cfg Settings) *Server {
	s := &Server{settings: cfg, mux: http.NewServeMux(), runs: map[Call]int{}}
	s.mux.HandleFunc("POST /fault", s.handleSetFaults)
	s.mux.HandleFunc("GET /debug/calls", s.handleListCalls)
	s.mux.HandleFunc("/", s.handleCall)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Calls returns every call that was run, sorted by path and body.
func (s *Server) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Call
	for call, runs := range s.runs {
		call.Runs = runs
		out = append(out, call)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Path != out[j].Path {
			return out[i].Path < out[j].Path
		}
		return out[i].Body < out[j].Body
	})
	return out
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

type response struct {
	Server string `json:"server"`
	Path   string `json:"path"`
	Echo   string `json:"echo"`
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "request body is unreadable or too large", http.StatusBadRequest)
		return
	}
	faults, drop := s.record(r.URL.Path, string(body))
	if faults.Refuse {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if drop {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(time.Duration(faults.DelayMs) * time.Millisecond):
	case <-r.Context().Done():
		return
	}
	writeJSON(w, response{Server: s.settings.Name, Path: r.URL.Path, Echo: string(body)})
}

// record counts a call as run unless it is refused. It returns the faults that apply to the call and whether its
// answer is to be dropped.
func (s *Server) record(path, body string) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if faults.Refuse {
		return faults, false
	}
	s.runs[Call{Path: path, Body: body}]++
	if s.faults.DropAnswers > 0 {
		s.faults.DropAnswers--
		return faults, true
	}
	return faults, false
}

func (s *Server) handleSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

func (s *Server) handleListCalls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) }

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // on a write error the caller gets a truncated body
}
