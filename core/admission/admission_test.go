package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/agatekeel/agatekeel/core/admission"
)

const (
	testSlots   = 3
	testMaxWait = 200 * time.Millisecond
	tick        = 50 * time.Millisecond
	// bypassLimit is how many starts of other classes may bypass a waiting class:
	// 8 of more urgent classes, and one of a class that was bypassed as often.
	bypassLimit = 9
)

// queueSim applies arrivals and ends of runs to a Queue and checks its invariants.
type queueSim struct {
	q        *admission.Queue
	now      time.Time
	next     uint64
	waiting  map[admission.ID]admission.Attempt
	arrived  map[admission.ID]time.Time
	running  []admission.ID
	bypassed map[admission.Class]int
}

func (r *queueSim) start(w admission.Attempt) error {
	r.running = append(r.running, w.ID)
	delete(r.waiting, w.ID)
	if len(r.running) > testSlots {
		return fmt.Errorf("%d attempts running in %d slots", len(r.running), testSlots)
	}
	if waited := r.now.Sub(r.arrived[w.ID]); waited > testMaxWait {
		return fmt.Errorf("attempt %v started after waiting %v, more than testMaxWait", w.ID, waited)
	}
	r.bypassed[w.Class] = 0
	waits := map[admission.Class]bool{}
	for _, o := range r.waiting {
		waits[o.Class] = true
	}
	for c := range admission.Batch + 1 {
		if !waits[c] || c == w.Class {
			r.bypassed[c] = 0
			continue
		}
		if r.bypassed[c]++; r.bypassed[c] > bypassLimit {
			return fmt.Errorf("waiting class %d bypassed by %d starts of other classes, more than bypassLimit", c, r.bypassed[c])
		}
	}
	return nil
}

func (r *queueSim) arrive(c admission.Class, budget time.Duration) error {
	r.next++
	w := admission.Attempt{ID: admission.ID{Origin: 1, Number: r.next}, Class: c, Deadline: r.now.Add(budget)}
	r.arrived[w.ID] = r.now
	d := r.q.Arrive(r.now, w)
	for _, p := range d.Evicted {
		if p.Class <= c {
			return fmt.Errorf("arrival of class %d evicted an attempt of class %d", c, p.Class)
		}
		delete(r.waiting, p.ID)
	}
	switch {
	case d.Run:
		return r.start(w)
	case d.Reason == admission.Admitted:
		r.waiting[w.ID] = w
	}
	return nil
}

func (r *queueSim) step(pick func(n int) int) error {
	r.now = r.now.Add(time.Duration(pick(5)) * time.Millisecond)
	switch k := pick(10); {
	case k < 6:
		return r.arrive(admission.Class(min(pick(12)/4, 2)), time.Duration(1+pick(500))*time.Millisecond)
	case k < 9 && len(r.running) > 0:
		i := pick(len(r.running))
		id := r.running[i]
		r.running = append(r.running[:i:i], r.running[i+1:]...)
		_, start, dropped := r.q.Done(r.now, id, admission.Run{Took: 4 * time.Millisecond})
		for _, w := range dropped {
			delete(r.waiting, w.ID)
		}
		for _, w := range start {
			if err := r.start(w); err != nil {
				return err
			}
		}
	default:
		r.now = r.now.Add(tick)
		for _, w := range r.q.Expire(r.now) {
			delete(r.waiting, w.ID)
		}
		for id := range r.waiting {
			if waited := r.now.Sub(r.arrived[id]); waited > testMaxWait+tick {
				return fmt.Errorf("attempt %v still queued after %v", id, waited)
			}
		}
	}
	return nil
}

func simulateQueue(fault admission.Fault, steps int, pick func(n int) int) error {
	cfg := admission.DefaultConfig(testSlots)
	cfg.MaxWait = testMaxWait
	r := &queueSim{
		q: admission.New(cfg), now: time.Unix(1000, 0), waiting: map[admission.ID]admission.Attempt{},
		arrived: map[admission.ID]time.Time{}, bypassed: map[admission.Class]int{},
	}
	r.q.InjectFault(fault)
	for range steps {
		if err := r.step(pick); err != nil {
			return err
		}
		running, waiting := r.q.Load()
		if running != len(r.running) || waiting != len(r.waiting) || waiting > cfg.MaxQueue {
			return fmt.Errorf("Load() = %d running, %d waiting; want %d, %d (MaxQueue is the limit)", running, waiting, len(r.running), len(r.waiting))
		}
	}
	return nil
}

