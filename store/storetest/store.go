// Package storetest provides an in-memory store for tests, which can simulate the
// faults of the platform, and an HTTP handler that serves it.
package storetest

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/agatekeel/agatekeel/store"
)

// maxHistory is the number of changes kept for watches.
const maxHistory = 4096

// Faults are the faults that a Store simulates. The zero value has none.
type Faults struct {
	Down       bool                      // every call fails and nothing is written
	Slow       time.Duration             // delay added to every call
	LoseAnswer func(op, key string) bool // if true, a write takes effect but returns an error
	Throttle   func(op, key string) bool // if true, the call fails with store.ErrThrottled
	IgnoreBase func(key string) bool     // if true, writes to the key are unconditional
}

// Counts holds the number of calls by operation.
type Counts struct {
	Get, List, Put, Delete, Watch int
}

// Store is a store.Store in memory.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]store.Object
	history  []store.Change
	oldest   uint64 // earliest revision that a watch can start after
	changed  chan struct{}
	faults   Faults
	counts   Counts
}

var _ store.Store = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]store.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the simulated faults. With Down, waiting watches fail at
// once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Counts returns the number of calls made so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

var errDown = fmt.Errorf("platform is down")

// beforeCall counts a call and applies the faults that prevent it from taking
// effect.
func (s *Store) beforeCall(ctx context.Context, op, key string, count *int) error {
	s.mu.Lock()
	*count++
	f := s.faults
	s.mu.Unlock()
	if f.Slow > 0 {
		select {
		case <-time.After(f.Slow):
		case <-ctx.Done():
			return fmt.Errorf("%s %q: %w", op, key, ctx.Err())
		}
	}
	if f.Down {
		return fmt.Errorf("%s %q: %w", op, key, errDown)
	}
	if f.Throttle != nil && f.Throttle(op, key) {
		return fmt.Errorf("%s %q: %w", op, key, store.ErrThrottled)
	}
	return ctx.Err()
}

// afterCall applies the faults of calls that have taken effect.
func (s *Store) afterCall(op, key string) error {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.LoseAnswer != nil && f.LoseAnswer(op, key) {
		return fmt.Errorf("%s %q: answer lost", op, key)
	}
	return nil
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.beforeCall(ctx, "get", key, &s.counts.Get); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return store.Object{}, fmt.Errorf("get %q: %w", key, store.ErrNotFound)
	}
	return o, nil
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	if err := s.beforeCall(ctx, "list", prefix, &s.counts.List); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.Object
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, s.revision, nil
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error) {
	if len(data) > store.MaxValueBytes || len(key) > store.MaxKeyBytes {
		return 0, fmt.Errorf("put %q: %w", key, store.ErrTooLarge)
	}
	if err := s.beforeCall(ctx, "put", key, &s.counts.Put); err != nil {
		return 0, err
	}
	version, err := s.put(key, data, base)
	if err != nil {
		return 0, err
	}
	return version, s.afterCall("put", key)
}

func (s *Store) put(key string, data []byte, base uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[key]
	if old.Version != base && (s.faults.IgnoreBase == nil || !s.faults.IgnoreBase(key)) {
		return 0, fmt.Errorf("put %q at version %d, is %d: %w", key, base, old.Version, store.ErrConflict)
	}
	s.revision++
	o := store.Object{Key: key, Version: s.revision, Created: old.Created, Data: append([]byte(nil), data...)}
	if base == 0 {
		o.Created = s.revision
	}
	s.objects[key] = o
	s.record(store.Change{Object: o})
	return o.Version, nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, base uint64) error {
	if err := s.beforeCall(ctx, "delete", key, &s.counts.Delete); err != nil {
		return err
	}
	if err := s.remove(key, base); err != nil {
		return err
	}
	return s.afterCall("delete", key)
}

func (s *Store) remove(key string, base uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[key]
	if !ok {
		return fmt.Errorf("delete %q: %w", key, store.ErrNotFound)
	}
	if old.Version != base && (s.faults.IgnoreBase == nil || !s.faults.IgnoreBase(key)) {
		return fmt.Errorf("delete %q at version %d, is %d: %w", key, base, old.Version, store.ErrConflict)
	}
	s.revision++
	delete(s.objects, key)
	s.record(store.Change{Object: store.Object{Key: key, Version: s.revision}, Deleted: true})
	return nil
}

// record keeps a change for watches. The caller holds mu.
func (s *Store) record(c store.Change) {
	s.history = append(s.history, c)
	if len(s.history) > maxHistory {
		s.oldest = s.history[0].Version
		s.history = s.history[1:]
	}
	s.notifyWatches()
}

// Copy is a copy of the objects of a Store.
type Copy struct{ objects map[string]store.Object }

// Copy returns a copy of the objects.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{objects: maps.Clone(s.objects)}
}

// Restore brings the objects back from a copy, as a platform does that loses what it has
// acknowledged since. All of them get higher versions, and watches have to list again, as
// store.Object requires of a client for such a platform.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = maps.Clone(c.objects)
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		s.revision++
		o := s.objects[key]
		o.Version = s.revision
		s.objects[key] = o
	}
	s.revision++
	s.history, s.oldest = nil, s.revision
	s.notifyWatches()
}

// notifyWatches makes every waiting watch check for changes. The caller holds mu.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	if err := s.beforeCall(ctx, "watch", prefix, &s.counts.Watch); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(min(wait, store.MaxWatch))
	defer timer.Stop()
	for {
		changes, revision, changed, err := s.changesAfter(prefix, after)
		if err != nil || len(changes) > 0 {
			return changes, revision, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, fmt.Errorf("watch %q: %w", prefix, ctx.Err())
		}
	}
}

func (s *Store) changesAfter(prefix string, after uint64) ([]store.Change, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return nil, 0, nil, fmt.Errorf("watch %q: %w", prefix, errDown)
	}
	if after < s.oldest {
		return nil, 0, nil, fmt.Errorf("watch %q after %d: %w", prefix, after, store.ErrCompacted)
	}
	var out []store.Change
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	for _, c := range s.history[i:] {
		if strings.HasPrefix(c.Key, prefix) {
			out = append(out, c)
		}
	}
	return out, s.revision, s.changed, nil
}
