package admission

import "time"

// largeAnswerBytes is the average answer size from which a class counts as having
// large answers. For such a class the bandwidth of the host's network link
// determines how many answers arrive in time.
const largeAnswerBytes = 32 << 10

// Link is a fluid model of the host's network link: answers are sent one after
// the other at a constant rate.
type Link struct {
	rate      float64 // bytes per second; zero: unknown, the link never counts as full
	busyUntil time.Time
}

// NewLink returns an idle Link of the given rate.
func NewLink(bytesPerSecond float64) Link { return Link{rate: bytesPerSecond} }

// Send adds an answer to the link's backlog.
func (l *Link) Send(now time.Time, bytes int64) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(l.TransferTime(float64(bytes)))
}

// Backlog returns the time that it takes to send the answers added so far.
func (l *Link) Backlog(now time.Time) time.Duration { return max(l.busyUntil.Sub(now), 0) }

// TransferTime returns the time that it takes to send a number of bytes.
func (l *Link) TransferTime(bytes float64) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return time.Duration(bytes / l.rate * float64(time.Second))
}

// RecordSent counts an answer that uses the host's link but did not pass through
// this queue.
func (q *Queue) RecordSent(now time.Time, bytes int64) { q.link.Send(now, bytes) }

// linkHasRoom reports whether the answer of an attempt can be sent by its
// deadline and by its target time. An answer that misses its target time would
// use bandwidth at the expense of answers that could still meet theirs. If the
// link is idle and no large answers are expected, the attempt is admitted in any
// case, since the bandwidth is unused.
func (q *Queue) linkHasRoom(now time.Time, w Attempt) bool {
	if q.avgBytes[w.Class] < largeAnswerBytes || q.fault.linkIgnored {
		return true
	}
	ahead := q.LinkWait(now)
	if ahead == 0 {
		return true
	}
	out := now.Add(ahead + q.avgRunTime[w.Class] + q.link.TransferTime(q.avgBytes[w.Class]))
	return out.Before(w.Deadline) && (w.TargetTime.IsZero() || out.Before(w.TargetTime))
}

// LinkWait returns the expected time until the link has sent the large answers of
// all attempts admitted so far.
func (q *Queue) LinkWait(now time.Time) time.Duration {
	return q.link.Backlog(now) + q.pendingTransfer()
}

// pendingTransfer returns how long it will take to send the large answers of the
// attempts that are running or waiting.
func (q *Queue) pendingTransfer() time.Duration {
	var bytes float64
	for i := range q.running {
		bytes += q.largeAnswerSize(q.running[i].Class)
	}
	for c := range numClasses {
		bytes += q.largeAnswerSize(c) * float64(q.waiting[c].len())
	}
	return q.link.TransferTime(bytes)
}

// largeAnswerSize returns the average answer size of a class with large answers.
// For other classes it returns zero: their answers are too small to be counted.
func (q *Queue) largeAnswerSize(c Class) float64 {
	if q.avgBytes[c] < largeAnswerBytes {
		return 0
	}
	return q.avgBytes[c]
}
