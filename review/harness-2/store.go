package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store, as on the wire.
type object struct {
	Meta struct {
		Name           string   `json:"Name"`
		Rev            uint64   `json:"Rev"`
		CreateRevision uint64   `json:"CreateRevision"`
		Finalizers     []string `json:"Finalizers"`
		Deleting       bool     `json:"Deleting"`
	} `json:"Meta"`
	Spec   json.RawMessage `json:"Spec"`
	Status json.RawMessage `json:"Status"`
}

type change struct {
	rev     uint64
	kind    string
	object  object
	deleted bool
}

// store is a sound stand-in of the platform's store. It keeps the whole history.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	changes []change
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, rev: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	server := &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// write stores an object. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, exists := s.objects[kind][name]
	s.rev++
	if !exists {
		o.Meta.Name, o.Meta.CreateRevision = name, s.rev
	}
	o.Meta.Rev, o.Spec = s.rev, spec
	s.objects[kind][name] = o
	s.record(change{rev: s.rev, kind: kind, object: o})
	return o
}

// remove deletes an object if it exists. The caller holds mu.
func (s *store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.rev++
	delete(s.objects[kind], name)
	s.record(change{rev: s.rev, kind: kind, object: o, deleted: true})
}

func (s *store) record(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("Watch"):
		after, _ := strconv.ParseUint(query.Get("Watch"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		s.watch(w, r, kind, after, time.Duration(wait)*time.Millisecond)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, query.Get("After"))
	default:
		s.change(w, r, kind, name)
	}
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		if o.Meta.Name > after {
			items = append(items, o)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	more := len(items) > pageItems
	answer(w, http.StatusOK, map[string]any{"Items": items[:min(len(items), pageItems)], "More": more, "StoreRevision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, after uint64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.rev > after && c.kind == kind {
				events = append(events, map[string]any{"Object": c.object, "Tombstone": c.deleted})
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": rev})
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = in.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		answer(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && !exists:
		answer(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		answer(w, http.StatusOK, old)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		answer(w, http.StatusOK, nil)
	case in.Meta.Rev != 0 && in.Meta.Rev != old.Meta.Rev:
		answer(w, http.StatusConflict, old)
	default:
		answer(w, http.StatusOK, s.write(kind, name, in.Spec))
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
