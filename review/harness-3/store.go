package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyPeriod is how long the store keeps the history of changes (HistoryS of the small sites).
	historyPeriod = 20 * time.Second
	// readsPerSecond and writesPerSecond are the rates of the small sites. Calls beyond them get 429.
	readsPerSecond  = 2000
	writesPerSecond = 400
)

// meta is the Meta of an object.
type meta struct {
	Name           string
	Rev            uint64
	CreateRevision uint64
	Finalizers     []string
	Deleting       bool
}

// object is an object of the store.
type object struct {
	Meta   meta
	Spec   json.RawMessage
	Status json.RawMessage
}

// change is an event of the store's history.
type change struct {
	kind      string
	object    object
	tombstone bool
	at        time.Time
}

// image is the state of the store at a revision, from which it can be restored.
type image struct {
	revision uint64
	objects  map[string]map[string]object
}

// store is a stand-in of the platform's metadata store: objects by kind and name, one revision counter, watches, a
// history of changes, outages, and the return from an older copy.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	era      int
	revision uint64
	// oldest is the revision after which the history is complete.
	oldest  uint64
	objects map[string]map[string]object
	changes []change
	down    bool
	changed chan struct{}
	calls   int
	gone    int
	refused int
	// second is the second in which reads and writes were counted.
	second        int64
	reads, writes int
	conns         map[net.Conn]bool
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		listener: l, era: 1, revision: 100, oldest: 100, objects: map[string]map[string]object{},
		changed: make(chan struct{}), conns: map[net.Conn]bool{},
	}
	server := &http.Server{Handler: s, ConnState: s.track}
	go func() { _ = server.Serve(l) }() // ends with the process
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
		if s.down {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	case http.StateActive, http.StateIdle:
	}
}

// put writes the Spec of an object as the operator or a server does, and returns the revision of its last change.
func (s *store) put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(kind, name, data, nil, nil).Meta.Rev
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(kind, name)
}

// counts are figures of the store.
type counts struct {
	revision                  uint64
	era, calls, gone, refused int
}

func (s *store) state() counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return counts{s.revision, s.era, s.calls, s.gone, s.refused}
}

// copyNow returns a copy of the state.
func (s *store) copyNow() image {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := image{revision: s.revision, objects: map[string]map[string]object{}}
	for kind, byName := range s.objects {
		out.objects[kind] = maps.Clone(byName)
	}
	return out
}

// goAway closes all connections and serves nobody until comeBack.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.notify()
}

// comeBack ends an outage. With a copy, the store has the state of that copy and nothing of what came after it.
func (s *store) comeBack(from *image) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	if from != nil {
		s.era++
		s.revision, s.objects = from.revision, from.objects
		s.changes = slices.DeleteFunc(s.changes, func(c change) bool { return c.object.Meta.Rev > s.revision })
	}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// apply replaces an object. A write that changes nothing does not increase the revision. The caller holds mu.
func (s *store) apply(kind, name string, spec, status json.RawMessage, finalizers []string) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(spec) && string(o.Status) == string(status) && slices.Equal(o.Meta.Finalizers, finalizers) {
		return o
	}
	s.revision++
	if !exists {
		o.Meta.CreateRevision = s.revision
	}
	o.Meta.Name, o.Meta.Rev, o.Spec, o.Status, o.Meta.Finalizers = name, s.revision, spec, status, finalizers
	s.objects[kind][name] = o
	s.record(change{kind: kind, object: o})
	return o
}

// delete removes an object. The caller holds mu.
func (s *store) delete(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Meta.Rev = s.revision
	delete(s.objects[kind], name)
	s.record(change{kind: kind, object: o, tombstone: true})
}

// record adds a change to the history and drops what is too old. The caller holds mu.
func (s *store) record(c change) {
	c.at = time.Now()
	s.changes = append(s.changes, c)
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > historyPeriod {
		s.oldest = s.changes[0].object.Meta.Rev
		s.changes = s.changes[1:]
	}
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	down, admitted := s.down, s.admits(r)
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case !admitted:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	path, _ := strings.CutPrefix(r.URL.Path, "/objects/")
	kind, name, _ := strings.Cut(path, "/")
	name, status := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.write(w, r, kind, name, status)
	}
}

// admits counts a call against the rates. Stale reads don't count. The caller holds mu.
func (s *store) admits(r *http.Request) bool {
	if now := time.Now().Unix(); now != s.second {
		s.second, s.reads, s.writes = now, 0, 0
	}
	admitted := true
	switch {
	case r.Method != http.MethodGet:
		s.writes++
		admitted = s.writes <= writesPerSecond
	case r.URL.Query().Get("AllowStale") != "1":
		s.reads++
		admitted = s.reads <= readsPerSecond
	}
	if !admitted {
		s.refused++
	}
	return admitted
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name > r.URL.Query().Get("After") {
			items = append(items, s.objects[kind][name])
		}
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"Items": items, "More": false, "StoreRevision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.revision || after < s.oldest {
			s.gone++
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.kind == kind && c.object.Meta.Rev > after {
				events = append(events, map[string]any{"Object": c.object, "Tombstone": c.tombstone})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var in object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Meta.Name
	}
	old, exists := s.objects[kind][name]
	rev := in.Meta.Rev
	if text := r.URL.Query().Get("Rev"); text != "" {
		rev, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && exists, exists && rev != 0 && rev != old.Meta.Rev:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		reply(w, http.StatusOK, old)
	case status:
		reply(w, http.StatusOK, s.apply(kind, name, old.Spec, in.Status, old.Meta.Finalizers))
	default:
		reply(w, http.StatusOK, s.apply(kind, name, in.Spec, old.Status, in.Meta.Finalizers))
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode answer of the store: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // fails if the client has left
}
