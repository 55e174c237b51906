package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxKeptBody is how much of a body is kept.
const maxKeptBody = 4 << 10

// run is a request that a server began to work on.
type run struct {
	requestID string
	// serverID is the process that ran it; at is when the request reached it.
	serverID string
	at       time.Time
	// cut is set if the process ended while it worked on the request.
	cut bool
}

// server is a backend server. It answers requests with work, which gets the id of the request and writes the answer.
type server struct {
	env           *env
	service, zone string
	slots         int
	work          func(s *server, w http.ResponseWriter, r *http.Request, body []byte)

	mu       sync.Mutex
	id       string
	address  string
	starts   int
	listener net.Listener
	conns    map[net.Conn]bool
	runs     []*run
	running  map[*run]bool
}

// newServer starts a server and writes its entry to the store.
func newServer(e *env, service, zone string, slots int, work func(*server, http.ResponseWriter, *http.Request, []byte)) *server {
	s := &server{env: e, service: service, zone: zone, slots: slots, work: work, address: "127.0.0.1:0", running: map[*run]bool{}}
	s.start()
	return s
}

// start starts a new process of the server, at the address of the one before it.
func (s *server) start() {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		fatal("start server: %v", err)
	}
	s.mu.Lock()
	s.starts++
	s.address, s.listener, s.conns = listener.Addr().String(), listener, map[net.Conn]bool{}
	_, port, _ := net.SplitHostPort(s.address)
	s.id = "i-" + port + "-" + strconv.Itoa(s.starts)
	s.mu.Unlock()
	h := &http.Server{Handler: http.HandlerFunc(s.serve), ConnState: s.track}
	go func() { _ = h.Serve(listener) }() // returns when crash closes the listener
	s.report("ready")
}

// report writes the server's entry with a state and returns the time of the store's confirmation.
func (s *server) report(state string) time.Time {
	s.mu.Lock()
	id, address := s.id, s.address
	s.mu.Unlock()
	return s.env.store.put("servers", id, map[string]any{
		"Service": s.service, "Addr": address, "Zone": s.zone, "Version": "v1", "Capacity": s.slots, "State": state,
		"ColdLeftMs": 0, "Seq": 1, "born": time.Now().UnixMilli(),
	})
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// end ends the process: its listener and all its connections are gone at once.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for r := range s.running {
		r.cut = true
	}
	for c := range s.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	s.conns = map[net.Conn]bool{}
}

// crash ends the process, removes its entry once three heartbeats are missing, and starts it again after down.
func (s *server) crash(down time.Duration) {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	s.end()
	time.AfterFunc(3*heartbeat, func() { s.env.store.delete("servers", id) })
	time.AfterFunc(down, func() {
		if !s.env.closing.Load() {
			s.start()
		}
	})
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	requestID := r.Header.Get("X-Request-Id")
	if requestID != "" {
		w.Header().Set("X-Request-Id", requestID)
	}
	switch {
	case r.URL.Path == "/report":
		writeJSON(w, http.StatusOK, map[string]any{
			"Stage": "mixed", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}, "Busy": false,
			"Seq": 1, "Waiting": 0, "Running": 0, "KvUsed": 0, "KvTotal": 315000, "Handles": 0, "pace": 1,
		})
		return
	case r.URL.Path == "/health":
		w.Header().Set("X-Instance", id)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxKeptBody))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Instance", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if len(s.running) >= s.slots {
		s.mu.Unlock()
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	done := &run{requestID: requestID, serverID: id, at: time.Now()}
	s.runs = append(s.runs, done)
	s.running[done] = true
	s.mu.Unlock()
	s.env.record("run      %s at %s", requestID, id)
	defer func() {
		s.mu.Lock()
		delete(s.running, done)
		s.mu.Unlock()
	}()
	w.Header().Set("X-Stamp", "stamp-"+id+"-"+requestID)
	s.work(s, w, r, body)
}

// allRuns returns what the server has run so far.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, *r)
	}
	return out
}

// plainWork answers with a body that depends on the request after a time.
func plainWork(took time.Duration) func(*server, http.ResponseWriter, *http.Request, []byte) {
	return func(_ *server, w http.ResponseWriter, r *http.Request, _ []byte) {
		sleep(r, took)
		text := answerText(r.Header.Get("X-Request-Id"))
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text) // fails if the daemon has left
	}
}

func answerText(requestID string) string { return "done " + requestID + "\n" }

// writeEvents writes the events of a stream after the last one that the caller has. It returns false if the caller left.
func writeEvents(w http.ResponseWriter, r *http.Request, events int, first, pause time.Duration) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !sleep(r, first) {
		return false
	}
	for i := from + 1; i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, r.Header.Get("X-Request-Id"), i); err != nil {
			return false
		}
		if http.NewResponseController(w).Flush() != nil || i < events && !sleep(r, pause) {
			return false
		}
	}
	return true
}

// sleep waits and reports whether the caller is still there.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
