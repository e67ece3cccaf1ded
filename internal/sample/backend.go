// Package sample provides a backend server for demonstrations and tests. It responds
// like the sample services, records the requests that ran, and injects faults.
package sample

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of requests and responses.
const (
	// HeaderID is the ID that a caller gives a request; the response repeats it.
	HeaderID = "Request-Id"
	// HeaderChecksum is the CRC-32 of a response's body, in hexadecimal.
	HeaderChecksum = "Body-Checksum"
)

// Paths that are not recorded as requests.
const (
	HealthPath = "/healthz"
	LoadPath   = "/loadz"
)

// Backend is one sample backend server.
type Backend struct {
	Service  string
	Name     string
	address  string
	runs     *Runs
	runCount atomic.Int64
	fault    atomic.Pointer[func(*http.Request) Fault]
	health   atomic.Pointer[Health]

	mu      sync.Mutex // guards the fields below
	server  *http.Server
	release chan struct{} // closed to end the requests that hang
}

// Health is what the health and load endpoints report, whatever the actual state.
type Health struct {
	Unhealthy bool // the health endpoint responds with status 503
	Load      int  // reported by the load endpoint
}

// Start returns a Backend that listens on a free loopback port.
func Start(service, name string) (*Backend, error) {
	b := &Backend{Service: service, Name: name, runs: NewRuns()}
	b.SetHealth(Health{})
	b.SetFault(nil)
	if err := b.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *Backend) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("sample backend server %s: %w", b.Name, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.address, b.release = l.Addr().String(), make(chan struct{})
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 10 * time.Second}
	server := b.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// Address returns the address on which the backend server listens.
func (b *Backend) Address() string { return b.address }

// RunCount returns the number of requests that ran.
func (b *Backend) RunCount() int64 { return b.runCount.Load() }

// SetRuns makes the backend server record its runs in r, which other backend servers
// may share. It must be called before the first request.
func (b *Backend) SetRuns(r *Runs) { b.runs = r }

// Runs returns the record of the requests that ran.
func (b *Backend) Runs() *Runs { return b.runs }

// SetFault makes f choose the fault of each request; if f is nil, there are none.
func (b *Backend) SetFault(f func(*http.Request) Fault) {
	if f == nil {
		f = func(*http.Request) Fault { return Fault{} }
	}
	b.fault.Store(&f)
}

// SetHealth sets what the health and load endpoints report.
func (b *Backend) SetHealth(h Health) { b.health.Store(&h) }

// Close ends the backend server at once, as a crash does: the connections of requests
// in flight are closed and new connections are refused.
func (b *Backend) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.release:
		return
	default:
	}
	close(b.release)
	_ = b.server.Close()
}

// Restart starts a closed backend server again at the same address.
func (b *Backend) Restart() error { return b.listen(b.address) }

// Release ends all requests that hang; they get no response.
func (b *Backend) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.release)
	b.release = make(chan struct{})
}

// released returns a channel that is closed by the next Release or Close.
func (b *Backend) released() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.release
}
