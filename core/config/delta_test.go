package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawEdit generates a submission of up to three edits, valid or not.
func drawEdit(t *rapid.T, set *Set) Submission {
	sub := Submission{ID: "s", Author: "ann"}
	seen := map[Key]bool{}
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		kind := rapid.SampledFrom([]Kind{KindRoute, KindRoute, KindService, KindPolicy}).Draw(t, "kind")
		k := Key{kind, rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")}
		_, exists := set.Objects[k]
		if seen[k] {
			continue
		}
		seen[k] = true
		if exists && rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			sub.Deletes = append(sub.Deletes, Delete{Key: k, AnyBase: true})
			continue
		}
		sub.Puts = append(sub.Puts, Put{Object: object(k.Kind, k.Name, drawSpec(t, kind)), AnyBase: true})
	}
	return sub
}

func drawSpec(t *rapid.T, kind Kind) string {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "fixed"})
	switch kind {
	case KindPolicy:
		extends := rapid.SampledFrom([]string{"", "", "", "a", "b", "fixed"}).Draw(t, "extends")
		return fmt.Sprintf(`{"timeoutMillis":%d,"extends":%q}`, rapid.IntRange(0, 5).Draw(t, "timeout"), extends)
	case KindService:
		return fmt.Sprintf(`{ "policy" : %q }`, rapid.SampledFrom([]string{"", "a", "b", "fixed"}).Draw(t, "policy"))
	}
	methods := rapid.SampledFrom([]string{`["GET"]`, `["POST"]`, `[]`}).Draw(t, "methods")
	policy := rapid.SampledFrom([]string{"", "", "a", "b", "fixed"}).Draw(t, "policy")
	return fmt.Sprintf(`{"pathPrefix":"/%s","methods":%s,"service":%q,"policy":%q}`, name.Draw(t, "prefix"), methods, name.Draw(t, "service"), policy)
}

// TestChangedPolicyRecompilesWholeSet changes the policies of a few routes of many. What
// they do not concern must be taken over as it is compiled.
func TestChangedPolicyRecompilesWholeSet(t *testing.T) {
	is := is.New(t)
	var objects []Object
	route := func(i int, policy string) Object {
		return object(KindRoute, fmt.Sprint("r", i), fmt.Sprintf(`{"pathPrefix":"/r%d","service":"orders","policy":%q}`, i, policy))
	}
	for i := range 40 {
		name := fmt.Sprint("p", i)
		objects = append(objects, object(KindPolicy, name, `{"timeoutMillis":1000}`), route(i, name))
	}
	held := with(objects...)
	prev, faults := Compile(held)
	is.Equal(len(faults), 0)
	next, err := held.Apply(newDelta(held, []Object{
		object(KindPolicy, "p1", `{"timeoutMillis":2000}`), object(KindPolicy, "new", `{}`), route(40, "new"),
	}, Key{KindRoute, "r2"}, Key{KindPolicy, "p2"}))
	is.NoErr(err)
	got, faults := CompileDelta(prev, held, next, Diff(held, next))
	is.Equal(len(faults), 0)
	find := func(s *Snapshot, i int) *Route {
		r, _ := s.Match("GET", "", fmt.Sprint("/r", i))
		return r
	}
	is.Equal(find(got, 1).Policy.Timeout, 2*time.Second)
	is.True(find(got, 2) == nil && find(got, 40) != nil)
	for i := 3; i < 40; i++ {
		is.True(find(got, i) == find(prev, i))
	}
}

// baseSet returns a set that is large compared to a generated submission.
func baseSet(version uint64) *Set {
	objects := []Object{
		object(KindPolicy, "fixed", `{"timeoutMillis":9}`), object(KindPolicy, "a", `{}`),
		object(KindService, "fixed", `{"policy":"fixed"}`), object(KindService, "a", `{}`), object(KindService, "b", `{}`),
	}
	for i := range 40 {
		objects = append(objects, object(KindRoute, fmt.Sprintf("r%d", i), fmt.Sprintf(`{"pathPrefix":"/r%d","service":"fixed"}`, i)))
	}
	return NewSet(version, objects)
}

