package admission

import "time"

// maxBypassed is how many starts of more urgent classes may bypass the attempt
// at the head of a class. A class with waiting attempts therefore gets at least
// one of every maxBypassed+1 starts, which prevents starvation.
const maxBypassed = 8

func (q *Queue) startWaiting(now time.Time) (start, dropped []Attempt) {
	q.started, q.dropped = q.started[:0], q.dropped[:0]
	for q.numWaiting > 0 {
		c := q.nextClass()
		if c == numClasses {
			break
		}
		l := &q.waiting[c]
		q.dropOverdue(now, l)
		l.moveLate(func(w Attempt) bool { return q.missesTarget(now, w) })
		if l.len() == 0 {
			continue
		}
		w := l.pop()
		q.numWaiting--
		q.countBypassed(c)
		q.begin(now, w)
		q.started = append(q.started, w)
	}
	q.noteEmpty(now)
	return q.started, q.dropped
}

// noteEmpty records the time if nothing waits that can meet its target time, and if nothing of
// class Status does.
func (q *Queue) noteEmpty(now time.Time) {
	if q.WaitingInTime() == 0 {
		q.emptyAt = now
	}
	if q.waiting[Status].timely.len() == 0 {
		q.statusEmptyAt = now
	}
}

// nextClass returns the class whose oldest attempt starts next: the most urgent
// one, unless another class was bypassed maxBypassed times. It returns
// numClasses if none can start.
func (q *Queue) nextClass() Class {
	first := numClasses
	for c := range numClasses {
		if q.waiting[c].len() == 0 || !q.canStart(c) {
			continue
		}
		if q.bypassed[c] >= maxBypassed && !q.fault.noBypass {
			return c
		}
		first = min(first, c)
	}
	return first
}

// countBypassed counts the start of a class against the less urgent classes that
// it bypasses.
func (q *Queue) countBypassed(started Class) {
	q.bypassed[started] = 0
	for c := started + 1; c < numClasses; c++ {
		q.bypassed[c]++
		if q.waiting[c].len() == 0 {
			q.bypassed[c] = 0
		}
	}
}

// overdue reports whether an attempt has waited too long or can no longer finish by its
// deadline.
func (q *Queue) overdue(now time.Time, w Attempt) bool {
	if q.fault.noWaitLimit {
		return false
	}
	return now.Sub(w.arrived) > q.maxWait(now, w.Class) || q.wouldEndLate(now, now, w)
}

// missesTarget reports whether an attempt that starts at a given time would not meet its
// target time.
func (q *Queue) missesTarget(start time.Time, w Attempt) bool {
	return !w.TargetTime.IsZero() && start.Add(q.avgRunTime[w.Class]+w.Waited).After(w.TargetTime)
}

// dropOverdue moves the overdue attempts of a class to q.dropped.
func (q *Queue) dropOverdue(now time.Time, l *line) {
	before := l.len()
	q.dropped = l.popOverdue(q.dropped, func(w Attempt) bool { return q.overdue(now, w) })
	q.numWaiting -= before - l.len()
}

// wouldEndLate reports whether an attempt that starts at a given time would not finish by
// its deadline.
func (q *Queue) wouldEndLate(start, now time.Time, w Attempt) bool {
	if !start.Add(q.avgRunTime[w.Class]).After(w.Deadline) {
		return false
	}
	if q.runTrialDue(now, w.Class) && !q.runsAny(w.Class) {
		return start.After(w.Deadline)
	}
	noteFirst(&q.runRefused[w.Class], now)
	return true
}

func (q *Queue) maxWait(now time.Time, c Class) time.Duration {
	if q.isStanding(now, c) {
		return q.cfg.Target
	}
	return q.cfg.MaxWait
}

// isStanding reports whether the queue of a class has not been empty for Config.Interval.
func (q *Queue) isStanding(now time.Time, c Class) bool {
	emptyAt := q.emptyAt
	if c == Status {
		emptyAt = q.statusEmptyAt
	}
	return now.Sub(emptyAt) > q.cfg.Interval
}

// Expire drops overdue attempts, and returns them. It covers periods in which no
// run ends, since Done drops them otherwise. The slice is valid until the next
// call.
func (q *Queue) Expire(now time.Time) []Attempt {
	q.dropped = q.dropped[:0]
	for c := range numClasses {
		q.dropOverdue(now, &q.waiting[c])
	}
	return q.dropped
}

// Cancel removes a waiting attempt and reports whether it was in the queue.
func (q *Queue) Cancel(id ID) (Attempt, bool) {
	for c := range numClasses {
		if w, ok := q.waiting[c].remove(id); ok {
			q.numWaiting--
			return w, true
		}
	}
	return Attempt{}, false
}
