package retry_test

import (
	"fmt"

	"github.com/agatekeel/agatekeel/core/retry"
)

// Before a retry, a client checks whether the outcome permits it and whether the budget
// allows it.
func Example() {
	budget := retry.NewBudget(retry.Config{Share: 0.1, Reserve: 10})
	budget.AddCall()

	mayRetry := func(o retry.Outcome, idempotent bool) bool {
		return retry.Allowed(o, idempotent, false) && budget.Take(o)
	}
	fmt.Println("order, not run:", mayRetry(retry.NotRun, false))
	fmt.Println("order, unknown:", mayRetry(retry.Unknown, false))
	fmt.Println("lookup, unknown:", mayRetry(retry.Unknown, true))
	// Output:
	// order, not run: true
	// order, unknown: false
	// lookup, unknown: true
}
