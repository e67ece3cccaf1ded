package main

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/keyspace"
	"github.com/agatekeel/agatekeel/store"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// storeLatency is the simulated duration of each call; the real platform answers
// within milliseconds.
const storeLatency = 3 * time.Millisecond

// countingStore is a platform stand-in that counts calls, delays each of them by
// storeLatency, and records when the head of the configuration changed.
type countingStore struct {
	*storetest.Store
	calls   atomic.Int64
	version atomic.Uint64 // version of the newest head

	mu             sync.Mutex // guards the fields below
	headAt         time.Time
	callsPerSecond map[int64]int
	trackingPeak   bool
}

// newStore returns an empty store.
func newStore() *countingStore {
	return &countingStore{Store: storetest.NewStore(), callsPerSecond: map[int64]int{}}
}

// simulateCall counts a call and waits for storeLatency.
func (s *countingStore) simulateCall() {
	s.calls.Add(1)
	s.mu.Lock()
	if s.trackingPeak {
		s.callsPerSecond[time.Now().Unix()]++
	}
	s.mu.Unlock()
	time.Sleep(storeLatency)
}

// trackPeak begins to count the calls of each second.
func (s *countingStore) trackPeak() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trackingPeak = true
}

// peak returns the largest number of calls in one second since trackPeak.
func (s *countingStore) peak() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, n := range s.callsPerSecond {
		most = max(most, n)
	}
	return most
}

// headChangedAt returns when the head last changed to a newer version.
func (s *countingStore) headChangedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.headAt
}

// Get implements store.Store.
func (s *countingStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.simulateCall()
	return s.Store.Get(ctx, key)
}

// List implements store.Store.
func (s *countingStore) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	s.simulateCall()
	return s.Store.List(ctx, prefix)
}

// Put implements store.Store.
func (s *countingStore) Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error) {
	s.simulateCall()
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

// Delete implements store.Store.
func (s *countingStore) Delete(ctx context.Context, key string, base uint64) error {
	s.simulateCall()
	return s.Store.Delete(ctx, key, base)
}

// Watch implements store.Store.
func (s *countingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	s.simulateCall()
	return s.Store.Watch(ctx, prefix, after, wait)
}
