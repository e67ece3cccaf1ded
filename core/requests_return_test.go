package core_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/config"
	"github.com/agatekeel/agatekeel/core/coretest"
	"github.com/agatekeel/agatekeel/core/retry"
)

// The load of callers who come back after a refusal, when they are told to.
const (
	lookRun      = 120 * time.Millisecond // mean
	lookTarget   = 400 * time.Millisecond
	lookDeadline = 2500 * time.Millisecond // of the most patient caller
	lookPatience = 0.85                    // of the least patient one, of that
	lookTries    = 3                       // of a caller
	lookSlots    = 8
	lookBackends = 6
	lookCapacity = lookBackends * lookSlots / 0.12 // calls per second
)

// look is what one caller wants.
type look struct {
	at       time.Time
	deadline time.Duration
	tries    int
	served   time.Duration // from the first try to the answer; zero: not served
}

// looks is a mesh whose callers come back.
type looks struct {
	*coretest.Mesh
	traffic *coretest.Traffic
	rng     *rand.Rand
	open    map[core.CallID]*look
	asked   []*look
}

func newLooks(t *testing.T, seed uint64) *looks {
	m := coretest.New(seed)
	d := &looks{Mesh: m, rng: rand.New(rand.NewPCG(seed, 31)), open: map[core.CallID]*look{}}
	for i := range 12 {
		service := "other"
		if i < lookBackends {
			service = "looks"
		}
		m.Start(fmt.Sprintf("a%d", i+1), core.Config{DataCentre: "a", Service: service, Fanout: 4, Slots: lookSlots})
	}
	m.Run(time.Second)
	submitObjects(t, m, "s1",
		object(config.KindService, "looks", `{}`),
		object(config.KindPolicy, "looks", `{"idempotent":true,"targetMillis":400,"timeoutMillis":1200,"maxAttempts":2}`),
		object(config.KindRoute, "looks", `{"pathPrefix":"/","service":"looks","policy":"looks"}`))
	m.Run(20 * time.Second)
	d.traffic = coretest.NewTraffic(m)
	d.traffic.RunTime = func(string, *coretest.Call) time.Duration {
		return time.Duration(float64(lookRun) * math.Exp(0.5*d.rng.NormFloat64()-0.125))
	}
	d.traffic.OnAnswered = func(c *coretest.Call) {
		one := d.open[c.ID]
		switch {
		case c.Outcome == retry.Ran:
			one.served = d.Now.Sub(one.at)
		case c.Outcome == retry.NotRun && one.tries < lookTries:
			left := one.deadline - d.Now.Sub(one.at)
			d.After(min(c.RetryAfter, left/3), func() { d.try(one) })
		}
	}
	return d
}

func (d *looks) try(one *look) {
	one.tries++
	d.open[core.CallID(len(d.traffic.Calls)+1)] = one // the ID that the next call gets
	d.traffic.Call(fmt.Sprintf("a%d", 1+d.rng.IntN(12)), core.CallArrived{
		Method: "GET", Path: "/", Replayable: true, Budget: one.deadline - d.Now.Sub(one.at),
	})
}

// load lets callers ask for a time, and returns them.
func (d *looks) load(share float64, length time.Duration) []*look {
	before := len(d.asked)
	for at := time.Duration(0); at < length; at += time.Duration(d.rng.ExpFloat64() / (share * lookCapacity) * float64(time.Second)) {
		d.After(at, func() {
			patience := lookPatience + (1-lookPatience)*d.rng.Float64()
			one := &look{at: d.Now, deadline: time.Duration(patience * float64(lookDeadline))}
			d.asked = append(d.asked, one)
			d.try(one)
		})
	}
	d.Run(length)
	return d.asked[before:]
}

// lookShares returns the shares of callers who were served at all and within the target.
func lookShares(asked []*look) (served, inTime float64) {
	for _, one := range asked {
		switch {
		case one.served == 0:
			continue
		case one.served <= lookTarget:
			inTime++
		}
		served++
	}
	return served / float64(len(asked)), inTime / float64(len(asked))
}

// TestCallersRefusedInBurstComeBackTooSoon plays a second at twice the capacity in a calm
// time. When it ends its callers have 1.2 to 2.5 s left, in which the capacity that is free
// is enough for all of them.
func TestCallersRefusedInBurstComeBackTooSoon(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(3) {
		d := newLooks(t, seed)
		d.load(0.6, 10*time.Second)
		burst := d.load(2, time.Second)
		d.load(0.4, 5*time.Second)
		served, inTime := lookShares(burst)
		t.Logf("seed %d: %d callers in the burst, %.3f served, %.3f in time", seed, len(burst), served, inTime)
		is.True(served >= 0.95)
	}
}

// TestCallersWhoComeBackMakeOthersLate plays a lasting load of 1.5 times the capacity.
func TestCallersWhoComeBackMakeOthersLate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(3) {
		d := newLooks(t, seed)
		d.load(0.6, 10*time.Second)
		asked := d.load(1.5, 20*time.Second)
		d.load(0.3, 5*time.Second)
		served, inTime := lookShares(asked)
		t.Logf("seed %d: %.3f served, %.3f in time", seed, served, inTime)
		is.True(served >= 0.63) // 0.667 is what the capacity allows
		is.True(inTime >= 0.55)
	}
}
