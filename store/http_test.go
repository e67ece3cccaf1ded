package store_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/internal/testhistory"
	"github.com/agatekeel/agatekeel/store"
	"github.com/agatekeel/agatekeel/store/storetest"
)

// operation is one call on one key.
type operation struct {
	name string // get, put or delete
	key  string
	data string
	base uint64
}

type outcome uint8

const (
	succeeded outcome = iota
	notFound
	conflict
	unknown // the call may have taken effect, or may still do so
)

type result struct {
	outcome outcome
	data    string
	version uint64
}

// object is the model's state of one key. After a write with unknown outcome its
// version is not known until the next successful get.
type object struct {
	exists         bool
	data           string
	version        uint64
	versionUnknown bool // version is not valid until the next successful get
}

func (o object) matches(base uint64) bool {
	if !o.exists {
		return base == 0
	}
	return !o.versionUnknown && o.version == base
}

// model defines the states that a call may lead to, given its result.
var model = (&porcupine.NondeterministicModel{
	Partition: testhistory.PartitionBy(func(op porcupine.Operation) string { return op.Input.(operation).key }),
	Init:      func() []any { return []any{object{}} },
	Step:      func(state, input, output any) []any { return step(state.(object), input.(operation), output.(result)) },
}).ToModel()

func step(o object, in operation, out result) []any {
	if in.name == "get" {
		return stepGet(o, out)
	}
	next := object{}
	if in.name == "put" {
		next = object{exists: true, data: in.data, version: out.version, versionUnknown: out.outcome == unknown}
	}
	switch out.outcome {
	case unknown:
		if o.matches(in.base) {
			return []any{o, next}
		}
		return []any{o}
	case conflict:
		if !o.matches(in.base) {
			return []any{o}
		}
	case notFound:
		if !o.exists && in.name == "delete" {
			return []any{o}
		}
	case succeeded:
		if o.matches(in.base) && (in.name == "put" || o.exists) {
			return []any{next}
		}
	}
	return nil
}

func stepGet(o object, out result) []any {
	switch {
	case out.outcome == unknown:
		return []any{o}
	case out.outcome == notFound && !o.exists:
		return []any{o}
	case out.outcome == succeeded && o.exists && o.data == out.data && (o.versionUnknown || o.version == out.version):
		o.version, o.versionUnknown = out.version, false
		return []any{o}
	}
	return nil
}

// outcomeOf maps an error of a Store to an outcome.
func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return succeeded
	case errors.Is(err, store.ErrNotFound):
		return notFound
	case errors.Is(err, store.ErrConflict):
		return conflict
	}
	return unknown
}

// dropAnswers serves a share of the calls without sending the answer: the call
// takes effect and the connection is closed.
func dropAnswers(next http.Handler, share float64, rng func() float64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if rng() >= share {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

const (
	clients        = 4
	callsPerClient = 60
)

// recordHistory runs several clients concurrently over HTTP on a few keys, and
// returns their calls and results. seed determines the calls.
func recordHistory(t *testing.T, seed uint64, faults storetest.Faults) []porcupine.Operation {
	t.Helper()
	backing := storetest.NewStore()
	backing.SetFaults(faults)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 0))
	server := httptest.NewServer(dropAnswers(storetest.Handler(backing), 0.1, func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}))
	defer server.Close()
	var wg sync.WaitGroup
	ops := make([][]porcupine.Operation, clients)
	start := time.Now()
	for id := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client, err := store.NewClient(server.URL)
			if err != nil {
				t.Error(err)
				return
			}
			ops[id] = runClient(client, id, seed, start)
		}()
	}
	wg.Wait()
	end := time.Since(start).Nanoseconds() + 1
	var all []porcupine.Operation
	for _, clientOps := range ops {
		for _, op := range clientOps {
			if op.Output.(result).outcome == unknown {
				op.Return = end // it may take effect at any later time
			}
			all = append(all, op)
		}
	}
	return all
}

// runClient makes the calls of one client: reads, and writes based on the version
// that its last successful call on the key returned.
func runClient(client *store.Client, id int, seed uint64, start time.Time) []porcupine.Operation {
	ctx := context.Background()
	rng := rand.New(rand.NewPCG(seed, uint64(id+1)))
	versions := map[string]uint64{}
	var ops []porcupine.Operation
	for i := range callsPerClient {
		in := operation{key: fmt.Sprintf("k%d", rng.IntN(2)), data: fmt.Sprintf("%d-%d", id, i)}
		in.base = versions[in.key]
		var out result
		var err error
		call := time.Since(start).Nanoseconds()
		switch n := rng.IntN(10); {
		case n < 5:
			in.name = "get"
			var o store.Object
			o, err = client.Get(ctx, in.key)
			out.data, out.version = string(o.Data), o.Version
		case n < 9:
			in.name = "put"
			out.version, err = client.Put(ctx, in.key, []byte(in.data), in.base)
		default:
			in.name = "delete"
			err = client.Delete(ctx, in.key, in.base)
		}
		out.outcome = outcomeOf(err)
		if out.outcome == succeeded {
			versions[in.key] = out.version
		}
		ops = append(ops, porcupine.Operation{ClientId: id, Input: in, Output: out, Call: call, Return: time.Since(start).Nanoseconds()})
	}
	// In the history a call with unknown outcome lasts until the end, and the calls of
	// one client may not overlap, so each such call gets a client ID of its own.
	for i := range ops {
		if ops[i].Output.(result).outcome == unknown {
			ops[i].ClientId = clients + id*callsPerClient + i
		}
	}
	return ops
}

func TestConditionalUpdatesAreLinearizable(t *testing.T) {
	for seed := range uint64(4) {
		if !porcupine.CheckOperations(model, recordHistory(t, seed, storetest.Faults{})) {
			t.Fatalf("seed %d: the history is not linearizable", seed)
		}
	}
}

// TestLinearizabilityCheckFindsLostUpdates checks that the linearizability check
// fails for a store whose updates are not conditional.
func TestLinearizabilityCheckFindsLostUpdates(t *testing.T) {
	is := is.New(t)
	broken := storetest.Faults{IgnoreBase: func(string) bool { return true }}
	found := false
	for seed := uint64(0); seed < 10 && !found; seed++ {
		found = !porcupine.CheckOperations(model, recordHistory(t, seed, broken))
	}
	is.True(found) // lost updates were detected for at least one seed
}

func TestClientMapsErrors(t *testing.T) {
	backing := storetest.NewStore()
	server := httptest.NewServer(storetest.Handler(backing))
	defer server.Close()
	client, err := store.NewClient(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	version, err := client.Put(ctx, "a", []byte("1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	throttle := func() { backing.SetFaults(storetest.Faults{Throttle: func(string, string) bool { return true }}) }
	tests := []struct {
		name  string
		setup func()
		call  func() error
		want  error
	}{
		{"not found", nil, func() error { _, err := client.Get(ctx, "gone"); return err }, store.ErrNotFound},
		{"conflict", nil, func() error { _, err := client.Put(ctx, "a", nil, version+1); return err }, store.ErrConflict},
		{"delete conflict", nil, func() error { return client.Delete(ctx, "a", version+1) }, store.ErrConflict},
		{"too large", nil, func() error { _, err := client.Put(ctx, "b", make([]byte, store.MaxValueBytes+1), 0); return err }, store.ErrTooLarge},
		{"throttled", throttle, func() error { _, err := client.Get(ctx, "a"); return err }, store.ErrThrottled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			if tt.setup != nil {
				tt.setup()
			}
			is.True(errors.Is(tt.call(), tt.want))
		})
	}
}
