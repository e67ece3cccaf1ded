package admission

import "time"

// heavyBytes is the size of an average answer from which a class of attempts
// has large answers: what the host's network link carries then decides how many
// of them end in time.
const heavyBytes = 32 << 10

// Link is a fluid model of the host's network link: answers go out one after
// the other at its rate.
type Link struct {
	rate  float64 // bytes a second; zero: not known, and never full
	until time.Time
}

// NewLink returns the Link of a host that has sent nothing lately.
func NewLink(bytesPerSecond float64) Link { return Link{rate: bytesPerSecond} }

// Send counts an answer that goes out from now on.
func (l *Link) Send(now time.Time, bytes int64) {
	if l.until.Before(now) {
		l.until = now
	}
	l.until = l.until.Add(l.Takes(float64(bytes)))
}

// Busy returns the time until what was counted is out.
func (l *Link) Busy(now time.Time) time.Duration { return max(l.until.Sub(now), 0) }

// Takes returns the time that so many bytes take.
func (l *Link) Takes(bytes float64) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return time.Duration(bytes / l.rate * float64(time.Second))
}

// Sent counts an answer that goes out over the host's link without having been
// admitted here.
func (q *Queue) Sent(now time.Time, bytes int64) { q.link.Send(now, bytes) }

// hasRoom reports whether the answer of an attempt would be out in time: by
// the latency that its caller is content with, since one that comes later
// takes the link from another that would not have. One that can't be in time
// any more gets what nobody waits for.
func (q *Queue) hasRoom(now time.Time, w Waiting) bool {
	if q.bytes[w.Class] < heavyBytes || q.fault.linkIgnored {
		return true
	}
	ahead := q.link.Busy(now) + q.expected()
	if ahead == 0 {
		return true
	}
	out := now.Add(ahead + q.average[w.Class] + q.link.Takes(q.bytes[w.Class]))
	return out.Before(w.Deadline) && (w.Wanted.IsZero() || out.Before(w.Wanted))
}

// expected returns how long the link will be busy with the large answers of
// what runs and waits.
func (q *Queue) expected() time.Duration {
	var bytes float64
	for i := range q.running {
		bytes += q.large(q.running[i].Class)
	}
	for c := range classes {
		bytes += q.large(c) * float64(q.lines[c].len())
	}
	return q.link.Takes(bytes)
}

// large returns the size of an average answer of a class with large ones, zero
// for another: those are too short to be counted each.
func (q *Queue) large(c Class) float64 {
	if q.bytes[c] < heavyBytes {
		return 0
	}
	return q.bytes[c]
}
