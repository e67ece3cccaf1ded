// Package store defines the interface to the platform's object API, and a client
// for it over HTTP. The API has versioned values under keys, conditional updates
// and watches of bounded length.
package store

import (
	"context"
	"fmt"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
)

// Limits of the platform's API.
const (
	MaxValueBytes = 1 << 20
	MaxKeyBytes   = 512
	MaxWatch      = 60 * time.Second
)

// Object is one stored value. Version is the store-wide revision of its last
// write, so the versions of a key only increase. Whoever reads from a platform that
// can lose what it has acknowledged relies on that too: a client for it returns
// higher versions for all that it reads after the loss.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Created uint64 `json:"created"` // version of the write that created the key
	Data    []byte `json:"data"`

	Source *config.SourceText `json:"-"` // what Data would hold, if the client can read it itself
}

// Change is one event of a watch. Data is empty if the object was deleted.
type Change struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
}

// Errors of a Store. After any other error it is unknown whether the call took
// effect.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = fmt.Errorf("object does not exist")
	// ErrConflict means that the object is not at the expected version; nothing
	// was written.
	ErrConflict = fmt.Errorf("object is at another version")
	// ErrTooLarge means that the value or the key is over its limit; nothing was
	// written.
	ErrTooLarge = fmt.Errorf("value is over the platform's limit")
	// ErrThrottled means that the platform's rate limit refused the call; nothing
	// was written.
	ErrThrottled = fmt.Errorf("platform refused the call for its rate")
	// ErrCompacted means that the platform no longer keeps all changes since the
	// start of a watch. The caller has to list again.
	ErrCompacted = fmt.Errorf("watch starts before the oldest kept change")
)

// Store is the platform's object API. Every method may block until ctx ends.
type Store interface {
	// Get returns the object with a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys have a prefix, sorted by key, and the
	// revision at which they were read.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Put writes a value if the object is at version base, or for zero if it does
	// not exist, and returns the new version. It returns ErrConflict if the object
	// is at another version.
	Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error)
	// Delete removes the object if it is at version base. It returns ErrConflict if
	// the object is at another version.
	Delete(ctx context.Context, key string, base uint64) error
	// Watch returns the changes of objects whose keys have a prefix after a
	// revision, and the revision up to which it has read. If there are none, it
	// waits for one for at most wait and then returns no changes.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
