package config

import (
	"cmp"
	"fmt"
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
		policies: map[string]*Policy{}, services: map[string]*Policy{}, healthPaths: map[string]string{}, accounts: map[string]*Account{}, keys: map[KeyDigest]*Account{},
	}}
	c.checkSize()
	keys := sortedKeys(set.Objects)
	c.checkNames(keys)
	for _, step := range []func(Key){c.policySpec, c.policy, c.service, c.route, c.limits, c.account} {
		for _, k := range keys {
			step(k)
		}
	}
	if len(c.faults) > 0 {
		slices.SortStableFunc(c.faults, func(a, b Fault) int { return a.Object.Compare(b.Object) })
		return nil, c.faults
	}
	c.snapshot.rankAll()
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

func (c *compiler) service(k Key) {
	var spec ServiceSpec
	if k.Kind != KindService || !decode(c, k, &spec) {
		return
	}
	if spec.HealthPath != "" && !strings.HasPrefix(spec.HealthPath, "/") {
		c.addFault(k, "healthPath", "%q does not start with '/'", spec.HealthPath)
		return
	}
	c.snapshot.services[k.Name] = c.resolve(k, spec.Policy)
	if spec.HealthPath != "" {
		c.snapshot.healthPaths[k.Name] = spec.HealthPath
	}
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
