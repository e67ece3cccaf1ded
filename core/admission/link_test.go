package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatekeel/agatekeel/core/admission"
	"github.com/agatekeel/agatekeel/core/uplink"
)

// TestOverloadedLinkGoodput offers three times the large answers that the link
// can carry. Nearly all of its bandwidth must go to answers that are in time.
func TestOverloadedLinkGoodput(t *testing.T) {
	is := is.New(t)
	const minute, carried = 60, linkBytes / largeBytes
	r := newLinkSim(8)
	r.run(3*carried, 80)
	is.True(float64(r.inTime) > 0.8*minute*carried) // 80 % of the link's capacity
	is.True(r.late < r.inTime/20)
	is.True(r.refused > r.offered/2)

	broken := newLinkSim(8)
	broken.q.InjectFault(admission.LinkIgnored)
	broken.run(3*carried, 80)
	is.True(broken.inTime < r.inTime/10) // the check detects that link capacity is ignored
}

// TestSlowBackendServerLeavesNoLinkIdle offers three times the large answers that the
// link can carry, of a backend server that takes most of the target latency or more
// than it. The link sends earlier answers meanwhile, so nearly all of its bandwidth
// must be used, by answers in time where that is possible.
func TestSlowBackendServerLeavesNoLinkIdle(t *testing.T) {
	const minute, carried = 60, linkBytes / largeBytes
	for _, run := range []time.Duration{600 * time.Millisecond, 1200 * time.Millisecond} {
		is := is.New(t)
		r := newLinkSim(8)
		r.largeRun = run
		r.run(3*carried, 20)                                   // the slots suffice: 6.3 of 8 are used on average
		is.True(float64(r.inTime+r.late) > 0.8*minute*carried) // 80 % of the link's capacity
		if run < largeTarget {
			is.True(r.late < r.inTime/20)
		}
	}
}

// TestRunsThatFailKeepLinkIdle offers many more large answers than the link can
// carry, of a backend server that fails half of the requests after waiting for a call of
// its own. No bandwidth may be kept for answers that do not come.
func TestRunsThatFailKeepLinkIdle(t *testing.T) {
	is := is.New(t)
	const minute, carried = 60, linkBytes / largeBytes
	used := func(failShare float64) float64 {
		r := newLinkSim(8)
		r.returning, r.failShare, r.failRun = true, failShare, 600*time.Millisecond
		r.run(12*carried, 20)
		return float64(r.inTime+r.late) / (minute * carried)
	}
	t.Logf("none fails %.3f, a third %.3f, half %.3f of the link used", used(0), used(1.0/3), used(0.5))
	is.True(used(0.5) > 0.95*used(0)) // the slots suffice: 4.2 of 8 are used on average
}

// TestUnderloadedLinkRefusesLittle offers 30 % of the link's capacity. Fewer than
// 5 % of the large requests may be refused.
func TestUnderloadedLinkRefusesLittle(t *testing.T) {
	is := is.New(t)
	r := newLinkSim(8)
	r.run(0.3*linkBytes/largeBytes, 80)
	is.True(r.refused < r.offered/20)

	slow := newLinkSim(8) // reports a fifth of the link's real bandwidth: the check detects it
	slow.rate = linkBytes / 5
	slow.run(0.3*linkBytes/largeBytes, 80)
	is.True(slow.refused > slow.offered/20)
}

