package config

import "fmt"

// Submission is what an operator sends: edits that take effect together or
// not at all.
type Submission struct {
	ID      string   `json:"id"`
	Author  string   `json:"author,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []Delete `json:"deletes,omitempty"`
}

// Put creates or replaces an object. Base is the version at which the
// operator read it, zero for an object that is not to exist yet. AnyBase
// replaces whatever stands there.
type Put struct {
	Object  Object `json:"object"`
	Base    uint64 `json:"base"`
	AnyBase bool   `json:"anyBase,omitempty"`
}

// Delete removes an object read at version Base.
type Delete struct {
	Key     Key    `json:"key"`
	Base    uint64 `json:"base"`
	AnyBase bool   `json:"anyBase,omitempty"`
}

// Merge returns the set that a submission leads to at version current+1, or
// the faults for which it can't be merged. It checks bases and duplicates,
// not the content: that is Compile's.
func Merge(current *Set, sub Submission) (*Set, []Fault) {
	next := current.clone(current.Version + 1)
	seen := make(map[Key]bool, len(sub.Puts)+len(sub.Deletes))
	var faults []Fault
	for _, p := range sub.Puts {
		k := p.Object.Key()
		if f := mergeFault(current, seen, k, p.Base, p.AnyBase); f != nil {
			faults = append(faults, *f)
			continue
		}
		o := p.Object
		o.Version, o.Author = next.Version, sub.Author
		if old, ok := current.Objects[k]; ok && string(old.Spec) == string(o.Spec) {
			continue // unchanged: the version that last changed it stays
		}
		next.put(o)
	}
	for _, d := range sub.Deletes {
		if f := mergeFault(current, seen, d.Key, d.Base, d.AnyBase); f != nil {
			faults = append(faults, *f)
			continue
		}
		if _, ok := current.Objects[d.Key]; !ok {
			faults = append(faults, Fault{Object: d.Key, Reason: "does not exist, so it can't be deleted"})
			continue
		}
		next.remove(d.Key)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return next, nil
}

func mergeFault(current *Set, seen map[Key]bool, k Key, base uint64, anyBase bool) *Fault {
	if seen[k] {
		return &Fault{Object: k, Reason: "named more than once in one submission"}
	}
	seen[k] = true
	old, exists := current.Objects[k]
	switch {
	case anyBase:
		return nil
	case exists && old.Version != base:
		return &Fault{Object: k, Field: "base", Reason: fmt.Sprintf(
			"was read at version %d, but %s changed it at version %d", base, authorName(old.Author), old.Version)}
	case !exists && base != 0:
		return &Fault{Object: k, Field: "base", Reason: fmt.Sprintf(
			"was read at version %d, but has been deleted since", base)}
	}
	return nil
}

func authorName(a string) string {
	if a == "" {
		return "an unnamed author"
	}
	return fmt.Sprintf("%q", a)
}
