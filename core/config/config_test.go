package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatekeel/agatekeel/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func object(kind Kind, name, spec string) Object {
	return Object{Kind: kind, Name: name, Spec: json.RawMessage(spec)}
}

var sample = []Object{
	object(KindPolicy, "base", `{"timeoutMillis":1000,"priority":"batch"}`),
	object(KindPolicy, "quick", `{"extends":"base","timeoutMillis":50}`),
	object(KindService, "orders", `{"policy":"base"}`),
	object(KindRoute, "orders", `{"pathPrefix":"/orders","service":"orders"}`),
	object(KindRoute, "status", `{"pathPrefix":"/orders/status","service":"orders","policy":"quick"}`),
	object(KindRoute, "post", `{"pathPrefix":"/post","methods":["POST"],"service":"orders"}`),
}

// with returns a set of the sample objects and extra ones. An extra object replaces a
// sample object with the same key.
func with(extra ...Object) *Set { return NewSet(1, append(append([]Object(nil), sample...), extra...)) }

func TestCompileFaults(t *testing.T) {
	tests := []struct {
		name   string
		object Object
		fault  string
	}{
		{"unknown kind", object("Gateway", "x", `{}`), `Gateway/x: kind: unknown kind "Gateway"`},
		{"bad name", object(KindService, "Orders!", `{}`), "Service/Orders!: name: must be of lower case"},
		{"no spec", Object{Kind: KindService, Name: "x"}, "Service/x: spec: is missing"},
		{"unknown field", object(KindService, "x", `{"polcy":"base"}`), `Service/x: polcy: unknown field`},
		{"wrong type", object(KindPolicy, "x", `{"timeoutMillis":"5"}`), "Policy/x: timeoutMillis: is a JSON string, must be a whole number"},
		{"spec of another type", object(KindPolicy, "x", `[]`), "Policy/x: spec: is a JSON array, must be an object"},
		{"missing service", object(KindRoute, "x", `{"pathPrefix":"/x","service":"gone"}`), `Route/x: service: service "gone" does not exist`},
		{"missing policy", object(KindService, "x", `{"policy":"gone"}`), `Service/x: policy: policy "gone" does not exist`},
		{"bad prefix", object(KindRoute, "x", `{"pathPrefix":"x","service":"orders"}`), `Route/x: pathPrefix: "x" does not start`},
		{"duplicate prefix", object(KindRoute, "x", `{"pathPrefix":"/orders","service":"orders"}`), `pathPrefix: "/orders" is that of route "orders" too`},
		{"bad priority", object(KindPolicy, "x", `{"priority":"first"}`), `Policy/x: priority: "first" is not one of`},
		{"bad timeout", object(KindPolicy, "x", `{"timeoutMillis":-1}`), `Policy/x: timeoutMillis: -1 is not between`},
		{"bad rank", object(KindPolicy, "x", `{"rank":8}`), `Policy/x: rank: 8 is not between 0 and 7`},
		{"bad host", object(KindRoute, "x", `{"host":"A.example:80","pathPrefix":"/x","service":"orders"}`), `Route/x: host: "A.example:80" is not`},
		{"service and split", object(KindRoute, "x", `{"pathPrefix":"/x","service":"orders","split":[{"service":"orders","weight":1}]}`), "Route/x: service: needs either"},
		{"split with a missing service", object(KindRoute, "x", `{"pathPrefix":"/x","split":[{"service":"gone","weight":1}]}`), `Route/x: split[0].service: service "gone" does not exist`},
		{"split with weight zero", object(KindRoute, "x", `{"pathPrefix":"/x","split":[{"service":"orders","weight":0}]}`), "Route/x: split[0].weight: 0 is not between"},
		{"bad limit", object(KindLimits, "x", `{"maxHeaderBytes":10}`), "Limits/x: maxHeaderBytes: 10 is below the least"},
		{"cycle", object(KindPolicy, "base", `{"extends":"quick"}`), "Policy/base: extends: forms a cycle: base -> quick -> base"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			snapshot, faults := Compile(with(tt.object))
			is.True(snapshot == nil) // an invalid set has no compiled form
			text := fmt.Sprint(faults)
			is.True(strings.Contains(text, tt.fault)) // the fault contains object, field and reason
		})
	}
}

