package coretest

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/agatekeel/agatekeel/core/retry"
)

// CheckOutcomes compares the outcome of every call with what the backend servers
// ran. It returns the first lie.
func CheckOutcomes(calls []*Call) error {
	for _, c := range calls {
		switch {
		case c.Outcome == retry.NotRun && len(c.Runs) > 0:
			return fmt.Errorf("call %d ended as not run (%s) and ran: %+v", c.ID, c.Reason, c.Runs)
		case c.Outcome == retry.Ran && len(c.Runs) == 0:
			return fmt.Errorf("call %d ended as run and did not run", c.ID)
		case c.Method == "POST" && len(c.Runs) > 1:
			return fmt.Errorf("non-idempotent call %d ran %d times: %+v", c.ID, len(c.Runs), c.Runs)
		}
	}
	return nil
}

// keyModel is one Idempotency-Key: a call may run under it while none has,
// and may be told that an earlier one ran once one has.
var keyModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran, c := state.(bool), output.(*Call)
		switch {
		case c.Outcome == retry.NotRun && len(c.Runs) == 0:
			return []any{ran}
		case c.Outcome == retry.Ran && len(c.Runs) == 0: // told of an earlier run
			if ran {
				return []any{true}
			}
			return nil
		case len(c.Runs) == 0: // not known, and it did not
			return []any{ran}
		case len(c.Runs) == 1 && !ran && c.Outcome != retry.NotRun:
			return []any{true}
		}
		return nil
	},
}).ToModel()

// CheckKeys checks that the calls of each key are linearizable as one run.
func CheckKeys(calls []*Call, end time.Time) error {
	var history []porcupine.Operation
	for i, c := range calls {
		returned := c.Ended
		if c.Outcome != retry.Ran && c.Outcome != retry.NotRun {
			returned = end // what is not known may happen later
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
	return fmt.Errorf("calls of a key are not one run:%s", b.String())
}
