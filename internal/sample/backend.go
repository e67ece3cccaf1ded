// Package sample is a backend server for demonstrations and tests: it answers
// as the sample services would and records what ran.
package sample

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Backend is one sample backend server.
type Backend struct {
	Service string
	Name    string
	server  *http.Server
	address string
	healthy atomic.Bool
	ran     atomic.Int64
}

// Start returns a Backend that listens on a free port of loopback.
func Start(service, name string) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("sample backend server %s: %w", name, err)
	}
	b := &Backend{Service: service, Name: name, address: l.Addr().String()}
	b.healthy.Store(true)
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	return b, nil
}

// Address returns where the backend server listens.
func (b *Backend) Address() string { return b.address }

// Ran returns the number of requests that ran.
func (b *Backend) Ran() int64 { return b.ran.Load() }

// Close ends the backend server at once.
func (b *Backend) Close() { _ = b.server.Close() }

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		if !b.healthy.Load() {
			http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n := b.ran.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer{
		Service: b.Service, BackendServer: b.Name, Method: r.Method, Path: r.URL.Path,
		Item: r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], Bytes: len(body), Run: n,
	})
}

type answer struct {
	Service       string `json:"service"`
	BackendServer string `json:"backendServer"`
	Method        string `json:"method"`
	Path          string `json:"path"`
	Item          string `json:"item"`
	Bytes         int    `json:"bytes"`
	Run           int64  `json:"run"`
}
