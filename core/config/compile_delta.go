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
// next and prev is the compiled form of held. For a small change it decodes only the
// changed objects. If there are faults, it falls back to Compile, so that the faults
// reported are the same.
func CompileDelta(prev *Snapshot, held, next *Set, d Delta) (*Snapshot, []Fault) {
	if prev.Version != held.Version || prev.routes == nil || !d.canCompileIncrementally(len(held.Objects)) {
		return Compile(next)
	}
	c := &compiler{set: next, specs: map[string]PolicySpec{}, snapshot: &Snapshot{
		Version: next.Version, routes: maps.Clone(prev.routes), hosts: maps.Clone(prev.hosts), policies: prev.policies, services: prev.services, healthPaths: prev.healthPaths, limits: prev.limits,
		accounts: prev.accounts, keys: prev.keys,
	}}
	c.checkSize()
	c.checkNames(d.keys())
	c.removeReplacedRoutes(held, d)
	if !c.recompilePolicies(d) {
		return Compile(next)
	}
	c.recompileServices(d)
	c.updateRoutes(d)
	c.addRoutes(d)
	c.recompileAccounts(d)
	if len(c.faults) > 0 {
		return Compile(next)
	}
	c.snapshot.rankAll()
	return c.snapshot, nil
}

// canCompileIncrementally reports whether a delta is small and changes no limits.
func (d Delta) canCompileIncrementally(objects int) bool {
	if (len(d.Puts)+len(d.Deletes))*maxDeltaDivisor > objects {
		return false
	}
	return !slices.ContainsFunc(d.keys(), func(k Key) bool { return k.Kind == KindLimits })
}

// changed returns the names of the objects of a kind in a delta.
func (d Delta) changed(kind Kind) map[string]bool {
	names := map[string]bool{}
	for _, k := range d.keys() {
		if k.Kind == kind {
			names[k.Name] = true
		}
	}
	return names
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

// recompilePolicies compiles changed policies. It returns false if one of them extends
// another policy or is extended, before or after: then the change reaches further.
func (c *compiler) recompilePolicies(d Delta) bool {
	changed := d.changed(KindPolicy)
	if len(changed) == 0 {
		return true
	}
	for _, p := range c.snapshot.policies {
		if changed[p.extends] || changed[p.Name] && p.extends != "" {
			return false
		}
	}
	c.snapshot.policies = maps.Clone(c.snapshot.policies)
	for name := range changed {
		delete(c.snapshot.policies, name)
		k := Key{KindPolicy, name}
		if !c.exists(k) {
			continue
		}
		c.policySpec(k)
		if c.specs[name].Extends != "" {
			return false
		}
		c.policy(k)
	}
	return true
}

// recompileServices compiles changed services and those with a changed policy.
func (c *compiler) recompileServices(d Delta) {
	changed := c.changedServices(d)
	if len(changed) == 0 {
		return
	}
	c.snapshot.services, c.snapshot.healthPaths = maps.Clone(c.snapshot.services), maps.Clone(c.snapshot.healthPaths)
	for name := range changed {
		delete(c.snapshot.services, name)
		delete(c.snapshot.healthPaths, name)
		if k := (Key{KindService, name}); c.exists(k) {
			c.service(k)
		}
	}
}

// changedServices returns the services that a delta changes, by themselves or by their
// policy. It gives the same result before and after recompileServices.
func (c *compiler) changedServices(d Delta) map[string]bool {
	changed, policies := d.changed(KindService), d.changed(KindPolicy)
	for name, p := range c.snapshot.services {
		if p != nil && policies[p.Name] {
			changed[name] = true
		}
	}
	return changed
}

// updateRoutes updates the policies of the routes that a delta does not contain. A
// route to a service or with a policy that no longer exists becomes a fault.
func (c *compiler) updateRoutes(d Delta) {
	services, policies := c.changedServices(d), d.changed(KindPolicy)
	if len(services) == 0 && len(policies) == 0 {
		return
	}
	affected := func(r *Route) bool { return r.usesAny(services) || r.hasOwn(policies) }
	for key, routes := range c.snapshot.routes {
		if slices.ContainsFunc(routes, affected) {
			c.snapshot.routes[key] = c.updatePolicies(routes, services, policies)
		}
	}
}

func (r *Route) usesAny(services map[string]bool) bool {
	return slices.ContainsFunc(r.services(), func(name string) bool { return services[name] })
}

// hasOwn reports whether a route names one of the policies itself.
func (r *Route) hasOwn(policies map[string]bool) bool {
	return !r.inheritsPolicy && r.Policy != nil && r.Policy.Name != "" && policies[r.Policy.Name]
}

// updatePolicies returns the routes with the current policies of changed services and
// of their own.
func (c *compiler) updatePolicies(routes []*Route, services, policies map[string]bool) []*Route {
	out := slices.Clone(routes)
	for i, r := range out {
		k, updated := Key{KindRoute, r.Name}, *r
		if r.usesAny(services) {
			for _, name := range r.services() {
				c.serviceExists(k, "service", name)
			}
		}
		switch {
		case r.hasOwn(policies):
			updated.Policy = c.resolve(k, r.Policy.Name)
		case r.inheritsPolicy && services[r.Service]:
			updated.Policy = c.snapshot.services[r.Service]
		default:
			continue
		}
		out[i] = &updated
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
