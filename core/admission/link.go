package admission

import (
	"time"

	"github.com/agatekeel/agatekeel/core/uplink"
)

// largeAnswerBytes is the average answer size from which a class counts as having
// large answers. For such a class the bandwidth of the host's network link
// determines how many answers arrive in time.
const largeAnswerBytes = 32 << 10

// SetLink sets the state of the host's network link for the next arrivals. While its
// rate is unknown, no attempt is refused because of the link.
func (q *Queue) SetLink(l uplink.Load) { q.link = l }

// transferTime returns the time that it takes to send a number of bytes of large
// answers.
func (q *Queue) transferTime(bytes float64) time.Duration {
	if q.link.Rate == 0 {
		return 0
	}
	return time.Duration(bytes / q.link.Rate * float64(time.Second))
}

// linkHasRoom reports whether the answer of an attempt can be sent by its
// deadline and by its target time. An answer that misses its target time would
// use bandwidth at the expense of answers that could still meet theirs. If the
// link is idle and no large answers are expected, the attempt is admitted in any
// case, since the bandwidth is unused.
func (q *Queue) linkHasRoom(now time.Time, w Attempt) bool {
	if q.avgBytes[w.Class] < largeAnswerBytes || q.fault.linkIgnored {
		return true
	}
	ahead := q.LinkWait()
	if ahead == 0 {
		return true
	}
	out := now.Add(ahead + q.avgRunTime[w.Class] + q.transferTime(q.avgBytes[w.Class]))
	return out.Before(w.Deadline) && (w.TargetTime.IsZero() || out.Before(w.TargetTime))
}

// LinkWait returns the expected time until the link has sent the large answers that
// are ready and those of all attempts that run or wait.
func (q *Queue) LinkWait() time.Duration {
	return q.transferTime(float64(q.link.Backlog) + q.pendingBytes())
}

// pendingBytes returns the expected size of the large answers of the attempts that
// are running or waiting.
func (q *Queue) pendingBytes() float64 {
	var bytes float64
	for i := range q.running {
		bytes += q.largeAnswerSize(q.running[i].Class)
	}
	for c := range numClasses {
		bytes += q.largeAnswerSize(c) * float64(q.waiting[c].len())
	}
	return bytes
}

// largeAnswerSize returns the average answer size of a class with large answers.
// For other classes it returns zero: their answers are too small to be counted.
func (q *Queue) largeAnswerSize(c Class) float64 {
	if q.avgBytes[c] < largeAnswerBytes {
		return 0
	}
	return q.avgBytes[c]
}
