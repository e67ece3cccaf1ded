package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/admission"
)

// lineSim is a queue of one slot whose runs take 100 ms, with one running.
type lineSim struct {
	q    *admission.Queue
	now  time.Time
	next uint64
}

func newLineSim(maxQueue int) *lineSim {
	cfg := admission.DefaultConfig(1)
	cfg.MaxQueue = maxQueue
	s := &lineSim{q: admission.New(cfg), now: time.Unix(1000, 0)}
	for range 9 { // fills the smoothed run time
		id, _ := s.arrive(time.Minute, 0)
		s.now = s.now.Add(100 * time.Millisecond)
		s.q.Done(s.now, id, admission.Run{Took: 100 * time.Millisecond})
	}
	s.arrive(time.Minute, 0)
	return s
}

// arrive lets an attempt arrive with some time left of its target latency, whose caller has
// waited before.
func (s *lineSim) arrive(target, waited time.Duration) (admission.ID, admission.Decision) {
	s.next++
	id := admission.ID{Number: s.next}
	return id, s.q.Arrive(s.now, admission.Attempt{
		ID: id, Class: admission.Interactive, Deadline: s.now.Add(time.Minute), TargetTime: s.now.Add(target), Waited: waited,
	})
}

// TestLateAttemptStartsBeforeTimelyOne checks the order of starts: an attempt whose target has
// passed, or had with the time that its caller waited before, goes behind later ones in time.
func TestLateAttemptStartsBeforeTimelyOne(t *testing.T) {
	for name, late := range map[string][2]time.Duration{
		"target passed": {time.Nanosecond, 0}, "caller came back": {time.Second, 900 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newLineSim(8)
			running := admission.ID{Number: s.next}
			lateID, d := s.arrive(late[0], late[1])
			is.Equal(d.Reason, admission.Admitted)
			timelyID, d := s.arrive(time.Second, 0)
			is.Equal(d.Reason, admission.Admitted)
			_, start, dropped := s.q.Done(s.now, running, admission.Run{Took: 100 * time.Millisecond})
			is.Equal(len(dropped), 0)
			is.Equal(start[0].ID, timelyID)
			_, start, _ = s.q.Done(s.now, timelyID, admission.Run{Took: 100 * time.Millisecond})
			is.Equal(start[0].ID, lateID)
		})
	}
}

// TestLateAttemptsFillQueue fills the queue with late attempts: one in time takes the place of
// the last of them, a late one does not.
func TestLateAttemptsFillQueue(t *testing.T) {
	is := is.New(t)
	s := newLineSim(2)
	s.arrive(time.Nanosecond, 0)
	last, _ := s.arrive(time.Nanosecond, 0)
	_, d := s.arrive(time.Nanosecond, 0)
	is.Equal(d.Reason, admission.QueueFull)
	_, d = s.arrive(time.Second, 0)
	is.Equal(d.Reason, admission.Admitted)
	is.Equal(len(d.Evicted), 1)
	is.Equal(d.Evicted[0].ID, last)
	_, waiting := s.q.Load()
	is.Equal(waiting, 2)
}

// TestLateAttemptWaitsInStandingQueue checks that a late attempt is refused at once while the
// queue of those in time stands.
func TestLateAttemptWaitsInStandingQueue(t *testing.T) {
	is := is.New(t)
	s := newLineSim(8)
	for range 3 {
		s.arrive(time.Minute, 0)
	}
	s.now = s.now.Add(600 * time.Millisecond)
	_, d := s.arrive(time.Nanosecond, 0)
	is.Equal(d.Reason, admission.QueueFull)
	_, d = s.arrive(time.Minute, 0)
	is.Equal(d.Reason, admission.Admitted)
}
