package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/retry"
)

func TestParseKey(t *testing.T) {
	is := is.New(t)
	k := idempotency.KeyOf("orders", "1")
	got, ok := idempotency.ParseKey(k.String())
	is.True(ok)
	is.Equal(got, k)
	for _, bad := range []string{"", "zz", k.String() + "0", "g" + k.String()[1:]} {
		_, ok := idempotency.ParseKey(bad)
		is.True(!ok)
	}
	is.True(k != idempotency.KeyOf("order", "s1")) // the boundary between service and key is part of the hash
}

// TestRemovedHomeMovesOnlyItsKeys removes one of ten homes and checks that no key of
// another home moves.
func TestRemovedHomeMovesOnlyItsKeys(t *testing.T) {
	is := is.New(t)
	home := func(k idempotency.Key, homes int) (best int) {
		for i := range homes {
			if k.Weight(fmt.Sprint("home", i)) > k.Weight(fmt.Sprint("home", best)) {
				best = i
			}
		}
		return best
	}
	held := make([]int, 10)
	for i := range 10_000 {
		k := idempotency.KeyOf("orders", fmt.Sprint(i))
		before, after := home(k, 10), home(k, 9)
		held[before]++
		is.True(before == 9 || after == before)
	}
	for _, n := range held {
		is.True(n > 800 && n < 1200) // keys are spread evenly
	}
}

func TestRegistryReleasesAndExpiresKeys(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := idempotency.NewRegistry(idempotency.Config{Retention: time.Minute, MaxKeys: 2})
	key, other := idempotency.KeyOf("s", "1"), idempotency.KeyOf("s", "2")
	a, b := admission.ID{Number: 1}, admission.ID{Number: 2}

	m.Begin(now, key, a)
	m.End(a, idempotency.Result{Outcome: retry.NotRun})
	_, used := m.FirstResult(key)
	is.True(!used) // the key of an attempt that did not run is released

	later := now.Add(30 * time.Second)
	m.Begin(later, key, b)
	m.End(b, idempotency.Result{Outcome: retry.Unknown})
	m.Expire(now.Add(time.Minute)) // expiry of the released record
	_, used = m.FirstResult(key)
	is.True(used)

	m.Begin(later, other, a)
	is.True(m.Full())
	m.Expire(later.Add(time.Hour))
	_, used = m.FirstResult(other)
	is.True(used) // a pending key does not expire
	is.Equal(m.Len(), 1)
}
