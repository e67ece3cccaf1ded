package main

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/platform"
	"github.com/agatekeel/agatekeel/platform/platformtest"
)

// storeLatency is the time that each call takes: the platform answers in
// milliseconds.
const storeLatency = 3 * time.Millisecond

// store counts the calls on the stand-in and notes when the head changed.
type store struct {
	*platformtest.Store
	calls   atomic.Int64
	version atomic.Uint64 // of the newest head

	mu       sync.Mutex
	headAt   time.Time
	seconds  map[int64]int
	watching bool
}

func newStore() *store { return &store{Store: platformtest.NewStore(), seconds: map[int64]int{}} }

func (s *store) count() {
	s.calls.Add(1)
	s.mu.Lock()
	if s.watching {
		s.seconds[time.Now().Unix()]++
	}
	s.mu.Unlock()
	time.Sleep(storeLatency)
}

func (s *store) watchPeak() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = true
}

// peak returns the most calls in one second since watchPeak.
func (s *store) peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, n := range s.seconds {
		most = max(most, n)
	}
	return most
}

func (s *store) accepted() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headAt
}

// Get implements platform.Store.
func (s *store) Get(ctx context.Context, key string) (platform.Object, error) {
	s.count()
	return s.Store.Get(ctx, key)
}

// List implements platform.Store.
func (s *store) List(ctx context.Context, prefix string) ([]platform.Object, uint64, error) {
	s.count()
	return s.Store.List(ctx, prefix)
}

// Put implements platform.Store.
func (s *store) Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error) {
	s.count()
	v, err := s.Store.Put(ctx, key, data, base)
	var h config.Head
	if err == nil && key == keyspace.Head && json.Unmarshal(data, &h) == nil && h.Version > s.version.Load() {
		s.mu.Lock()
		s.headAt = time.Now()
		s.mu.Unlock()
		s.version.Store(h.Version)
	}
	return v, err
}

// Delete implements platform.Store.
func (s *store) Delete(ctx context.Context, key string, base uint64) error {
	s.count()
	return s.Store.Delete(ctx, key, base)
}

// Watch implements platform.Store.
func (s *store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	s.count()
	return s.Store.Watch(ctx, prefix, after, wait)
}
