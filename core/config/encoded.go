package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Encoded is a set in its stored form. It is not changed after it was built;
// Next makes another that shares what is the same.
type Encoded struct {
	Manifest Manifest
	buckets  []bucket
	size     int // of the objects, as bucketCount counts
}

// bucket is the part of a set that one chunk holds.
type bucket struct {
	keys []Key // sorted
	data []byte
}

// Chunks returns the chunks that the manifest lists.
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
	e := &Encoded{Manifest: Manifest{Version: s.Version, Hash: s.hash}, size: size}
	e.buckets = make([]bucket, bucketCount(size))
	e.Manifest.Chunks = make([]string, len(e.buckets))
	for _, k := range sortedKeys(s.Objects) {
		b := &e.buckets[e.bucketOf(k)]
		b.keys = append(b.keys, k)
	}
	for i := range e.buckets {
		if err := e.fill(i, s); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// Next returns the stored form of the set that a delta leads to. Its cost
// grows with the chunks that the delta touches.
func (e *Encoded) Next(s *Set, d Delta) (*Encoded, error) {
	next := &Encoded{Manifest: Manifest{Version: s.Version, Hash: s.hash}, size: e.size}
	next.buckets = slices.Clone(e.buckets)
	next.Manifest.Chunks = slices.Clone(e.Manifest.Chunks)
	touched := map[int]map[Key]bool{} // whether a key is in the next set
	mark := func(k Key, in bool) {
		i := e.bucketOf(k)
		if touched[i] == nil {
			touched[i] = map[Key]bool{}
		}
		touched[i][k] = in
	}
	for _, o := range d.Puts {
		mark(o.Key(), true)
	}
	for _, k := range d.Deletes {
		mark(k, false)
	}
	for i, keys := range touched {
		next.size += next.retouch(i, keys, s)
	}
	if bucketCount(next.size) != len(next.buckets) {
		return Encode(s)
	}
	for i := range touched {
		if err := next.fill(i, s); err != nil {
			return nil, err
		}
	}
	return next, nil
}

// retouch gives a bucket its new keys and returns by how much the bucket
// grew.
func (e *Encoded) retouch(i int, keys map[Key]bool, s *Set) int {
	var old []Object
	_ = json.Unmarshal(e.buckets[i].data, &old) // written by fill
	grown := 0
	out := make([]Key, 0, len(old)+len(keys))
	for _, o := range old {
		if _, ok := keys[o.Key()]; ok {
			grown -= storedSize(o)
			continue
		}
		out = append(out, o.Key())
	}
	for k, in := range keys {
		if in {
			grown += storedSize(s.Objects[k])
			out = append(out, k)
		}
	}
	slices.SortFunc(out, Key.Compare)
	e.buckets[i].keys = out
	return grown
}

func (e *Encoded) bucketOf(k Key) int {
	return int(xxhash.Sum64String(k.String()) % uint64(len(e.buckets)))
}

// fill encodes the objects of one bucket.
func (e *Encoded) fill(i int, s *Set) error {
	objects := make([]Object, 0, len(e.buckets[i].keys))
	for _, k := range e.buckets[i].keys {
		objects = append(objects, s.Objects[k])
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

// bucketCount grows by powers of two, so that it seldom changes.
func bucketCount(size int) int {
	n := 1
	for n*bucketTargetBytes < size {
		n *= 2
	}
	return n
}
