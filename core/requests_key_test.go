package core_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/retry"
)

func submitScope(t testingT, m *coretest.Mesh, scope config.KeyScope) {
	t.Helper()
	submitSpecs(t, m, "scope", map[config.Key]string{
		{Kind: config.KindPolicy, Name: "once"}:    fmt.Sprintf(`{"idempotencyKey":%q,"maxAttempts":4}`, scope),
		{Kind: config.KindService, Name: "orders"}: `{"policy":"once"}`,
		{Kind: config.KindRoute, Name: "orders"}:   `{"pathPrefix":"/orders","service":"orders"}`,
	})
}

func submitSpecs(t testingT, m *coretest.Mesh, id string, specs map[config.Key]string) {
	t.Helper()
	var objects []config.Object
	for k, spec := range specs {
		objects = append(objects, object(k.Kind, k.Name, spec))
	}
	if _, err := m.Store.Put(context.Background(), "submission/"+id, encodeSubmission(t, id, objects), 0); err != nil {
		t.Fatal(err)
	}
}

// runKeys sends repeats of a few keys to all nodes. With scope node all
// nodes stay up; with scope platform nodes crash, and platform calls fail
// or lose their answers.
func (c chaos) runKeys(t testingT, scope config.KeyScope) error {
	m := newMesh(c.seed, 3, 2)
	names := []string{"a1", "a2", "a3", "b1", "b2"}
	inject := func() {
		for _, n := range m.Nodes() {
			n.State.InjectRequestFault(c.fault)
		}
	}
	inject()
	submitScope(t, m, scope)
	m.Run(10 * time.Second)
	tr := coretest.NewTraffic(m)
	tr.Faults = c.faults
	tr.RunTime = func(string, *coretest.Call) time.Duration {
		return time.Duration(m.Rand.Int64N(int64(30 * time.Millisecond)))
	}
	for i := range c.steps {
		if scope == config.KeyScopePlatform {
			switch c.pick(12) {
			case 0:
				m.Restart(names[c.pick(len(names))])
				inject()
			case 1:
				m.Faults.LoseAnswer = 0.5 * float64(c.pick(2))
			case 2:
				m.Faults.FailBefore = 0.3 * float64(c.pick(2))
			case 3:
				m.Faults.PlatformDown = c.pick(3) == 0
			}
		}
		for range 1 + c.pick(4) {
			tr.Call(names[c.pick(len(names))], core.CallArrived{
				Method: "POST", Path: "/orders", Replayable: true, Key: fmt.Sprintf("k%d", i/3),
				Budget: time.Duration(50+c.pick(500)) * time.Millisecond,
			})
		}
		m.Run(time.Duration(c.pick(int(c.between))))
	}
	m.Run(20 * time.Second)
	return coretest.CheckKeys(tr.Calls, m.Now)
}

