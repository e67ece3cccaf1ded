package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/coretest"
)

// meanRun is the mean run time of a rateSim: 8 slots run more than any of the limits allows.
const meanRun = 15 * time.Millisecond

// rateSim is a load on a Queue with a rate limit.
type rateSim struct {
	q       *admission.Queue
	rng     *rand.Rand
	now     time.Time
	next    uint64
	runs    map[admission.ID]time.Time // ends of runs
	started map[admission.Class][]time.Time
	arrived [admission.MaxClass + 1]int
	class   map[admission.ID]admission.Class
}

func newRateSim(seed uint64, slots int) *rateSim {
	return &rateSim{
		q: admission.New(admission.DefaultConfig(slots)), rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0),
		runs: map[admission.ID]time.Time{}, started: map[admission.Class][]time.Time{}, class: map[admission.ID]admission.Class{},
	}
}

func (r *rateSim) start(id admission.ID) {
	r.runs[id] = r.now.Add(time.Duration(r.rng.ExpFloat64() * float64(meanRun)))
	c := r.class[id]
	r.started[c] = append(r.started[c], r.now)
	r.started[admission.MaxClass+1] = append(r.started[admission.MaxClass+1], r.now)
}

func (r *rateSim) all() []time.Time { return r.started[admission.MaxClass+1] }

// arrive lets an attempt arrive and returns the reason if it is refused.
func (r *rateSim) arrive(c admission.Class) admission.Reason {
	r.next++
	id := admission.ID{Origin: 1, Number: r.next}
	r.class[id] = c
	r.arrived[c]++
	d := r.q.Arrive(r.now, admission.Attempt{ID: id, Class: c, Deadline: r.now.Add(2 * time.Second)})
	if d.Run {
		r.start(id)
	}
	return d.Reason
}

// run applies a load for a time: arrivals per second by class.
func (r *rateSim) run(d time.Duration, load map[admission.Class]float64) {
	const step = time.Millisecond
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(step) {
		for id, at := range r.runs {
			if at.After(r.now) {
				continue
			}
			delete(r.runs, id)
			_, start, _ := r.q.Done(r.now, id, admission.Run{Took: meanRun})
			for _, w := range start {
				r.start(w.ID)
			}
		}
		for c := range admission.MaxClass + 1 {
			if r.rng.Float64() < load[c]*step.Seconds() {
				r.arrive(c)
			}
		}
	}
}

// TestMoreRequestsThanNamedLimit checks that a backend server does not get more than the
// limit that it named, whatever arrives, and nearly all of it if enough arrives.
func TestMoreRequestsThanNamedLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.3, 2, 7, 30, 120} {
		for _, fault := range []admission.Fault{"", admission.RateIgnored} {
			t.Run(fmt.Sprintf("%v %s", limit, fault), func(t *testing.T) {
				is := is.New(t)
				r := newRateSim(uint64(limit*10), 8)
				r.q.InjectFault(fault)
				r.run(5*time.Second, map[admission.Class]float64{1: 400}) // a queue has built up when the limit is named
				r.started = map[admission.Class][]time.Time{}
				r.q.SetRateLimit(r.now, admission.RateLimit{PerSecond: limit, Named: true}, true)
				r.run(30*time.Second, map[admission.Class]float64{0: limit / 4, 1: 300, 4: 20})
				is.Equal(float64(coretest.MostInWindow(r.all())) <= coretest.AllowedInWindow(limit), fault == "")
				is.True(float64(len(r.all())) >= 0.9*30*limit)
			})
		}
	}
}

// TestNamedLimitRejectsUrgentRequestsLast checks that a class gets what it asks for as
// long as the limit has room for it and the more urgent ones.
func TestNamedLimitRejectsUrgentRequestsLast(t *testing.T) {
	is := is.New(t)
	r := newRateSim(1, 8)
	r.q.SetRateLimit(r.now, admission.RateLimit{PerSecond: 40, Named: true}, true)
	r.run(60*time.Second, map[admission.Class]float64{0: 10, 2: 15, 5: 100, 7: 100})
	served := func(c admission.Class) float64 { return float64(len(r.started[c])) / float64(r.arrived[c]) }
	is.True(served(0) > 0.99)
	is.True(served(2) > 0.98)
	is.True(served(5) > 0.1)  // what the others leave
	is.True(served(7) < 0.03) // class 5 could use all of it
}

// TestLimitedRequestsAreRejectedAtOnce checks that no request waits for a limit: it is
// refused as it arrives, or as a more urgent one takes its place.
func TestLimitedRequestsAreRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	q := admission.New(admission.DefaultConfig(1))
	attempt := func(n uint64, c admission.Class) admission.Attempt {
		return admission.Attempt{ID: admission.ID{Number: n}, Class: c, Deadline: now.Add(time.Minute)}
	}
	q.SetRateLimit(now, admission.RateLimit{PerSecond: 3, Named: true}, true) // five at once
	is.True(q.Arrive(now, attempt(1, 0)).Run)
	for n := uint64(2); n < 4; n++ { // two wait for the slot, two places are kept for more urgent ones
		is.Equal(q.Arrive(now, attempt(n, 7)).Reason, admission.Admitted)
	}
	is.Equal(q.Arrive(now, attempt(4, 7)).Reason, admission.RateLimited)
	var evicted []uint64
	for n := uint64(5); n < 9; n++ {
		d := q.Arrive(now, attempt(n, 0))
		is.Equal(d.Reason, admission.Admitted)
		for _, w := range d.Evicted {
			is.Equal(d.EvictedFor, admission.RateLimited)
			evicted = append(evicted, w.ID.Number)
		}
	}
	is.Equal(evicted, []uint64{3, 2})
	is.Equal(q.Arrive(now, attempt(9, 0)).Reason, admission.RateLimited)
	dropped := q.SetRateLimit(now, admission.RateLimit{PerSecond: 0.5, Named: true}, true) // a lower limit leaves 2.5
	is.Equal(len(dropped), 2)
	is.Equal(dropped[0].ID.Number, uint64(8)) // the newest
	is.Equal(len(q.SetRateLimit(now, admission.RateLimit{}, true)), 0)
	is.Equal(q.RateRoom(now), -1.0)
}
