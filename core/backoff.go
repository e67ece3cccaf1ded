package core

import "time"

// Upper bounds of the wait before a failed platform call is retried: the first
// one and the largest.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// backoff computes waits between retries: each wait is random, with an upper
// bound that doubles with every consecutive failure ("full jitter").
type backoff struct{ failures int }

// reset restores the initial bound after a success.
func (b *backoff) reset() { b.failures = 0 }

// next counts a failure and returns the upper bound of the wait after it.
func (b *backoff) next() time.Duration {
	bound := initialBackoff << b.failures
	if bound >= maxBackoff {
		return maxBackoff
	}
	b.failures++
	return bound
}

// nextTry counts a failure and returns when to retry.
func (s *State) nextTry(b *backoff) time.Time { return s.now.Add(s.jitter(b.next())) }
