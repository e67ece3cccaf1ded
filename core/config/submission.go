package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Submission is a set of edits by an operator, which is applied as a whole or not at
// all.
type Submission struct {
	ID      string   `json:"id"`
	Author  string   `json:"author,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []Delete `json:"deletes,omitempty"`
}

// Put creates or replaces an object. Base is the version of the object that the
// operator edited, or zero if the object must not exist. With AnyBase the object is
// replaced whatever its version.
type Put struct {
	Object  Object `json:"object"`
	Base    uint64 `json:"base"`
	AnyBase bool   `json:"anyBase,omitempty"`
}

// Delete removes an object. Base and AnyBase are as in Put.
type Delete struct {
	Key     Key    `json:"key"`
	Base    uint64 `json:"base"`
	AnyBase bool   `json:"anyBase,omitempty"`
}

// MaxAuthorBytes limits the length of an author's name, since it is stored in every
// object.
const MaxAuthorBytes = 256

// Merge applies a submission and returns the set at version current+1, or the faults
// that prevent it. It checks bases and duplicates; Compile checks the content.
func Merge(current *Set, sub Submission) (*Set, []Fault) {
	next, _, faults := MergeDelta(current, sub)
	return next, faults
}

// MergeDelta is like Merge, and also returns the delta from current to the new set.
func MergeDelta(current *Set, sub Submission) (*Set, Delta, []Fault) {
	m := merger{current: current, version: current.Version + 1, author: sub.Author, seen: map[Key]bool{}}
	if len(sub.Author) > MaxAuthorBytes {
		m.faults = append(m.faults, Fault{Field: "author", Reason: fmt.Sprintf(
			"has %d bytes, at most %d are allowed", len(sub.Author), MaxAuthorBytes)})
	}
	for _, p := range sub.Puts {
		m.put(p)
	}
	for _, d := range sub.Deletes {
		m.delete(d)
	}
	if len(m.faults) > 0 {
		return nil, Delta{}, m.faults
	}
	m.delta.From, m.delta.To = current.Version, m.version
	slices.SortFunc(m.delta.Puts, func(a, b Object) int { return a.Key().Compare(b.Key()) })
	slices.SortFunc(m.delta.Deletes, Key.Compare)
	next := current.apply(m.delta)
	m.delta.Hash = next.hash
	return next, m.delta, nil
}

// merger collects the delta and the faults of one submission.
type merger struct {
	current *Set
	version uint64
	author  string
	seen    map[Key]bool
	delta   Delta
	faults  []Fault
}

func (m *merger) put(p Put) {
	k := p.Object.Key()
	if f := checkBase(m.current, m.seen, k, p.Base, p.AnyBase); f != nil {
		m.faults = append(m.faults, *f)
		return
	}
	o := p.Object
	o.Version, o.Author = m.version, m.author
	spec, err := canonical(o.Spec)
	if err != nil {
		m.faults = append(m.faults, Fault{Object: k, Field: "spec", Reason: err.Error()})
		return
	}
	o.Spec, o.decoded = spec, nil
	if old, ok := m.current.Objects[k]; ok && bytes.Equal(old.Spec, o.Spec) {
		return // unchanged, so its version stays
	}
	m.delta.Puts = append(m.delta.Puts, o)
}

// canonical returns a spec in the form that json.Marshal gives it, so that the hash
// of a set is the same before and after it was stored.
func canonical(spec json.RawMessage) (json.RawMessage, error) {
	if len(spec) == 0 {
		return nil, nil
	}
	return json.Marshal(spec)
}

func (m *merger) delete(d Delete) {
	if f := checkBase(m.current, m.seen, d.Key, d.Base, d.AnyBase); f != nil {
		m.faults = append(m.faults, *f)
		return
	}
	if _, ok := m.current.Objects[d.Key]; !ok {
		m.faults = append(m.faults, Fault{Object: d.Key, Reason: "does not exist, so it can't be deleted"})
		return
	}
	m.delta.Deletes = append(m.delta.Deletes, d.Key)
}

func checkBase(current *Set, seen map[Key]bool, k Key, base uint64, anyBase bool) *Fault {
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
