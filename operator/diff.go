package operator

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/agatekeel/agatekeel/core/config"
)

// Change is one difference between the published set and an edit.
type Change struct {
	Object config.Key      `json:"object"`
	Old    json.RawMessage `json:"old,omitempty"` // nil: the object is added
	New    json.RawMessage `json:"new,omitempty"` // nil: the object is deleted
}

// Diff returns the changes that putting objects would make, sorted by key.
// Published objects that are not given are kept; see Changes for deletes.
func Diff(current *config.Set, objects []config.Object) []Change {
	return Changes(current, Edit("diff", "", current, objects))
}

// Changes returns the changes that a submission would make, sorted by key.
func Changes(current *config.Set, sub config.Submission) []Change {
	changes := []Change{}
	for _, p := range sub.Puts {
		old, exists := current.Objects[p.Object.Key()]
		if exists && bytes.Equal(compact(old.Spec), compact(p.Object.Spec)) {
			continue
		}
		changes = append(changes, Change{Object: p.Object.Key(), Old: old.Spec, New: p.Object.Spec})
	}
	for _, d := range sub.Deletes {
		if old, exists := current.Objects[d.Key]; exists {
			changes = append(changes, Change{Object: d.Key, Old: old.Spec})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return a.Object.Compare(b.Object) })
	return changes
}

// compact returns JSON in its stored form, or the input if it is not valid
// JSON.
func compact(raw json.RawMessage) []byte {
	data, err := json.Marshal(raw)
	if err != nil {
		return raw
	}
	return data
}

// Check returns the faults for which a submission would be rejected if it
// were applied next, using the publisher's own validation.
func Check(current *config.Set, sub config.Submission) []config.Fault {
	next, faults := config.Merge(current, sub)
	if len(faults) > 0 {
		return faults
	}
	_, faults = config.Compile(next)
	return faults
}
