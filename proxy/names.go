package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
)

// Names are the names of the headers that callers, nodes and backend servers
// exchange. A header whose name is empty is neither sent nor read.
type Names struct {
	// Timeout is the timeout in milliseconds that a caller sets. The backend
	// server receives the remaining time in it.
	Timeout string
	// Depth is the number of calls that led to a request.
	Depth string
	// RequestID identifies a request. A backend server copies it to its
	// response.
	RequestID string
	// Backend is the ID of the backend server that a request is meant for. A
	// different backend server at the same address responds with 421 and does
	// not run it.
	Backend string
	// Service is the service of the host where a request originated.
	Service string
	// NotRun marks the response of a backend server that did not run the
	// request. It is ignored without the request's RequestID. A response without
	// the mark is not passed on if its status implies the same to callers.
	NotRun string
	// Signature is in every success that a backend server sends. A success without
	// it is not accepted as its answer.
	Signature string
	// RateLimit is the number of requests per second, a decimal number, that the
	// backend server which answers takes from all hosts together. Without it the
	// backend server has no limit.
	RateLimit string
	// Leaving marks the responses of a backend server that takes no new requests.
	Leaving string
	// Credential is the key of the caller's client account. It is never passed on.
	Credential string
	// Account is the name of the caller's client account, which the backend server receives. What a
	// caller sends in it is not passed on.
	Account string
	// Instance is the ID of a backend server in the responses of its health endpoint.
	Instance string
}

// HealthOf returns what the header of a health endpoint's response says: the ID of the backend
// server, and whether it takes no new requests.
func (n Names) HealthOf(h http.Header) (backend string, leaving bool) {
	return h.Get(n.Instance), n.saysLeaving(h)
}

func (n Names) saysLeaving(h http.Header) bool {
	leaving := get(h, n.Leaving)
	return leaving != "" && leaving != "0"
}

// DefaultNames are the names used unless the settings give others.
var DefaultNames = Names{Timeout: HeaderTimeout, Depth: HeaderDepth, Credential: HeaderKey, Account: HeaderAccount}

// get returns the value of the header with the given canonical name.
func get(h http.Header, name string) string {
	if vs := h[name]; len(vs) > 0 {
		return vs[0]
	}
	return ""
}

// takeCredential removes the headers about the caller's account from a request. It returns the
// digest of its key, nil if it has none.
func (n Names) takeCredential(h http.Header) *config.KeyDigest {
	if n.Account != "" {
		delete(h, n.Account)
	}
	keys := h[n.Credential]
	if n.Credential == "" || len(keys) == 0 {
		return nil
	}
	delete(h, n.Credential)
	digest := config.DigestKey(strings.Join(keys, ",")) // several keys are none that an account holds
	return &digest
}

func set(h http.Header, name, value string) {
	if name != "" {
		h[name] = []string{value}
	}
}

// setBackendHeaders adds the headers that a backend server receives with a
// request.
func (n Names) setBackendHeaders(h http.Header, backend string, depth int, left time.Duration) {
	set(h, n.Depth, strconv.Itoa(depth))
	set(h, n.Timeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if backend != "" {
		set(h, n.Backend, backend)
	}
}
