// Package idempotency holds the requests that carry an Idempotency-Key to one
// run: it names keys, places each at one of several homes, and remembers there
// how the first request with a key ended.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
)

// keyBytes is the length of a Key. Callers choose what is hashed, so the hash
// is a cryptographic one, cut to where collisions can't be searched for in the
// time that a key is held.
const keyBytes = 16

// Key names the requests of one Idempotency-Key at one service.
type Key [keyBytes]byte

// KeyOf returns the Key of a service's Idempotency-Key.
func KeyOf(service, key string) Key {
	buf := make([]byte, 0, len(service)+1+len(key))
	buf = append(append(append(buf, service...), 0), key...)
	sum := sha256.Sum256(buf)
	return Key(sum[:keyBytes])
}

// ParseKey reads a key as String writes it.
func ParseKey(s string) (Key, bool) {
	var k Key
	if len(s) != 2*keyBytes {
		return Key{}, false
	}
	if _, err := hex.Decode(k[:], []byte(s)); err != nil {
		return Key{}, false
	}
	return k, true
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// IsZero reports that there is no key.
func (k Key) IsZero() bool { return k == Key{} }

// Weight orders the homes of a key: the highest holds it (rendezvous hashing,
// Thaler and Ravishankar, so that a home that comes or goes moves no keys but
// its own).
func (k Key) Weight(home string) uint64 {
	x := xxhash.Sum64String(home) ^ binary.LittleEndian.Uint64(k[:8])
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Result is how the first request with a key ended.
type Result struct {
	Outcome retry.Outcome // Unknown also while it is under way
	Status  int           // HTTP status of the answer, zero: not known
}

// Config holds the settings of a Memory.
type Config struct {
	Retention time.Duration // how long a key is held, at least
	MaxKeys   int           // new keys are refused when so many are held
}

type expiry struct {
	key Key
	at  time.Time
}

type record struct {
	result    Result
	pending   bool
	keepUntil time.Time // not dropped before
}

// Registry holds the keys of the requests that came to one node.
type Registry struct {
	cfg      Config
	records  map[Key]record
	pending  map[admission.ID]Key // attempts that wait or run
	expiries []expiry             // in order of time
}

// NewRegistry returns an empty Memory.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, records: map[Key]record{}, pending: map[admission.ID]Key{}}
}

// FirstResult returns how the first request with a key ended, if there was one.
func (m *Registry) FirstResult(k Key) (Result, bool) {
	r, ok := m.records[k]
	return r.result, ok
}

// Full reports that no new key can be held.
func (m *Registry) Full() bool { return len(m.records) >= m.cfg.MaxKeys }

// Begin holds a key for an attempt that waits or runs from now on.
func (m *Registry) Begin(now time.Time, k Key, id admission.ID) {
	until := now.Add(m.cfg.Retention)
	m.records[k] = record{result: Result{Outcome: retry.Unknown}, pending: true, keepUntil: until}
	m.pending[id] = k
	m.expiries = append(m.expiries, expiry{key: k, at: until})
}

// End says how an attempt ended. One that did not run gives its key free.
func (m *Registry) End(id admission.ID, end Result) {
	k, ok := m.pending[id]
	if !ok {
		return
	}
	delete(m.pending, id)
	if end.Outcome == retry.NotRun {
		delete(m.records, k)
		return
	}
	m.records[k] = record{result: end, keepUntil: m.records[k].keepUntil}
}

// Expire drops the keys whose time is over. A key whose request is still
// under way is held on.
func (m *Registry) Expire(now time.Time) {
	for len(m.expiries) > 0 && !now.Before(m.expiries[0].at) {
		k := m.expiries[0].key
		m.expiries = m.expiries[1:]
		switch r := m.records[k]; {
		case r.pending:
			m.expiries = append(m.expiries, expiry{key: k, at: now.Add(m.cfg.Retention)})
		case !now.Before(r.keepUntil): // else it was given free and taken again
			delete(m.records, k)
		}
	}
}

// Len returns the number of keys held.
func (m *Registry) Len() int { return len(m.records) }
