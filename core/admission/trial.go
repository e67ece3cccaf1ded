package admission

import (
	"slices"
	"time"
)

// trialAfter is the time without a run of a class after which its smoothed run time
// refuses no attempt until another has run. A class whose runs never end in time thus
// takes no more than one slot, and that one but for this time between two runs.
const trialAfter = 2 * time.Second

// expectedRunTime returns how long an attempt of a class is expected to run, as far as
// attempts may be refused because of it. Those that are refused are not there to lower
// the smoothed run time, so after trialAfter one is let in whatever that says.
func (q *Queue) expectedRunTime(now time.Time, c Class) time.Duration {
	if q.trialDue(now, c) {
		return 0
	}
	return q.avgRunTime[c]
}

// trialDue reports whether nothing of a class runs, and nothing has for trialAfter.
func (q *Queue) trialDue(now time.Time, c Class) bool {
	return now.Sub(q.ranAt[c]) >= trialAfter && !slices.ContainsFunc(q.running, func(w Attempt) bool { return w.Class == c })
}
