package config

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func accountObject(t testing.TB, name string, keys ...string) Object {
	t.Helper()
	spec := AccountSpec{RatePerSecond: 10}
	for _, key := range keys {
		spec.Keys = append(spec.Keys, DigestKey(key))
	}
	o, err := NewObject(KindAccount, name, spec)
	is.New(t).NoErr(err)
	return o
}

// TestKeyMovesBetweenAccounts guards against a delta after which a key still belongs to the account
// that it was taken from, or to none.
func TestKeyMovesBetweenAccounts(t *testing.T) {
	is := is.New(t)
	base := []Object{}
	for _, name := range []string{"c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p", "q", "r"} {
		base = append(base, accountObject(t, name, "key-"+name))
	}
	held := NewSet(1, append(base, accountObject(t, "a", "one", "two"), accountObject(t, "b", "three")))
	prev, faults := Compile(held)
	is.Equal(len(faults), 0)
	next := NewSet(2, append(base, accountObject(t, "a", "one"), accountObject(t, "b", "two")))
	delta := Diff(held, next)
	is.True(delta.canCompileIncrementally(len(held.Objects)))
	got, faults := CompileDelta(prev, held, next, delta)
	is.Equal(len(faults), 0)
	for key, want := range map[string]string{"one": "a", "two": "b", "key-c": "c"} {
		account, ok := got.AccountOf(DigestKey(key))
		is.True(ok)
		is.Equal(account.Name, want)
	}
	_, ok := got.AccountOf(DigestKey("three"))
	is.True(!ok) // withdrawn
	old, ok := prev.AccountOf(DigestKey("two"))
	is.True(ok && old.Name == "a") // the earlier snapshot is not changed
}

// TestAccountFaults guards against a set in force with an account that can't be told from another,
// and against a fault that discloses a key.
func TestAccountFaults(t *testing.T) {
	const key = "plain-text-key"
	for name, tt := range map[string]struct{ spec, field string }{
		"negative rate":   {`{"keys":[],"ratePerSecond":-1}`, "ratePerSecond"},
		"negative burst":  {`{"keys":[],"burst":-1}`, "burst"},
		"rank":            {`{"keys":[],"rank":99}`, "rank"},
		"key, not digest": {`{"keys":["` + key + `"]}`, ""},
		"no hex":          {`{"keys":["` + strings.Repeat("zz", 32) + `"]}`, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, faults := Compile(NewSet(1, []Object{{Kind: KindAccount, Name: "a", Spec: []byte(tt.spec)}}))
			is.True(len(faults) > 0)
			is.True(tt.field == "" || faults[0].Field == tt.field)
			is.True(!strings.Contains(faults[0].Error(), key))
		})
	}
	is := is.New(t)
	_, faults := Compile(NewSet(1, []Object{accountObject(t, "a", "x"), accountObject(t, "b", "x")}))
	is.Equal(len(faults), 1) // two accounts hold one key
	is.Equal(faults[0].Field, "keys[0]")
}

// TestRankOfAccountGoesFirst guards against a request of a less urgent account that goes before one
// of a more urgent account, and against kinds of one account that are not told apart.
func TestRankOfAccountGoesFirst(t *testing.T) {
	is := is.New(t)
	rank := func(n int) *int { return &n }
	objects := []Object{{Kind: KindService, Name: "s", Spec: []byte(`{}`)}}
	for _, o := range []struct {
		kind Kind
		name string
		spec any
	}{
		{KindPolicy, "p0", PolicySpec{Rank: rank(0)}}, {KindPolicy, "p2", PolicySpec{Rank: rank(2)}},
		{KindRoute, "r0", RouteSpec{PathPrefix: "/0/", Service: "s", Policy: "p0"}}, {KindRoute, "r2", RouteSpec{PathPrefix: "/2/", Service: "s", Policy: "p2"}},
		{KindAccount, "a0", AccountSpec{Keys: []KeyDigest{{1}}, Rank: rank(0)}}, {KindAccount, "a1", AccountSpec{Keys: []KeyDigest{{2}}, Rank: rank(1)}},
	} {
		object, err := NewObject(o.kind, o.name, o.spec)
		is.NoErr(err)
		objects = append(objects, object)
	}
	s, faults := Compile(NewSet(1, objects))
	is.Equal(len(faults), 0)
	of := func(policy, account string) int { return s.RankOf(s.policies[policy], s.accounts[account]) }
	is.True(of("p0", "a0") < of("p2", "a0"))
	is.True(of("p2", "a0") < of("p0", "a1"))
	is.True(of("p0", "a1") < of("p2", "a1"))
	is.Equal(of("p0", ""), of("p0", "a0")) // calls of backend servers

	many := append(objects, accountObject(t, "a7", "x"))
	many[len(many)-1].Spec, many[len(many)-1].decoded = []byte(`{"keys":[],"rank":7}`), nil
	s, faults = Compile(NewSet(2, many))
	is.Equal(len(faults), 0)
	is.True(of("p0", "a0") < of("p0", "a7"))
	is.True(of("p2", "a7") <= MaxRank)
}
