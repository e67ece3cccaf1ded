package admission

import (
	"time"

	"github.com/agatekeel/agatekeel/core/uplink"
)

// largeAnswerBytes is the average answer size from which a class, or a kind of request,
// counts as having large answers. For such the bandwidth of the host's network link
// determines how many answers arrive in time.
const largeAnswerBytes = uplink.LargeBytes

// waitShare is the part of the time that a large answer can spare until its target which
// it may spend waiting for the link. The rest is for what the estimate lacks: the spread
// of sizes and run times, the network, the wait for a processor.
const waitShare = 0.75

// passedTarget is the largest rest of the time until its target that an attempt may
// have whose target has passed: a node reports at least a microsecond.
const passedTarget = time.Microsecond

// SetLink sets the state of the host's network link for the next arrivals. While its
// rate is unknown, no attempt is refused because of the link.
func (q *Queue) SetLink(l uplink.Load) { q.link = l }

// transferTime returns the time that it takes to send a number of bytes of large
// answers over a link, zero if its rate is unknown.
func transferTime(l uplink.Load, bytes float64) time.Duration {
	if l.Rate == 0 {
		return 0
	}
	return time.Duration(bytes / l.Rate * float64(time.Second))
}

// expectedWeight is the number of answers as many as which the size counts that an entry
// node has told: a gate that has just started has seen none, and a single one can be
// several times as large as usual.
const expectedWeight = smoothingWindow / 2

// expectBytes takes the size of answers that the entry node knows while this process has
// seen none.
func (q *Queue) expectBytes(a Attempt) {
	if q.answers[a.Class] > 0 || a.AnswerBytes < largeAnswerBytes {
		return
	}
	q.answers[a.Class], q.avgBytes[a.Class] = expectedWeight, float64(a.AnswerBytes)
}

// isSmall reports whether an attempt's answer is known to be small, whatever others of its
// class have.
func (a *Attempt) isSmall() bool { return a.AnswerBytes > 0 && a.AnswerBytes < largeAnswerBytes }

// linkOpensIn returns zero if an attempt is let in as far as the links are concerned.
// Otherwise it returns the time until it would be if no other attempt came.
func (q *Queue) linkOpensIn(now time.Time, w Attempt) time.Duration {
	opensIn := q.roomIn(now, w)
	if opensIn > 0 && w.Relay.Backlog == 0 && q.takesSizeTrial(now, w) {
		return 0
	}
	return opensIn
}

// roomIn returns zero if the answer of an attempt can be sent, and relayed by the
// entry node, by its deadline and by its target time. Otherwise it returns the time until
// it could if no other attempt came. An answer that misses its target time would use
// bandwidth at the expense of answers that could still meet theirs. It is let in only
// where they would leave the links idle: if no large answers are expected here nor wait at
// the entry node, or, if not even idle links could send it in time, behind at most one that
// is ready before it.
func (q *Queue) roomIn(now time.Time, w Attempt) time.Duration {
	if q.avgBytes[w.Class] < largeAnswerBytes || w.OnHost || w.isSmall() || q.fault.linkIgnored {
		return 0
	}
	free, relayFree := q.linkFreeAt(now), now.Add(transferTime(w.Relay, float64(w.Relay.Backlog)))
	bothFree := later(free, relayFree)
	ready, size := now.Add(q.avgRunTime[w.Class]), q.largeAnswerSize(w.Class)
	sent, soonestSent := q.sentAt(free, ready, size), q.sentAt(ready, ready, size)
	relayTime := transferTime(w.Relay, q.avgBytes[w.Class])
	delivered, soonest := later(sent, relayFree).Add(relayTime), soonestSent.Add(relayTime)
	planned := soonest.Add(q.limitPatience(now, w.Class, q.notePatience(now, w, soonest)))
	inTime := w.TargetTime.IsZero() || soonest.Before(w.TargetTime)
	switch {
	case !bothFree.After(now):
		return 0
	case !delivered.Before(w.Deadline):
		return delivered.Sub(w.Deadline) + 1
	case inTime && !delivered.After(planned):
		return 0
	case inTime:
		return delivered.Sub(planned)
	case w.TargetTime.Sub(now) <= passedTarget:
		return bothFree.Sub(now)
	}
	return max(bothFree.Sub(ready)-q.limitPatience(now, w.Class, soonestSent.Sub(ready)), 0)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// LinkWait returns the expected time until the link has sent the large answers that
// are ready and those of all attempts that run or wait.
func (q *Queue) LinkWait(now time.Time) time.Duration { return q.linkFreeAt(now).Sub(now) }

// linkFreeAt returns the time at which LinkWait ends. While an attempt runs, the link
// sends the answers of those before it.
func (q *Queue) linkFreeAt(now time.Time) time.Time {
	free := now.Add(transferTime(q.link, float64(q.link.Backlog)))
	for i := range q.running {
		w := &q.running[i]
		free = q.freeAfter(free, w.started.Add(q.avgRunTime[w.Class]), w)
	}
	for c := range numClasses {
		for w := range q.waiting[c].all() {
			free = q.freeAfter(free, now.Add(q.avgRunTime[c]), w)
		}
	}
	return free
}

// freeAfter returns when the link is free after the answer to an attempt, which is ready
// at a given time, if it is free from another time on before. Of runs that fail no answer
// comes, so each counts for as much as usual runs of its class bring.
func (q *Queue) freeAfter(free, ready time.Time, w *Attempt) time.Time {
	if w.OnHost || w.isSmall() {
		return free
	}
	return q.sentAt(free, ready, q.largeAnswerSize(w.Class)*(1-q.failedShare[w.Class]))
}

// sentAt returns when the link has sent an answer of some size that is ready at a given
// time, if the link is free from another time on.
func (q *Queue) sentAt(free, ready time.Time, bytes float64) time.Time {
	if bytes == 0 {
		return free
	}
	return later(free, ready).Add(transferTime(q.link, bytes))
}

// largeAnswerSize returns the average answer size of a class with large answers.
// For other classes it returns zero: their answers are too small to be counted.
func (q *Queue) largeAnswerSize(c Class) float64 {
	if q.avgBytes[c] < largeAnswerBytes {
		return 0
	}
	return q.avgBytes[c]
}