func TestMatch(t *testing.T) {
	is := is.New(t)
	snapshot, faults := Compile(with())
	is.Equal(len(faults), 0)
	tests := []struct{ method, path, route string }{
		{"GET", "/orders", "orders"},
		{"GET", "/orders/7", "orders"},
		{"GET", "/orders/status", "status"},
		{"GET", "/orders/status/7/x", "status"},
		{"GET", "/ordersx", ""},
		{"GET", "/", ""},
		{"GET", "/post", ""},
		{"POST", "/post", "post"},
	}
	for _, tt := range tests {
		r, ok := snapshot.Match(tt.method, "", tt.path)
		is.Equal(ok, tt.route != "") // whether a route matches the path
		if ok {
			is.Equal(r.Name, tt.route) // the longest prefix wins
		}
	}
	r, _ := snapshot.Match("GET", "", "/orders/status")
	is.Equal(r.Policy.Priority, PriorityBatch) // inherited
	is.Equal(r.Policy.Timeout.Milliseconds(), int64(50))
}

func TestMergeBases(t *testing.T) {
	is := is.New(t)
	current := NewSet(7, []Object{{Kind: KindService, Name: "a", Version: 5, Author: "ann", Spec: json.RawMessage(`{}`)}})
	a := Key{KindService, "a"}
	put := func(base uint64) Submission {
		return Submission{ID: "s", Author: "bob", Puts: []Put{{Object: object(KindService, "a", `{"policy":"p"}`), Base: base}}}
	}
	next, faults := Merge(current, put(5))
	is.Equal(len(faults), 0)
	is.Equal(next.Objects[a].Version, uint64(8))
	is.Equal(current.Objects[a].Version, uint64(5)) // the current set is not changed

	_, faults = Merge(current, put(4))
	is.Equal(faults[0].Error(), `Service/a: base: was read at version 4, but "ann" changed it at version 5`)

	_, faults = Merge(current, Submission{Deletes: []Delete{{Key: a, Base: 5}, {Key: a, Base: 5}}})
	is.Equal(faults[0].Reason, "named more than once in one submission")
}

// genSet generates a set of services.
func genSet(t *rapid.T, version uint64) *Set {
	var objs []Object
	for name, policy := range rapid.MapOfN(rapid.StringMatching(`[a-f]`), rapid.StringMatching(`[xyz]`), 0, 6).Draw(t, "objects") {
		objs = append(objs, object(KindService, name, fmt.Sprintf(`{"policy":%q}`, policy)))
	}
	return NewSet(version, objs)
}

func TestDiffApplyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := genSet(t, 3), genSet(t, 4)
		got, err := from.Apply(Diff(from, to))
		if err != nil {
			t.Fatalf("Apply: %v", err)
		}
		if got.Hash() != to.Hash() || len(got.Objects) != len(to.Objects) {
			t.Fatalf("Apply(Diff(from, to)) = %v, want %v", got.Sorted(), to.Sorted())
		}
	})
}

func TestStoredFormRoundTrip(t *testing.T) {
	is := is.New(t)
	var objs []Object
	for i := range 5000 { // more than the platform's size limit for one value
		objs = append(objs, object(KindRoute, fmt.Sprintf("r%d", i), `{"pathPrefix":"/`+strings.Repeat("x", 300)+`","service":"s"}`))
	}
	set := NewSet(9, objs)
	e, err := Encode(set)
	is.NoErr(err)
	m, chunks := e.Manifest, e.Chunks()
	is.True(len(chunks) > 1)
	data := map[string][]byte{}
	for _, c := range chunks {
		data[c.Name] = c.Data
	}
	got, err := DecodeSet(m, data)
	is.NoErr(err)
	is.Equal(got.Hash(), set.Hash())

	data[m.Chunks[0]] = []byte("[]")
	_, err = DecodeSet(m, data)
	is.True(err != nil) // a chunk whose content doesn't match its name is rejected
}

