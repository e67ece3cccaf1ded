package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// objectMeta and object are an object of the platform's store, as PROTOCOL.md describes it.
type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Meta   objectMeta      `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

// objectStore is the platform's metadata store.
type objectStore struct {
	server   *http.Server
	down     atomic.Bool            // all calls get 503
	rejected atomic.Pointer[string] // address of a machine whose calls get 503

	mu       sync.Mutex // guards the fields below
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

const storePage = 500

func newStore() *objectStore {
	s := &objectStore{revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	return s
}

// listen opens the address at which one machine reaches the store.
func (s *objectStore) listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = s.server.Serve(l) }()
	return l.Addr().String(), nil
}

// rejects reports whether the store turns the machine of a call away.
func (s *objectStore) rejects(r *http.Request) bool {
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	address := s.rejected.Load()
	return s.down.Load() || address != nil && local != nil && *address == local.String()
}

// ServeHTTP implements http.Handler.
func (s *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.rejects(r) {
		replyStore(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func replyStore(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *objectStore) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		replyStore(w, http.StatusNotFound, struct{}{})
		return
	}
	replyStore(w, http.StatusOK, o)
}

func (s *objectStore) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	names := []string{}
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > storePage
	items := []object{}
	for _, name := range names[:min(storePage, len(names))] {
		items = append(items, s.objects[kind][name])
	}
	revision := s.revision
	s.mu.Unlock()
	replyStore(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": revision})
}

func (s *objectStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || done {
			replyStore(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			done = true
		case <-r.Context().Done():
			return
		}
		if s.rejects(r) {
			replyStore(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
	}
}

func (s *objectStore) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	body, _ := io.ReadAll(r.Body)
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		replyStore(w, http.StatusBadRequest, struct{}{})
		return
	}
	if name == "" {
		name = in.Meta.Name
	}
	name, ofStatus := strings.CutSuffix(name, "/status")
	base := in.Meta.Revision
	if v, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil {
		base = v
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && base != 0 && base != old.Meta.Revision:
		replyStore(w, http.StatusConflict, old)
		return
	case r.Method != http.MethodPost && !exists:
		replyStore(w, http.StatusNotFound, struct{}{})
		return
	}
	next := object{Meta: objectMeta{Name: name, Created: old.Meta.Created, Finalizers: in.Meta.Finalizers}, Spec: in.Spec, Status: old.Status}
	if ofStatus {
		next.Spec, next.Status = old.Spec, in.Status
	}
	replyStore(w, http.StatusOK, s.put(kind, next, r.Method == http.MethodDelete))
}

// put writes or deletes an object. The caller holds mu.
func (s *objectStore) put(kind string, o object, deleted bool) object {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if deleted {
		delete(s.objects[kind], o.Meta.Name)
	} else {
		s.objects[kind][o.Meta.Name] = o
	}
	s.history = append(s.history, change{kind: kind, revision: s.revision, object: o, deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// configure writes the configuration as the operator does.
func (s *objectStore) configure(spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects["config"]["main"]
	s.put("config", object{Meta: objectMeta{Name: "main", Created: old.Meta.Created}, Spec: json.RawMessage(spec)}, false)
}
