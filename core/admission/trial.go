package admission

import (
	"slices"
	"time"
)

// Attempts are refused because of the smoothed run time and answer size of their class,
// and those that are refused are not there to lower them. After trialAfter in which only
// refusals came of it, one attempt is let in whatever the figure says, and its run
// replaces the figure.
const (
	// trialAfter is the time between two trials, so that those of a class that never ends
	// in time take a part of one slot only.
	trialAfter = 2 * time.Second
	// linkTrialShare is the divisor of a link's time that gives what trial answers of a
	// class may take of it, by their expected size.
	linkTrialShare = 8
)

// runTrialDue reports whether attempts of a class were refused for their run time since
// trialAfter, and none has ended.
func (q *Queue) runTrialDue(now time.Time, c Class) bool {
	return !q.runRefused[c].IsZero() && now.Sub(q.runRefused[c]) >= trialAfter
}

// sizeTrialDue reports whether attempts of a class were refused for the size of their
// answers for as long that a trial is due.
func (q *Queue) sizeTrialDue(now time.Time, c Class) bool {
	after := max(trialAfter, linkTrialShare*transferTime(q.link, q.avgBytes[c]))
	return !q.sizeRefused[c].IsZero() && now.Sub(q.sizeRefused[c]) >= after
}

// takesSizeTrial reports whether an attempt that the expected size of its answer refuses is
// let in as a trial. One that is late anyway is none.
func (q *Queue) takesSizeTrial(now time.Time, w Attempt) bool {
	switch {
	case !w.TargetTime.IsZero() && w.TargetTime.Sub(now) <= passedTarget:
		return false
	case q.sizeTrialDue(now, w.Class) && !q.runsAny(w.Class) && q.waiting[w.Class].len() == 0:
		return true
	}
	noteFirst(&q.sizeRefused[w.Class], now)
	return false
}

// runsAny reports whether an attempt of a class runs.
func (q *Queue) runsAny(c Class) bool {
	return slices.ContainsFunc(q.running, func(w Attempt) bool { return w.Class == c })
}

// noteFirst sets a time that is not set yet.
func noteFirst(at *time.Time, now time.Time) {
	if at.IsZero() {
		*at = now
	}
}