func TestLinkAdmission(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name          string
		rate          float64
		busy          int64         // bytes waiting to be sent over the link
		relay         uplink.Load   // state of the entry node's link
		targetLatency time.Duration // zero: none
		left          time.Duration // time until the deadline
		reason        admission.Reason
	}{
		{"idle link, target passed", linkBytes, 0, uplink.Load{}, 1, 6 * time.Second, admission.Admitted},
		{"busy link, target passed", linkBytes, largeBytes, uplink.Load{}, 1, 6 * time.Second, admission.LinkFull},
		{"in time", linkBytes, largeBytes, uplink.Load{}, time.Second, 6 * time.Second, admission.Admitted},
		{"not in time", linkBytes, 4 * largeBytes, uplink.Load{}, time.Second, 6 * time.Second, admission.LinkFull},
		{"no target", linkBytes, 4 * largeBytes, uplink.Load{}, 0, 6 * time.Second, admission.Admitted},
		{"not in time for the deadline", linkBytes, 4 * largeBytes, uplink.Load{}, 0, time.Second, admission.LinkFull},
		{"in time for the entry node only", linkBytes, 2 * largeBytes, uplink.Load{Rate: linkBytes / 2}, time.Second, 6 * time.Second, admission.LinkFull},
		{"in time for the caller", linkBytes, 2 * largeBytes, uplink.Load{Rate: 2 * linkBytes}, time.Second, 6 * time.Second, admission.Admitted},
		{"entry node's link is busy", linkBytes, largeBytes, uplink.Load{Rate: 2 * linkBytes, Backlog: 10 * largeBytes}, time.Second, 6 * time.Second, admission.LinkFull},
		{"entry node's link is busy, this one is idle", linkBytes, 0, uplink.Load{Rate: linkBytes, Backlog: 4 * largeBytes}, time.Second, 6 * time.Second, admission.LinkFull},
		{"entry node's link can't end it by the deadline, this one is idle", linkBytes, 0, uplink.Load{Rate: linkBytes, Backlog: 8 * largeBytes}, 0, time.Second, admission.LinkFull},
		{"entry node's link is a little busy, this one is idle", linkBytes, 0, uplink.Load{Rate: linkBytes, Backlog: largeBytes}, time.Second, 6 * time.Second, admission.Admitted},
		{"both links are idle, and too slow", linkBytes, 0, uplink.Load{Rate: linkBytes / 8}, time.Second, 6 * time.Second, admission.Admitted},
		{"unknown rate", 0, 400 * largeBytes, uplink.Load{}, time.Second, time.Second, admission.Admitted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			q := admission.New(admission.DefaultConfig(8))
			for i := range uint64(40) { // fills the smoothed run time and answer size
				id := admission.ID{Number: i}
				q.Arrive(now, admission.Attempt{ID: id, Class: admission.Batch, Deadline: now.Add(time.Minute)})
				q.Done(now, id, admission.Run{Took: largeRun, Bytes: largeBytes})
				now = now.Add(time.Minute)
			}
			q.SetLink(uplink.Load{Backlog: tt.busy, Rate: tt.rate})
			w := admission.Attempt{ID: admission.ID{Number: 100}, Class: admission.Batch, Deadline: now.Add(tt.left), Relay: tt.relay}
			if tt.targetLatency > 0 {
				w.TargetTime = now.Add(tt.targetLatency)
			}
			is.Equal(q.Arrive(now, w).Reason, tt.reason)
		})
	}
}

// TestOneAnswerSetsAverageSize sends a burst of requests after a single answer.
// Only as many may be admitted as the link can carry in time, so the first answer
// must already set the average size.
func TestOneAnswerSetsAverageSize(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	q := admission.New(admission.DefaultConfig(8))
	ask := func(n uint64) admission.Decision {
		return q.Arrive(now, admission.Attempt{
			ID: admission.ID{Number: n}, Class: admission.Batch, Deadline: now.Add(6 * time.Second), TargetTime: now.Add(largeTarget),
		})
	}
	is.True(ask(0).Run)
	now = now.Add(largeRun)
	q.Done(now, admission.ID{}, admission.Run{Took: largeRun, Bytes: largeBytes})
	q.SetLink(uplink.Load{Backlog: largeBytes, Rate: linkBytes})
	taken := 0
	for n := range uint64(8) {
		if ask(n+1).Reason == admission.Admitted {
			taken++
		}
	}
	is.Equal(taken, 2) // 364 ms by itself, and three quarters of the other 636 ms to wait: after the one being sent, by 841 ms, answers end at 448 and 672 ms
}

