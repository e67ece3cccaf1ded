package core_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/retry"
)

const (
	budgetServers   = 3
	budgetSlots     = 8
	budgetCapacity  = budgetServers * budgetSlots / 0.1 // runs a second, of 100 ms each
	urgentLoad      = 0.2                               // of the capacity
	brokenShare     = 0.03
	budgetTestTime  = 40 * time.Second
	budgetDeadline  = 2 * time.Second
	firstAnswerLost = 50 * time.Millisecond // after the end of the run
)

// TestRefusalsUseUpRetriesOfBrokenAnswers guards against urgent requests that are not tried again
// after a broken answer, since refusals of batch requests have used up the retries.
func TestRefusalsUseUpRetriesOfBrokenAnswers(t *testing.T) {
	t.Parallel()
	for _, batchLoad := range []float64{1.5, 3} {
		for seed := range uint64(4) {
			is := is.New(t)
			broken, failed := playBrokenAnswers(t, seed+1, batchLoad)
			t.Logf("seed %d, batch at %.1f of the capacity: %d urgent answers broken, %d calls failed", seed+1, batchLoad, broken, failed)
			is.True(broken > 0)
			is.Equal(failed, 0)
		}
	}
}

// playBrokenAnswers offers urgent and batch requests of one service, of which some first answers
// are broken. It returns how many urgent ones were, and how many of these calls failed.
func playBrokenAnswers(t *testing.T, seed uint64, batchLoad float64) (broken, failed int) {
	m, rng := coretest.New(seed), rand.New(rand.NewPCG(seed, 5))
	for i := range 17 {
		service := "other"
		if i < budgetServers {
			service = "orders"
		}
		m.Start(fmt.Sprintf("a%d", i+1), core.Config{DataCentre: "a", Service: service, Fanout: 4, Slots: budgetSlots, RetryShare: 0.2, RerunShare: 0.2})
	}
	m.Run(time.Second)
	submitObjects(t, m, "orders",
		object(config.KindService, "orders", `{}`),
		object(config.KindPolicy, "urgent", `{"idempotent":true,"rank":1,"timeoutMillis":2000,"maxAttempts":2}`),
		object(config.KindPolicy, "batch", `{"idempotent":true,"rank":3,"timeoutMillis":2000,"maxAttempts":2}`),
		object(config.KindRoute, "urgent", `{"pathPrefix":"/urgent/","service":"orders","policy":"urgent"}`),
		object(config.KindRoute, "batch", `{"pathPrefix":"/batch/","service":"orders","policy":"batch"}`))
	m.Run(20 * time.Second)
	traffic := coretest.NewTraffic(m)
	traffic.RunTime = func(string, *coretest.Call) time.Duration {
		return 50*time.Millisecond + time.Duration(rng.Int64N(int64(100*time.Millisecond)))
	}
	lost := map[core.CallID]bool{}
	traffic.Nested = func(_ string, c *coretest.Call, done func(bool)) bool {
		if lost[c.ID] || rng.Float64() > brokenShare {
			return false
		}
		lost[c.ID] = true
		m.After(firstAnswerLost, func() { done(false) })
		return true
	}
	offer := func(path string, load float64) {
		for at := time.Duration(0); at < budgetTestTime; at += time.Duration(rng.ExpFloat64() / (load * budgetCapacity) * float64(time.Second)) {
			m.After(at, func() {
				traffic.Call(fmt.Sprintf("a%d", 1+rng.IntN(17)), core.CallArrived{Method: "GET", Path: path, Replayable: true, Budget: budgetDeadline})
			})
		}
	}
	offer("/urgent/", urgentLoad)
	offer("/batch/", batchLoad)
	m.Run(budgetTestTime + budgetDeadline + time.Second)
	for _, c := range traffic.Calls {
		if !lost[c.ID] || c.Class != admission.Interactive {
			continue
		}
		broken++
		if c.Outcome != retry.Ran {
			failed++
		}
	}
	return broken, failed
}
