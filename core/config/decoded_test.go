package config

import (
	"regexp"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestValidName(t *testing.T) {
	want := regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.OneOf(rapid.StringMatching(`[-a-z0-9.A_ \nä]{0,5}`), rapid.String()).Draw(t, "name")
		if got := validName(name); got != want.MatchString(name) {
			t.Fatalf("validName(%q) = %v", name, got)
		}
	})
}

// specGenerators generate specs of which about one in two is valid.
func specGenerators() map[Kind]*rapid.Generator[any] {
	name, number := rapid.StringMatching(`[ab]|orders|<&>|`), rapid.IntRange(-1, 9)
	policy := rapid.Custom(func(t *rapid.T) any {
		return PolicySpec{
			Extends: name.Draw(t, "extends"), Priority: Priority(rapid.SampledFrom([]string{"", "batch", "x"}).Draw(t, "priority")),
			Rank: rapid.Ptr(number, true).Draw(t, "rank"), TimeoutMillis: number.Draw(t, "timeout"), TargetMillis: number.Draw(t, "target"),
			Idempotent: rapid.Ptr(rapid.Bool(), true).Draw(t, "idempotent"), MaxAttempts: number.Draw(t, "attempts"),
			IdempotencyKey: KeyScope(rapid.SampledFrom([]string{"", "ignore", "x"}).Draw(t, "scope")),
		}
	})
	route := rapid.Custom(func(t *rapid.T) any {
		spec := RouteSpec{Host: name.Draw(t, "host"), PathPrefix: "/" + name.Draw(t, "prefix"), Service: name.Draw(t, "service"), Policy: name.Draw(t, "policy")}
		for range rapid.IntRange(0, 2).Draw(t, "shares") {
			spec.Split = append(spec.Split, Share{Service: name.Draw(t, "share"), Weight: number.Draw(t, "weight")})
		}
		return spec
	})
	return map[Kind]*rapid.Generator[any]{
		KindPolicy: policy, KindRoute: route,
		KindService: rapid.Custom(func(t *rapid.T) any { return ServiceSpec{Policy: name.Draw(t, "policy")} }),
		KindLimits:  rapid.Custom(func(t *rapid.T) any { return LimitsSpec{MaxBodyBytes: number.Draw(t, "body")} }),
	}
}

// TestNewObjectCompilesLikeItsText checks that an object which keeps its decoded spec
// gives the same snapshot or the same faults as one that has only the encoded spec.
func TestNewObjectCompilesLikeItsText(t *testing.T) {
	generators := specGenerators()
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		decoded, encoded := append([]Object{}, sample...), append([]Object{}, sample...)
		for i := range rapid.IntRange(1, 4).Draw(t, "objects") {
			kind := rapid.SampledFrom([]Kind{KindPolicy, KindRoute, KindService, KindLimits}).Draw(t, "kind")
			o, err := NewObject(kind, string(rune('a'+i)), generators[kind].Draw(t, "spec"))
			is.NoErr(err)
			decoded = append(decoded, o)
			encoded = append(encoded, Object{Kind: o.Kind, Name: o.Name, Spec: o.Spec})
		}
		got, gotFaults := Compile(NewSet(1, decoded))
		want, wantFaults := Compile(NewSet(1, encoded))
		is.Equal(gotFaults, wantFaults)
		is.Equal(got, want)
	})
}

// TestFaultsOfSeveralLimitsAreOrdered checks that the same faults come in the same order
// each time.
func TestFaultsOfSeveralLimitsAreOrdered(t *testing.T) {
	is := is.New(t)
	set := with(object(KindLimits, "a", `{}`), object(KindLimits, "b", `{}`), object(KindLimits, "c", `{}`), object(KindLimits, "d", `{"x":1}`))
	var want []string
	for _, f := range []string{"b: is not the only one of its kind: there is Limits/a too", "c: is not the only one of its kind: there is Limits/a too",
		"c: is not the only one of its kind: there is Limits/b too", "d: x: unknown field"} {
		want = append(want, "Limits/"+f)
	}
	for range 50 {
		_, faults := Compile(set)
		var got []string
		for _, f := range faults {
			got = append(got, f.Error())
		}
		is.Equal(got, want)
	}
}
