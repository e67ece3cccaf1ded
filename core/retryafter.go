package core

import "time"

// Bounds of the time after which a refused caller may retry. It is random
// between them, so that callers that were refused together do not retry
// together.
const (
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = 150 * time.Millisecond
	// A caller is told to wait for at most the remaining time divided by
	// retryAfterDivisor, which leaves enough for the request itself.
	retryAfterDivisor = 4
)

// retryAfter returns how long a caller with the given time left should wait
// before it retries a request that can't be served before earliest.
func (s *State) retryAfter(earliest, left time.Duration) time.Duration {
	after := earliest + minRetryAfter + s.jitter(maxRetryAfter-minRetryAfter)
	if left > 0 {
		after = min(after, left/retryAfterDivisor)
	}
	return after
}

const (
	// returnDivisor is the divisor of a caller's time that gives when it comes back at the
	// latest: what is left is enough for two more tries.
	returnDivisor = 3
	// fullPressure is the share of refused calls from which callers come back as late as that.
	fullPressure = 0.5
	// leastSpread is the part of that time after which the first of them comes back.
	leastSpread = 0.5
)

// retryAfterRefusal returns how long the caller of a refused call should wait. While few calls
// of a service are refused, a caller finds room at once, and still meets its target. The more
// there are, the later it comes back: it would be refused again, and those who are in time
// with it. Its tries are spread over its time, so that they outlast a burst.
func (s *State) retryAfterRefusal(c *call) time.Duration {
	left := c.callerDeadline.Sub(s.now)
	soon := s.retryAfter(0, left)
	latest := left / returnDivisor
	pressed := min(s.pressure(c.service).share(s.now)/fullPressure, 1)
	part := leastSpread + (1-leastSpread)*s.rng.Float64()
	return min(soon+time.Duration(pressed*part*float64(latest)), max(latest, soon))
}
