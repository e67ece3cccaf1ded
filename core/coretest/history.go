package coretest

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/agatekeel/agatekeel/core/retry"
	"github.com/agatekeel/agatekeel/internal/testhistory"
)

// CheckOutcomes compares the reported outcome of every call with the runs recorded by the
// backend servers. It returns an error for the first call whose outcome is wrong.
func CheckOutcomes(calls []*Call) error {
	for _, c := range calls {
		switch {
		case c.Outcome == retry.NotRun && len(c.Runs) > 0:
			return fmt.Errorf("call %d was reported as not run (%s), but it ran: %+v", c.ID, c.Reason, c.Runs)
		case c.Outcome == retry.Ran && len(c.Runs) == 0:
			return fmt.Errorf("call %d was reported as run, but it did not run", c.ID)
		case c.Method == "POST" && len(c.Runs) > 1:
			return fmt.Errorf("call %d is not idempotent and ran %d times: %+v", c.ID, len(c.Runs), c.Runs)
		}
	}
	return nil
}

// keyModel is a model of one Idempotency-Key: a call may run only if none with the key has
// run, and may be reported as run earlier only if one has.
var keyModel = (&porcupine.NondeterministicModel{
	Partition: testhistory.PartitionBy(func(op porcupine.Operation) string { return op.Input.(string) }),
	Init:      func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran, c := state.(bool), output.(*Call)
		switch {
		case c.Outcome == retry.NotRun && len(c.Runs) == 0:
			return []any{ran}
		case c.Outcome == retry.Ran && len(c.Runs) == 0: // reported as run earlier
			if ran {
				return []any{true}
			}
			return nil
		case len(c.Runs) == 0: // unknown outcome, and it did not run
			return []any{ran}
		case len(c.Runs) == 1 && !ran && c.Outcome != retry.NotRun:
			return []any{true}
		}
		return nil
	},
}).ToModel()

// CheckKeys checks that the calls with each key are linearizable with at most one run per
// key.
func CheckKeys(calls []*Call, end time.Time) error {
	var history []porcupine.Operation
	for i, c := range calls {
		returned := c.Ended
		if c.Outcome != retry.Ran && c.Outcome != retry.NotRun {
			returned = end // an unknown outcome may still take effect until the end
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: c.Key, Call: c.Started.UnixNano(), Output: c, Return: returned.UnixNano(),
		})
	}
	if porcupine.CheckOperations(keyModel, history) {
		return nil
	}
	var b strings.Builder
	for _, c := range calls {
		fmt.Fprintf(&b, "\n%s call %d: %s, runs %+v", c.Key, c.ID, c.Outcome, c.Runs)
	}
	return fmt.Errorf("calls with the same key are not linearizable as one run:%s", b.String())
}
