// Package fakeservice is a stand-in for a plain service, for example a scheduling server or a training-records server.
// It remembers every call that it ran, so that tests can show that none ran twice, and takes fault commands.
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

// maxBodyBytes bounds a call's body.
const maxBodyBytes = 1 << 20

// Settings of the stand-in.
type Settings struct {
	Address string `json:"address"`
	// Name appears in the answers.
	Name string `json:"name"`
}

// Check implements settings.Checker.
func (s *Settings) Check(list *findings.List) {
	settings.Address(list, "/address", s.Address)
	settings.Required(list, "/name", s.Name)
}

// ProcessName implements app.ProcessNamer.
func (s *Settings) ProcessName() string { return s.Name }

// Faults are the failures that the stand-in shows. The zero value shows none.
type Faults struct {
	// DelayMs delays the answer; the call runs before the delay.
	DelayMs int `json:"delayMs,omitempty"`
	// DropAnswers runs that many next calls and closes their connections without an answer.
	DropAnswers int `json:"dropAnswers,omitempty"`
	// Refuse answers 503 without running the call.
	Refuse bool `json:"refuse,omitempty"`
}

// Call is one call that was run.
type Call struct {
	Path string `json:"path"`
	Body string `json:"body"`
	// Runs counts how often the same body was run on the same path.
	Runs int `json:"runs"`
}

// Server is the stand-in's HTTP handler.
type Server struct {
	settings Settings
	mux      *http.ServeMux

	mu     sync.Mutex
	faults Faults
	runs   map[Call]int
}

// New returns a stand-in.
func New(own Settings) *Server {
	s := &Server{settings: own, mux: http.NewServeMux(), runs: map[Call]int{}}
	s.mux.HandleFunc("POST /fault", s.setFaults)
	s.mux.HandleFunc("GET /debug/calls", s.calls)
	s.mux.HandleFunc("/", s.run)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Calls returns every call that was run, sorted.
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

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

type answer struct {
	Server string `json:"server"`
	Path   string `json:"path"`
	Echo   string `json:"echo"`
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body could not be read", http.StatusBadRequest)
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
	writeJSON(w, answer{Server: s.settings.Name, Path: r.URL.Path, Echo: string(body)})
}

// record runs a call unless it is refused, and reports whether its answer is dropped.
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

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) }

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the caller sees a short body
}
