package tree

import "time"

// Limiter is a token bucket for joins that also estimates the time needed to
// serve the nodes it has refused, so that many simultaneous joiners retry spread
// over that time.
type Limiter struct {
	perSecond float64 // tokens added per second
	burst     float64 // largest number of tokens
	tokens    float64
	backlog   float64   // refused joins not expected to have been served yet
	updatedAt time.Time // when tokens and backlog were last updated
}

// NewLimiter returns a Limiter with a full bucket of burst tokens.
func NewLimiter(perSecond, burst int) *Limiter {
	return &Limiter{perSecond: float64(perSecond), burst: float64(burst), tokens: float64(burst)}
}

// Take reports whether one node may join now. If not, it returns the time within
// which the joins refused so far can be served; the caller draws a random wait
// below it ("full jitter").
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
