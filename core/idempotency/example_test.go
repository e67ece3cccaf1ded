package idempotency_test

import (
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/idempotency"
	"github.com/agatekeel/agatekeel/core/retry"
)

// A server runs the request of a key once and returns the first result for a repeat.
func Example() {
	now := time.Unix(1_700_000_000, 0)
	m := idempotency.NewRegistry(idempotency.Config{Retention: time.Minute, MaxKeys: 1000})
	key := idempotency.KeyOf("orders", "basket-17")
	attempt := admission.ID{Origin: 1, Number: 1}

	m.Begin(now, key, attempt)
	first, used := m.FirstResult(key)
	fmt.Println(used, first.Outcome)
	m.End(attempt, idempotency.Result{Outcome: retry.Ran, Status: 201})
	first, used = m.FirstResult(key)
	fmt.Println(used, first.Outcome, first.Status)

	m.Expire(now.Add(time.Minute))
	_, used = m.FirstResult(key)
	fmt.Println(used)
	// Output:
	// true unknown
	// true ran 201
	// false
}
