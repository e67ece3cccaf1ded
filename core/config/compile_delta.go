package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// maxDeltaDivisor is the share of a set, as a divisor, up to which a delta is
// compiled on its own.
const maxDeltaDivisor = 8

// CompileDelta is Compile for a set that a delta leads to from one that was
// compiled before. For a small change of routes and services it decodes only
// what changed. Its result is that of Compile; faults are always Compile's.
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

// canCompileIncrementally reports whether a delta is small and changes no policy, which
// may reach any other object, and no limits.
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

// keys returns the keys of what a delta puts; those that it deletes come last.
func (d Delta) keys() []Key {
	keys := make([]Key, 0, len(d.Puts)+len(d.Deletes))
	for _, o := range d.Puts {
		keys = append(keys, o.Key())
	}
	return append(keys, d.Deletes...)
}

// removeReplacedRoutes takes the routes out that the delta replaces or deletes.
func (c *compiler) removeReplacedRoutes(held *Set, d Delta) {
	for _, k := range d.keys() {
		old, ok := held.Objects[k]
		if !ok || k.Kind != KindRoute {
			continue
		}
		var spec RouteSpec
		_ = json.Unmarshal(old.Spec, &spec) // it was compiled before
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

// recompileServices compiles changed services and gives their policies to the
// routes that take them over. A route may be left that points at nothing.
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
	for prefix, routes := range c.snapshot.routes {
		if slices.ContainsFunc(routes, func(r *Route) bool { return r.usesAny(changed) }) {
			c.snapshot.routes[prefix] = c.updatePolicies(routes, changed)
		}
	}
}

func (r *Route) usesAny(services map[string]bool) bool {
	return slices.ContainsFunc(r.services(), func(name string) bool { return services[name] })
}

// updatePolicies returns routes with the policies of changed services.
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
			linked := *r
			linked.Policy = c.snapshot.services[r.Service]
			out[i] = &linked
		}
	}
	return out
}

func (c *compiler) exists(k Key) bool {
	_, ok := c.set.Objects[k]
	return ok
}

// addRoutes compiles the routes that a delta puts and keeps those of one
// prefix in the order of their names.
func (c *compiler) addRoutes(d Delta) {
	for _, o := range d.Puts {
		var spec RouteSpec
		if o.Kind != KindRoute || json.Unmarshal(o.Spec, &spec) != nil {
			c.route(o.Key()) // finds the fault, if it is a route
			continue
		}
		c.snapshot.routes[spec.lookupKey()] = slices.Clone(c.snapshot.routes[spec.lookupKey()])
		c.route(o.Key())
		routes := c.snapshot.routes[spec.lookupKey()]
		slices.SortFunc(routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	}
}
