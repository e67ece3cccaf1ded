package tree

import "time"

// Limiter is a token bucket for joins that also estimates how long those it
// turned away should stay away, so that a herd comes back spread over the
// time that its service takes.
type Limiter struct {
	perSecond float64
	burst     float64
	tokens    float64
	backlog   float64 // turned away and not expected to have been served yet
	updatedAt time.Time
}

// NewLimiter returns a full Limiter.
func NewLimiter(perSecond, burst int) *Limiter {
	return &Limiter{perSecond: float64(perSecond), burst: float64(burst), tokens: float64(burst)}
}

// Take reports whether one may join now. If not, it returns the time over
// which those turned away so far can be served; the caller draws the wait
// from it at random ("full jitter").
func (l *Limiter) Take(now time.Time) (spread time.Duration, ok bool) {
	if !l.updatedAt.IsZero() {
		gained := now.Sub(l.updatedAt).Seconds() * l.perSecond
		l.tokens = min(l.burst, l.tokens+gained)
		l.backlog = max(0, l.backlog-gained)
	}
	l.updatedAt = now
	if l.tokens >= 1 {
		l.tokens--
		return 0, true
	}
	l.backlog++
	return time.Duration((l.backlog + 1) / l.perSecond * float64(time.Second)), false
}