// TestQueueInvariants checks with random arrivals that the number of running
// attempts never exceeds the slots, that no attempt waits longer than the limit,
// that no class starves, and that Load is correct.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steps := rapid.IntRange(1, 300).Draw(t, "steps")
		if err := simulateQueue("", steps, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }); err != nil {
			t.Fatal(err)
		}
	})
}

// TestQueueInvariantsDetectFaults disables one safeguard at a time and expects the
// invariant checks to fail.
func TestQueueInvariantsDetectFaults(t *testing.T) {
	for _, fault := range []admission.Fault{admission.NoBypass, admission.NoWaitLimit, admission.OverCommit} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			var err error
			for seed := uint64(1); seed < 50 && err == nil; seed++ {
				err = simulateQueue(fault, 2000, rand.New(rand.NewPCG(seed, 1)).IntN)
			}
			is.True(err != nil) // the checks must detect the fault
			t.Log(err)
		})
	}
}

func TestArrive(t *testing.T) {
	now := time.Unix(1000, 0)
	long := now.Add(time.Minute)
	tests := []struct {
		name    string
		waiting []admission.Class
		arrives admission.Attempt
		want    admission.Decision
	}{
		{name: "past its deadline", arrives: admission.Attempt{Deadline: now}, want: admission.Decision{Reason: admission.TooLate}},
		{name: "free slot", arrives: admission.Attempt{Deadline: long}, want: admission.Decision{Run: true}},
		{
			name: "queue full of the same class", waiting: []admission.Class{2, 2, 2, 2, 2},
			arrives: admission.Attempt{Class: admission.Batch, Deadline: long}, want: admission.Decision{Reason: admission.QueueFull},
		},
		{
			name: "status evicts batch", waiting: []admission.Class{2, 2, 2, 2, 2},
			arrives: admission.Attempt{Class: admission.Status, Deadline: long},
			want:    admission.Decision{Evicted: []admission.Attempt{{ID: admission.ID{Number: 4}}}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := admission.New(admission.Config{Slots: 1, MaxQueue: 4, MaxWait: time.Minute, Target: time.Minute, Interval: time.Minute})
			for i, c := range tt.waiting {
				q.Arrive(now, admission.Attempt{ID: admission.ID{Number: uint64(i)}, Class: c, Deadline: long})
			}
			tt.arrives.ID.Number = 100
			got := q.Arrive(now, tt.arrives)
			is.Equal(got.Run, tt.want.Run)
			is.Equal(got.Reason, tt.want.Reason)
			is.Equal(len(got.Evicted), len(tt.want.Evicted))
			for i := range got.Evicted {
				is.Equal(got.Evicted[i].ID, tt.want.Evicted[i].ID)
			}
		})
	}
}

// TestStandingQueueWaitsAtMostTarget offers one slot twice its capacity for a long
// time. Once there is a standing queue, every attempt that starts, of any class,
// has waited for at most Target, and the slot is never idle.
func TestStandingQueueWaitsAtMostTarget(t *testing.T) {
	const takes, every = 100 * time.Millisecond, 50 * time.Millisecond
	for _, class := range []admission.Class{admission.Status, admission.Interactive, admission.Batch, admission.MaxClass} {
		is := is.New(t)
		cfg := admission.Config{Slots: 1, MaxQueue: 100, MaxWait: 10 * time.Second, Target: 100 * time.Millisecond, Interval: 500 * time.Millisecond}
		q, at := admission.New(cfg), time.Unix(1000, 0)
		arrived, runs := map[admission.ID]time.Time{}, 0
		var running admission.ID
		ends := time.Time{} // end of the current run; zero if none
		start := func(id admission.ID, now time.Time) {
			running, ends = id, now.Add(takes)
			if runs++; now.Sub(at) > 2*time.Second {
				is.True(now.Sub(arrived[id]) <= cfg.Target)
			}
		}
		for i := range uint64(200) {
			now := at.Add(time.Duration(i) * every)
			if !ends.IsZero() && !now.Before(ends) {
				ends = time.Time{}
				_, started, _ := q.Done(now, running, admission.Run{Took: takes})
				for _, w := range started {
					start(w.ID, now)
				}
			}
			id := admission.ID{Number: i}
			arrived[id] = now
			if q.Arrive(now, admission.Attempt{ID: id, Class: class, Deadline: now.Add(time.Minute)}).Run {
				start(id, now)
			}
		}
		is.True(runs >= 99) // one run every 100 ms
	}
}
