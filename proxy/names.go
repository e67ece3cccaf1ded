package proxy

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/agatekeel/agatekeel/core/retry"
)

// Names are the headers by which callers, nodes and backend servers understand
// each other. What an empty name stands for is neither sent nor read.
type Names struct {
	// Timeout is the time in milliseconds that a caller allows, and what is
	// left of it when the request reaches the backend server.
	Timeout string
	// Depth counts the calls that led to a request.
	Depth string
	// RequestID names a request. A backend server repeats it in its answer.
	RequestID string
	// Backend is the ID of the backend server that a request is meant for.
	// Another one at the same address answers 421 and does not run it.
	Backend string
	// Service is the service of the host at which a request began.
	Service string
	// NotRun marks an answer by a backend server that did not run the request.
	NotRun string
}

// DefaultNames are the names that stand in no settings.
var DefaultNames = Names{Timeout: HeaderTimeout, Depth: HeaderDepth}

// get returns the value of a header in its canonical form.
func get(h http.Header, name string) string {
	if vs := h[name]; len(vs) > 0 {
		return vs[0]
	}
	return ""
}

func set(h http.Header, name, value string) {
	if name != "" {
		h[name] = []string{value}
	}
}

// setBackendHeaders adds what a backend server is to know of a request.
func (n Names) setBackendHeaders(h http.Header, backend string, depth int, left time.Duration) {
	set(h, n.Depth, strconv.Itoa(depth))
	set(h, n.Timeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if backend != "" {
		set(h, n.Backend, backend)
	}
}

// checkResponse reports why a backend server's answer is none to the request: it
// belongs to another one, or says that nothing ran.
func (n Names) checkResponse(r *http.Request, resp *http.Response) error {
	if n.RequestID != "" && get(resp.Header, n.RequestID) != get(r.Header, n.RequestID) {
		_ = resp.Body.Close()
		err := fmt.Errorf("answer with status %d is that of another request", resp.StatusCode)
		return &attemptError{outcome: retry.Unknown, err: err}
	}
	if n.NotRun == "" || get(resp.Header, n.NotRun) == "" && resp.StatusCode != http.StatusMisdirectedRequest {
		return nil
	}
	_ = resp.Body.Close()
	err := fmt.Errorf("answer with status %d says that it did not run", resp.StatusCode)
	return &attemptError{outcome: retry.NotRun, healthy: true, arrived: true, err: err}
}
