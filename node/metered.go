package node

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/store"
)

var outcomeNames = map[core.StoreError]string{
	core.StoreOK: "ok", core.StoreNotFound: "not-found", core.StoreConflict: "conflict", core.StoreTooLarge: "too-large",
	core.StoreThrottled: "throttled", core.StoreCompacted: "compacted", core.StoreFailed: "failed",
}

// meteredStore is a Store that counts the calls to another one by kind and
// outcome, and measures their duration.
type meteredStore struct {
	store  store.Store
	counts map[string]metrics.Counter
	timers map[string]metrics.Timer
}

func newMeteredStore(s store.Store, r metrics.Registry) *meteredStore {
	m := &meteredStore{store: s, counts: map[string]metrics.Counter{}, timers: map[string]metrics.Timer{}}
	for _, kind := range []string{"get", "list", "put", "delete", "watch"} {
		m.timers[kind] = metrics.GetOrRegisterTimer("platform."+kind+".time", r)
		for _, outcome := range outcomeNames {
			name := kind + "." + outcome
			m.counts[name] = metrics.GetOrRegisterCounter("platform."+name, r)
		}
	}
	return m
}

func (m *meteredStore) record(kind string, started time.Time, err error) {
	outcome := core.StoreOK
	if err != nil {
		outcome = storeError(err)
	}
	m.counts[kind+"."+outcomeNames[outcome]].Inc(1)
	m.timers[kind].UpdateSince(started)
}

// Get implements store.Store.
func (m *meteredStore) Get(ctx context.Context, key string) (store.Object, error) {
	started := time.Now()
	o, err := m.store.Get(ctx, key)
	m.record("get", started, err)
	return o, err
}

// List implements store.Store.
func (m *meteredStore) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	started := time.Now()
	objects, revision, err := m.store.List(ctx, prefix)
	m.record("list", started, err)
	return objects, revision, err
}

// Put implements store.Store.
func (m *meteredStore) Put(ctx context.Context, key string, data []byte, base uint64) (uint64, error) {
	started := time.Now()
	version, err := m.store.Put(ctx, key, data, base)
	m.record("put", started, err)
	return version, err
}

// Delete implements store.Store.
func (m *meteredStore) Delete(ctx context.Context, key string, base uint64) error {
	started := time.Now()
	err := m.store.Delete(ctx, key, base)
	m.record("delete", started, err)
	return err
}

// Watch implements store.Store.
func (m *meteredStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]store.Change, uint64, error) {
	started := time.Now()
	changes, revision, err := m.store.Watch(ctx, prefix, after, wait)
	m.record("watch", started, err)
	return changes, revision, err
}
