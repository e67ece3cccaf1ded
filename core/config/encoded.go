package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Encoded is a set in its stored form. It is immutable once built. Next derives
// another one, which shares unchanged chunks.
type Encoded struct {
	Manifest Manifest
	buckets  []bucket
}

// bucket is the part of a set that is stored in one chunk.
type bucket struct {
	keys []Key // in ascending order
	size int   // sum of the objects' storedSize
	data []byte
}

// Chunks returns the chunks listed in the manifest.
func (e *Encoded) Chunks() []Chunk {
	out := make([]Chunk, len(e.buckets))
	for i, b := range e.buckets {
		out[i] = Chunk{Name: e.Manifest.Chunks[i], Data: b.data}
	}
	return out
}

// Encode returns the stored form of a set.
func Encode(s *Set) (*Encoded, error) {
	size := 0
	for _, o := range s.Objects {
		size += storedSize(o)
	}
	e := &Encoded{Manifest: Manifest{Version: s.Version, Hash: s.hash}}
	e.buckets = make([]bucket, bucketCount(size))
	e.Manifest.Chunks = make([]string, len(e.buckets))
	for _, k := range sortedKeys(s.Objects) {
		b := &e.buckets[e.bucketOf(k)]
		b.keys = append(b.keys, k)
	}
	for i := range e.buckets {
		if err := e.encodeBucket(i, s); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// Next returns the stored form of s, the set that results from a delta. Its cost
// grows with the size of the chunks that the delta changes.
func (e *Encoded) Next(s *Set, d Delta) (*Encoded, error) {
	next := &Encoded{Manifest: Manifest{Version: s.Version, Hash: s.hash}}
	next.buckets = slices.Clone(e.buckets)
	next.Manifest.Chunks = slices.Clone(e.Manifest.Chunks)
	for i, keys := range e.changedKeys(d) {
		next.buckets[i].updateKeys(keys)
		if err := next.encodeBucket(i, s); err != nil {
			return nil, err
		}
	}
	size := 0
	for _, b := range next.buckets {
		size += b.size
	}
	if bucketCount(size) != len(next.buckets) {
		return Encode(s)
	}
	return next, nil
}

// changedKeys returns the keys of a delta by bucket. The value is true for a put and
// false for a delete.
func (e *Encoded) changedKeys(d Delta) map[int]map[Key]bool {
	touched := map[int]map[Key]bool{}
	mark := func(k Key, present bool) {
		i := e.bucketOf(k)
		if touched[i] == nil {
			touched[i] = map[Key]bool{}
		}
		touched[i][k] = present
	}
	for _, o := range d.Puts {
		mark(o.Key(), true)
	}
	for _, k := range d.Deletes {
		mark(k, false)
	}
	return touched
}

// updateKeys adds and removes the changed keys of a bucket.
func (b *bucket) updateKeys(keys map[Key]bool) {
	out := make([]Key, 0, len(b.keys)+len(keys))
	for _, k := range b.keys {
		if _, changed := keys[k]; !changed {
			out = append(out, k)
		}
	}
	for k, present := range keys {
		if present {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, Key.Compare)
	b.keys = out
}

// Decode returns the set of a manifest, and the delta to it from the held set. e is the
// stored form of held. Only chunks that differ are decoded, unless the number of chunks
// has changed or e does not match held.
func (e *Encoded) Decode(held *Set, m Manifest, chunks map[string][]byte) (*Set, Delta, error) {
	if len(m.Chunks) != len(e.buckets) || held.hash != e.Manifest.Hash {
		set, err := DecodeSet(m, chunks)
		if err != nil {
			return nil, Delta{}, err
		}
		return set, Diff(held, set), nil
	}
	d := Delta{From: held.Version, To: m.Version, Hash: m.Hash}
	for i, name := range m.Chunks {
		if name == e.Manifest.Chunks[i] {
			continue
		}
		objects, err := decodeChunk(m.Version, name, chunks)
		if err != nil {
			return nil, Delta{}, err
		}
		d.addChanges(held, e.buckets[i].keys, objects)
	}
	slices.SortFunc(d.Puts, func(a, b Object) int { return a.Key().Compare(b.Key()) })
	slices.SortFunc(d.Deletes, Key.Compare)
	set, err := held.Apply(d)
	return set, d, err
}

// addChanges adds the changes of one bucket: keys are those held before, objects the
// new content.
func (d *Delta) addChanges(held *Set, keys []Key, objects []Object) {
	present := make(map[Key]bool, len(objects))
	for _, o := range objects {
		present[o.Key()] = true
		if old, ok := held.Objects[o.Key()]; !ok || !sameObject(old, o) {
			d.Puts = append(d.Puts, o)
		}
	}
	for _, k := range keys {
		if !present[k] {
			d.Deletes = append(d.Deletes, k)
		}
	}
}

func (e *Encoded) bucketOf(k Key) int {
	return int(xxhash.Sum64String(k.String()) % uint64(len(e.buckets)))
}

// encodeBucket encodes the objects of one bucket into its chunk.
func (e *Encoded) encodeBucket(i int, s *Set) error {
	objects := make([]Object, 0, len(e.buckets[i].keys))
	e.buckets[i].size = 0
	for _, k := range e.buckets[i].keys {
		objects = append(objects, s.Objects[k])
		e.buckets[i].size += storedSize(s.Objects[k])
	}
	data, err := json.Marshal(objects)
	if err != nil {
		return fmt.Errorf("encode chunk of version %d: %w", s.Version, err)
	}
	if len(data) > MaxChunkBytes {
		return fmt.Errorf("chunk of version %d has %d bytes, at most %d are allowed", s.Version, len(data), MaxChunkBytes)
	}
	e.buckets[i].data, e.Manifest.Chunks[i] = data, ContentName(data)
	return nil
}

func storedSize(o Object) int { return len(o.Spec) + len(o.Name) + len(o.Author) }

// bucketCount returns the number of buckets for a set of a given size. It is a power
// of two, so that it rarely changes, since a change moves objects between chunks.
func bucketCount(size int) int {
	n := 1
	for n*targetChunkBytes < size {
		n *= 2
	}
	return n
}
