package admission

import "time"

// largeAnswerBytes is the size of an average answer from which a class of attempts
// has large answers: what the host's network link carries then decides how many
// of them end in time.
const largeAnswerBytes = 32 << 10

// Link is a fluid model of the host's network link: answers go out one after
// the other at its rate.
type Link struct {
	rate      float64 // bytes a second; zero: not known, and never full
	busyUntil time.Time
}

// NewLink returns the Link of a host that has sent nothing lately.
func NewLink(bytesPerSecond float64) Link { return Link{rate: bytesPerSecond} }

// Send counts an answer that goes out from now on.
func (l *Link) Send(now time.Time, bytes int64) {
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(l.TransferTime(float64(bytes)))
}

// Backlog returns the time until what was counted is out.
func (l *Link) Backlog(now time.Time) time.Duration { return max(l.busyUntil.Sub(now), 0) }

// TransferTime returns the time that so many bytes take.
func (l *Link) TransferTime(bytes float64) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return time.Duration(bytes / l.rate * float64(time.Second))
}

// RecordSent counts an answer that goes out over the host's link without having been
// admitted here.
func (q *Queue) RecordSent(now time.Time, bytes int64) { q.link.Send(now, bytes) }

// linkHasRoom reports whether the answer of an attempt would be out in time: by
// the latency that its caller is content with, since one that comes later
// takes the link from another that would not have. One that can't be in time
// any more gets what nobody waits for.
func (q *Queue) linkHasRoom(now time.Time, w Attempt) bool {
	if q.avgBytes[w.Class] < largeAnswerBytes || q.fault.linkIgnored {
		return true
	}
	ahead := q.link.Backlog(now) + q.pendingTransfer()
	if ahead == 0 {
		return true
	}
	out := now.Add(ahead + q.avgRunTime[w.Class] + q.link.TransferTime(q.avgBytes[w.Class]))
	return out.Before(w.Deadline) && (w.TargetTime.IsZero() || out.Before(w.TargetTime))
}

// pendingTransfer returns how long the link will be busy with the large answers of
// what runs and waits.
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

// largeAnswerSize returns the size of an average answer of a class with largeAnswerSize ones, zero
// for another: those are too short to be counted each.
func (q *Queue) largeAnswerSize(c Class) float64 {
	if q.avgBytes[c] < largeAnswerBytes {
		return 0
	}
	return q.avgBytes[c]
}
