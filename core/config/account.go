package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
)

// KeyDigest is the SHA-256 of a client account's key. Sets hold digests only, so that no copy
// of a set discloses a key. Its text form is hexadecimal.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error does not contain the text, which
// may be a key that was written in place of its digest.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) || len(text)%2 != 0 {
		return fmt.Errorf("a key digest must have %d hexadecimal digits", hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], text); err != nil {
		return fmt.Errorf("a key digest must be hexadecimal")
	}
	return nil
}

// Bounds of the fields of AccountSpec.
const (
	MaxAccountKeys    = 64
	MaxRatePerSecond  = 1e9
	minPositiveBurst  = 1 // a smaller burst would never let a request pass
	maxBurstPerSecond = 3600
)

// Account is a compiled client account.
type Account struct {
	Name          string
	Rank          *int    // nil: the priority of the route's policy applies
	RatePerSecond float64 // zero: no limit
	Burst         float64 // at least 1 if there is a limit
	keys          []KeyDigest
}

// Limited reports whether the account has a quota.
func (a *Account) Limited() bool { return a != nil && a.RatePerSecond > 0 }

// HasAccounts reports whether requests need a key, except for those on public routes.
func (s *Snapshot) HasAccounts() bool { return len(s.accounts) > 0 }

// AccountOf returns the account that holds a key.
func (s *Snapshot) AccountOf(key KeyDigest) (*Account, bool) {
	a, ok := s.keys[key]
	return a, ok
}

// Account returns an account by its name.
func (s *Snapshot) Account(name string) (*Account, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// Accounts returns all accounts by name. The caller must not change the map.
func (s *Snapshot) Accounts() map[string]*Account { return s.accounts }

func (c *compiler) account(k Key) {
	var spec AccountSpec
	if k.Kind != KindAccount || !decode(c, k, &spec) {
		return
	}
	c.checkAccount(k, spec)
	a := &Account{Name: k.Name, Rank: spec.Rank, RatePerSecond: spec.RatePerSecond, Burst: max(spec.Burst, minPositiveBurst), keys: spec.Keys}
	for i, key := range spec.Keys {
		if other, taken := c.snapshot.keys[key]; taken && other.Name != k.Name {
			c.addFault(k, fmt.Sprintf("keys[%d]", i), "is a key of account %q too", other.Name)
			continue
		}
		c.snapshot.keys[key] = a
	}
	c.snapshot.accounts[k.Name] = a
}

func (c *compiler) checkAccount(k Key, spec AccountSpec) {
	if len(spec.Keys) > MaxAccountKeys {
		c.addFault(k, "keys", "has %d keys, at most %d are allowed", len(spec.Keys), MaxAccountKeys)
	}
	if spec.Rank != nil && (*spec.Rank < 0 || *spec.Rank > MaxRank) {
		c.addFault(k, "rank", "%d is not between 0 and %d", *spec.Rank, MaxRank)
	}
	if !(spec.RatePerSecond >= 0 && spec.RatePerSecond <= MaxRatePerSecond) {
		c.addFault(k, "ratePerSecond", "%v is not between 0 and %v", spec.RatePerSecond, float64(MaxRatePerSecond))
	}
	if !(spec.Burst >= 0 && spec.Burst <= max(spec.RatePerSecond, 1)*maxBurstPerSecond) {
		c.addFault(k, "burst", "%v is not between 0 and what the rate allows in an hour", spec.Burst)
	}
}

// recompileAccounts compiles changed accounts. All old keys are removed first, since a key may
// move from one account to another.
func (c *compiler) recompileAccounts(d Delta) {
	changed := d.changed(KindAccount)
	if len(changed) == 0 {
		return
	}
	c.snapshot.accounts, c.snapshot.keys = maps.Clone(c.snapshot.accounts), maps.Clone(c.snapshot.keys)
	for name := range changed {
		if old, ok := c.snapshot.accounts[name]; ok {
			for _, key := range old.keys {
				delete(c.snapshot.keys, key)
			}
		}
		delete(c.snapshot.accounts, name)
	}
	for name := range changed {
		if k := (Key{KindAccount, name}); c.exists(k) {
			c.account(k)
		}
	}
}
