// Package idempotency lets the requests with the same Idempotency-Key run only once. It
// derives keys, assigns each key to one of several home nodes, and records there the
// result of the first request with the key.
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

// keyBytes is the length of a Key. Callers choose the input of the hash, so the hash is
// cryptographic. It is truncated to a length at which collisions still can't be found
// while a key is held.
const keyBytes = 16

// Key identifies the requests with one Idempotency-Key for one service.
type Key [keyBytes]byte

// KeyOf returns the Key for an Idempotency-Key and a service.
func KeyOf(service, key string) Key {
	buf := make([]byte, 0, len(service)+1+len(key))
	buf = append(append(append(buf, service...), 0), key...)
	sum := sha256.Sum256(buf)
	return Key(sum[:keyBytes])
}

// ParseKey parses a key in the format of Key.String.
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

// String formats the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// IsZero reports whether k is the zero value, which stands for a request without an
// Idempotency-Key.
func (k Key) IsZero() bool { return k == Key{} }

// Weight returns the weight of a home for a key. The home with the highest weight holds
// the key (rendezvous hashing, Thaler and Ravishankar), so that adding or removing a
// home moves only that home's keys.
func (k Key) Weight(home string) uint64 {
	x := xxhash.Sum64String(home) ^ binary.LittleEndian.Uint64(k[:8])
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Result is the result of the first request with a key.
type Result struct {
	Outcome retry.Outcome // Unknown also while the request is pending
	Status  int           // HTTP status of the answer; zero: unknown
}

// Config holds the settings of a Registry.
type Config struct {
	Retention time.Duration // minimum time that a key is held
	MaxKeys   int           // number of held keys from which new ones are refused
}

type expiry struct {
	key Key
	at  time.Time
}

type record struct {
	result    Result
	pending   bool
	keepUntil time.Time // the record is not dropped before this time
}

// Registry holds the keys of the requests that one node received.
type Registry struct {
	cfg      Config
	records  map[Key]record
	pending  map[admission.ID]Key // keys of the attempts that are waiting or running
	expiries []expiry             // in ascending order of time
}

// NewRegistry returns an empty Registry.
func NewRegistry(cfg Config) *Registry {
	return &Registry{cfg: cfg, records: map[Key]record{}, pending: map[admission.ID]Key{}}
}

// FirstResult returns the result of the first request with a key. It returns false if
// the key is not held.
func (m *Registry) FirstResult(k Key) (Result, bool) {
	r, ok := m.records[k]
	return r.result, ok
}

// Full reports whether no more keys can be held.
func (m *Registry) Full() bool { return len(m.records) >= m.cfg.MaxKeys }

// Begin records a key for an attempt that starts to wait or run.
func (m *Registry) Begin(now time.Time, k Key, id admission.ID) {
	until := now.Add(m.cfg.Retention)
	m.records[k] = record{result: Result{Outcome: retry.Unknown}, pending: true, keepUntil: until}
	m.pending[id] = k
	m.expiries = append(m.expiries, expiry{key: k, at: until})
}

// End records the result of an attempt. If the attempt did not run, its key is released.
func (m *Registry) End(id admission.ID, result Result) {
	k, ok := m.pending[id]
	if !ok {
		return
	}
	delete(m.pending, id)
	if result.Outcome == retry.NotRun {
		delete(m.records, k)
		return
	}
	m.records[k] = record{result: result, keepUntil: m.records[k].keepUntil}
}

// Expire drops the keys whose retention has ended. A key whose request is still pending
// is held for another retention period.
func (m *Registry) Expire(now time.Time) {
	for len(m.expiries) > 0 && !now.Before(m.expiries[0].at) {
		k := m.expiries[0].key
		m.expiries = m.expiries[1:]
		switch r := m.records[k]; {
		case r.pending:
			m.expiries = append(m.expiries, expiry{key: k, at: now.Add(m.cfg.Retention)})
		case !now.Before(r.keepUntil): // otherwise the key was released and recorded again later
			delete(m.records, k)
		}
	}
}

// Len returns the number of keys held.
func (m *Registry) Len() int { return len(m.records) }
