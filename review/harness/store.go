package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Meta   objectMeta      `json:"Meta"`
	Spec   json.RawMessage `json:"Spec"`
	Status json.RawMessage `json:"Status"`
}

type objectMeta struct {
	Name           string   `json:"Name"`
	Rev            uint64   `json:"Rev"`
	CreateRevision uint64   `json:"CreateRevision"`
	Finalizers     []string `json:"Finalizers"`
	Deleting       bool     `json:"Deleting"`
}

type change struct {
	revision uint64
	kind     string
	object   object
	deleted  bool
}

// store is the platform's metadata store: linearizable, with watches, always available.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object as the operator or a server does and returns the time of the confirmation.
func (s *store) put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
	return time.Now()
}

func (s *store) delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *store) write(kind, name string, spec []byte) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, known := s.objects[kind][name]
	if !known {
		o.Meta = objectMeta{Name: name, CreateRevision: s.revision, Finalizers: []string{}}
	}
	o.Meta.Rev, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.record(change{revision: s.revision, kind: kind, object: o})
	return o
}

func (s *store) remove(kind, name string) {
	o, known := s.objects[kind][name]
	if !known {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.record(change{revision: s.revision, kind: kind, object: o, deleted: true})
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls on /objects/KIND and /objects/KIND/NAME.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveRead(w, r, kind, name)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, known := s.objects[kind][name]
		if !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
		return
	}
	items := []object{}
	for n, o := range s.objects[kind] {
		if n > r.URL.Query().Get("After") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	writeJSON(w, http.StatusOK, map[string]any{"Items": items, "More": false, "StoreRevision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"Object": c.object, "Tombstone": c.deleted})
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = in.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known:
		writeJSON(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !known:
		w.WriteHeader(http.StatusNotFound)
	case in.Meta.Rev != 0 && in.Meta.Rev != old.Meta.Rev:
		writeJSON(w, http.StatusConflict, old)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		w.WriteHeader(http.StatusOK)
	default:
		writeJSON(w, http.StatusOK, s.write(kind, name, in.Spec))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has left
}
