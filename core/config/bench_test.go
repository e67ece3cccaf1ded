package config

import (
	"encoding/json"
	"fmt"
	"testing"
)

// benchSizes are the numbers of routes; the largest is the target size.
var benchSizes = []int{100, 1000, 5000}

// benchSet returns a set of routes and services in the proportions of the target size:
// 130 services and 5,000 routes of about 250 bytes each.
func benchSet(routes int) *Set {
	services := max(routes*130/5000, 1)
	var objects []Object
	for i := range services {
		objects = append(objects, Object{Kind: KindService, Name: fmt.Sprintf("service-%04d", i), Version: 1, Author: "bench", Spec: json.RawMessage(`{"policy":"base"}`)})
	}
	objects = append(objects, Object{Kind: KindPolicy, Name: "base", Version: 1, Spec: json.RawMessage(`{"timeoutMillis":1000}`)})
	for i := range routes {
		objects = append(objects, benchRoute(i, services, "get", 1))
	}
	return NewSet(1, objects)
}

func benchRoute(i, services int, name string, version uint64) Object {
	spec := fmt.Sprintf(`{"pathPrefix":"/a-long-prefix-of-a-path/%%-of-some-length/route-%06d/%s","methods":["GET","HEAD","POST","PUT","DELETE","OPTIONS","PATCH"],"service":"service-%04d","policy":"base"}`,
		i, name, i%services)
	return Object{Kind: KindRoute, Name: fmt.Sprintf("a-route-of-the-target-size-%06d", i), Version: version, Author: "bench", Spec: json.RawMessage(spec)}
}

// benchChange returns a submission that changes one route.
func benchChange(s *Set, i int) Submission {
	services := max((len(s.Objects)-1)*130/5130, 1)
	o := benchRoute(7, services, fmt.Sprintf("change-%d", i), 0)
	return Submission{ID: "bench", Author: "bench", Puts: []Put{{Object: o, AnyBase: true}}}
}

func benchSetSizes(b *testing.B, run func(b *testing.B, set *Set)) {
	for _, n := range benchSizes {
		set := benchSet(n)
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			run(b, set)
		})
	}
}

func BenchmarkMerge(b *testing.B) {
	benchSetSizes(b, func(b *testing.B, set *Set) {
		for i := range b.N {
			if _, _, faults := MergeDelta(set, benchChange(set, i)); len(faults) > 0 {
				b.Fatal(faults)
			}
		}
	})
}

func BenchmarkCompileFull(b *testing.B) {
	benchSetSizes(b, func(b *testing.B, set *Set) {
		for range b.N {
			if _, faults := Compile(set); len(faults) > 0 {
				b.Fatal(faults)
			}
		}
	})
}

func BenchmarkCompileDelta(b *testing.B) {
	benchSetSizes(b, func(b *testing.B, set *Set) {
		held, _ := Compile(set)
		next, delta, _ := MergeDelta(set, benchChange(set, 0))
		b.ResetTimer()
		for range b.N {
			if _, faults := CompileDelta(held, set, next, delta); len(faults) > 0 {
				b.Fatal(faults)
			}
		}
	})
}

func BenchmarkEncodeFull(b *testing.B) {
	benchSetSizes(b, func(b *testing.B, set *Set) {
		for range b.N {
			if _, err := Encode(set); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkEncodeDelta(b *testing.B) {
	benchSetSizes(b, func(b *testing.B, set *Set) {
		held, _ := Encode(set)
		next, delta, _ := MergeDelta(set, benchChange(set, 0))
		b.ResetTimer()
		for range b.N {
			if _, err := held.Next(next, delta); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkDecodeFull(b *testing.B) {
	benchSetSizes(b, func(b *testing.B, set *Set) {
		e, _ := Encode(set)
		chunks := chunksOf(e)
		b.ResetTimer()
		for range b.N {
			if _, err := DecodeSet(e.Manifest, chunks); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkDecodeDelta(b *testing.B) {
	benchSetSizes(b, func(b *testing.B, set *Set) {
		held, _ := Encode(set)
		next, delta, _ := MergeDelta(set, benchChange(set, 0))
		e, _ := held.Next(next, delta)
		chunks := chunksOf(e)
		b.ResetTimer()
		for range b.N {
			if _, _, err := held.Decode(set, e.Manifest, chunks); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkDiff(b *testing.B) {
	benchSetSizes(b, func(b *testing.B, set *Set) {
		next, _, _ := MergeDelta(set, benchChange(set, 0))
		b.ResetTimer()
		for range b.N {
			Diff(set, next)
		}
	})
}

func BenchmarkApply(b *testing.B) {
	benchSetSizes(b, func(b *testing.B, set *Set) {
		_, delta, _ := MergeDelta(set, benchChange(set, 0))
		b.ResetTimer()
		for range b.N {
			if _, err := set.Apply(delta); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func chunksOf(e *Encoded) map[string][]byte {
	chunks := map[string][]byte{}
	for _, c := range e.Chunks() {
		chunks[c.Name] = c.Data
	}
	return chunks
}
