package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/status"
	"github.com/agatekeel/agatekeel/operator"
	"github.com/agatekeel/agatekeel/store"
	"github.com/agatekeel/agatekeel/store/storetest"
)

func object(kind config.Kind, name, spec string) config.Object {
	return config.Object{Kind: kind, Name: name, Spec: json.RawMessage(spec)}
}

var objects = []config.Object{
	object(config.KindService, "orders", `{}`),
	object(config.KindRoute, "orders", `{"pathPrefix":"/orders","service":"orders"}`),
}

func TestSubmitAfterLostAnswers(t *testing.T) {
	is := is.New(t)
	store := storetest.NewStore()
	lost := 0
	store.SetFaults(storetest.Faults{LoseAnswer: func(op, _ string) bool {
		lost++
		return op == "put" && lost <= 2
	}})
	c := operator.New(store)
	sub := operator.Edit("s1", "ann", config.NewSet(0, nil), objects)
	is.NoErr(c.Submit(context.Background(), sub))
	is.NoErr(c.Submit(context.Background(), sub)) // a repeat must have no effect
	is.Equal(store.Counts().Put, 1)
	st, err := c.Status(context.Background(), "s1")
	is.NoErr(err)
	is.Equal(st.Phase, status.Pending)
}

func TestSubmitErrors(t *testing.T) {
	always := func(string, string) bool { return true }
	put := func(op, _ string) bool { return op == "put" }
	tests := []struct {
		name   string
		faults storetest.Faults
		sub    config.Submission
		want   error
	}{
		{"platform down", storetest.Faults{Down: true}, config.Submission{ID: "s"}, operator.ErrUnknownOutcome}, // an earlier attempt may have been stored
		{"throttled", storetest.Faults{Throttle: put}, config.Submission{ID: "s"}, operator.ErrNotSubmitted},
		{"every answer lost", storetest.Faults{LoseAnswer: always}, config.Submission{ID: "s"}, nil},
		{"no ID", storetest.Faults{}, config.Submission{}, operator.ErrInvalidID},
		{"ID with a slash", storetest.Faults{}, config.Submission{ID: "a/b"}, operator.ErrInvalidID},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			store := storetest.NewStore()
			store.SetFaults(tt.faults)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			is.True(errors.Is(operator.New(store).Submit(ctx, tt.sub), tt.want))
		})
	}
}

// publish writes a set as a publisher does and returns its manifest.
func publish(t *testing.T, store store.Store, set *config.Set) config.Manifest {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	e, err := config.Encode(set)
	is.NoErr(err)
	manifest, err := json.Marshal(e.Manifest)
	is.NoErr(err)
	for _, c := range e.Chunks() {
		_, err = store.Put(ctx, "config/chunk/"+c.Name, c.Data, 0)
		is.NoErr(err)
	}
	name := config.ContentName(manifest)
	_, err = store.Put(ctx, "config/manifest/"+name, manifest, 0)
	is.NoErr(err)
	head, err := json.Marshal(config.Head{Version: set.Version, Hash: set.Hash(), Manifest: name})
	is.NoErr(err)
	old, _ := store.Get(ctx, "config/head")
	_, err = store.Put(ctx, "config/head", head, old.Version)
	is.NoErr(err)
	return e.Manifest
}

// replacingStore replaces the published set during its first read.
type replacingStore struct {
	store.Store
	replace func()
}

func (c *replacingStore) Get(ctx context.Context, key string) (store.Object, error) {
	if strings.HasPrefix(key, "config/chunk/") && c.replace != nil {
		replace := c.replace
		c.replace = nil
		replace()
	}
	return c.Store.Get(ctx, key)
}

func TestCurrentWhileTheSetIsReplaced(t *testing.T) {
	is := is.New(t)
	store := storetest.NewStore()
	old := publish(t, store, config.NewSet(1, objects))
	c := operator.New(&replacingStore{Store: store, replace: func() {
		publish(t, store, config.NewSet(2, objects[:1]))
		o, err := store.Get(context.Background(), "config/chunk/"+old.Chunks[0])
		is.NoErr(err)
		is.NoErr(store.Delete(context.Background(), o.Key, o.Version))
	}})
	set, err := c.Current(context.Background())
	is.NoErr(err)
	is.Equal(set.Version, uint64(2))
	is.Equal(len(set.Objects), 1)
}

func TestWaitReturnsTheFinalStatus(t *testing.T) {
	is := is.New(t)
	store := storetest.NewStore()
	c := operator.New(store)
	write := func(base uint64, st status.Status) uint64 {
		data, err := json.Marshal(st)
		is.NoErr(err)
		version, err := store.Put(context.Background(), "status/"+st.ID, data, base)
		is.NoErr(err)
		return version
	}
	version := write(0, status.Status{ID: "s", Phase: status.Accepted, Version: 3})
	go write(version, status.Status{ID: "s", Phase: status.InForce, Version: 3})
	st, err := c.Wait(context.Background(), "s")
	is.NoErr(err)
	is.Equal(st.Phase, status.InForce)

	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = c.Wait(ctx, "none")
	is.True(errors.Is(err, context.DeadlineExceeded))
}

func TestDiffAndCheck(t *testing.T) {
	is := is.New(t)
	current := config.NewSet(4, objects)
	edited := []config.Object{
		object(config.KindService, "orders", ` {  } `), // differs only in white space
		object(config.KindRoute, "orders", `{"pathPrefix":"/o","service":"orders"}`),
		object(config.KindService, "new", `{}`),
	}
	changes := operator.Diff(current, edited)
	is.Equal(len(changes), 2)
	is.Equal(changes[0].Object.String(), "Route/orders")
	is.Equal(changes[1].Object.String(), "Service/new")
	is.True(changes[1].Old == nil)

	sub := operator.Edit("s", "ann", current, edited)
	is.Equal(len(operator.Check(current, sub)), 0)
	sub.Deletes = []config.Delete{{Key: config.Key{Kind: config.KindService, Name: "gone"}}}
	is.Equal(operator.Check(current, sub)[0].Reason, "does not exist, so it can't be deleted")
	is.Equal(len(operator.Changes(current, sub)), 2) // an object that does not exist is not deleted
}
