package config

import (
	"slices"
	"strings"
)

// Snapshot is the compiled form of one version. It is immutable once built.
type Snapshot struct {
	Version  uint64
	routes   map[string][]*Route // by RouteSpec.lookupKey
	hosts    map[string]int      // number of routes by host, except for routes without a host
	policies map[string]*Policy
	services map[string]*Policy
	limits   LimitsSpec
	accounts map[string]*Account
	keys     map[KeyDigest]*Account
	ranks    ranks

	healthPaths map[string]string // by service; only those that are given
}

// HealthPath returns the path of the health endpoint of a service's backend servers, empty if
// the service names none.
func (s *Snapshot) HealthPath(service string) string { return s.healthPaths[service] }

// Limits returns the limits on callers' requests.
func (s *Snapshot) Limits() LimitsSpec { return s.limits }

// Match returns the route with the longest prefix that matches the path at a segment
// boundary and allows the method. If the host has routes of its own, only those are
// considered, otherwise the routes without a host. The cost grows with the length of
// the path, not with the number of routes.
func (s *Snapshot) Match(method, host, path string) (*Route, bool) {
	if host = hostName(host); s.hosts[host] == 0 {
		host = ""
	}
	for p := path; ; {
		for _, r := range s.routes[host+p] {
			if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
				return r, true
			}
		}
		if p == "/" || p == "" {
			return nil, false
		}
		i := strings.LastIndexByte(strings.TrimSuffix(p, "/"), '/')
		switch {
		case strings.HasSuffix(p, "/"):
			p = strings.TrimSuffix(p, "/")
		case i <= 0:
			p = "/"
		default:
			p = p[:i+1]
		}
	}
}

// hostName normalizes a Host header: lower case, without the port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// HasService reports whether a service exists.
func (s *Snapshot) HasService(name string) bool {
	_, ok := s.services[name]
	return ok
}

// Routes returns the number of routes.
func (s *Snapshot) Routes() int {
	n := 0
	for _, rs := range s.routes {
		n += len(rs)
	}
	return n
}
