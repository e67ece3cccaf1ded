package config

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Defaults and bounds of the fields of PolicySpec, RouteSpec and LimitsSpec.
const (
	DefaultTimeout     = 5 * time.Second
	MaxTimeout         = 5 * time.Minute
	DefaultMaxAttempts = 3
	MaxMaxAttempts     = 10
	MaxWeight          = 1_000_000 // of one service in a split
	MaxRank            = 7         // the least urgent class
	MinHeaderBytes     = 1 << 10   // smallest allowed LimitsSpec.MaxHeaderBytes
)

// Policy is a PolicySpec with inherited fields and defaults resolved.
type Policy struct {
	Name           string
	Priority       Priority
	Rank           *int // nil: Priority applies
	Timeout        time.Duration
	Target         time.Duration // target latency of callers; zero: none
	Idempotent     *bool
	MaxAttempts    int
	IdempotencyKey KeyScope
	extends        string // as in PolicySpec
}

// IsIdempotent reports whether a request with the given method may be executed more
// than once.
func (p *Policy) IsIdempotent(method string) bool {
	if p.Idempotent != nil {
		return *p.Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// Snapshot is the compiled form of one version. It is immutable once built.
type Snapshot struct {
	Version  uint64
	routes   map[string][]*Route // by RouteSpec.lookupKey
	hosts    map[string]int      // number of routes by host, except for routes without a host
	policies map[string]*Policy
	services map[string]*Policy
	limits   LimitsSpec
}

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

// compiler compiles one set and collects its faults.
type compiler struct {
	set      *Set
	specs    map[string]PolicySpec
	snapshot *Snapshot
	faults   []Fault

	limitsKeys []Key // of the objects of kind Limits, as far as they are compiled
}

// MaxSetBytes limits the total size of the specs in a set, since every node holds the
// whole set in memory.
const MaxSetBytes = 8 << 20

// Compile validates a set and returns its compiled form, or all faults found, ordered
// by object.
func Compile(set *Set) (*Snapshot, []Fault) {
	c := &compiler{set: set, specs: map[string]PolicySpec{}, snapshot: &Snapshot{
		Version: set.Version, routes: map[string][]*Route{}, hosts: map[string]int{},
		policies: map[string]*Policy{}, services: map[string]*Policy{},
	}}
	c.checkSize()
	keys := sortedKeys(set.Objects)
	c.checkNames(keys)
	for _, step := range []func(Key){c.policySpec, c.policy, c.service, c.route, c.limits} {
		for _, k := range keys {
			step(k)
		}
	}
	if len(c.faults) > 0 {
		slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Object.Compare(b.Object) })
		return nil, c.faults
	}
	return c.snapshot, nil
}

func (c *compiler) addFault(k Key, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Object: k, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *compiler) checkSize() {
	if len(c.set.Objects) > MaxObjects {
		c.addFault(Key{}, "", "the set has %d objects, at most %d are allowed", len(c.set.Objects), MaxObjects)
	}
	if c.set.bytes > MaxSetBytes {
		c.addFault(Key{}, "", "the set has %d bytes, at most %d are allowed", c.set.bytes, MaxSetBytes)
	}
}

func (c *compiler) checkNames(keys []Key) {
	for _, k := range keys {
		o := c.set.Objects[k]
		switch {
		case !k.Kind.known():
			c.addFault(k, "kind", "unknown kind %q", k.Kind)
		case len(k.Name) > MaxNameBytes:
			c.addFault(k, "name", "has %d bytes, at most %d are allowed", len(k.Name), MaxNameBytes)
		case !validName(k.Name):
			c.addFault(k, "name", "must be of lower case letters, digits, '-' and '.', with a letter or digit at each end")
		}
		if len(o.Spec) > MaxObjectBytes {
			c.addFault(k, "spec", "has %d bytes, at most %d are allowed", len(o.Spec), MaxObjectBytes)
		}
	}
}

// decode reads the spec of an object.
func decode[T any](c *compiler, k Key, into *T) bool {
	o := c.set.Objects[k]
	if spec, ok := o.decoded.(T); ok {
		*into = spec
		return true
	}
	if len(o.Spec) == 0 {
		c.addFault(k, "spec", "is missing")
		return false
	}
	if err := strictDecode(o.Spec, into); err != nil {
		c.addFault(k, cmp.Or(err.field, "spec"), "%s", err.reason)
		return false
	}
	return true
}

