package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// maxDeltaDivisor is the divisor of the number of objects in a set that gives the
// largest delta to be compiled incrementally.
const maxDeltaDivisor = 8

// CompileDelta gives the same result as Compile(next), where d leads from held to
// next and prev is the compiled form of held. For a small change of routes and
// services it decodes only the changed objects. If there are faults, it falls back to
// Compile, so that the faults reported are the same.
func CompileDelta(prev *Snapshot, held, next *Set, d Delta) (*Snapshot, []Fault) {
	if prev.Version != held.Version || prev.routes == nil || !d.canCompileIncrementally(len(held.Objects)) {
		return Compile(next)
	}
	c := &compiler{set: next, snapshot: &Snapshot{
		Version: next.Version, routes: maps.Clone(prev.routes), hosts: maps.Clone(prev.hosts), policies: prev.policies, services: prev.services, limits: prev.limits,
	}}
	c.checkSize()
	c.checkNames(d.keys())
	c.removeReplacedRoutes(held, d)
	c.recompileServices(d)
	c.addRoutes(d)
	if len(c.faults) > 0 {
		return Compile(next)
	}
	return c.snapshot, nil
}

// canCompileIncrementally reports whether a delta is small and changes no limits and
// no policy, since a policy may affect any other object.
func (d Delta) canCompileIncrementally(objects int) bool {
	if (len(d.Puts)+len(d.Deletes))*maxDeltaDivisor > objects {
		return false
	}
	for _, k := range d.keys() {
		if k.Kind == KindPolicy || k.Kind == KindLimits {
			return false
		}
	}
	return true
}

// keys returns the keys of all objects in a delta, puts before deletes.
func (d Delta) keys() []Key {
	keys := make([]Key, 0, len(d.Puts)+len(d.Deletes))
	for _, o := range d.Puts {
		keys = append(keys, o.Key())
	}
	return append(keys, d.Deletes...)
}

// removeReplacedRoutes removes the routes that the delta replaces or deletes.
func (c *compiler) removeReplacedRoutes(held *Set, d Delta) {
	for _, k := range d.keys() {
		old, ok := held.Objects[k]
		if !ok || k.Kind != KindRoute {
			continue
		}
		var spec RouteSpec
		_ = json.Unmarshal(old.Spec, &spec) // can't fail, since held was compiled
		if spec.Host != "" {
			c.snapshot.hosts[spec.Host]--
		}
		rest := slices.DeleteFunc(slices.Clone(c.snapshot.routes[spec.lookupKey()]), func(r *Route) bool { return r.Name == k.Name })
		if len(rest) == 0 {
			delete(c.snapshot.routes, spec.lookupKey())
			continue
		}
		c.snapshot.routes[spec.lookupKey()] = rest
	}
}

// recompileServices compiles changed services and updates the routes that inherit
// their policies. A route to a service that no longer exists becomes a fault.
func (c *compiler) recompileServices(d Delta) {
	changed := map[string]bool{}
	for _, k := range d.keys() {
		if k.Kind == KindService {
			changed[k.Name] = true
		}
	}
	if len(changed) == 0 {
		return
	}
	c.snapshot.services = maps.Clone(c.snapshot.services)
	for name := range changed {
		delete(c.snapshot.services, name)
		if k := (Key{KindService, name}); c.exists(k) {
			c.service(k)
		}
	}
	for key, routes := range c.snapshot.routes {
		if slices.ContainsFunc(routes, func(r *Route) bool { return r.usesAny(changed) }) {
			c.snapshot.routes[key] = c.updatePolicies(routes, changed)
		}
	}
}

func (r *Route) usesAny(services map[string]bool) bool {
	return slices.ContainsFunc(r.services(), func(name string) bool { return services[name] })
}

// updatePolicies returns the routes with the current policies of changed services. It
// adds a fault for each route to a service that no longer exists.
func (c *compiler) updatePolicies(routes []*Route, changed map[string]bool) []*Route {
	out := slices.Clone(routes)
	for i, r := range out {
		if !r.usesAny(changed) {
			continue
		}
		for _, name := range r.services() {
			c.serviceExists(Key{KindRoute, r.Name}, "service", name)
		}
		if r.inheritsPolicy {
			updated := *r
			updated.Policy = c.snapshot.services[r.Service]
			out[i] = &updated
		}
	}
	return out
}

func (c *compiler) exists(k Key) bool {
	_, ok := c.set.Objects[k]
	return ok
}

// addRoutes compiles the routes that a delta puts. Routes with the same lookup key
// stay ordered by name, as in Compile.
func (c *compiler) addRoutes(d Delta) {
	for _, o := range d.Puts {
		var spec RouteSpec
		if o.Kind != KindRoute || json.Unmarshal(o.Spec, &spec) != nil {
			c.route(o.Key()) // reports the fault if it is a route
			continue
		}
		c.snapshot.routes[spec.lookupKey()] = slices.Clone(c.snapshot.routes[spec.lookupKey()])
		c.route(o.Key())
		routes := c.snapshot.routes[spec.lookupKey()]
		slices.SortFunc(routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	}
}
