package config

import (
	"net/http"
	"slices"
	"strings"
	"time"
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
