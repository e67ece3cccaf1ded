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

// object is one object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// change is one entry of the store's history.
type change struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

// store is a stand-in for the platform's store. It loses nothing.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex // guards the fields below
	revision uint64
	objects  map[string]object // by kind/name
	history  []change
	changed  chan struct{} // closed at the next change
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &store{address: l.Addr().String(), revision: 100, objects: map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind+"/"+name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, o)
}

// list answers with all objects of a kind: these stand-ins hold fewer than a page.
func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items, revision := []object{}, s.revision
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			items = append(items, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "current_rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := []map[string]any{}, s.revision, s.changed
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	_ = json.NewDecoder(r.Body).Decode(&in) // a DELETE has no body
	if name == "" {
		name = in.Metadata.Name
	}
	base := in.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		base, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && exists && base != 0 && base != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
		return
	case r.Method != http.MethodPost && !exists:
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, s.put(kind, name, in.Spec, r.Method == http.MethodDelete))
}

// put changes or removes an object. The caller must hold mu.
func (s *store) put(kind, name string, spec json.RawMessage, deleted bool) object {
	s.revision++
	o := s.objects[kind+"/"+name]
	if o.Metadata.Created == 0 {
		o.Metadata = metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	if deleted {
		delete(s.objects, kind+"/"+name)
	} else {
		s.objects[kind+"/"+name] = o
	}
	s.history = append(s.history, change{kind: kind, revision: s.revision, object: o, deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// route is one route of the operator's configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMS, attempts         int
}

// host is the host of all routes.
const host = "shop.example"

// configure writes the operator's configuration.
func (s *store) configure(version int, routes ...route) {
	resources := []map[string]any{}
	services := map[string]bool{}
	for _, r := range routes {
		services[r.service] = true
		resources = append(resources, map[string]any{"type": "routes", "metadata": map[string]any{"name": r.name}, "spec": map[string]any{
			"host": host, "prefix": r.prefix, "kind": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": 400,
			"priority": 1, "service": r.service, "max_attempts": r.attempts,
		}})
	}
	for name := range services {
		resources = append(resources, map[string]any{"type": "services", "metadata": map[string]any{"name": name}, "spec": map[string]any{
			"health_path": "/healthz", "max_connections": 130, "protocol": "h1", "tls": false,
		}})
	}
	resources = append(resources, map[string]any{"type": "limits", "metadata": map[string]any{}, "spec": map[string]any{
		"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
	}})
	spec, _ := json.Marshal(map[string]any{"version": fmt.Sprintf("r%d", version), "resources": resources}) // plain maps: never fails
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("config", "main", spec, false)
}
