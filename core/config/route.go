package config

import (
	"fmt"
	"slices"
	"strings"
)

// Route is a compiled route. It refers to an existing service and policy.
type Route struct {
	Name           string
	Host           string // empty: all hosts without routes of their own
	PathPrefix     string
	Methods        []string
	Service        string  // empty if Split is given
	Split          []Share // all weights are positive
	Policy         *Policy
	Public         bool // needs no key
	inheritsPolicy bool // Policy is that of the service
}

// ServiceFor returns the service for one request. A route with a split selects it by
// draw, a random number that is uniform in [0, 1).
func (r *Route) ServiceFor(draw float64) string {
	if r.Service != "" {
		return r.Service
	}
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * float64(total)
	for _, s := range r.Split {
		if left -= float64(s.Weight); left < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// services returns all services that the route may send requests to.
func (r *Route) services() []string {
	if r.Service != "" {
		return []string{r.Service}
	}
	names := make([]string, len(r.Split))
	for i, s := range r.Split {
		names[i] = s.Service
	}
	return names
}

func (c *compiler) route(k Key) {
	var spec RouteSpec
	if k.Kind != KindRoute || !decode(c, k, &spec) {
		return
	}
	if !strings.HasPrefix(spec.PathPrefix, "/") {
		c.addFault(k, "pathPrefix", "%q does not start with '/'", spec.PathPrefix)
		return
	}
	if spec.Host != hostName(spec.Host) || strings.ContainsAny(spec.Host, "/ ") {
		c.addFault(k, "host", "%q is not a host name in lower case without a port", spec.Host)
		return
	}
	for _, other := range c.snapshot.routes[spec.lookupKey()] {
		if methodsOverlap(other.Methods, spec.Methods) {
			c.addFault(k, "pathPrefix", "%q is that of route %q too, for the same methods", spec.PathPrefix, other.Name)
		}
	}
	c.checkServices(k, spec)
	policy := c.snapshot.services[spec.Service]
	if spec.Policy != "" || policy == nil {
		policy = c.resolve(k, spec.Policy)
	}
	c.snapshot.routes[spec.lookupKey()] = append(c.snapshot.routes[spec.lookupKey()], &Route{
		Name: k.Name, Host: spec.Host, PathPrefix: spec.PathPrefix, Methods: spec.Methods,
		Service: spec.Service, Split: spec.Split, Policy: policy, inheritsPolicy: spec.Policy == "" && spec.Service != "",
		Public: spec.Public,
	})
	if spec.Host != "" {
		c.snapshot.hosts[spec.Host]++
	}
}

// checkServices checks the service or the split of a route.
func (c *compiler) checkServices(k Key, spec RouteSpec) {
	if (spec.Service == "") == (len(spec.Split) == 0) {
		c.addFault(k, "service", "needs either a service or a split")
		return
	}
	if spec.Service != "" {
		c.serviceExists(k, "service", spec.Service)
	}
	for i, s := range spec.Split {
		c.serviceExists(k, fmt.Sprintf("split[%d].service", i), s.Service)
		if s.Weight <= 0 || s.Weight > MaxWeight {
			c.addFault(k, fmt.Sprintf("split[%d].weight", i), "%d is not between 1 and %d", s.Weight, MaxWeight)
		}
	}
}

func (c *compiler) serviceExists(k Key, field, name string) {
	if !c.exists(Key{KindService, name}) {
		c.addFault(k, field, "service %q does not exist", name)
	}
}

// methodsOverlap reports whether two lists have a method in common. An empty list
// means all methods.
func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}
