// Package config holds operators' objects: their form, the check of a whole
// set, the compiled form that proxies route by, and the deltas between
// versions. Everything here is pure: no clock, no I/O, no goroutines.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// Kind names the type of an object.
type Kind string

// The kinds of objects that operators write.
const (
	KindRoute   Kind = "Route"
	KindService Kind = "Service"
	KindPolicy  Kind = "Policy"
	KindLimits  Kind = "Limits"
)

// Limits on what operators submit.
const (
	MaxNameBytes   = 128
	MaxObjectBytes = 64 << 10
	MaxObjects     = 50_000
)

var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Key identifies an object in a set.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as Kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// ParseKey reads a key written as Kind/name.
func ParseKey(s string) (Key, error) {
	kind, name, ok := strings.Cut(s, "/")
	if !ok || name == "" {
		return Key{}, fmt.Errorf("object key %q is not of the form Kind/name", s)
	}
	k := Key{Kind: Kind(kind), Name: name}
	if !k.Kind.known() {
		return Key{}, fmt.Errorf("object key %q: unknown kind %q", s, kind)
	}
	return k, nil
}

func (k Kind) known() bool {
	return k == KindRoute || k == KindService || k == KindPolicy || k == KindLimits
}

// Compare orders keys by kind, then name.
func (k Key) Compare(o Key) int {
	if c := strings.Compare(string(k.Kind), string(o.Kind)); c != 0 {
		return c
	}
	return strings.Compare(k.Name, o.Name)
}

// Object is one named object of a set. Version is the configuration version
// that last changed it, zero in a file an operator writes.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version,omitempty"`
	Author  string          `json:"author,omitempty"`
	Spec    json.RawMessage `json:"spec"`
}

// Key returns the identity of the object.
func (o Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// RouteSpec sends the requests below a path prefix to a service, or divides
// them among several.
type RouteSpec struct {
	Host       string   `json:"host,omitempty"` // of the request, without a port; empty: every host that has no route of its own
	PathPrefix string   `json:"pathPrefix"`
	Methods    []string `json:"methods,omitempty"` // empty: every method
	Service    string   `json:"service,omitempty"` // empty: Split says
	Split      []Share  `json:"split,omitempty"`
	Policy     string   `json:"policy,omitempty"` // empty: the service's; with Split: the defaults
}

// lookupKey is the part of a spec by which routes are looked up.
func (s RouteSpec) lookupKey() string { return s.Host + s.PathPrefix }

// Share is the part of a route's requests that goes to one service: its weight
// over the sum of the weights.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// ServiceSpec names a group of backend servers that announce themselves.
type ServiceSpec struct {
	Policy string `json:"policy,omitempty"`
}

// PolicySpec says how the requests of a route are treated. A field left out
// is taken from the policy named by Extends, and at last from the defaults.
type PolicySpec struct {
	Extends        string   `json:"extends,omitempty"`
	Priority       Priority `json:"priority,omitempty"`
	Rank           *int     `json:"rank,omitempty"` // instead of Priority: its place among MaxRank+1 classes, 0 is the most urgent
	TimeoutMillis  int      `json:"timeoutMillis,omitempty"`
	TargetMillis   int      `json:"targetMillis,omitempty"` // latency that callers are content with
	Idempotent     *bool    `json:"idempotent,omitempty"`   // nil: by HTTP method
	MaxAttempts    int      `json:"maxAttempts,omitempty"`
	IdempotencyKey KeyScope `json:"idempotencyKey,omitempty"`
}

// LimitsSpec bounds what callers may send, and how long they may take. A set
// holds at most one; a field of zero takes the node's own limit.
type LimitsSpec struct {
	MaxHeaderBytes      int `json:"maxHeaderBytes,omitempty"`      // of one request
	MaxBodyBytes        int `json:"maxBodyBytes,omitempty"`        // of one request
	HeaderTimeoutMillis int `json:"headerTimeoutMillis,omitempty"` // in which a header comes
	IdleTimeoutMillis   int `json:"idleTimeoutMillis,omitempty"`   // of a connection without a request
}

// Priority is the class by which a backend server's node orders its queue.
type Priority string

// The priority classes, the most urgent first.
const (
	PriorityStatus      Priority = "status"
	PriorityInteractive Priority = "interactive"
	PriorityBatch       Priority = "batch"
)

// KeyScope says where repeats of one Idempotency-Key are recognized.
type KeyScope string

// Scopes of an Idempotency-Key: not at all, by the memory of one node, or by
// a claim in the platform that outlives every node.
const (
	KeyScopeNone     KeyScope = "ignore"
	KeyScopeNode     KeyScope = "node"
	KeyScopePlatform KeyScope = "platform"
)

// Fault is one reason why an object or a submission was refused.
type Fault struct {
	Object Key    `json:"object"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// Error returns the fault as one line of text.
func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", f.Object, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.Object, f.Field, f.Reason)
}

// DecodeObjects reads a stream of JSON objects, each either one object or an
// array of them. An unknown field outside of spec is an error; specs are
// checked by Check.
func DecodeObjects(r io.Reader) ([]Object, error) {
	var out []Object
	dec := json.NewDecoder(r)
	for {
		var raw json.RawMessage
		err := dec.Decode(&raw)
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read objects at byte %d: %w", dec.InputOffset(), err)
		}
		objs, err := decodeOneOrMany(raw)
		if err != nil {
			return nil, err
		}
		out = append(out, objs...)
	}
}

func decodeOneOrMany(raw json.RawMessage) ([]Object, error) {
	if trimmed := bytes.TrimSpace(raw); len(trimmed) == 0 || trimmed[0] != '[' {
		o, err := decodeObject(raw)
		return []Object{o}, err
	}
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		return nil, fmt.Errorf("read array of objects: %w", err)
	}
	out := make([]Object, 0, len(elements))
	for i, element := range elements {
		o, err := decodeObject(element)
		if err != nil {
			return nil, fmt.Errorf("object %d of the array: %w", i+1, err)
		}
		out = append(out, o)
	}
	return out, nil
}

// decodeObject reads one object. Its error names the object as far as it can
// be told.
func decodeObject(raw json.RawMessage) (Object, error) {
	var o Object
	err := strictDecode(raw, &o)
	if err == nil {
		return o, nil
	}
	var named Key
	if json.Unmarshal(raw, &named) == nil && named != (Key{}) {
		return Object{}, fmt.Errorf("%s: %w", named, err)
	}
	return Object{}, err
}

// sortedKeys returns the keys of objects in their canonical order.
func sortedKeys(objects map[Key]Object) []Key {
	keys := make([]Key, 0, len(objects))
	for k := range objects {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, Key.Compare)
	return keys
}
