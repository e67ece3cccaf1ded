package core

import "time"

// Bounds of the waits between tries of a failed platform call.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// backoff spaces tries: the random wait before each has an upper bound that
// doubles with every failure in a row ("full jitter").
type backoff struct{ failures int }

// reset lets the next failure begin with the shortest wait.
func (b *backoff) reset() { b.failures = 0 }

// next counts a failure and returns the bound of the wait after it.
func (b *backoff) next() time.Duration {
	bound := initialBackoff << b.failures
	if bound >= maxBackoff {
		return maxBackoff
	}
	b.failures++
	return bound
}

// nextTry returns when to try again nextTry one more failure.
func (s *State) nextTry(b *backoff) time.Time { return s.now.Add(s.jitter(b.next())) }
