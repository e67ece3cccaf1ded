package core_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core"
	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/retry"
)

const lateStop = 2500 * time.Millisecond

// newStoppingNode returns a node that knows how long calls take, quickRun, and the time at
// which it was stopped.
func newStoppingNode(policy string) (*core.State, time.Time) {
	now := time.Unix(1000, 0)
	s := servingStateWith(now, 4, core.Config{Slots: 6, DrainAtLeast: lateStop, DrainAtMost: lateStop}, policy)
	for id := core.CallID(1000); id < 1100; id++ {
		f, _ := firstEffect[core.Forward](s.Reduce(now, core.CallArrived{Call: id, Method: "GET", Path: "/orders/7", Replayable: true}))
		now = now.Add(quickRun)
		s.Reduce(now, core.AttemptEnded{Call: id, Attempt: f.Attempt, Outcome: retry.Ran, Queue: -1})
	}
	s.Reduce(now, core.Stop{})
	return s, now
}

// TestCallRefusedLateInAStopIsCut guards against a call that is sent again so late in a stop
// that it runs when its entry node ends, though it could be refused as not run.
func TestCallRefusedLateInAStopIsCut(t *testing.T) {
	for _, tt := range []struct {
		left  time.Duration
		again bool
	}{{time.Second, true}, {quickNeed + time.Millisecond, true}, {quickNeed - 10*time.Millisecond, false}, {10 * time.Millisecond, false}} {
		is := is.New(t)
		s, stopped := newStoppingNode(`{}`)
		sent, ok := firstEffect[core.Forward](s.Reduce(stopped, core.CallArrived{Call: 1, Method: "POST", Path: "/orders/7", Replayable: true}))
		is.True(ok)
		effects := s.Reduce(stopped.Add(lateStop-tt.left), core.AttemptEnded{
			Call: 1, Attempt: sent.Attempt, Outcome: retry.NotRun, Queue: -1, Reason: string(admission.QueueFull),
		})
		_, again := firstEffect[core.Forward](effects)
		is.Equal(again, tt.again)
		if finish, ended := firstEffect[core.Finish](effects); ended {
			is.Equal(finish.Outcome, retry.NotRun)
			is.True(finish.RetryAfter > 0)
		}
	}
}

// TestCallClaimedLateInAStopIsCut guards against a call that the platform lets begin so late
// in a stop that it runs when its entry node ends. Its key must be free again.
func TestCallClaimedLateInAStopIsCut(t *testing.T) {
	for _, tt := range []struct {
		left time.Duration
		runs bool
	}{{time.Second, true}, {quickNeed - 10*time.Millisecond, false}, {10 * time.Millisecond, false}} {
		is := is.New(t)
		s, stopped := newStoppingNode(`{"idempotencyKey":"platform"}`)
		put, ok := firstEffect[core.StorePut](s.Reduce(stopped, core.CallArrived{Call: 1, Method: "POST", Path: "/orders/7", Key: "k", Replayable: true}))
		is.True(ok)
		effects := s.Reduce(stopped.Add(lateStop-tt.left), core.StoreDone{Call: put.Call, Version: 7})
		_, runs := firstEffect[core.Forward](effects)
		is.Equal(runs, tt.runs)
		if finish, ended := firstEffect[core.Finish](effects); ended {
			is.Equal(finish.Outcome, retry.NotRun)
		}
		_, freed := firstEffect[core.StoreDelete](effects)
		is.Equal(freed, !tt.runs)
	}
}

// TestRunAtStoppingNodeLosesItsCalls guards against a run that a stop waits for, and that fails
// since the calls which its backend server makes on this node are refused.
func TestRunAtStoppingNodeLosesItsCalls(t *testing.T) {
	for _, tt := range []struct {
		name                    string
		running, fromMesh, want bool
	}{
		{"call of the run", true, true, true},
		{"call of somebody else", true, false, false},
		{"call of a backend server without a run", false, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			s := servingStateWith(now, 4, core.Config{Slots: 6, DrainAtLeast: time.Second, DrainAtMost: 5 * time.Second}, `{}`)
			if tt.running {
				_, runs := firstEffect[core.Run](s.Reduce(now, core.AttemptArrived{Attempt: core.AttemptID{Origin: 1, Number: 1}, Budget: 5 * time.Second}))
				is.True(runs)
			}
			s.Reduce(now, core.Stop{})
			call := core.CallArrived{Call: 1, Method: "GET", Path: "/orders/7", Replayable: true, FromMesh: tt.fromMesh, Budget: time.Second}
			_, taken := firstEffect[core.Forward](s.Reduce(now.Add(2*time.Second), call))
			is.Equal(taken, tt.want)
			call.Call, call.Budget = 2, 3*time.Second
			_, taken = firstEffect[core.Forward](s.Reduce(now.Add(4500*time.Millisecond), call))
			is.True(!taken) // it would be cut
		})
	}
}