func (c *compiler) policySpec(k Key) {
	var spec PolicySpec
	if k.Kind != KindPolicy || !decode(c, k, &spec) {
		return
	}
	switch spec.Priority {
	case "", PriorityStatus, PriorityInteractive, PriorityBatch:
	default:
		c.addFault(k, "priority", "%q is not one of status, interactive, batch", spec.Priority)
	}
	switch spec.IdempotencyKey {
	case "", KeyScopeNone, KeyScopeNode, KeyScopePlatform:
	default:
		c.addFault(k, "idempotencyKey", "%q is not one of ignore, node, platform", spec.IdempotencyKey)
	}
	if spec.TimeoutMillis < 0 || time.Duration(spec.TimeoutMillis)*time.Millisecond > MaxTimeout {
		c.addFault(k, "timeoutMillis", "%d is not between 1 and %d", spec.TimeoutMillis, MaxTimeout.Milliseconds())
	}
	if spec.Rank != nil && (*spec.Rank < 0 || *spec.Rank > MaxRank) {
		c.addFault(k, "rank", "%d is not between 0 and %d", *spec.Rank, MaxRank)
	}
	if spec.TargetMillis < 0 {
		c.addFault(k, "targetMillis", "%d is below 0", spec.TargetMillis)
	}
	if spec.MaxAttempts < 0 || spec.MaxAttempts > MaxMaxAttempts {
		c.addFault(k, "maxAttempts", "%d is not between 1 and %d", spec.MaxAttempts, MaxMaxAttempts)
	}
	c.specs[k.Name] = spec
}

// policy resolves a policy along its chain of Extends.
func (c *compiler) policy(k Key) {
	if k.Kind != KindPolicy {
		return
	}
	p := &Policy{Name: k.Name, extends: c.specs[k.Name].Extends}
	visited := []string{}
	for name := k.Name; name != ""; {
		if slices.Contains(visited, name) {
			c.addFault(k, "extends", "forms a cycle: %s", strings.Join(append(visited, name), " -> "))
			return
		}
		visited = append(visited, name)
		spec, ok := c.specs[name]
		if !ok {
			if _, exists := c.set.Objects[Key{KindPolicy, name}]; !exists {
				c.addFault(k, "extends", "policy %q does not exist", name)
			}
			return
		}
		p.inherit(spec)
		name = spec.Extends
	}
	p.fillDefaults()
	c.snapshot.policies[k.Name] = p
}

func (p *Policy) inherit(spec PolicySpec) {
	if p.Priority == "" && p.Rank == nil {
		p.Priority, p.Rank = spec.Priority, spec.Rank
	}
	if p.Timeout == 0 {
		p.Timeout = time.Duration(spec.TimeoutMillis) * time.Millisecond
	}
	if p.Target == 0 {
		p.Target = time.Duration(spec.TargetMillis) * time.Millisecond
	}
	if p.Idempotent == nil {
		p.Idempotent = spec.Idempotent
	}
	if p.MaxAttempts == 0 {
		p.MaxAttempts = spec.MaxAttempts
	}
	if p.IdempotencyKey == "" {
		p.IdempotencyKey = spec.IdempotencyKey
	}
}

func (p *Policy) fillDefaults() {
	p.inherit(PolicySpec{
		Priority: PriorityInteractive, TimeoutMillis: int(DefaultTimeout.Milliseconds()),
		MaxAttempts: DefaultMaxAttempts, IdempotencyKey: KeyScopeNode,
	})
}

// resolve returns the policy of a given name, or the defaults if the name is empty.
func (c *compiler) resolve(k Key, name string) *Policy {
	if name == "" {
		p := &Policy{}
		p.fillDefaults()
		return p
	}
	if _, ok := c.set.Objects[Key{KindPolicy, name}]; !ok {
		c.addFault(k, "policy", "policy %q does not exist", name)
	}
	return c.snapshot.policies[name]
}

func (c *compiler) service(k Key) {
	var spec ServiceSpec
	if k.Kind != KindService || !decode(c, k, &spec) {
		return
	}
	c.snapshot.services[k.Name] = c.resolve(k, spec.Policy)
}

// limits compiles the object of kind Limits, of which there may be only one.
func (c *compiler) limits(k Key) {
	var spec LimitsSpec
	if k.Kind != KindLimits {
		return
	}
	earlier := c.limitsKeys
	c.limitsKeys = append(c.limitsKeys, k)
	if !decode(c, k, &spec) {
		return
	}
	for _, other := range earlier {
		c.addFault(k, "", "is not the only one of its kind: there is %s too", other)
	}
	if spec.MaxHeaderBytes != 0 && spec.MaxHeaderBytes < MinHeaderBytes {
		c.addFault(k, "maxHeaderBytes", "%d is below the least, %d", spec.MaxHeaderBytes, MinHeaderBytes)
	}
	for _, f := range []struct {
		field string
		value int
	}{
		{"maxBodyBytes", spec.MaxBodyBytes}, {"headerTimeoutMillis", spec.HeaderTimeoutMillis}, {"idleTimeoutMillis", spec.IdleTimeoutMillis},
	} {
		if f.value < 0 {
			c.addFault(k, f.field, "%d is below 0", f.value)
		}
	}
	c.snapshot.limits = spec
}
