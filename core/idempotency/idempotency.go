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

// End is how the first request with a key ended.
type End struct {
	Outcome retry.Outcome // Unknown also while it is under way
	Status  int           // HTTP status of the answer, zero: not known
}

// Config holds the settings of a Memory.
type Config struct {
	Keep    time.Duration // how long a key is held, at least
	MaxKeys int           // new keys are refused when so many are held
}

type expiry struct {
	key Key
	at  time.Time
}

type record struct {
	end   End
	open  bool
	until time.Time // not dropped before
}

// Memory holds the keys of the requests that came to one node.
type Memory struct {
	cfg     Config
	records map[Key]record
	open    map[admission.ID]Key // attempts that wait or run
	expires []expiry             // in order of time
}

// NewMemory returns an empty Memory.
func NewMemory(cfg Config) *Memory {
	return &Memory{cfg: cfg, records: map[Key]record{}, open: map[admission.ID]Key{}}
}

// First returns how the first request with a key ended, if there was one.
func (m *Memory) First(k Key) (End, bool) {
	r, ok := m.records[k]
	return r.end, ok
}

// Full reports that no new key can be held.
func (m *Memory) Full() bool { return len(m.records) >= m.cfg.MaxKeys }

// Begin holds a key for an attempt that waits or runs from now on.
func (m *Memory) Begin(now time.Time, k Key, id admission.ID) {
	until := now.Add(m.cfg.Keep)
	m.records[k] = record{end: End{Outcome: retry.Unknown}, open: true, until: until}
	m.open[id] = k
	m.expires = append(m.expires, expiry{key: k, at: until})
}

// End says how an attempt ended. One that did not run gives its key free.
func (m *Memory) End(id admission.ID, end End) {
	k, ok := m.open[id]
	if !ok {
		return
	}
	delete(m.open, id)
	if end.Outcome == retry.NotRun {
		delete(m.records, k)
		return
	}
	m.records[k] = record{end: end, until: m.records[k].until}
}

// Expire drops the keys whose time is over. A key whose request is still
// under way is held on.
func (m *Memory) Expire(now time.Time) {
	for len(m.expires) > 0 && !now.Before(m.expires[0].at) {
		k := m.expires[0].key
		m.expires = m.expires[1:]
		switch r := m.records[k]; {
		case r.open:
			m.expires = append(m.expires, expiry{key: k, at: now.Add(m.cfg.Keep)})
		case !now.Before(r.until): // else it was given free and taken again
			delete(m.records, k)
		}
	}
}

// Len returns the number of keys held.
func (m *Memory) Len() int { return len(m.records) }
