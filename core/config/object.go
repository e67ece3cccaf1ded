// Package config defines operators' objects: their types, the validation of a whole
// set, the compiled form used for routing, and deltas between versions. The package
// is pure: it uses no clock, I/O or goroutines.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Kind is the type of an object.
type Kind string

// The kinds of objects that operators write.
const (
	KindRoute   Kind = "Route"
	KindService Kind = "Service"
	KindPolicy  Kind = "Policy"
	KindLimits  Kind = "Limits"
	KindAccount Kind = "ClientAccount"
)

// Limits on operators' objects and sets.
const (
	MaxNameBytes   = 128
	MaxObjectBytes = 64 << 10
	MaxObjects     = 50_000
)

// validName reports whether a name consists of lower case letters, digits, '-' and '.',
// with a letter or digit at each end.
func validName(name string) bool {
	for i := range len(name) {
		switch c := name[i]; {
		case c >= 'a' && c <= 'z' || c >= '0' && c <= '9':
		case (c == '-' || c == '.') && i > 0 && i < len(name)-1:
		default:
			return false
		}
	}
	return name != ""
}

// Key identifies an object in a set.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as Kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// ParseKey parses a key of the form Kind/name.
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
	return k == KindRoute || k == KindService || k == KindPolicy || k == KindLimits || k == KindAccount
}

// Compare orders keys by kind, then by name.
func (k Key) Compare(o Key) int {
	if c := strings.Compare(string(k.Kind), string(o.Kind)); c != 0 {
		return c
	}
	return strings.Compare(k.Name, o.Name)
}

// Object is one named object of a set. Version is the configuration version that
// last changed it; it is zero in files written by operators.
type Object struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version,omitempty"`
	Author  string          `json:"author,omitempty"`
	Spec    json.RawMessage `json:"spec"`

	decoded any // the spec by its type if NewObject encoded it; nil: only Spec holds it
}

// NewObject returns an object with the given spec, which Compile need not decode.
func NewObject(kind Kind, name string, spec any) (Object, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return Object{}, fmt.Errorf("encode %s: %w", Key{kind, name}, err)
	}
	return Object{Kind: kind, Name: name, Spec: data, decoded: spec}, nil
}

// Key returns the key of the object.
func (o Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// RouteSpec sends requests below a path prefix to one service, or splits them among
// several.
type RouteSpec struct {
	Host       string   `json:"host,omitempty"` // of the request, without a port; empty: all hosts without routes of their own
	PathPrefix string   `json:"pathPrefix"`
	Methods    []string `json:"methods,omitempty"` // empty: every method
	Service    string   `json:"service,omitempty"` // empty if Split is given
	Split      []Share  `json:"split,omitempty"`
	Policy     string   `json:"policy,omitempty"` // empty: the policy of the service, or the defaults if Split is given
	Public     bool     `json:"public,omitempty"` // needs no key, even if there are client accounts
}

// lookupKey returns the key under which a Snapshot indexes the route.
func (s RouteSpec) lookupKey() string { return s.Host + s.PathPrefix }

// Share is the weight of one service in a route's split. The service gets its weight
// over the sum of the weights.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// ServiceSpec declares a service, a group of backend servers that register
// themselves.
type ServiceSpec struct {
	Policy     string `json:"policy,omitempty"`
	HealthPath string `json:"healthPath,omitempty"` // of the health endpoint of its backend servers; empty: that of their nodes' settings
}

// PolicySpec defines how the requests of a route are handled. An omitted field is
// inherited from the policy named by Extends, or else takes the default.
type PolicySpec struct {
	Extends        string   `json:"extends,omitempty"`
	Priority       Priority `json:"priority,omitempty"`
	Rank           *int     `json:"rank,omitempty"` // replaces Priority by a class from 0, the most urgent, to MaxRank
	TimeoutMillis  int      `json:"timeoutMillis,omitempty"`
	TargetMillis   int      `json:"targetMillis,omitempty"` // target latency of callers
	Idempotent     *bool    `json:"idempotent,omitempty"`   // nil: depends on the HTTP method
	MaxAttempts    int      `json:"maxAttempts,omitempty"`
	IdempotencyKey KeyScope `json:"idempotencyKey,omitempty"`
}

// LimitsSpec limits the size of callers' requests and the time they may take. A set
// holds at most one object of this kind. A zero field selects the node's own limit.
type LimitsSpec struct {
	MaxHeaderBytes      int `json:"maxHeaderBytes,omitempty"`      // per request
	MaxBodyBytes        int `json:"maxBodyBytes,omitempty"`        // per request
	HeaderTimeoutMillis int `json:"headerTimeoutMillis,omitempty"` // time to receive a complete header
	IdleTimeoutMillis   int `json:"idleTimeoutMillis,omitempty"`   // time that a connection may be without a request
}

// AccountSpec declares a client account: the callers that hold one of its keys. If a set holds
// any account, requests need a key, except for those on public routes.
type AccountSpec struct {
	Keys          []KeyDigest `json:"keys"`                    // digests of the keys; no two accounts share a key
	Rank          *int        `json:"rank,omitempty"`          // replaces the priority of the policies, from 0, the most urgent, to MaxRank
	RatePerSecond float64     `json:"ratePerSecond,omitempty"` // requests per second on all nodes together; zero: no limit
	Burst         float64     `json:"burst,omitempty"`         // requests beyond RatePerSecond that may come at once
}

// Priority is a priority class of the queue at a backend server's node.
type Priority string

// The priority classes, the most urgent first.
const (
	PriorityStatus      Priority = "status"
	PriorityInteractive Priority = "interactive"
	PriorityBatch       Priority = "batch"
)

// KeyScope is the scope in which requests with the same Idempotency-Key are detected.
type KeyScope string

// The scopes of an Idempotency-Key: ignored, in the memory of one node, or by a claim
// stored in the platform, which outlives every node.
const (
	KeyScopeNone     KeyScope = "ignore"
	KeyScopeNode     KeyScope = "node"
	KeyScopePlatform KeyScope = "platform"
)

// Fault is one reason for which an object or a submission was refused.
type Fault struct {
	Object Key    `json:"object"`
	Field  string `json:"field,omitempty"`
	Reason string `json:"reason"`
}

// Error formats the fault as one line of text.
func (f Fault) Error() string {
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", f.Object, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.Object, f.Field, f.Reason)
}

// DecodeObjects reads a stream of JSON values, each of them an object or an array of
// objects. Unknown fields outside of spec are an error. Specs are not checked here
// but by Compile.
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

// decodeObject decodes one object. Its error contains the object's key if that can be
// decoded.
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

// sortedKeys returns the keys of objects in ascending order.
func sortedKeys(objects map[Key]Object) []Key {
	keys := make([]Key, 0, len(objects))
	for k := range objects {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, Key.Compare)
	return keys
}