// TestFailedRunsDoNotChangeAverageSize checks that errors, whose bodies are short, do
// not make large answers look smaller than they are.
func TestFailedRunsDoNotChangeAverageSize(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	q := admission.New(admission.DefaultConfig(8))
	q.SetLink(uplink.Load{Rate: linkBytes})
	for n := range uint64(20) {
		id := admission.ID{Number: n}
		run := admission.Run{Took: largeRun, Bytes: largeBytes}
		if n >= 10 {
			run.Bytes, run.Failed = 0, true
		}
		is.Equal(q.Arrive(now, admission.Attempt{ID: id, Class: admission.Batch, Deadline: now.Add(time.Minute)}).Reason, admission.Admitted)
		q.Done(now, id, run)
		now = now.Add(time.Minute)
	}
	q.SetLink(uplink.Load{Rate: linkBytes, Backlog: 1})
	needs := largeRun + time.Duration(largeBytes/linkBytes*float64(time.Second))
	late := admission.Attempt{ID: admission.ID{Number: 100}, Class: admission.Batch, Deadline: now.Add(needs - time.Millisecond)}
	is.Equal(q.Arrive(now, late).Reason, admission.LinkFull)
	inTime := admission.Attempt{ID: admission.ID{Number: 101}, Class: admission.Batch, Deadline: now.Add(needs + time.Millisecond)}
	is.Equal(q.Arrive(now, inTime).Reason, admission.Admitted)
}

// TestFullLinkTellsWhenItHasRoom checks that a request is refused for the time that a
// refusal named, and let in after it, whichever of the two links is full.
func TestFullLinkTellsWhenItHasRoom(t *testing.T) {
	for _, tt := range []struct {
		name         string
		target, left time.Duration
		relay        bool // the entry node's link is full, not the host's
	}{
		{"in time", largeTarget, 6 * time.Second, false},
		{"late even over an idle link", 200 * time.Millisecond, 6 * time.Second, false},
		{"target passed", passedTarget, 6 * time.Second, false},
		{"no target", 0, time.Second, false},
		{"in time, entry node", largeTarget, 6 * time.Second, true},
		{"late even over idle links, entry node", 200 * time.Millisecond, 6 * time.Second, true},
		{"target passed, entry node", passedTarget, 6 * time.Second, true},
		{"no target, entry node", 0, time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			q := admission.New(admission.DefaultConfig(8))
			q.Arrive(now, admission.Attempt{Class: admission.Batch, Deadline: now.Add(time.Minute)})
			q.Done(now, admission.ID{}, admission.Run{Took: largeRun, Bytes: largeBytes})
			const backlog = 6 * largeBytes
			next := uint64(0)
			arrive := func(after time.Duration) admission.Decision {
				next++
				at := now.Add(after)
				a := admission.Attempt{ID: admission.ID{Number: next}, Class: admission.Batch, Deadline: at.Add(tt.left)}
				full := uplink.Load{Backlog: backlog - int64(after.Seconds()*linkBytes), Rate: linkBytes}
				if tt.relay {
					q.SetLink(uplink.Load{Rate: linkBytes})
					a.Relay = full
				} else {
					q.SetLink(full)
				}
				if tt.target > 0 {
					a.TargetTime = at.Add(tt.target)
				}
				return q.Arrive(at, a)
			}
			d := arrive(0)
			is.Equal(d.Reason, admission.LinkFull)
			is.True(d.LinkOpensIn > 0)
			is.Equal(arrive(d.LinkOpensIn-time.Millisecond).Reason, admission.LinkFull)
			is.Equal(arrive(d.LinkOpensIn+time.Millisecond).Reason, admission.Admitted)
		})
	}
}

// passedTarget is what is left of a target that has passed, as a node reports it.
const passedTarget = time.Microsecond

// TestRestartedGateKnowsNoSizes sends a burst to a gate that has just started, whose
// entry nodes know how large the answers are, and lets its first answer be an unusual one.
func TestRestartedGateKnowsNoSizes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	q := admission.New(admission.DefaultConfig(8))
	q.SetLink(uplink.Load{Rate: linkBytes})
	ask := func(n uint64) admission.Reason {
		return q.Arrive(now, admission.Attempt{
			ID: admission.ID{Number: n}, Class: admission.Batch, Deadline: now.Add(6 * time.Second), TargetTime: now.Add(largeTarget), AnswerBytes: largeBytes,
		}).Reason
	}
	taken := 0
	for n := range uint64(8) {
		if ask(n) == admission.Admitted {
			taken++
		}
	}
	is.True(0 < taken && taken <= 4) // what the link sends in a second
	q.Done(now, admission.ID{}, admission.Run{Took: largeRun, Bytes: 4 * largeBytes})
	usual := time.Duration(largeBytes / linkBytes * float64(time.Second))
	is.True(q.LinkWait(now) < largeRun+time.Duration(taken-1)*2*usual) // those that run still count as less than twice as large
}

