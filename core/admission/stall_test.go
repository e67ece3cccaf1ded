package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/uplink"
)

var simStart = time.Unix(1000, 0)

// stallSim is a backend server of two slots at which batch requests keep a queue, while one
// interactive request comes every 50 ms, with a quarter of a second to be answered.
type stallSim struct {
	q         *admission.Queue
	now       time.Time
	next      uint64
	took      map[admission.ID]time.Duration
	endsAt    map[admission.ID]time.Time
	class     map[admission.ID]admission.Class
	runTime   func(c admission.Class, now time.Time) time.Duration
	inTime    map[admission.Class]int // runs that ended within their deadline
	deadlines map[admission.ID]time.Time
	busy      time.Duration // slot time of interactive requests
}

const (
	stallStep     = 5 * time.Millisecond
	quickRun      = 20 * time.Millisecond
	quickDeadline = 250 * time.Millisecond
)

func newStallSim(runTime func(admission.Class, time.Time) time.Duration) *stallSim {
	return &stallSim{
		q: admission.New(admission.DefaultConfig(2)), now: simStart, runTime: runTime, took: map[admission.ID]time.Duration{},
		endsAt: map[admission.ID]time.Time{}, class: map[admission.ID]admission.Class{}, inTime: map[admission.Class]int{},
		deadlines: map[admission.ID]time.Time{},
	}
}

func (s *stallSim) start(id admission.ID) {
	s.took[id] = s.runTime(s.class[id], s.now)
	s.endsAt[id] = s.now.Add(s.took[id])
}

func (s *stallSim) arrive(c admission.Class, budget time.Duration) {
	s.next++
	id := admission.ID{Origin: 1, Number: s.next}
	s.class[id], s.deadlines[id] = c, s.now.Add(budget)
	if s.q.Arrive(s.now, admission.Attempt{ID: id, Class: c, Deadline: s.now.Add(budget)}).Run {
		s.start(id)
	}
}

// run plays the load for a time.
func (s *stallSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(stallStep) {
		for id, at := range s.endsAt {
			if s.now.Before(at) {
				continue
			}
			delete(s.endsAt, id)
			if !s.now.After(s.deadlines[id]) {
				s.inTime[s.class[id]]++
			}
			if s.class[id] == admission.Interactive {
				s.busy += s.took[id]
			}
			_, started, _ := s.q.Done(s.now, id, admission.Run{Took: s.took[id]})
			for _, w := range started {
				s.start(w.ID)
			}
		}
		s.arrive(admission.Batch, 5*time.Second)
		if s.now.Sub(simStart)%(50*time.Millisecond) == 0 {
			s.arrive(admission.Interactive, quickDeadline)
		}
		s.q.Expire(s.now)
	}
}

// TestStalledClassIsRefusedForGood guards against a class that is refused as long as others
// keep a queue, since its runs of one stall took longer than its deadlines.
func TestStalledClassIsRefusedForGood(t *testing.T) {
	is := is.New(t)
	stallAt := simStart.Add(5 * time.Second)
	s := newStallSim(func(c admission.Class, at time.Time) time.Duration {
		if into := at.Sub(stallAt); c == admission.Interactive && into >= 0 && into < time.Second {
			return 5 * time.Second
		}
		return quickRun
	})
	s.run(5 * time.Second)
	is.True(s.inTime[admission.Interactive] > 90)
	s.run(11 * time.Second) // the stall ends, and some seconds pass
	clear(s.inTime)
	s.run(5 * time.Second)
	t.Logf("in time %v", s.inTime)
	is.True(s.inTime[admission.Interactive] > 90)
}

// TestHopelessClassTakesSlots guards against trial runs of a class that never ends in time
// which take more than a sixth of the slots from others.
func TestHopelessClassTakesSlots(t *testing.T) {
	is := is.New(t)
	s := newStallSim(func(c admission.Class, _ time.Time) time.Duration {
		if c == admission.Interactive {
			return 2 * quickDeadline
		}
		return quickRun
	})
	s.run(10 * time.Second)
	s.busy = 0
	s.run(20 * time.Second)
	t.Logf("slot time %v", s.busy)
	is.True(s.busy <= 2*20*time.Second/6)
}

// TestOneLargeAnswerClosesLinkForGood guards against a class that is refused as long as others
// fill the host's link, since one of its answers was far larger than usual.
func TestOneLargeAnswerClosesLinkForGood(t *testing.T) {
	for _, deadline := range []time.Duration{2 * time.Second, 10 * time.Second} { // the huge answer's mean would end after and before it
		is := is.New(t)
		before, after := playHugeAnswer(deadline)
		t.Logf("batch runs in 10 s: %d, and %d a minute after the large answer", before, after)
		is.True(before > 0)
		is.True(after > before/2)
	}
}

// playHugeAnswer has two classes of large answers fill a link, of which one has a huge answer
// after 10 s. It returns the runs of that class in the 10 s before, and a minute later.
func playHugeAnswer(deadline time.Duration) (before, after int) {
	const usualBytes, hugeBytes = 100_000, 60_000_000
	at, busyUntil, next := simStart, simStart, uint64(0)
	q := admission.New(admission.DefaultConfig(100))
	ends, bytes, class := map[admission.ID]time.Time{}, map[admission.ID]int64{}, map[admission.ID]admission.Class{}
	run := map[admission.Class]int{}
	huge, rng := false, rand.New(rand.NewPCG(1, 1))
	arrive := func(c admission.Class) {
		next++
		id := admission.ID{Origin: 1, Number: next}
		q.SetLink(uplink.Load{Backlog: int64(max(busyUntil.Sub(at), 0).Seconds() * linkBytes), Rate: linkBytes})
		if q.Arrive(at, admission.Attempt{ID: id, Class: c, Deadline: at.Add(deadline), TargetTime: at.Add(time.Second)}).Run {
			run[c]++
			ends[id], class[id], bytes[id] = at.Add(quickRun), c, usualBytes
			if c == admission.Batch && huge {
				bytes[id], huge = hugeBytes, false
			}
		}
	}
	play := func(d time.Duration) {
		for end := at.Add(d); at.Before(end); at = at.Add(10 * time.Millisecond) {
			for id, due := range ends {
				if at.Before(due) {
					continue
				}
				delete(ends, id)
				if busyUntil.Before(at) {
					busyUntil = at
				}
				if bytes[id] == usualBytes { // the huge one is given up by its caller
					busyUntil = busyUntil.Add(time.Duration(float64(bytes[id]) / linkBytes * float64(time.Second)))
				}
				q.Done(at, id, admission.Run{Took: quickRun, Bytes: bytes[id]})
			}
			if rng.IntN(3) == 0 {
				arrive(admission.Batch)
			} else {
				arrive(admission.Interactive)
			}
		}
	}
	play(10 * time.Second)
	before = run[admission.Batch]
	huge = true
	play(60 * time.Second)
	clear(run)
	play(10 * time.Second)
	return before, run[admission.Batch]
}
