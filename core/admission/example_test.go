package admission_test

import (
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
)

// With one slot, a status check starts before an attempt that has waited longer.
func Example() {
	now := time.Unix(1_700_000_000, 0)
	q := admission.New(admission.DefaultConfig(1))
	arrive := func(n uint64, class admission.Class) admission.Decision {
		return q.Arrive(now, admission.Attempt{
			ID: admission.ID{Origin: 1, Number: n}, Class: class, Deadline: now.Add(time.Second),
		})
	}
	fmt.Println("1 runs:", arrive(1, admission.Interactive).Run)
	fmt.Println("2 runs:", arrive(2, admission.Interactive).Run)
	fmt.Println("3 runs:", arrive(3, admission.Status).Run)

	_, start, _ := q.Done(now, admission.ID{Origin: 1, Number: 1}, admission.Run{Took: 20 * time.Millisecond})
	fmt.Println("starts:", start[0].ID.Number)
	// Output:
	// 1 runs: true
	// 2 runs: false
	// 3 runs: false
	// starts: 3
}

// A receiver executes each message once, however late a copy of it arrives.
func ExampleDedupWindow() {
	m := admission.NewDedupWindow(1000)
	id := admission.ID{Origin: 7, Number: 1}
	fmt.Println(m.State(id) == admission.Unseen)
	m.Add(id, admission.Pending)
	m.End(id, admission.Executed)
	fmt.Println(m.State(id) == admission.Unseen)
	// Output:
	// true
	// false
}