// TestKeyRunsOnce sends concurrent repeats of Idempotency-Keys to all
// nodes, for each scope and its faults: each key must run only once.
func TestKeyRunsOnce(t *testing.T) {
	for _, scope := range []config.KeyScope{config.KeyScopeNode, config.KeyScopePlatform} {
		t.Run(string(scope), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				c := chaos{
					seed: rapid.Uint64().Draw(t, "seed"), faults: faultyTraffic, between: 100 * time.Millisecond,
					steps: rapid.IntRange(1, 15).Draw(t, "steps"),
					pick:  func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") },
				}
				if err := c.runKeys(t, scope); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// TestKeyCheckDetectsFaults disables the safeguards of keys one at a time and
// expects the check of TestKeyRunsOnce to fail.
func TestKeyCheckDetectsFaults(t *testing.T) {
	tests := []struct {
		scope config.KeyScope
		fault core.RequestFault
	}{
		{config.KeyScopeNone, ""},
		{config.KeyScopeNode, core.ForgetKeys},
		{config.KeyScopePlatform, core.AcceptUnknownClaims},
		{config.KeyScopePlatform, core.IgnoreClaims},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s/%s", tt.scope, tt.fault), func(t *testing.T) {
			is := is.New(t)
			var err error
			for seed := uint64(1); seed < 200 && err == nil; seed++ {
				rng := rand.New(rand.NewPCG(seed, 2))
				c := chaos{seed: seed, fault: tt.fault, faults: faultyTraffic, steps: 30, between: 100 * time.Millisecond, pick: rng.IntN}
				err = c.runKeys(t, tt.scope)
			}
			is.True(err != nil) // the check must fail
		})
	}
}

// TestRepeatGetsFirstOutcome checks that a repeat of a key does not run but
// gets the outcome of the first request: for both scopes without faults, and
// for scope platform also after a restart of all nodes.
func TestRepeatGetsFirstOutcome(t *testing.T) {
	for _, scope := range []config.KeyScope{config.KeyScopeNode, config.KeyScopePlatform} {
		t.Run(string(scope), func(t *testing.T) {
			is := is.New(t)
			m := newMesh(3, 2, 1)
			submitScope(t, m, scope)
			m.Run(10 * time.Second)
			tr := coretest.NewTraffic(m)
			order := func(entry string) *coretest.Call {
				c := tr.Call(entry, core.CallArrived{Method: "POST", Path: "/orders", Replayable: true, Key: "k"})
				m.Run(time.Second)
				return c
			}
			is.Equal(len(order("a1").Runs), 1)
			repeat := order("b1")
			is.Equal(repeat.Outcome, retry.Ran)
			is.Equal(len(repeat.Runs), 0)
			if scope == config.KeyScopeNode {
				return
			}
			for _, n := range m.Nodes() {
				m.Restart(n.Name)
			}
			m.Run(20 * time.Second)
			repeat = order("a2")
			is.Equal(repeat.Outcome, retry.Ran) // the claim persists when all nodes restart
			is.Equal(len(repeat.Runs), 0)
		})
	}
}

// TestClaimsAreCollected checks that the publisher deletes expired claims.
func TestClaimsAreCollected(t *testing.T) {
	is := is.New(t)
	m := newMesh(4, 2, 1)
	submitScope(t, m, config.KeyScopePlatform)
	m.Run(10 * time.Second)
	tr := coretest.NewTraffic(m)
	for i := range 5 {
		tr.Call("a1", core.CallArrived{Method: "POST", Path: "/orders", Key: fmt.Sprint(i)})
	}
	m.Run(time.Second)
	claims := func() int {
		objs, _, err := m.Store.List(t.Context(), "claim/")
		is.NoErr(err)
		return len(objs)
	}
	is.Equal(claims(), 5)
	const older = 3000 // in one shard, five times as many as one listing deletes
	for i := range older {
		_, err := m.Store.Put(t.Context(), fmt.Sprintf("claim/00%04d", i), []byte("{}"), 0)
		is.NoErr(err)
	}
	for _, n := range m.Nodes() {
		n.State.SetClaimKeepForTest(time.Hour)
	}
	perSecond := map[int64]int{}
	m.OnStore = func(_ *coretest.Node, e core.Effect) {
		if _, ok := e.(core.StoreDelete); ok {
			perSecond[m.Now.Unix()]++
		}
	}
	m.Run(50 * time.Minute)
	is.True(claims() >= 5) // claims that have not expired are kept
	m.Run(5 * time.Hour)   // one of 256 shards per minute
	is.Equal(claims(), 0)
	for _, n := range perSecond {
		is.True(n <= 25) // one per tick of 50 ms, plus jitter
	}
}

// TestClaimRateLimit sends more calls with new keys at once than a node may
// claim. The others must be refused as not run.
func TestClaimRateLimit(t *testing.T) {
	is := is.New(t)
	m := newMesh(5, 2, 1)
	submitScope(t, m, config.KeyScopePlatform)
	m.Run(10 * time.Second)
	tr := coretest.NewTraffic(m)
	for i := range 100 {
		tr.Call("a1", core.CallArrived{Method: "POST", Path: "/orders", Key: fmt.Sprint(i)})
	}
	m.Run(time.Second)
	ran, refused := 0, 0
	for _, c := range tr.Calls {
		ran += len(c.Runs)
		if c.Outcome == retry.NotRun {
			refused++
		}
	}
	is.Equal(ran, 20)
	is.Equal(refused, 80)
}
