package admission

import "time"

// patience is how long attempts of a class could wait for the link.
type patience struct {
	wait time.Duration // smoothed
	at   time.Time     // of the last attempt
}

func (p *patience) observe(now time.Time, wait time.Duration) {
	if now.Sub(p.at) > patienceWindow {
		p.wait = wait
	}
	p.wait += (wait - p.wait) / smoothingWindow
	p.at = now
}

const (
	// patienceWindow is the time for which the patience of a class counts after an attempt.
	patienceWindow = 10 * time.Second
	// minPatience is the patience below which a class does not count: run times differ by
	// more, so room kept for it would mostly be kept in vain.
	minPatience = 50 * time.Millisecond
)

// notePatience records how long an attempt can wait for the links, and returns that. soonest
// is when its answer could be delivered without a wait.
func (q *Queue) notePatience(now time.Time, w Attempt, soonest time.Time) time.Duration {
	wait := w.Deadline.Sub(soonest)
	if !w.TargetTime.IsZero() {
		wait = time.Duration(waitShare * float64(w.TargetTime.Sub(soonest)))
	}
	if wait > 0 {
		q.patience[w.Class].observe(now, wait)
	}
	return wait
}

// limitPatience returns the wait that a class may fill the links to, if it could wait for
// a given time: no longer than attempts of other classes could wait, which would never find
// the links as short as they need them otherwise. Up to there room goes by arrival: if more
// urgent classes had more of it, they could take all.
func (q *Queue) limitPatience(now time.Time, c Class, wait time.Duration) time.Duration {
	for i, other := range q.patience {
		if Class(i) != c && other.wait >= minPatience && now.Sub(other.at) <= patienceWindow {
			wait = min(wait, other.wait)
		}
	}
	return wait
}
