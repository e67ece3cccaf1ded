package admission_test

import (
	"math/rand/v2"
	"time"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/uplink"
)

// A 10 Mbit/s link, large answers that occupy it for 224 ms each, and small
// answers whose transfer time is negligible.
const (
	linkBytes   = 1.25e6 // bytes per second
	largeBytes  = 280_000
	largeRun    = 140 * time.Millisecond
	largeTarget = time.Second
	shortRun    = 45 * time.Millisecond
)

// linkSim simulates a backend server behind a link and counts the large answers
// that are sent in time.
type linkSim struct {
	q         *admission.Queue
	rate      float64       // bytes per second that are reported to q
	largeRun  time.Duration // run time of a request with a large answer
	failShare float64       // probability that a run with a large answer fails
	failRun   time.Duration // run time of one that fails
	rng       *rand.Rand    // decides which fail
	returning bool          // each second request came back after a refusal, with half of its target latency left
	fails     map[admission.ID]bool
	now       time.Time
	next      uint64
	ends      map[admission.ID]time.Time // end of each run
	targets   map[admission.ID]time.Time // target time of each request with a large answer
	busyUntil time.Time                  // when the link has sent all answers
	offered   int
	inTime    int
	late      int
	refused   int
}

func newLinkSim(slots int) *linkSim {
	return &linkSim{
		q: admission.New(admission.DefaultConfig(slots)), rate: linkBytes, largeRun: largeRun, now: time.Unix(1000, 0), ends: map[admission.ID]time.Time{}, targets: map[admission.ID]time.Time{}, fails: map[admission.ID]bool{},
		rng: rand.New(rand.NewPCG(2, 1)),
	}
}

func (r *linkSim) startRun(id admission.ID) {
	takes := shortRun
	if !r.targets[id].IsZero() {
		takes = r.largeRun
		if r.rng.Float64() < r.failShare {
			takes, r.fails[id] = r.failRun, true
		}
	}
	r.ends[id] = r.now.Add(takes)
}

func (r *linkSim) arrive(large bool) {
	r.next++
	w := admission.Attempt{ID: admission.ID{Origin: 1, Number: r.next}, Class: admission.Interactive, Deadline: r.now.Add(500 * time.Millisecond)}
	if large {
		r.offered++
		w.Class, w.Deadline, w.TargetTime = admission.Batch, r.now.Add(6*time.Second), r.now.Add(largeTarget)
		if r.returning && r.offered%2 == 0 {
			w.TargetTime = r.now.Add(largeTarget / 2)
		}
		r.targets[w.ID] = w.TargetTime
	}
	r.q.SetLink(uplink.Load{Backlog: int64(max(r.busyUntil.Sub(r.now), 0).Seconds() * linkBytes), Rate: r.rate})
	switch d := r.q.Arrive(r.now, w); {
	case d.Run:
		r.startRun(w.ID)
	case d.Reason == admission.LinkFull:
		r.refused++
	}
}

// finishDue ends the runs that are due and sends their answers over the link.
func (r *linkSim) finishDue() {
	for id, at := range r.ends {
		if at.After(r.now) {
			continue
		}
		delete(r.ends, id)
		run, target := admission.Run{Took: shortRun, Bytes: 500}, r.targets[id]
		switch {
		case r.fails[id]:
			run = admission.Run{Took: r.failRun, Failed: true}
		case !target.IsZero():
			run = admission.Run{Took: r.largeRun, Bytes: largeBytes}
			r.send(target)
		}
		_, start, _ := r.q.Done(r.now, id, run)
		for _, w := range start {
			r.startRun(w.ID)
		}
	}
}

func (r *linkSim) send(target time.Time) {
	if r.busyUntil.Before(r.now) {
		r.busyUntil = r.now
	}
	r.busyUntil = r.busyUntil.Add(time.Duration(largeBytes / linkBytes * float64(time.Second)))
	if r.busyUntil.After(target) {
		r.late++
	} else {
		r.inTime++
	}
}

// run simulates a minute with the given arrival rates, in requests per second, of
// requests with large and with small answers.
func (r *linkSim) run(large, short float64) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 60_000 {
		r.now = r.now.Add(time.Millisecond)
		r.finishDue()
		if rng.Float64() < large/1000 {
			r.arrive(true)
		}
		if rng.Float64() < short/1000 {
			r.arrive(false)
		}
	}
}
