package config

import (
	"bytes"
	"encoding/json"
	"testing"
)

// FuzzDecodeObjects reads arbitrary bytes as an operator's file and takes the
// objects as a submission: nothing may panic, a set with faults yields no
// snapshot, and a set without any survives its stored form.
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
			t.Fatalf("snapshot %v with faults %v", snapshot, faults)
		}
		if snapshot == nil {
			return
		}
		checkRoutes(t, set, snapshot)
		checkEncodingRoundTrip(t, set)
	})
}

// checkRoutes holds each route of a set against the snapshot: its own prefix
// leads to a route, whose service the snapshot holds.
func checkRoutes(t *testing.T, set *Set, snapshot *Snapshot) {
	t.Helper()
	for k, o := range set.Objects {
		if k.Kind != KindRoute {
			continue
		}
		var spec RouteSpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			t.Fatalf("%s has no faults, but: %v", k, err)
		}
		method := "GET"
		if len(spec.Methods) > 0 {
			method = spec.Methods[0]
		}
		r, ok := snapshot.Match(method, spec.Host, spec.PathPrefix)
		if !ok || !snapshot.HasService(r.Service) || r.Policy == nil {
			t.Fatalf("%s: %s %q leads to %v", k, method, spec.PathPrefix, r)
		}
	}
}

func checkEncodingRoundTrip(t *testing.T, set *Set) {
	t.Helper()
	encoded, err := Encode(set)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	data := map[string][]byte{}
	for _, c := range encoded.Chunks() {
		data[c.Name] = c.Data
	}
	got, err := DecodeSet(encoded.Manifest, data)
	if err != nil || got.Hash() != set.Hash() {
		t.Fatalf("the stored form of %v leads to %v: %v", set.Sorted(), got, err)
	}
}

// FuzzApply applies an arbitrary delta to an arbitrary set: it is taken whole
// and leads to the announced hash at a later version, or refused; the set that
// it is applied to stays as it was.
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
			t.Fatalf("the set was changed by a delta")
		}
		if err != nil {
			if next != nil {
				t.Fatalf("refused, but: %v", next)
			}
			return
		}
		whole := NewSet(next.Version, next.Sorted())
		if next.Version <= version || next.Hash() != d.Hash || whole.Hash() != d.Hash {
			t.Fatalf("delta %+v led from %d to %d, hash %x, from scratch %x", d, version, next.Version, next.Hash(), whole.Hash())
		}
	})
}