// TestDeltaMatchesFullCompile applies a series of submissions and compares all that is
// derived incrementally from a delta with what is derived from the full set.
func TestDeltaMatchesFullCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := baseSet(1)
		snapshot, _ := Compile(set)
		encoded, err := Encode(set)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 12).Draw(t, "submissions") {
			next, delta, faults := MergeDelta(set, drawEdit(t, set))
			if len(faults) > 0 {
				continue
			}
			want, wantFaults := Compile(next)
			got, gotFaults := CompileDelta(snapshot, set, next, delta)
			if !reflect.DeepEqual(gotFaults, wantFaults) || !reflect.DeepEqual(got, want) {
				t.Fatalf("CompileDelta of %+v = %+v, %v; Compile = %+v, %v", delta, got, gotFaults, want, wantFaults)
			}
			if len(wantFaults) > 0 {
				continue
			}
			if d := Diff(set, next); !reflect.DeepEqual(d, delta) {
				t.Fatalf("Diff = %+v, MergeDelta returned %+v", d, delta)
			}
			encoded = checkDeltaEncoding(t, encoded, set, next, delta)
			set, snapshot = next, got
		}
	})
}

// checkDeltaEncoding compares the stored form derived from a delta with that of the
// full set, and decodes it again.
func checkDeltaEncoding(t *rapid.T, held *Encoded, set, next *Set, delta Delta) *Encoded {
	got, err := held.Next(next, delta)
	if err != nil {
		t.Fatal(err)
	}
	want, err := Encode(next)
	if err != nil || !reflect.DeepEqual(got.Manifest, want.Manifest) {
		t.Fatalf("Next returned manifest %+v, Encode %+v (%v)", got.Manifest, want.Manifest, err)
	}
	read, readDelta, err := held.Decode(set, want.Manifest, chunksOf(want))
	if err != nil || read.Hash() != next.Hash() || read.Version != next.Version {
		t.Fatalf("Decode returned set %+v, %v", read, err)
	}
	if len(readDelta.Puts) != len(delta.Puts) || len(readDelta.Deletes) != len(delta.Deletes) {
		t.Fatalf("Decode returned delta %+v, want %+v", readDelta, delta)
	}
	return got
}

func TestChunkCountGrowsWithSize(t *testing.T) {
	is := is.New(t)
	set := baseSet(1)
	encoded, err := Encode(set)
	is.NoErr(err)
	is.Equal(len(encoded.Manifest.Chunks), 1)
	big := Submission{ID: "s"}
	for i := range 300 {
		big.Puts = append(big.Puts, Put{Object: object(KindRoute, fmt.Sprintf("big%d", i),
			fmt.Sprintf(`{"pathPrefix":"/%d/%s","service":"fixed"}`, i, strings.Repeat("x", 300)))})
	}
	next, delta, faults := MergeDelta(set, big)
	is.Equal(len(faults), 0)
	grown, err := encoded.Next(next, delta)
	is.NoErr(err)
	is.Equal(len(grown.Manifest.Chunks), 4)
	got, _, err := encoded.Decode(set, grown.Manifest, chunksOf(grown))
	is.NoErr(err)
	is.Equal(got.Hash(), next.Hash())
}

// TestHashSurvivesEncoding checks that the hash of a set is the same before and after
// encoding, whatever the operator's formatting of specs.
func TestHashSurvivesEncoding(t *testing.T) {
	is := is.New(t)
	var sub Submission
	is.NoErr(json.Unmarshal([]byte(`{"id":"s","puts":[{"object":{"kind":"Route","name":"a","spec":{ "pathPrefix": "/<a>&", "service":"fixed" }}}]}`), &sub))
	next, _, faults := MergeDelta(baseSet(1), sub)
	is.Equal(len(faults), 0)
	e, err := Encode(next)
	is.NoErr(err)
	got, err := DecodeSet(e.Manifest, chunksOf(e))
	is.NoErr(err) // the hash matches
	is.Equal(got.Hash(), next.Hash())
}

func TestSubmissionSizeLimits(t *testing.T) {
	is := is.New(t)
	_, faults := Merge(baseSet(1), Submission{ID: "s", Author: strings.Repeat("x", MaxAuthorBytes+1)})
	is.Equal(faults[0].Field, "author")

	spec := fmt.Sprintf(`{"policy":%q}`, strings.Repeat("x", MaxObjectBytes-100))
	var objects []Object
	for i := range MaxSetBytes/MaxObjectBytes + 2 {
		objects = append(objects, object(KindService, fmt.Sprintf("s%d", i), spec))
	}
	_, faults = Compile(NewSet(1, objects))
	is.True(strings.Contains(faults[0].Reason, "the set has"))
}
