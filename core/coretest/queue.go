package coretest

import (
	"container/heap"
	"time"
)

// timers holds callbacks scheduled at simulated times. Those of the same time run in the
// order in which they were added.
type timers struct {
	queue timerQueue
	order uint64 // of the callback added last
}

func (q *timers) add(at time.Time, do func()) {
	q.order++
	heap.Push(&q.queue, timer{at: at, order: q.order, do: do})
}

// due reports whether a callback is scheduled for a time up to end.
func (q *timers) due(end time.Time) bool { return len(q.queue) > 0 && !q.queue[0].at.After(end) }

// pop removes the first callback.
func (q *timers) pop() timer { return heap.Pop(&q.queue).(timer) }

// timer is a callback scheduled at a simulated time. order is ascending and breaks ties.
type timer struct {
	at    time.Time
	order uint64
	do    func()
}

// timerQueue is a heap of timers, ordered by time.
type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
