package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/admission"
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
