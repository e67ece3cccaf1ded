package core_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/retry"
)

// TestCallersWhoLeaveHideHungServer loads three backend servers by a half, one of which takes
// requests and does not answer them. Callers leave after four times the usual time.
func TestCallersWhoLeaveHideHungServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const budget, patience, run, slots = 2 * time.Second, 400 * time.Millisecond, 100 * time.Millisecond, 8
	for seed := range uint64(3) {
		m := coretest.New(seed)
		rng := rand.New(rand.NewPCG(seed, 5))
		for i := range 17 {
			service := "other"
			if i < 3 {
				service = "orders"
			}
			m.Start(fmt.Sprintf("a%d", i+1), core.Config{DataCentre: "a", Service: service, Fanout: 4, Slots: slots, RetryShare: 0.2})
		}
		m.Run(time.Second)
		submitObjects(t, m, "s1",
			object(config.KindService, "orders", `{}`),
			object(config.KindPolicy, "orders", `{"idempotent":true,"rank":1,"timeoutMillis":2000,"maxAttempts":2}`),
			object(config.KindRoute, "orders", `{"pathPrefix":"/","service":"orders","policy":"orders"}`))
		m.Run(20 * time.Second)
		traffic := coretest.NewTraffic(m)
		hung := false
		traffic.RunTime = func(node string, _ *coretest.Call) time.Duration {
			if node == "a2" && hung {
				return budget
			}
			return run/2 + time.Duration(rng.Int64N(int64(run)))
		}
		toHung := 0
		traffic.OnSent = func(f core.Forward) {
			if hung && f.Target == "a2" {
				toHung++
			}
		}
		perSecond := 0.5 * 3 * slots / run.Seconds()
		load := func(length time.Duration) {
			for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) {
				m.After(at, func() {
					c := traffic.Call(fmt.Sprintf("a%d", 1+rng.IntN(17)), core.CallArrived{Method: "GET", Path: "/", Replayable: true, Budget: budget})
					m.After(patience, func() { traffic.Abandon(c) })
				})
			}
			m.Run(length)
		}
		load(10 * time.Second)
		hung = true
		before := len(traffic.Calls)
		load(20 * time.Second)
		m.Run(3 * time.Second)
		failed := 0
		for _, c := range traffic.Calls[before:] {
			if c.Outcome != retry.Ran {
				failed++
			}
		}
		asked := len(traffic.Calls) - before
		t.Logf("seed %d: %d calls, %d failed, %d attempts at the hung server", seed, asked, failed, toHung)
		is.True(float64(failed) < 0.06*float64(asked))
	}
}
