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
		{"prefix taken", object(KindRoute, "x", `{"pathPrefix":"/orders","service":"orders"}`), `pathPrefix: "/orders" is that of route "orders" too`},
		{"bad priority", object(KindPolicy, "x", `{"priority":"first"}`), `Policy/x: priority: "first" is not one of`},
		{"bad timeout", object(KindPolicy, "x", `{"timeoutMillis":-1}`), `Policy/x: timeoutMillis: -1 is not between`},
		{"cycle", object(KindPolicy, "base", `{"extends":"quick"}`), "Policy/base: extends: forms a cycle: base -> quick -> base"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			snapshot, faults := Compile(with(tt.object))
			is.True(snapshot == nil) // a faulty set yields no snapshot
			text := fmt.Sprint(faults)
			is.True(strings.Contains(text, tt.fault)) // the fault names object, field and reason
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
		is.Equal(ok, tt.route != "") // whether a route covers the path
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
	is.Equal(current.Objects[a].Version, uint64(5)) // the old set is as it was

	_, faults = Merge(current, put(4))
	is.Equal(faults[0].Error(), `Service/a: base: was read at version 4, but "ann" changed it at version 5`)

	_, faults = Merge(current, Submission{Deletes: []Delete{{Key: a, Base: 5}, {Key: a, Base: 5}}})
	is.Equal(faults[0].Reason, "named more than once in one submission")
}

// genSet draws a set of services.
func genSet(t *rapid.T, version uint64) *Set {
	var objs []Object
	for name, policy := range rapid.MapOfN(rapid.StringMatching(`[a-f]`), rapid.StringMatching(`[xyz]`), 0, 6).Draw(t, "objects") {
		objs = append(objs, object(KindService, name, fmt.Sprintf(`{"policy":%q}`, policy)))
	}
	return NewSet(version, objs)
}

func TestDeltaLeadsFromOneSetToTheOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := genSet(t, 3), genSet(t, 4)
		got, err := from.Apply(Diff(from, to))
		if err != nil {
			t.Fatalf("apply: %v", err)
		}
		if got.Hash() != to.Hash() || len(got.Objects) != len(to.Objects) {
			t.Fatalf("delta leads to %v, want %v", got.Sorted(), to.Sorted())
		}
	})
}

func TestStoredFormRoundTrip(t *testing.T) {
	is := is.New(t)
	var objs []Object
	for i := range 5000 { // over the platform's limit for one value
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
	is.True(err != nil) // content that doesn't match its name is refused
}

func TestDecodeObjectsNamesTheObject(t *testing.T) {
	tests := []struct{ name, input, want string }{
		{"unknown field", `{"kind":"Service","name":"a","colour":1,"spec":{}}`, "Service/a: colour: unknown field"},
		{"in an array", `[{"kind":"Service","name":"a","spec":{}},{"kind":"Route","name":3}]`, "object 2 of the array: name: is a JSON number, must be a string"},
		{"no object", `7`, "is a JSON number, must be an object"},
		{"cut", `{"kind":"Serv`, "read objects at byte"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := DecodeObjects(strings.NewReader(tt.input))
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want)) // the reason names object and field
		})
	}
}