func TestDecodeObjectsErrorNamesObject(t *testing.T) {
	tests := []struct{ name, input, want string }{
		{"unknown field", `{"kind":"Service","name":"a","colour":1,"spec":{}}`, "Service/a: colour: unknown field"},
		{"in an array", `[{"kind":"Service","name":"a","spec":{}},{"kind":"Route","name":3}]`, "object 2 of the array: name: is a JSON number, must be a string"},
		{"not an object", `7`, "is a JSON number, must be an object"},
		{"truncated", `{"kind":"Serv`, "read objects at byte"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeObjects(strings.NewReader(tt.input))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want)) // the error contains object and field
		})
	}
}

// TestOnlyOneLimitsObject checks that a set with two Limits objects is invalid.
func TestOnlyOneLimitsObject(t *testing.T) {
	is := is.New(t)
	one, two := object(KindLimits, "a", `{"maxBodyBytes":1}`), object(KindLimits, "b", `{"maxBodyBytes":2}`)
	snapshot, faults := Compile(with(one))
	is.Equal(len(faults), 0)
	is.Equal(snapshot.Limits(), LimitsSpec{MaxBodyBytes: 1})
	_, faults = Compile(NewSet(1, []Object{one, two}))
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Object, two.Key())
}

// TestMatchByHost checks that a host with routes of its own uses only those, and that no
// other host uses them.
func TestMatchByHost(t *testing.T) {
	is := is.New(t)
	snapshot, faults := Compile(with(
		object(KindRoute, "own", `{"host":"shop.example","pathPrefix":"/own/","service":"orders"}`),
	))
	is.Equal(len(faults), 0)
	for _, tt := range []struct{ host, path, route string }{
		{"shop.example", "/own/1", "own"},
		{"Shop.Example:8080", "/own/", "own"},
		{"shop.example", "/orders", ""}, // routes without a host don't apply to a host with its own
		{"other.example", "/own/1", ""},
		{"other.example", "/orders", "orders"},
		{"", "/orders", "orders"},
	} {
		r, ok := snapshot.Match("GET", tt.host, tt.path)
		is.Equal(ok, tt.route != "")
		if ok {
			is.Equal(r.Name, tt.route)
		}
	}
}

// TestSplitFollowsWeights checks with evenly spaced draws that each service gets its
// share.
func TestSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := &Route{Split: []Share{{"a", 70}, {"b", 20}, {"c", 10}}}
	got := map[string]int{}
	for i := range 1000 {
		got[r.ServiceFor((float64(i)+0.5)/1000)]++
	}
	is.Equal(got, map[string]int{"a": 700, "b": 200, "c": 100})
	is.Equal((&Route{Service: "a"}).ServiceFor(0.99), "a")
}

// TestCompileDeltaWithSplitsAndHosts compares CompileDelta with Compile for routes
// with splits and hosts.
func TestCompileDeltaWithSplitsAndHosts(t *testing.T) {
	is := is.New(t)
	var objects []Object
	for i := range 40 {
		objects = append(objects, object(KindRoute, fmt.Sprint("r", i), fmt.Sprintf(`{"host":"h%d","pathPrefix":"/","split":[{"service":"orders","weight":1}]}`, i)))
	}
	held := with(objects...)
	prev, faults := Compile(held)
	is.Equal(len(faults), 0)
	next, err := held.Apply(newDelta(held, []Object{object(KindRoute, "r0", `{"host":"other","pathPrefix":"/","service":"orders"}`)}, Key{KindRoute, "r1"}))
	is.NoErr(err)
	snapshot, faults := CompileDelta(prev, held, next, Diff(held, next))
	is.Equal(len(faults), 0)
	full, _ := Compile(next)
	for _, host := range []string{"h0", "h1", "h2", "other"} {
		a, okA := snapshot.Match("GET", host, "/x")
		b, okB := full.Match("GET", host, "/x")
		is.Equal(okA, okB)
		if okA {
			is.Equal(a.Name, b.Name)
		}
	}
}

// newDelta builds a delta from explicit puts and deletes.
func newDelta(from *Set, puts []Object, deletes ...Key) Delta {
	d := Delta{From: from.Version, To: from.Version + 1, Puts: puts, Deletes: deletes}
	d.Hash = from.apply(d).Hash()
	return d
}
