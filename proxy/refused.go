package proxy

import (
	"hash/maphash"
	"sync"
)

// maxRefusedIDs bounds the IDs in refusedIDs. At 250 refusals a second they are those of
// 16 s, longer than a caller goes on sending a request again.
const maxRefusedIDs = 4 << 10

// refusedIDs holds the IDs of the latest requests that this node's backend server refused
// and that may not run twice. If a caller sends one of them again with the same ID, a copy
// of the refusal would look like its answer.
type refusedIDs struct {
	seed maphash.Seed

	mu   sync.Mutex // guards the fields below
	held map[uint64]struct{}
	ring []uint64 // in order of arrival; once full, the oldest is at next
	next int
}

func newRefusedIDs() *refusedIDs {
	return &refusedIDs{seed: maphash.MakeSeed(), held: map[uint64]struct{}{}}
}

// has reports whether an ID is held. It may be wrong about one that is not.
func (r *refusedIDs) has(id string) bool {
	h := maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.held[h]
	return ok
}

// add holds an ID, in place of the oldest one if there are too many.
func (r *refusedIDs) add(id string) {
	h := maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.held[h]; ok {
		return
	}
	r.held[h] = struct{}{}
	if len(r.ring) < maxRefusedIDs {
		r.ring = append(r.ring, h)
		return
	}
	delete(r.held, r.ring[r.next])
	r.ring[r.next] = h
	r.next = (r.next + 1) % maxRefusedIDs
}
