package config

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Set holds all objects at one version. It is immutable once built; each change
// produces a new Set.
type Set struct {
	Version uint64
	Objects map[Key]Object
	hash    uint64
	bytes   int // total size of the specs
}

// NewSet returns a set of the given objects.
func NewSet(version uint64, objects []Object) *Set {
	s := &Set{Version: version, Objects: make(map[Key]Object, len(objects))}
	for _, o := range objects {
		s.put(o)
	}
	return s
}

// Hash returns a digest of the objects that doesn't depend on their order. It is the
// sum of the objects' digests, so a delta updates it at the cost of the objects
// changed.
func (s *Set) Hash() uint64 { return s.hash }

// Sorted returns the objects in order of their keys.
func (s *Set) Sorted() []Object {
	out := make([]Object, 0, len(s.Objects))
	for _, k := range sortedKeys(s.Objects) {
		out = append(out, s.Objects[k])
	}
	return out
}

func (s *Set) put(o Object) {
	if old, ok := s.Objects[o.Key()]; ok {
		s.hash -= objectHash(old)
		s.bytes -= len(old.Spec)
	}
	s.Objects[o.Key()] = o
	s.hash += objectHash(o)
	s.bytes += len(o.Spec)
}

func (s *Set) remove(k Key) {
	if old, ok := s.Objects[k]; ok {
		s.hash -= objectHash(old)
		s.bytes -= len(old.Spec)
		delete(s.Objects, k)
	}
}

func (s *Set) clone(version uint64) *Set {
	return &Set{Version: version, Objects: maps.Clone(s.Objects), hash: s.hash, bytes: s.bytes}
}

func objectHash(o Object) uint64 {
	var d xxhash.Digest
	d.Reset()
	var num [8]byte
	binary.LittleEndian.PutUint64(num[:], o.Version)
	for _, part := range []string{string(o.Kind), o.Name, o.Author} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(num[:])
	_, _ = d.Write(o.Spec)
	return d.Sum64()
}

// Delta describes the change from the set of one version to that of a later one.
type Delta struct {
	From, To uint64
	Puts     []Object
	Deletes  []Key
	Hash     uint64 // of the resulting set
}

// Diff returns the delta between two sets.
func Diff(from, to *Set) Delta {
	d := Delta{From: from.Version, To: to.Version, Hash: to.hash}
	for k, o := range to.Objects {
		if old, ok := from.Objects[k]; !ok || !sameObject(old, o) {
			d.Puts = append(d.Puts, o)
		}
	}
	for k := range from.Objects {
		if _, ok := to.Objects[k]; !ok {
			d.Deletes = append(d.Deletes, k)
		}
	}
	slices.SortFunc(d.Puts, func(a, b Object) int { return a.Key().Compare(b.Key()) })
	slices.SortFunc(d.Deletes, Key.Compare)
	return d
}

func sameObject(a, b Object) bool {
	return a.Version == b.Version && a.Author == b.Author && bytes.Equal(a.Spec, b.Spec)
}

// Apply returns the set that results from a delta. The receiver is not changed. It
// fails if the delta starts from another version, or if the result does not have the
// delta's hash.
func (s *Set) Apply(d Delta) (*Set, error) {
	if d.From != s.Version {
		return nil, fmt.Errorf("%w: delta starts from version %d, held is %d", ErrWrongBase, d.From, s.Version)
	}
	if d.To <= d.From {
		return nil, fmt.Errorf("%w: delta leads from version %d to %d", ErrWrongBase, d.From, d.To)
	}
	next := s.apply(d)
	if next.hash != d.Hash {
		return nil, fmt.Errorf("%w: version %d has %016x, announced was %016x", ErrHash, d.To, next.hash, d.Hash)
	}
	return next, nil
}

// apply applies the puts and deletes of a delta without any checks.
func (s *Set) apply(d Delta) *Set {
	next := s.clone(d.To)
	for _, k := range d.Deletes {
		next.remove(k)
	}
	for _, o := range d.Puts {
		next.put(o)
	}
	return next
}

// Empty reports whether the delta changes no object.
func (d Delta) Empty() bool { return len(d.Puts) == 0 && len(d.Deletes) == 0 }

// Errors of this package.
var (
	// ErrWrongBase is returned for a delta that does not start from the held version.
	ErrWrongBase = fmt.Errorf("delta does not fit the held version")
	// ErrHash is returned if content does not match its announced hash.
	ErrHash = fmt.Errorf("hash does not match the content")
)