// TestAnswerToCallerOnHostWaitsForItsLink checks that a full link neither keeps out an
// attempt whose answer stays on the host, nor counts its answer.
func TestAnswerToCallerOnHostWaitsForItsLink(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	q := admission.New(admission.DefaultConfig(2))
	next := uint64(0)
	arrive := func(onHost bool) admission.Decision {
		next++
		return q.Arrive(now, admission.Attempt{
			ID: admission.ID{Number: next}, Class: admission.Batch, Deadline: now.Add(6 * time.Second), TargetTime: now.Add(largeTarget),
			AnswerBytes: largeBytes, OnHost: onHost,
		})
	}
	q.SetLink(uplink.Load{Backlog: 8 * linkBytes, Rate: linkBytes})
	is.Equal(arrive(false).Reason, admission.LinkFull)
	before := q.LinkWait(now)
	for range 3 { // the last one waits for a slot
		is.Equal(arrive(true).Reason, admission.Admitted)
	}
	running, waiting := q.Load()
	is.Equal([]int{running, waiting}, []int{2, 1})
	is.Equal(q.LinkWait(now), before)
}

// TestPatientClassFillsLink has a class with a long target ask for large answers until it is
// refused, on a host where a class with a short one asks too. That must find room as soon as
// the link has sent one of those.
func TestPatientClassFillsLink(t *testing.T) {
	is := is.New(t)
	q, now := admission.New(admission.DefaultConfig(50)), time.Unix(1000, 0)
	q.SetLink(uplink.Load{Rate: linkBytes})
	next := uint64(0)
	arrive := func(c admission.Class, target time.Duration, bytes int64) admission.Reason {
		next++
		return q.Arrive(now, admission.Attempt{
			ID: admission.ID{Number: next}, Class: c, Deadline: now.Add(6 * time.Second), TargetTime: now.Add(target), AnswerBytes: bytes,
		}).Reason
	}
	const urgent, patient = admission.Interactive, admission.Batch
	is.Equal(arrive(urgent, 600*time.Millisecond, 100_000), admission.Admitted)
	admitted := 0
	for arrive(patient, 3*time.Second, largeBytes) == admission.Admitted {
		admitted++
	}
	is.True(admitted > 0)
	q.Done(now, admission.ID{Number: 2}, admission.Run{Bytes: largeBytes}) // and sent
	is.Equal(arrive(urgent, 600*time.Millisecond, 100_000), admission.Admitted)
	now = now.Add(time.Minute) // the urgent class does not ask any more
	is.Equal(arrive(patient, 3*time.Second, largeBytes), admission.Admitted)
}

// TestStarvedRunsMakeRoomForMore ends runs that failed since calls of the host found no room:
// the link is kept for as much as before.
func TestStarvedRunsMakeRoomForMore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	linkWait := func(failed admission.Run) time.Duration {
		q := admission.New(admission.DefaultConfig(8))
		q.SetLink(uplink.Load{Rate: linkBytes})
		run := admission.Run{Took: largeRun, Bytes: largeBytes}
		for i := range uint64(20) {
			id := admission.ID{Number: i}
			q.Arrive(now, admission.Attempt{ID: id, Class: admission.Batch, Deadline: now.Add(time.Minute)})
			q.Done(now, id, run)
			if i == 10 {
				run = failed
			}
		}
		q.Arrive(now, admission.Attempt{ID: admission.ID{Number: 100}, Class: admission.Batch, Deadline: now.Add(time.Minute)})
		return q.LinkWait(now)
	}
	whole := linkWait(admission.Run{Took: largeRun, Bytes: largeBytes})
	is.Equal(linkWait(admission.Run{Took: largeRun, Failed: true, Starved: true}), whole)
	is.True(linkWait(admission.Run{Took: largeRun, Failed: true}) < whole-100*time.Millisecond)
}
