package core

import "time"

// Bounds of the waits between tries of a failed platform call.
const (
	backoffFirst = 100 * time.Millisecond
	backoffLimit = 4 * time.Second
)

// backoff spaces tries: the random wait before each has an upper bound that
// doubles with every failure in a row ("full jitter").
type backoff struct{ failures int }

// succeeded lets the next failure begin with the shortest wait.
func (b *backoff) succeeded() { b.failures = 0 }

// failed counts a failure and returns the bound of the wait after it.
func (b *backoff) failed() time.Duration {
	bound := backoffFirst << b.failures
	if bound >= backoffLimit {
		return backoffLimit
	}
	b.failures++
	return bound
}

// after returns when to try again after one more failure.
func (s *State) after(b *backoff) time.Time { return s.now.Add(s.jitter(b.failed())) }
