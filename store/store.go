// Package store is the boundary to the platform's object API: versioned
// values under keys, conditional updates and bounded watches.
package store

import (
	"context"
	"fmt"
	"time"
)

// Limits of the platform's API.
const (
	MaxValueBytes = 1 << 20
	MaxKeyBytes   = 512
	MaxWatch      = 60 * time.Second
)

// Object is one stored value. Version is the store-wide revision of the write
// that made it, so versions of one key only grow.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Created uint64 `json:"created"` // version of the write that created the key
	Data    []byte `json:"data"`
}

// Change is one event of a watch. Deleted objects carry no data.
type Change struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
}

// Errors of a Store. A call that fails with none of them but another error
// has an unknown fate.
var (
	// ErrNotFound says that no object has the key.
	ErrNotFound = fmt.Errorf("object does not exist")
	// ErrConflict says that the object is at another version than expected;
	// nothing was written.
	ErrConflict = fmt.Errorf("object is at another version")
	// ErrTooLarge says that the value is over MaxValueBytes; nothing was written.
	ErrTooLarge = fmt.Errorf("value is over the platform's limit")
	// ErrThrottled says that the platform refused the call for its rate;
	// nothing was written.
	ErrThrottled = fmt.Errorf("platform refused the call for its rate")
	// ErrCompacted says that a watch can't start so far back; list again.
	ErrCompacted = fmt.Errorf("watch starts before the oldest kept change")
)

// Store is the platform's object API. Every method may block until ctx ends.
type Store interface {
	// Get returns the object of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects under a prefix in order of key, and the
	// revision at which they were read.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Put writes a value if the object is at version base (zero: if it does
	// not exist) and returns the new version, or ErrConflict.
	Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error)
	// Delete removes the object if it is at version base, or ErrConflict.
	Delete(ctx context.Context, key string, base uint64) error
	// Watch returns the changes under a prefix after a revision and the
	// revision that they lead to. It waits up to wait for the first one, and
	// returns none when that time passes.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
