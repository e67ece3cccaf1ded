package config

import (
	"bytes"
	"encoding/json"
	"testing"
)

// FuzzDecodeObjects decodes arbitrary input as an operator's file and submits the
// objects. Nothing may panic, an invalid set must have no snapshot, and a valid one
// must survive encoding and decoding.
func FuzzDecodeObjects(f *testing.F) {
	for _, o := range sample {
		data, err := json.Marshal(o)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		objects, err := DecodeObjects(bytes.NewReader(data))
		if err != nil {
			return
		}
		var sub Submission
		for _, o := range objects {
			sub.Puts = append(sub.Puts, Put{Object: o, Base: o.Version})
		}
		set, faults := Merge(NewSet(0, nil), sub)
		if len(faults) > 0 {
			return
		}
		snapshot, faults := Compile(set)
		if (snapshot == nil) != (len(faults) > 0) {
			t.Fatalf("Compile returned snapshot %v with faults %v", snapshot, faults)
		}
		if snapshot == nil {
			return
		}
		checkRoutes(t, set, snapshot)
		checkEncodingRoundTrip(t, set)
	})
}

// checkRoutes checks that the prefix of each route in a set matches a route whose
// service exists.
func checkRoutes(t *testing.T, set *Set, snapshot *Snapshot) {
	t.Helper()
	for k, o := range set.Objects {
		if k.Kind != KindRoute {
			continue
		}
		var spec RouteSpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			t.Fatalf("%s: Compile accepted a spec that can't be decoded: %v", k, err)
		}
		method := "GET"
		if len(spec.Methods) > 0 {
			method = spec.Methods[0]
		}
		r, ok := snapshot.Match(method, spec.Host, spec.PathPrefix)
		if !ok || !snapshot.HasService(r.Service) || r.Policy == nil {
			t.Fatalf("%s: Match(%s, %q) returned %v", k, method, spec.PathPrefix, r)
		}
	}
}

func checkEncodingRoundTrip(t *testing.T, set *Set) {
	t.Helper()
	encoded, err := Encode(set)
	if err != nil {
		t.Fatalf("Encode: %v", err)
	}
	data := map[string][]byte{}
	for _, c := range encoded.Chunks() {
		data[c.Name] = c.Data
	}
	got, err := DecodeSet(encoded.Manifest, data)
	if err != nil || got.Hash() != set.Hash() {
		t.Fatalf("encoding %v and decoding it returned %v, %v", set.Sorted(), got, err)
	}
}

// FuzzApply applies an arbitrary delta to an arbitrary set. Apply must either return
// a set of a later version with the announced hash, or an error. It must never change
// the original set.
func FuzzApply(f *testing.F) {
	from := NewSet(3, sample)
	to := NewSet(4, sample[:4])
	delta, err := json.Marshal(Diff(from, to))
	if err != nil {
		f.Fatal(err)
	}
	objects, err := json.Marshal(sample)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(objects, uint64(3), delta)
	f.Fuzz(func(t *testing.T, objects []byte, version uint64, delta []byte) {
		held, err := DecodeObjects(bytes.NewReader(objects))
		if err != nil {
			return
		}
		var d Delta
		if json.Unmarshal(delta, &d) != nil {
			return
		}
		set := NewSet(version, held)
		hash, count := set.Hash(), len(set.Objects)
		next, err := set.Apply(d)
		if set.Hash() != hash || len(set.Objects) != count || set.Version != version {
			t.Fatalf("Apply changed its receiver")
		}
		if err != nil {
			if next != nil {
				t.Fatalf("Apply returned an error and set %v", next)
			}
			return
		}
		rebuilt := NewSet(next.Version, next.Sorted())
		if next.Version <= version || next.Hash() != d.Hash || rebuilt.Hash() != d.Hash {
			t.Fatalf("Apply(%+v) led from version %d to %d, hash %x; rebuilt set has hash %x", d, version, next.Version, next.Hash(), rebuilt.Hash())
		}
	})
}
